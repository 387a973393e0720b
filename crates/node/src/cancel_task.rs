//! Announces cancellations to all members, directly, through relays, and piggybacked on datagrams; reads the rows of
//! jobs held when probe replies don't prove that none was missed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_batch::job_row_key;
use harrierward_external::RequestClass;
use harrierward_wire::{
    CancelNotice, CancelReply, JobNotice, JobRow, JobState, PeerRequest, decode, peer_reply,
    peer_request,
};
use rand::seq::IndexedRandom;
use tokio::time::{sleep, timeout};

use crate::cancel_freshness::{CANCEL_ACK_TIMEOUT, FRESHNESS_TTL, TABLE_READ_INTERVAL};
use crate::node::{Shared, lock};

const PREFIX: &str = "cancels:";

/// Timeout of one cancellation notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Members that forward a notice to an unreachable one, per attempt.
const RELAYS: usize = 3;

/// Delay between attempts to notify a member.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a cancellation is piggybacked on datagrams, and the maximum number per datagram.
const PIGGYBACK_DURATION: Duration = Duration::from_secs(15);
const MAX_PIGGYBACKED: usize = 8;

/// Above one unhealthy member in this many, the table is read although probe replies renew the proof.
const UNHEALTHY_ONE_IN: usize = 20;

const ROWS_PER_CALL: usize = 64;

/// Recent cancellations with the time at which they were received.
#[derive(Debug, Default)]
pub(crate) struct RecentCancels {
    jobs: BTreeMap<String, Duration>,
}

impl RecentCancels {
    /// Returns the jobs to name in datagrams, most recent first.
    pub fn names(&mut self, now: Duration) -> Vec<String> {
        self.jobs
            .retain(|_, at| now.saturating_sub(*at) < PIGGYBACK_DURATION);
        let mut jobs: Vec<(&String, &Duration)> = self.jobs.iter().collect();
        jobs.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let newest = jobs.into_iter().take(MAX_PIGGYBACKED);
        newest.map(|(job, _)| job.clone()).collect()
    }

    /// Records a cancellation; true if it was unknown.
    fn add(&mut self, job_id: &str, now: Duration) -> bool {
        if self.jobs.contains_key(job_id) {
            return false;
        }
        self.jobs.insert(job_id.to_owned(), now);
        true
    }
}

/// Stops all items of the job on this daemon and returns how many were running.
pub(crate) fn cancel_locally(shared: &Arc<Shared>, job_id: &str) -> u32 {
    let now = shared.now();
    lock(&shared.recent_cancels).add(job_id, now);
    shared.owner.cancel_job(job_id);
    let stopped = lock(&shared.runner).cancel_job(job_id, now);
    u32::try_from(stopped).unwrap_or(u32::MAX)
}

/// Applies the cancellations piggybacked on a datagram.
pub(crate) fn apply_piggybacked(shared: &Arc<Shared>, jobs: &[String]) {
    let now = shared.now();
    for job_id in jobs {
        let is_new = lock(&shared.recent_cancels).add(job_id, now);
        if is_new {
            cancel_locally(shared, job_id);
        }
    }
}

/// Handles a notice: applies it, or forwards it to the member named in it.
pub(crate) async fn serve(shared: &Arc<Shared>, notice: CancelNotice) -> CancelReply {
    let Some(job) = notice.job else {
        return CancelReply::default();
    };
    if notice.relay_to.is_empty() {
        let stopped = cancel_locally(shared, &job.job_id);
        return CancelReply {
            stopped,
            noted: true,
        };
    }
    let noted = notify(shared, &notice.relay_to, &job, "").await;
    CancelReply { stopped: 0, noted }
}

async fn notify(shared: &Arc<Shared>, address: &str, job: &JobNotice, relay_to: &str) -> bool {
    let request = PeerRequest {
        kind: Some(peer_request::Kind::Cancel(CancelNotice {
            job: Some(job.clone()),
            relay_to: relay_to.to_owned(),
        })),
    };
    let reply = timeout(NOTICE_TIMEOUT, shared.network.call(address, request)).await;
    match reply {
        Ok(Ok(reply)) => matches!(
            reply.kind,
            Some(peer_reply::Kind::Cancel(CancelReply { noted: true, .. }))
        ),
        _ => false,
    }
}

/// Notifies a member, also through relays, until it acknowledges or the timeout expires.
async fn notify_until_noted(shared: &Arc<Shared>, member: &str, job: &JobNotice) {
    let deadline = shared.now() + CANCEL_ACK_TIMEOUT;
    while shared.now() < deadline {
        let Some(address) = shared.peer_address(member) else {
            // Considered dead, but it may still run behind a partition until its proof expires.
            sleep(RETRY_DELAY).await;
            continue;
        };
        if notify(shared, &address, job, "").await {
            return;
        }
        let relays = choose_relays(shared, member);
        let forwards = relays
            .iter()
            .map(|relay| notify(shared, relay, job, &address));
        if futures::future::join_all(forwards).await.contains(&true) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
    log::info!(
        "{PREFIX} {member} did not acknowledge the cancellation of {} in time",
        job.job_id
    );
}

fn choose_relays(shared: &Arc<Shared>, target: &str) -> Vec<String> {
    let view = shared.view.load();
    let others: Vec<&str> = view
        .members
        .iter()
        .filter(|member| member.id != target && member.id != shared.identity.member)
        .map(|member| member.peer_address.as_str())
        .collect();
    shared.with_random(|random| {
        let chosen = others.choose_multiple(random, RELAYS);
        chosen.map(|address| (*address).to_owned()).collect()
    })
}

/// Announces a committed cancellation. Returns once no member can start another item of the job.
pub(crate) async fn announce(shared: &Arc<Shared>, job: &JobNotice) {
    cancel_locally(shared, &job.job_id);
    let view = shared.view.load_full();
    let others = view
        .members
        .iter()
        .filter(|member| member.id != shared.identity.member);
    let notices = others.map(|member| notify_until_noted(shared, &member.id, job));
    futures::future::join_all(notices).await;
}

/// Reads the rows of the jobs held when the proof expires soon, or many members are unhealthy.
pub(crate) async fn run_table_reads(shared: Arc<Shared>) {
    loop {
        let now = shared.now();
        let (unhealthy, known) = lock(&shared.membership).unhealthy_counts();
        let has_many_unhealthy = unhealthy * UNHEALTHY_ONE_IN > known;
        let is_due = lock(&shared.cancel_freshness).needs_table_read(now);
        if (is_due || has_many_unhealthy) && read_held_jobs(&shared).await {
            lock(&shared.cancel_freshness).note_table_read(now);
        }
        sleep(TABLE_READ_INTERVAL.min(FRESHNESS_TTL / 3)).await;
    }
}

/// Reads the rows of all jobs held and stops those cancelled; false if a read failed.
async fn read_held_jobs(shared: &Arc<Shared>) -> bool {
    let mut held = shared.owner.job_tenants();
    held.extend(lock(&shared.runner).job_tenants());
    let jobs: Vec<(String, String)> = held.into_iter().collect();
    for batch in jobs.chunks(ROWS_PER_CALL) {
        let keys: Vec<String> = batch
            .iter()
            .map(|(job_id, tenant)| job_row_key(tenant, job_id))
            .collect();
        let Ok(rows) = shared.table.get(RequestClass::Urgent, &keys).await else {
            return false;
        };
        for row in rows.into_iter().flatten() {
            let job: JobRow = decode(&row.value).unwrap_or_default();
            if job.state != JobState::InProgress as i32 {
                cancel_locally(shared, &job.job_id);
            }
        }
    }
    true
}
