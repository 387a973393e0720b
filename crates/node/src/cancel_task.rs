//! Spreads cancels: every member in view is told, through others where it cannot be reached itself, and cancels
//! of the last seconds ride on all datagrams. Keeps the daemon assured that it has missed none.

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

use crate::assurance::{ASSURANCE_LIFETIME, CANCEL_WAIT, CONFIRM_EVERY};
use crate::node::{Shared, lock};

const PREFIX: &str = "cancels:";

/// Wait for a member to take note of a cancel.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Members asked to pass a notice on.
const RELAYS: usize = 3;

/// Pause between tries to reach a member.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long a cancel rides on datagrams, and how many do at most.
const NEWS_LIFETIME: Duration = Duration::from_secs(15);
const MOST_NEWS: usize = 8;

/// Share of members missing above which being in touch with the others is not enough: one in so many.
const MISSING_ONE_IN: usize = 20;

/// Job rows read in one call.
const ROWS_A_CALL: usize = 64;

/// Cancels of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct CancelNews {
    jobs: BTreeMap<String, Duration>,
}

impl CancelNews {
    /// Jobs to name in datagrams now.
    pub fn names(&mut self, now: Duration) -> Vec<String> {
        self.jobs
            .retain(|_, at| now.saturating_sub(*at) < NEWS_LIFETIME);
        let mut jobs: Vec<(&String, &Duration)> = self.jobs.iter().collect();
        jobs.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let newest = jobs.into_iter().take(MOST_NEWS);
        newest.map(|(job, _)| job.clone()).collect()
    }

    /// True if the cancel is news.
    fn add(&mut self, job_id: &str, now: Duration) -> bool {
        if self.jobs.contains_key(job_id) {
            return false;
        }
        self.jobs.insert(job_id.to_owned(), now);
        true
    }
}

/// Stops everything of the job here; how many items ran.
pub(crate) fn cancel_here(shared: &Arc<Shared>, job_id: &str) -> u32 {
    let now = shared.now();
    lock(&shared.cancel_news).add(job_id, now);
    shared.owner.cancel_job(job_id);
    let stopped = lock(&shared.runner).cancel_job(job_id, now);
    u32::try_from(stopped).unwrap_or(u32::MAX)
}

/// Takes cancels that rode on a datagram.
pub(crate) fn heard(shared: &Arc<Shared>, jobs: &[String]) {
    let now = shared.now();
    for job_id in jobs {
        let is_news = lock(&shared.cancel_news).add(job_id, now);
        if is_news {
            cancel_here(shared, job_id);
        }
    }
}

/// Answers a notice: takes note, or passes it on.
pub(crate) async fn serve(shared: &Arc<Shared>, notice: CancelNotice) -> CancelReply {
    let Some(job) = notice.job else {
        return CancelReply::default();
    };
    if notice.relay_to.is_empty() {
        let stopped = cancel_here(shared, &job.job_id);
        return CancelReply {
            stopped,
            noted: true,
        };
    }
    let noted = tell(shared, &notice.relay_to, &job, "").await;
    CancelReply { stopped: 0, noted }
}

async fn tell(shared: &Arc<Shared>, address: &str, job: &JobNotice, relay_to: &str) -> bool {
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

/// Tells a member, through others if need be, until it has noted the cancel or the wait is over.
async fn tell_until_noted(shared: &Arc<Shared>, member: &str, job: &JobNotice) {
    let deadline = shared.now() + CANCEL_WAIT;
    while shared.now() < deadline {
        let Some(address) = shared.peer_address(member) else {
            // Declared dead. It may still run, cut off, so the wait goes on until it must have stopped.
            sleep(RETRY_PAUSE).await;
            continue;
        };
        if tell(shared, &address, job, "").await {
            return;
        }
        let relays = choose_relays(shared, member);
        let passes = relays
            .iter()
            .map(|relay| tell(shared, relay, job, &address));
        if futures::future::join_all(passes).await.contains(&true) {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
    log::info!(
        "{PREFIX} {member} could not be told of the cancel of {}",
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

/// Tells everybody of a committed cancel. Returns once nobody can start an item of the job any more.
pub(crate) async fn announce(shared: &Arc<Shared>, job: &JobNotice) {
    cancel_here(shared, &job.job_id);
    let view = shared.view.load_full();
    let others = view
        .members
        .iter()
        .filter(|member| member.id != shared.identity.member);
    let notices = others.map(|member| tell_until_noted(shared, &member.id, job));
    futures::future::join_all(notices).await;
}

/// Asks the table about the jobs held, whenever the peers do not give enough assurance.
pub(crate) async fn run_confirm(shared: Arc<Shared>) {
    loop {
        let now = shared.now();
        let (troubled, known) = lock(&shared.membership).unhealthy_counts();
        let missing = troubled * MISSING_ONE_IN > known;
        let wants = lock(&shared.assurance).wants_table(now);
        if (wants || missing) && confirm(&shared).await {
            lock(&shared.assurance).table_confirmed(now);
        }
        sleep(CONFIRM_EVERY.min(ASSURANCE_LIFETIME / 3)).await;
    }
}

/// Reads the rows of all jobs of which items are held here; false if the table did not answer.
async fn confirm(shared: &Arc<Shared>) -> bool {
    let mut held = shared.owner.job_tenants();
    held.extend(lock(&shared.runner).job_tenants());
    let jobs: Vec<(String, String)> = held.into_iter().collect();
    for group in jobs.chunks(ROWS_A_CALL) {
        let keys: Vec<String> = group
            .iter()
            .map(|(job_id, tenant)| job_row_key(tenant, job_id))
            .collect();
        let Ok(rows) = shared.table.get(RequestClass::Urgent, &keys).await else {
            return false;
        };
        for row in rows.into_iter().flatten() {
            let job: JobRow = decode(&row.value).unwrap_or_default();
            if job.state != JobState::InProgress as i32 {
                cancel_here(shared, &job.job_id);
            }
        }
    }
    true
}
