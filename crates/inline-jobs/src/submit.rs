//! Acceptance of jobs: one conditional transaction before the response.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{Route, ServingRequest, caller_of};
use harrierward_wire::{ItemHeadRow, JobHeadRow, JobItemsRow};
use tokio::time::{Instant, sleep};

use crate::adoption_order::released;
use crate::header_lookup::Need;
use crate::job_memory::bytes_of;
use crate::keys;
use crate::model::{Lookup, SubmitOutcome, SubmittedJob, item_request, item_row, scoped_id};
use crate::owned_job::OwnedJob;
use crate::quota::Reservation;
use crate::quota_ledger::QuotaRequest;
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::tokens::sum_of_tokens;
use crate::view::KnownHeader;

/// Items per job.
pub const MAX_JOB_ITEMS: usize = 200;

/// Upper bound of the time that a submission may take.
const MAX_WAIT: Duration = Duration::from_millis(2_500);

/// Share of the caller's timeout that a submission may take, in percent.
const TIMEOUT_PERCENT: u32 = 70;

/// Age of the last freshness proof above which the store is considered unreachable.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_800);

/// How long a submission waits for the first read of the headers, and the interval of its polls.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(800);
const FIRST_READ_POLL: Duration = Duration::from_millis(10);

/// Retry delay given to the caller of a job that exceeds the quota.
const QUOTA_RETRY: Duration = Duration::from_millis(1_000);

/// Maximum age of the reading behind a refusal, which states that the job will not run.
const CURRENT: Duration = Duration::ZERO;

/// Retry delay given to the caller of a job that could not be stored.
const STORE_RETRY: Duration = Duration::from_millis(300);

impl InlineJobs {
    /// Accepts a job; idempotent by its id.
    pub async fn submit(&self, mut job: SubmittedJob) -> SubmitOutcome {
        let arrived_at = Instant::now();
        let Some(routes) = self.inner.forwarder.routes() else {
            return SubmitOutcome::NoConfiguration;
        };
        let entry = routes.find(&job.host, &job.path);
        let Some(route) = entry.map(|entry| entry.route.clone()) else {
            return SubmitOutcome::NoRoute;
        };
        let forwarder = &self.inner.forwarder;
        let (proof, trust) = (forwarder.proof(), forwarder.key_trust());
        let tenant = match caller_of(&routes, &route, job.key.as_ref(), proof, trust) {
            Ok(tenant) => tenant.map(|tenant| tenant.name.clone()),
            Err(cause) => {
                self.log_submission(&job, &route, "", SubmitOutcome::Denied(cause));
                return SubmitOutcome::Denied(cause);
            }
        };
        if let Err(cause) = validate(&job) {
            return SubmitOutcome::Malformed(cause);
        }
        job.id = scoped_id(tenant.as_deref(), &job.id);
        let tenant = tenant.as_deref().unwrap_or_default();
        let outcome = self.store_job(&job, &route, tenant, arrived_at).await;
        self.log_submission(&job, &route, tenant, outcome);
        outcome
    }

    async fn store_job(
        &self,
        job: &SubmittedJob,
        route: &Route,
        tenant: &str,
        arrived_at: Instant,
    ) -> SubmitOutcome {
        let view = &self.inner.view;
        if view.get(&job.id).is_some() {
            return SubmitOutcome::Accepted;
        }
        if !self.is_view_fresh(arrived_at).await {
            // Nothing was sent, so another daemon may still reach the store.
            return SubmitOutcome::NotStored {
                retry_after: STORE_RETRY,
            };
        }
        let until = arrived_at + max_wait_of(job);
        let request = QuotaRequest {
            route: &route.name,
            tenant,
            job: &job.id,
            tokens: tokens_of(job),
            submission: rand::random(),
        };
        let rows = JobItemsRow {
            items: job.items.iter().map(item_row).collect(),
        };
        loop {
            let fence = match self.reserve(request, route, until).await {
                Reservation::Granted { fence } => fence,
                Reservation::Full => return self.refuse_unless_stored(&job.id).await,
                Reservation::Unreachable => {
                    return SubmitOutcome::NotStored {
                        retry_after: STORE_RETRY,
                    };
                }
            };
            let mut header = self.new_header(job, route, tenant);
            let store = &self.inner.store;
            match store.create(&mut header, &rows, fence, until).await {
                WriteOutcome::Committed { revision } => {
                    self.register_stored(header, rows, revision);
                    return SubmitOutcome::Accepted;
                }
                WriteOutcome::Conflict {
                    current: Some(current),
                } => {
                    self.note_header(*current);
                    return SubmitOutcome::Accepted;
                }
                // The grant is void under the new fence; the next iteration requests the tokens from its coordinator.
                WriteOutcome::Fenced { current } => {
                    if let Some(current) = current {
                        self.inner.view.update_fence(&route.name, current);
                    }
                }
                WriteOutcome::Conflict { current: None } | WriteOutcome::Indeterminate => {
                    return SubmitOutcome::Indeterminate;
                }
                WriteOutcome::NotCommitted => {
                    self.release_quota(request);
                    return SubmitOutcome::NotStored {
                        retry_after: STORE_RETRY,
                    };
                }
            }
        }
    }

    /// True if the local copy is recent enough to count what is queued. Waits briefly for the first read after the
    /// daemon's start.
    async fn is_view_fresh(&self, arrived_at: Instant) -> bool {
        let view = &self.inner.view;
        while view.proof_age().is_none() && arrived_at.elapsed() < FIRST_READ_TIMEOUT {
            sleep(FIRST_READ_POLL).await;
        }
        view.proof_age().is_some_and(|age| age <= MAX_PROOF_AGE)
    }

    fn new_header(&self, job: &SubmittedJob, route: &Route, tenant: &str) -> JobHeadRow {
        let items = job
            .items
            .iter()
            .map(|item| ItemHeadRow {
                id: item.id.clone(),
                tokens: item.tokens,
            })
            .collect();
        let header = JobHeadRow {
            job_id: job.id.clone(),
            route: route.name.clone(),
            host: route.host.clone(),
            items,
            listed: Vec::new(),
            owner: self.inner.instance_id.clone(),
            last_owner: String::new(),
            epoch: 1,
            ended: false,
            accepted_ms: self.inner.view.store_now_ms(),
            item_rows: 0,
            item_object: String::new(),
            tenant: tenant.to_owned(),
            challenger: String::new(),
            failures: Vec::new(),
            takeovers: 0,
            failures_are_complete: true,
            later_fields: Vec::new(),
        };
        if self.is_stopping() {
            released(&header)
        } else {
            header
        }
    }

    /// Registers a stored job, unless it was released to other daemons.
    fn register_stored(&self, header: JobHeadRow, rows: JobItemsRow, revision: u64) {
        let is_owned = self.owns(&header);
        let known = KnownHeader { header, revision };
        // The watch may have delivered the header already and started the load of the items.
        let is_registered = self.registry().jobs.contains_key(&known.header.job_id);
        self.inner.view.update(known.clone());
        if !is_owned || is_registered {
            return;
        }
        let requests: Vec<ServingRequest> = rows
            .items
            .into_iter()
            .map(|row| item_request(row, &known.header))
            .collect();
        match self.inner.item_memory.try_take(bytes_of(&requests)) {
            Some(memory) => {
                let job = OwnedJob::new(known, requests, Vec::new());
                self.register(job.with_memory(memory));
            }
            None => self.load(known),
        }
    }

    /// Refuses a job for its quota, unless another daemon has accepted it already.
    async fn refuse_unless_stored(&self, job_id: &str) -> SubmitOutcome {
        match self.read_header(job_id, Need::Existence, CURRENT).await {
            Lookup::Found(_) => SubmitOutcome::Accepted,
            Lookup::Missing => SubmitOutcome::QuotaExceeded {
                retry_after: QUOTA_RETRY,
            },
            Lookup::Unavailable => SubmitOutcome::NotStored {
                retry_after: STORE_RETRY,
            },
        }
    }

    fn log_submission(
        &self,
        job: &SubmittedJob,
        route: &Route,
        tenant: &str,
        outcome: SubmitOutcome,
    ) {
        let name = match outcome {
            SubmitOutcome::Accepted => "accepted",
            SubmitOutcome::QuotaExceeded { .. } => "does_not_fit",
            SubmitOutcome::NotStored { .. } => "not_kept",
            SubmitOutcome::Indeterminate => "in_doubt",
            SubmitOutcome::Malformed(cause) => cause,
            SubmitOutcome::NoRoute => "no_route",
            SubmitOutcome::NoConfiguration => "no_configuration",
            SubmitOutcome::Denied(cause) => cause.name(),
        };
        let known = self.inner.view.get(&job.id);
        self.inner.log.record(&Record::JobSubmitted {
            job: &job.id,
            outcome: name,
            items: job.items.len(),
            tenant,
            waiting_tokens: self.inner.view.waiting_tokens(&route.name, tenant),
            revision: known.map_or(0, |known| known.revision),
        });
    }
}

/// Returns how long a submission may take.
fn max_wait_of(job: &SubmittedJob) -> Duration {
    job.timeout.map_or(MAX_WAIT, |timeout| {
        (timeout * TIMEOUT_PERCENT / 100).min(MAX_WAIT)
    })
}

fn tokens_of(job: &SubmittedJob) -> u64 {
    sum_of_tokens(job.items.iter().map(|item| item.tokens))
}

fn validate(job: &SubmittedJob) -> Result<(), &'static str> {
    if !keys::is_usable_id(&job.id) {
        return Err("the job's id must be 1 to 120 letters, digits, '-', '_' or '.'");
    }
    if job.items.is_empty() {
        return Err("a job needs an item");
    }
    if job.items.len() > MAX_JOB_ITEMS {
        return Err("a job has 200 items at most");
    }
    let mut ids: Vec<&str> = job.items.iter().map(|item| item.id.as_str()).collect();
    ids.sort_unstable();
    if ids.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err("two items have the same id");
    }
    Ok(())
}
