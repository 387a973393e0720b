//! Reading results and items, and ending jobs, at any daemon.

use std::time::Duration;

use bytes::Bytes;
use harrierward_decisions::Record;
use harrierward_serving::{RefusalCause, tenant_of};
use harrierward_tenants::ApiKey;
use tokio::time::{Instant, timeout};

use crate::model::{CancelOutcome, JobCaller, JobResult, Lookup, ResultPage, scoped_id};
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::KnownHeader;

/// Age up to which this daemon's copy of a head is as good as the store's for what no caller can have seen change: an
/// item's body, the head that an end replaces under its revision.
const MAX_COPY_AGE: Duration = Duration::from_millis(1_300);

/// No copy is young enough: the store's row itself is read. A feed proves that the store answers, not that it told of all
/// changes, and only the row says that nothing is listed (one read a look that ends empty).
const READ_STORE: Duration = Duration::ZERO;

/// Age up to which the feed of the heads counts as alive, so that a held read waits for it. Beyond that, the store is
/// asked at once.
const MAX_FEED_AGE: Duration = MAX_COPY_AGE;

/// Text of one page of results, bytes; a page has 1 MB at most.
const PAGE_BYTES: usize = 700_000;

/// Longest time for which an end is tried.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// True if a head of any age tells what to answer from a position on: a result there, or that the list never grows again.
fn is_conclusive(known: &KnownHeader, after: u32) -> bool {
    known.lists_beyond(after) || !known.is_open()
}

impl InlineJobs {
    /// True if this daemon's copy of the heads was proven less than `max_age` ago.
    fn is_proven_within(&self, max_age: Duration) -> bool {
        self.inner.view.proof_age().is_some_and(|age| age < max_age)
    }

    /// The head, from this daemon's copy if that is younger than `max_age`, else from the store.
    async fn find(&self, job_id: &str, max_age: Duration) -> Lookup<KnownHeader> {
        let is_fresh = self.is_proven_within(max_age);
        match self.inner.view.get(job_id).filter(|_| is_fresh) {
            Some(known) => Lookup::Found(known),
            None => self.read_header(job_id).await,
        }
    }

    /// The head as the store has it. A reading that is older than what this daemon has heard of the store says neither that
    /// there is no such job, nor what it does not list yet.
    pub(crate) async fn read_header(&self, job_id: &str) -> Lookup<KnownHeader> {
        let view = &self.inner.view;
        let newest = view.newest_revision();
        let Ok(reading) = self.inner.store.read_header(job_id).await else {
            return Lookup::Unavailable;
        };
        if let Some(known) = reading.header {
            self.note_header(known);
        }
        if reading.revision < newest {
            self.inner.log.record(&Record::ReadOutdated {
                job: job_id,
                revision: reading.revision,
                newest_revision: newest,
            });
            return Lookup::Unavailable;
        }
        view.note_revision(reading.revision);
        view.get(job_id).map_or(Lookup::Missing, Lookup::Found)
    }

    /// Who asks with this key.
    pub fn caller(&self, key: Option<&ApiKey>) -> JobCaller {
        let forwarder = &self.inner.forwarder;
        let Some(routes) = forwarder.routes() else {
            return JobCaller::Refused(RefusalCause::NoConfiguration);
        };
        match tenant_of(&routes, key, forwarder.proof(), forwarder.key_trust()) {
            Ok(None) => JobCaller::Anyone,
            Ok(Some(tenant)) => JobCaller::Tenant(tenant.name.clone()),
            Err(cause) => JobCaller::Refused(cause),
        }
    }

    /// The head of a job that the caller may know of. Jobs of nobody, accepted while there were no tenants or on a
    /// route that asks for no key, are for all.
    async fn find_for(
        &self,
        caller: &JobCaller,
        id: &str,
        max_age: Duration,
    ) -> Lookup<KnownHeader> {
        if let JobCaller::Tenant(tenant) = caller {
            let found = self.find(&scoped_id(Some(tenant), id), max_age).await;
            if found != Lookup::Missing {
                return found;
            }
        }
        match self.find(id, max_age).await {
            Lookup::Found(known) if !known.header.tenant.is_empty() => Lookup::Missing,
            found => found,
        }
    }

    /// Results from position `after` on; waits up to `wait` for one.
    ///
    /// Positions are only added, so a copy of any age may show what it lists. That nothing is listed is said only by the
    /// store's row, read after the question came, or of a job whose list never grows again.
    pub async fn results(
        &self,
        caller: &JobCaller,
        id: &str,
        after: u32,
        wait: Duration,
    ) -> Lookup<ResultPage> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.inner.view.changed();
            let left = until.saturating_duration_since(Instant::now());
            if let Some(known) = self.conclusive_header(caller, id, after) {
                return self.page(&known, after).await;
            }
            let max_age = if left.is_zero() {
                READ_STORE
            } else {
                MAX_FEED_AGE
            };
            let proof_age = self.inner.view.proof_age();
            let found = self.find_for(caller, id, max_age).await;
            if proof_age.is_none_or(|age| age >= max_age) {
                self.log_listing_read(id, after, proof_age, &found);
            }
            let known = match found {
                Lookup::Found(known) => known,
                Lookup::Missing => return Lookup::Missing,
                Lookup::Unavailable => return self.page_from_copy(caller, id, after).await,
            };
            if is_conclusive(&known, after) || left.is_zero() {
                return self.page(&known, after).await;
            }
            let _ = timeout(left, changed).await;
        }
    }

    /// What could not be asked anew may still be known: the copy may have learnt of a result meanwhile.
    async fn page_from_copy(&self, caller: &JobCaller, id: &str, after: u32) -> Lookup<ResultPage> {
        match self.conclusive_header(caller, id, after) {
            Some(known) => self.page(&known, after).await,
            None => Lookup::Unavailable,
        }
    }

    fn log_listing_read(
        &self,
        job: &str,
        position: u32,
        proof_age: Option<Duration>,
        found: &Lookup<KnownHeader>,
    ) {
        let outcome = match found {
            Lookup::Found(known) if known.lists_beyond(position) => "more",
            Lookup::Found(_) => "nothing",
            Lookup::Missing => "missing",
            Lookup::Unavailable => "unsure",
        };
        let milliseconds = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.inner.log.record(&Record::ListingAsked {
            job,
            position,
            proof_age_ms: proof_age.map(milliseconds),
            outcome,
        });
    }

    /// The caller's job, if this daemon's copy says all there is to say now from `after` on.
    fn conclusive_header(&self, caller: &JobCaller, id: &str, after: u32) -> Option<KnownHeader> {
        let view = &self.inner.view;
        let of_tenant = match caller {
            JobCaller::Tenant(tenant) => view.get(&scoped_id(Some(tenant), id)),
            JobCaller::Anyone | JobCaller::Refused(_) => None,
        };
        let without_tenant = || view.get(id).filter(|known| known.header.tenant.is_empty());
        let known = of_tenant.or_else(without_tenant)?;
        is_conclusive(&known, after).then_some(known)
    }

    async fn page(&self, known: &KnownHeader, after: u32) -> Lookup<ResultPage> {
        let header = &known.header;
        if !known.lists_beyond(after) {
            return Lookup::Found(ResultPage {
                total: header.items.len(),
                next: after,
                results: Vec::new(),
            });
        }
        let read = self
            .inner
            .store
            .read_results(&header.job_id, after, PAGE_BYTES)
            .await;
        let Ok(read) = read else {
            return Lookup::Unavailable;
        };
        // Rows may be newer than the head, or a stale read older; only what both tell is given out.
        let items = header.listed.iter().skip(after as usize);
        let results: Vec<JobResult> = items
            .zip(read)
            .filter_map(|(number, result)| {
                let item = header.items.get(*number as usize)?;
                Some(JobResult {
                    item: item.id.clone(),
                    failed: result.failed,
                    text: result.text,
                })
            })
            .collect();
        if results.is_empty() {
            return Lookup::Unavailable;
        }
        Lookup::Found(ResultPage {
            total: header.items.len(),
            next: after + u32::try_from(results.len()).unwrap_or_default(),
            results,
        })
    }

    /// The body of an item of a job that has not ended.
    pub async fn item_body(&self, caller: &JobCaller, id: &str, item_id: &str) -> Lookup<Bytes> {
        let known = match self.find_for(caller, id, MAX_COPY_AGE).await {
            Lookup::Found(known) => known,
            Lookup::Missing => return Lookup::Missing,
            Lookup::Unavailable => return Lookup::Unavailable,
        };
        if known.header.ended {
            return Lookup::Missing;
        }
        if let Some(job) = self.registry().jobs.get(&known.header.job_id) {
            let item = job.items.iter().find(|item| item.request.id == item_id);
            if let Some(item) = item {
                return Lookup::Found(item.request.body.clone());
            }
        }
        let Ok(items) = self.inner.store.read_items(&known.header).await else {
            return Lookup::Unavailable;
        };
        let found = items.items.into_iter().find(|item| item.id == item_id);
        found.map_or(Lookup::Missing, |item| {
            Lookup::Found(Bytes::from(item.body))
        })
    }

    /// Ends a job: nothing of it starts any more.
    pub async fn cancel(&self, caller: &JobCaller, id: &str) -> CancelOutcome {
        let outcome = self.try_cancel(caller, id).await;
        let name = match outcome {
            CancelOutcome::Cancelled => "ended",
            CancelOutcome::Missing => "missing",
            CancelOutcome::NotCancelled => "not_done",
            CancelOutcome::Indeterminate => "in_doubt",
        };
        self.inner.log.record(&Record::JobEnded {
            job: id,
            outcome: name,
        });
        outcome
    }

    async fn try_cancel(&self, caller: &JobCaller, id: &str) -> CancelOutcome {
        let until = Instant::now() + CANCEL_TIMEOUT;
        let mut known = match self.find_for(caller, id, MAX_COPY_AGE).await {
            Lookup::Found(known) => known,
            Lookup::Missing => return CancelOutcome::Missing,
            Lookup::Unavailable => return CancelOutcome::NotCancelled,
        };
        loop {
            if known.header.ended {
                return CancelOutcome::Cancelled;
            }
            let mut header = known.header.clone();
            header.ended = true;
            let written = self
                .inner
                .store
                .replace_header(known.revision, &header, until)
                .await;
            match written {
                WriteOutcome::Committed { revision } => {
                    self.note_header(KnownHeader { header, revision });
                    return CancelOutcome::Cancelled;
                }
                WriteOutcome::Conflict {
                    current: Some(current),
                } => {
                    self.note_header(KnownHeader::clone(&current));
                    known = *current;
                }
                WriteOutcome::Conflict { current: None } => return CancelOutcome::Missing,
                // Only new jobs are written under a fence.
                WriteOutcome::NotCommitted | WriteOutcome::Fenced { .. } => {
                    return CancelOutcome::NotCancelled;
                }
                WriteOutcome::Indeterminate => return CancelOutcome::Indeterminate,
            }
            if Instant::now() >= until {
                return CancelOutcome::NotCancelled;
            }
        }
    }
}
