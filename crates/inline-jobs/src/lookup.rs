//! Reads of results and item bodies, and cancellation of jobs, at any daemon.

use std::time::Duration;

use bytes::Bytes;
use harrierward_decisions::Record;
use harrierward_memory::Permit;
use harrierward_serving::{RefusalCause, tenant_of};
use harrierward_tenants::ApiKey;
use tokio::time::{Instant, timeout};

use crate::header_lookup::{Need, milliseconds};
use crate::job_memory::{bytes_of_results, bytes_to_read_results};
use crate::model::{CancelOutcome, JobCaller, JobResult, Lookup, ResultPage, scoped_id};
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::KnownHeader;

/// Age up to which the local copy serves reads where staleness is harmless: an item's body, or a header that a
/// cancellation replaces under its revision.
const MAX_COPY_AGE: Duration = Duration::from_millis(1_300);

/// Forces a read of the store. A recent freshness proof does not cover changes that the watch omitted; only the row
/// itself proves that nothing is listed.
const READ_STORE: Duration = Duration::ZERO;

/// Age up to which a reading of the store proves that a job is missing or a result unlisted. What one daemon has
/// returned is visible at all within a second; the rest is for the responses' way.
const MAX_READING_AGE: Duration = Duration::from_millis(800);

/// Age of the last freshness proof up to which a long poll waits for the watch. Above it, the store is read at once.
const MAX_PROOF_AGE: Duration = MAX_COPY_AGE;

/// Text per page of results, in bytes; a page may have 1 MB.
const PAGE_BYTES: usize = 700_000;

/// How long a cancellation is retried.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// True if a header of any age suffices for a response: it lists a result at `after`, or no more results will be
/// listed, because the list is complete or the job is cancelled.
fn is_conclusive(known: &KnownHeader, after: u32) -> bool {
    known.lists_beyond(after) || !known.is_open()
}

impl InlineJobs {
    /// True if the last freshness proof is younger than `max_age`.
    fn is_proven_within(&self, max_age: Duration) -> bool {
        self.inner.view.proof_age().is_some_and(|age| age < max_age)
    }

    /// Returns the header from the local copy if the last freshness proof is younger than `max_age`, else from the
    /// store.
    async fn find(&self, job_id: &str, max_age: Duration) -> Lookup<KnownHeader> {
        let is_fresh = self.is_proven_within(max_age);
        if let Some(known) = self.inner.view.get(job_id).filter(|_| is_fresh) {
            return Lookup::Found(known);
        }
        let need = if max_age == READ_STORE {
            Need::Listing
        } else {
            Need::Existence
        };
        self.read_header(job_id, need, MAX_READING_AGE).await
    }

    /// Returns the caller that a key identifies.
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

    /// Returns the header of a job visible to the caller. Jobs without a tenant, accepted without tenants configured
    /// or on a route that requires no key, are visible to all.
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
        match self.find(&scoped_id(None, id), max_age).await {
            Lookup::Found(known) if !known.header.tenant.is_empty() => Lookup::Missing,
            found => found,
        }
    }

    /// Returns results from position `after` on; waits up to `wait` for one.
    ///
    /// Results are append-only, so a stale header may prove that a result exists. An empty page requires a read of
    /// the store's row that began after the request, unless the list is complete or the job is cancelled.
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
                MAX_PROOF_AGE
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

    /// Returns a page if the local copy has received a result while the store could not be read.
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
        self.inner.log.record(&Record::ListingAsked {
            job,
            position,
            proof_age_ms: proof_age.map(milliseconds),
            outcome,
        });
    }

    /// Returns the caller's job if the local copy suffices for a response from `after` on.
    fn conclusive_header(&self, caller: &JobCaller, id: &str, after: u32) -> Option<KnownHeader> {
        let view = &self.inner.view;
        let of_tenant = match caller {
            JobCaller::Tenant(tenant) => view.get(&scoped_id(Some(tenant), id)),
            JobCaller::Anyone | JobCaller::Refused(_) => None,
        };
        let without_tenant = || {
            let known = view.get(&scoped_id(None, id));
            known.filter(|known| known.header.tenant.is_empty())
        };
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
                memory: None,
            });
        }
        let listed = header.listed.len().saturating_sub(after as usize);
        let bytes = bytes_to_read_results(listed, PAGE_BYTES);
        let Some(mut memory) = self.memory_for_response(&header.job_id, bytes).await else {
            return Lookup::Unavailable;
        };
        let read = self
            .inner
            .store
            .read_results(&header.job_id, after, PAGE_BYTES)
            .await;
        let Ok(read) = read else {
            return Lookup::Unavailable;
        };
        // Rows may be newer than the header, or a stale read older; only results present in both are returned.
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
        memory.shrink_to(bytes_of_results(&results));
        Lookup::Found(ResultPage {
            total: header.items.len(),
            next: after + u32::try_from(results.len()).unwrap_or_default(),
            results,
            memory: Some(memory),
        })
    }

    /// Takes the memory for what a response reads from the store; `None`, which is logged, if there is none.
    async fn memory_for_response(&self, job_id: &str, bytes: usize) -> Option<Permit> {
        let memory = &self.inner.memory;
        let taken = memory.take(bytes).await;
        if taken.is_err() {
            self.inner.log.record(&Record::ReadWithoutMemory {
                job: job_id,
                bytes,
                held_bytes: memory.taken(),
            });
        }
        taken.ok()
    }

    /// Returns the body of an item; `Missing` once its job is cancelled.
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
        let bytes = self.bytes_to_read(&known.header);
        let job_id = &known.header.job_id;
        let Some(mut memory) = self.memory_for_response(job_id, bytes).await else {
            return Lookup::Unavailable;
        };
        let Ok(items) = self.inner.store.read_items(&known.header).await else {
            return Lookup::Unavailable;
        };
        let found = items.items.into_iter().find(|item| item.id == item_id);
        found.map_or(Lookup::Missing, |item| {
            memory.shrink_to(item.body.len());
            Lookup::Found(memory.hold(item.body))
        })
    }

    /// Cancels a job. A daemon that has not received the change may still start items until
    /// [`JobSettings::cancel_within`](crate::JobSettings::cancel_within) after the response.
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
                // Only the creation of a job is conditional on a fence.
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
