//! The jobs of one daemon: shared state, reactions to header changes, load and handover.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{ObjectStore, Table, WatchedTable};
use harrierward_memory::{FairMemory, FairPermit, MemoryBudget};
use harrierward_ownership::OwnerStatus;
use harrierward_serving::{CallerLimits, Forwarder, ServingRequest};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{JobFailures, JobHeadRow, QuotaOutcome};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use crate::adoption_order::last_owner;
use crate::job_memory::{bytes_of, bytes_to_read};
use crate::keys::JOB_HEADERS;
use crate::owned_job::OwnedJob;
use crate::quota_ledger::{QuotaLedger, QuotaRequest};
use crate::registry::JobRegistry;
use crate::reported_failures::ReportedFailures;
use crate::store::{JobStore, parse_header};
use crate::takeover::JobTakeovers;
use crate::view::{JobView, KnownHeader};

/// The other daemons of the fleet, as the membership protocol shows them.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Returns the instance ids of the daemons that may own jobs, this one included; `None` until the membership has
    /// settled.
    fn owners(&self) -> Option<Vec<String>>;

    /// Returns those of [`Self::owners`] in one of these regions, which may read the bodies of jobs restricted to
    /// them.
    fn owners_in(&self, regions: &AllowedRegions) -> Option<Vec<String>> {
        match regions {
            AllowedRegions::Any => self.owners(),
            AllowedRegions::Only(_) => Some(Vec::new()),
        }
    }

    /// Returns this daemon's view of the owner of a job.
    fn owner_status(&self, owner: &str) -> OwnerStatus;

    /// Returns the daemons that may own jobs in the region of `owner`, which may be dead; empty if its region is
    /// unknown.
    fn owners_near(&self, owner: &str) -> Vec<String>;

    /// Requests a job's tokens from the coordinator of its route's quota. Returns the outcome and the fence of a
    /// grant; `None` without a reply.
    async fn request_quota(
        &self,
        coordinator: &str,
        request: QuotaRequest<'_>,
    ) -> Option<(QuotaOutcome, u64)>;

    /// Notifies the coordinator that a submission will certainly not be stored. Does not wait for delivery.
    fn release_quota(&self, coordinator: &str, request: QuotaRequest<'_>);

    /// Reports failures that the store may not hold to the daemon `recipient`. Does not wait for delivery.
    fn report_failures(&self, recipient: &str, jobs: Vec<JobFailures>);
}

/// Bounds of jobs, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct JobSettings {
    /// How long a job stays readable after it was accepted.
    pub retention: Duration,
    /// Time after an acknowledged cancellation from which none of the job's items may start.
    pub cancel_within: Duration,
    /// Bytes that the items of this daemon's jobs may take.
    pub item_bytes: usize,
}

/// Dependencies of [`InlineJobs`].
pub struct JobParts {
    /// Id of this daemon instance; unique in the fleet.
    pub instance_id: String,
    /// Rows of the store.
    pub table: Arc<dyn Table>,
    /// Objects of the store, for items too large for rows.
    pub objects: Arc<dyn ObjectStore>,
    /// Consistent reads and watches of the same rows.
    pub watched: Arc<dyn WatchedTable>,
    /// Sends items to replicas, and holds the current configuration.
    pub forwarder: Forwarder,
    /// The other daemons.
    pub peers: Arc<dyn Peers>,
    /// Receives the records of decisions.
    pub log: DecisionLog,
    /// Memory for callers' requests, of which responses that are built whole take theirs.
    pub memory: MemoryBudget,
    /// Bounds of time and memory.
    pub settings: JobSettings,
}

pub(crate) struct Inner {
    pub instance_id: String,
    pub store: JobStore,
    pub view: JobView,
    pub registry: Mutex<JobRegistry>,
    pub forwarder: Forwarder,
    pub peers: Arc<dyn Peers>,
    pub log: DecisionLog,
    pub settings: JobSettings,
    pub item_memory: FairMemory,
    pub memory: MemoryBudget,
    pub takeovers: Mutex<JobTakeovers>,
    pub wake: Notify,
    pub stopping: AtomicBool,
    pub quotas: Mutex<QuotaLedger>,
    pub reported_failures: Mutex<ReportedFailures>,
    /// Serializes the writes of fences.
    pub fencing: tokio::sync::Mutex<()>,
}

/// The inline jobs of one daemon; cheap to clone.
#[derive(Clone)]
pub struct InlineJobs {
    pub(crate) inner: Arc<Inner>,
}

/// Margin of the cancellation bound for runs that are being started.
const CANCEL_MARGIN: Duration = Duration::from_millis(700);

impl InlineJobs {
    /// Creates the service. Nothing runs until [`InlineJobs::run`] is polled.
    pub fn new(parts: JobParts) -> Self {
        let inner = Inner {
            instance_id: parts.instance_id,
            store: JobStore::new(parts.table, parts.objects, parts.watched),
            view: JobView::default(),
            registry: Mutex::default(),
            forwarder: parts.forwarder,
            peers: parts.peers,
            log: parts.log,
            settings: parts.settings,
            item_memory: FairMemory::new(parts.settings.item_bytes),
            memory: parts.memory,
            takeovers: Mutex::default(),
            wake: Notify::new(),
            stopping: AtomicBool::new(false),
            quotas: Mutex::default(),
            reported_failures: Mutex::default(),
            fencing: tokio::sync::Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the local copy of the job headers.
    pub fn view(&self) -> &JobView {
        &self.inner.view
    }

    pub(crate) fn quotas(&self) -> MutexGuard<'_, QuotaLedger> {
        self.inner
            .quotas
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reported_failures(&self) -> MutexGuard<'_, ReportedFailures> {
        self.inner
            .reported_failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn registry(&self) -> MutexGuard<'_, JobRegistry> {
        self.inner
            .registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }

    /// True unless this daemon is stopping, or there is no freshness proof, or the last one is so old that the local
    /// copy may lack a cancellation acknowledged longer than [`JobSettings::cancel_within`] ago.
    pub(crate) fn may_start_runs(&self) -> bool {
        let bound = self.inner.settings.cancel_within;
        let bound = bound.saturating_sub(CANCEL_MARGIN);
        let age = self.inner.view.proof_age();
        !self.is_stopping() && age.is_some_and(|age| age < bound)
    }

    /// Returns the regions in which a job's items may run and its bodies be read; `None` without a configuration.
    pub(crate) fn regions_of(&self, route: &str, tenant: &str) -> Option<AllowedRegions> {
        let routes = self.inner.forwarder.routes()?;
        Some(routes.configuration.allowed_regions(route, tenant))
    }

    pub(crate) fn owns(&self, header: &JobHeadRow) -> bool {
        header.owner == self.inner.instance_id
    }

    /// Applies a header that was read or written, unless a newer one is known.
    pub fn note_header(&self, known: KnownHeader) {
        if let Some(change) = self.inner.view.update(known) {
            if !change.known.is_open() {
                self.reported_failures().remove(&change.known.header.job_id);
            }
            self.note_owners(&change);
            self.header_changed(&change.known);
        }
    }

    /// Decodes and applies the row of a header. Returns false, and ignores the row, if it is malformed.
    pub fn note_header_row(&self, value: &Bytes, revision: u64) -> bool {
        let header = parse_header(value);
        let is_readable = header.is_some();
        if let Some(header) = header {
            self.note_header(KnownHeader { header, revision });
        }
        is_readable
    }

    /// Updates the registry for a newer header: loads, updates or drops the job.
    pub fn header_changed(&self, known: &KnownHeader) {
        let job_id = &known.header.job_id;
        let mut registry = self.registry();
        let Some(job) = registry.jobs.get_mut(job_id) else {
            drop(registry);
            if self.owns(&known.header) && known.is_open() && !self.is_stopping() {
                self.load(known.clone());
            }
            return;
        };
        if job.known.revision >= known.revision {
            return;
        }
        let before = job.known.header.clone();
        let is_lost = !self.owns(&known.header) || known.header.epoch != before.epoch;
        if known.is_open() && !is_lost {
            job.update_header(known.clone());
            return;
        }
        job.stop_runs();
        let unrecorded = JobFailures {
            job_id: job_id.clone(),
            failures: job.unrecorded_failures(),
            age_ms: 0,
        };
        registry.jobs.remove(job_id);
        drop(registry);
        let (outcome, reason) = match known.header.owner.as_str() {
            _ if !is_lost => ("closed", ""),
            "" => ("released", ""),
            other => ("lost", other),
        };
        if outcome == "lost" {
            self.takeovers().note_challenged();
            self.report_failures_to_new_owner(reason, unrecorded);
        }
        self.log_ownership(&before, &known.header, outcome, reason);
    }

    /// Drops a job whose row was removed from the store.
    pub fn header_removed(&self, job_id: &str) {
        self.inner.view.remove(job_id);
        self.reported_failures().remove(job_id);
        if let Some(mut job) = self.registry().jobs.remove(job_id) {
            job.stop_runs();
        }
    }

    pub(crate) fn log_ownership(
        &self,
        before: &JobHeadRow,
        header: &JobHeadRow,
        outcome: &str,
        reason: &str,
    ) {
        self.inner.log.record(&Record::JobOwnership {
            job: &header.job_id,
            outcome,
            epoch: header.epoch,
            owner_before: last_owner(before),
            epoch_before: before.epoch,
            reason,
            owners_known: self.inner.peers.owners().map_or(0, |owners| owners.len()),
        });
    }

    /// Registers a job whose items are loaded.
    pub(crate) fn register(&self, job: OwnedJob) {
        let job_id = job.known.header.job_id.clone();
        let mut registry = self.registry();
        registry.jobs.entry(job_id.clone()).or_insert(job);
        drop(registry);
        self.apply_reported_failures(&job_id);
        // The header may have changed while the items were read; later changes find the job registered.
        if let Some(newest) = self.inner.view.get(&job_id) {
            self.header_changed(&newest);
        }
        self.inner.wake.notify_one();
    }

    /// Starts the load of a job's items, unless one is in flight.
    pub(crate) fn load(&self, known: KnownHeader) {
        if !self.takeovers().begin_load(&known.header.job_id) {
            return;
        }
        let jobs = self.clone();
        tokio::spawn(async move {
            let job_id = known.header.job_id.clone();
            jobs.read_and_register(known).await;
            jobs.takeovers().end_load(&job_id);
            // The job may have been lost and regained during the load, which stops at the loss.
            if let Some(newest) = jobs.inner.view.get(&job_id) {
                jobs.header_changed(&newest);
            }
        });
    }

    async fn read_and_register(&self, known: KnownHeader) {
        let store = &self.inner.store;
        loop {
            let current = self.inner.view.get(&known.header.job_id);
            let current = current.unwrap_or_else(|| known.clone());
            let Some(mut memory) = self.memory_to_read(&current).await else {
                return;
            };
            // The job may have been lost or closed while it waited for memory.
            let current = self.inner.view.get(&known.header.job_id);
            let current = current.unwrap_or_else(|| known.clone());
            if !self.may_load(&current) {
                return;
            }
            self.takeovers().note_read_begins(&current.header.job_id);
            let items = store.read_items(&current.header).await;
            let progress = store.read_progress(&current.header.job_id).await;
            if let (Ok(items), Ok(progress)) = (items, progress) {
                let requests: Vec<ServingRequest> = items
                    .items
                    .into_iter()
                    .map(|row| crate::model::item_request(row, &current.header))
                    .collect();
                let attempts = self.attempts_of(&current.header.route);
                memory.shrink_to(bytes_of(&requests));
                let mut job = OwnedJob::new(current, requests, progress).with_memory(memory);
                self.inner.log.record(&job.load_record());
                job.fail_exhausted_items(attempts);
                self.register(job);
                return;
            }
            drop(memory);
            sleep(LOAD_RETRY_PAUSE).await;
        }
    }

    /// True if this daemon should read the items of a job.
    fn may_load(&self, known: &KnownHeader) -> bool {
        self.owns(&known.header) && known.is_open() && !self.is_stopping()
    }

    /// Waits for the memory that it takes to read a job's items; `None` if they are not to be read.
    async fn memory_to_read(&self, known: &KnownHeader) -> Option<FairPermit> {
        if !self.may_load(known) {
            return None;
        }
        let bytes = self.bytes_to_read(&known.header);
        let memory = &self.inner.item_memory;
        if let Some(permit) = memory.try_take(bytes) {
            return Some(permit);
        }
        self.inner.log.record(&Record::JobWaitsForMemory {
            job: &known.header.job_id,
            bytes,
            taken_bytes: memory.taken(),
        });
        memory.take(bytes).await
    }

    /// Returns an upper bound of the bytes that it takes to read a job's items.
    pub(crate) fn bytes_to_read(&self, header: &JobHeadRow) -> usize {
        let limits = self.inner.forwarder.routes();
        let limits =
            limits.map_or_else(CallerLimits::default, |routes| routes.configuration.limits);
        bytes_to_read(header, limits.body_bytes)
    }

    /// Runs items, adoption, reads of own headers, reports of failures and removal until the process ends.
    pub async fn run(self) {
        tokio::join!(
            self.clone().run_items(),
            self.clone().run_adoption(),
            self.clone().run_own_header_reads(),
            self.clone().run_failure_reports(),
            self.clone().run_removal()
        );
    }

    /// Waits for the responses of items that replicas have received: one that is aborted may have failed, and would not
    /// be counted. Starts no further runs.
    async fn finish_exchanges(&self, until: Instant) {
        let until = until.min(Instant::now() + RESPONSE_WAIT);
        for job in self.registry().jobs.values_mut() {
            job.stop_placements();
        }
        while Instant::now() < until && self.awaits_response() {
            sleep(RESPONSE_POLL).await;
        }
    }

    fn awaits_response(&self) -> bool {
        let registry = self.registry();
        registry.jobs.values().any(OwnedJob::awaits_response)
    }

    /// Releases all jobs to other daemons; returns at `until` at the latest.
    pub async fn hand_over_all(&self, until: Instant) {
        self.inner.stopping.store(true, Ordering::Relaxed);
        self.finish_exchanges(until).await;
        let mut released_jobs = Vec::new();
        {
            let mut registry = self.registry();
            for job in registry.jobs.values_mut() {
                released_jobs.push((job.known.clone(), job.stop_for_handover()));
            }
        }
        self.report_failures_at_stop();
        let handovers = released_jobs
            .into_iter()
            .map(|(known, state)| self.hand_over(known, state, "stopping", until));
        // A write may have no response by `until`; the other daemons then adopt the job once this one has departed.
        let finished = timeout_at(until, futures::future::join_all(handovers)).await;
        if finished.is_err() {
            self.inner.log.record(&Record::DependencyLost {
                dependency: JOB_HEADERS,
                cause: "no answer while jobs were handed over",
            });
        }
    }
}

/// Pause before a failed load is retried.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for responses on their way when a stop begins: more than a round trip between regions, and short beside the
/// grace period.
const RESPONSE_WAIT: Duration = Duration::from_millis(200);

/// Interval at which outstanding responses are checked.
const RESPONSE_POLL: Duration = Duration::from_millis(5);
