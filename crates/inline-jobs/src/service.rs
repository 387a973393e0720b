//! The jobs of one daemon: shared state, and what happens when a head changes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{ObjectStore, Table, WatchedTable};
use harrierward_ownership::OwnerStatus;
use harrierward_serving::Forwarder;
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{JobHeadRow, QuotaOutcome, decode_head};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::adoption_order::last_owner;
use crate::book::JobBook;
use crate::keys::HEADS;
use crate::owned_job::OwnedJob;
use crate::quota_book::{QuotaBook, QuotaRequest};
use crate::store::JobStore;
use crate::takeover::JobTakeovers;
use crate::view::{JobView, KnownHead};

/// Other daemons, as far as the jobs need them.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Lives of the daemons that may own jobs, this one among them; `None` while this daemon has not yet heard of
    /// the others.
    fn owners(&self) -> Option<Vec<String>>;

    /// Those of them that are in one of these regions: they may read the bodies of jobs that are to stay there.
    fn owners_in(&self, regions: &AllowedRegions) -> Option<Vec<String>> {
        match regions {
            AllowedRegions::Any => self.owners(),
            AllowedRegions::Only(_) => Some(Vec::new()),
        }
    }

    /// How this daemon sees another one that owns a job.
    fn standing(&self, owner: &str) -> OwnerStatus;

    /// Of those, the ones in the region of a daemon that may have died; empty if its region is not known.
    fn owners_near(&self, owner: &str) -> Vec<String>;

    /// Asks another daemon, the coordinator of a route's quota, for a job's tokens: what became of it, and the fence of a
    /// grant. `None` if it does not answer.
    async fn ask_quota(
        &self,
        coordinator: &str,
        request: QuotaRequest<'_>,
    ) -> Option<(QuotaOutcome, u64)>;

    /// Tells the coordinator that a job will certainly not be kept. Does not wait.
    fn return_quota(&self, coordinator: &str, request: QuotaRequest<'_>);
}

/// Bounds of the jobs.
#[derive(Debug, Clone, Copy)]
pub struct JobSettings {
    /// How long a job stays readable after it was accepted.
    pub keep: Duration,
    /// Time after an acknowledged end within which nothing of the job may start any more.
    pub cancel_within: Duration,
}

/// What the jobs work with.
pub struct JobParts {
    /// This life of the daemon.
    pub life: String,
    /// The store's rows.
    pub table: Arc<dyn Table>,
    /// The store's objects.
    pub objects: Arc<dyn ObjectStore>,
    /// The store's rows, watched.
    pub watched: Arc<dyn WatchedTable>,
    /// The path to replicas.
    pub forwarder: Forwarder,
    /// Other daemons.
    pub peers: Arc<dyn Peers>,
    /// Decision log.
    pub log: DecisionLog,
    /// Settings.
    pub settings: JobSettings,
}

pub(crate) struct Inner {
    pub life: String,
    pub store: JobStore,
    pub view: JobView,
    pub book: Mutex<JobBook>,
    pub forwarder: Forwarder,
    pub peers: Arc<dyn Peers>,
    pub log: DecisionLog,
    pub settings: JobSettings,
    pub takeovers: Mutex<JobTakeovers>,
    pub wake: Notify,
    pub stopping: AtomicBool,
    pub quotas: Mutex<QuotaBook>,
    /// Held while a fence is written.
    pub fencing: tokio::sync::Mutex<()>,
}

/// The inline jobs of one daemon; cheap to clone.
#[derive(Clone)]
pub struct InlineJobs {
    pub(crate) inner: Arc<Inner>,
}

/// Part of the cancel bound that is kept for what is under way.
const CANCEL_RESERVE: Duration = Duration::from_millis(700);

impl InlineJobs {
    /// Jobs over these parts. Nothing runs until [`InlineJobs::run`] is driven.
    pub fn new(parts: JobParts) -> Self {
        let inner = Inner {
            life: parts.life,
            store: JobStore::new(parts.table, parts.objects, parts.watched),
            view: JobView::default(),
            book: Mutex::default(),
            forwarder: parts.forwarder,
            peers: parts.peers,
            log: parts.log,
            settings: parts.settings,
            takeovers: Mutex::default(),
            wake: Notify::new(),
            stopping: AtomicBool::new(false),
            quotas: Mutex::default(),
            fencing: tokio::sync::Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The heads as this daemon knows them.
    pub fn view(&self) -> &JobView {
        &self.inner.view
    }

    pub(crate) fn quotas(&self) -> MutexGuard<'_, QuotaBook> {
        self.inner
            .quotas
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, JobBook> {
        self.inner
            .book
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }

    /// True if no end of a job can have been acknowledged so long ago that its items must not start any more.
    pub(crate) fn may_start_runs(&self) -> bool {
        let bound = self.inner.settings.cancel_within;
        let bound = bound.saturating_sub(CANCEL_RESERVE);
        let age = self.inner.view.proof_age();
        !self.is_stopping() && age.is_some_and(|age| age < bound)
    }

    /// Regions in which a job's items may run and its bodies be read, by the configuration in force; `None` while none is
    /// known, and nobody may tell.
    pub(crate) fn regions_of(&self, route: &str, tenant: &str) -> Option<AllowedRegions> {
        let routes = self.inner.forwarder.routes()?;
        Some(routes.configuration.allowed_regions(route, tenant))
    }

    pub(crate) fn owns(&self, head: &JobHeadRow) -> bool {
        head.owner == self.inner.life
    }

    /// Takes a head that was read or written; nothing happens if a newer one is known.
    pub fn learn(&self, known: KnownHead) {
        if let Some(change) = self.inner.view.take(known) {
            self.note_owners(&change);
            self.head_changed(&change.known);
        }
    }

    /// Takes the row of a head; one that cannot be read names no job.
    pub fn learn_row(&self, value: &Bytes, revision: u64) {
        if let Some(head) = decode_head(value) {
            self.learn(KnownHead { head, revision });
        }
    }

    /// A head changed in the store.
    pub fn head_changed(&self, known: &KnownHead) {
        let job_id = &known.head.job_id;
        let mut book = self.book();
        let Some(job) = book.jobs.get_mut(job_id) else {
            drop(book);
            if self.owns(&known.head) && known.is_open() && !self.is_stopping() {
                self.load(known.clone());
            }
            return;
        };
        if job.known.revision >= known.revision {
            return;
        }
        let before = job.known.head.clone();
        let lost = !self.owns(&known.head) || known.head.epoch != before.epoch;
        if known.is_open() && !lost {
            job.take_head(known.clone());
            return;
        }
        job.stop_runs();
        book.jobs.remove(job_id);
        drop(book);
        let (outcome, reason) = match known.head.owner.as_str() {
            _ if !lost => ("closed", ""),
            "" => ("released", ""),
            other => ("lost", other),
        };
        self.log_ownership(&before, &known.head, outcome, reason);
    }

    /// A job's row is gone.
    pub fn head_removed(&self, job_id: &str) {
        self.inner.view.forget(job_id);
        if let Some(mut job) = self.book().jobs.remove(job_id) {
            job.stop_runs();
        }
    }

    pub(crate) fn log_ownership(
        &self,
        before: &JobHeadRow,
        head: &JobHeadRow,
        outcome: &str,
        reason: &str,
    ) {
        self.inner.log.record(&Record::JobOwnership {
            job: &head.job_id,
            outcome,
            epoch: head.epoch,
            owner_before: last_owner(before),
            epoch_before: before.epoch,
            reason,
            owners_known: self.inner.peers.owners().map_or(0, |owners| owners.len()),
        });
    }

    /// Enters a job whose items are known.
    pub(crate) fn enter(&self, job: OwnedJob) {
        let job_id = job.known.head.job_id.clone();
        let mut book = self.book();
        book.jobs.entry(job_id.clone()).or_insert(job);
        drop(book);
        // The head may have changed while the items were read; a change from now on finds the job here.
        if let Some(newest) = self.inner.view.get(&job_id) {
            self.head_changed(&newest);
        }
        self.inner.wake.notify_one();
    }

    /// Reads a job's items, and enters it; nothing happens if that is under way.
    pub(crate) fn load(&self, known: KnownHead) {
        if !self.takeovers().begin_load(&known.head.job_id) {
            return;
        }
        let jobs = self.clone();
        tokio::spawn(async move {
            let job_id = known.head.job_id.clone();
            jobs.read_and_enter(known).await;
            jobs.takeovers().loaded(&job_id);
            // Lost and won again meanwhile: the task may have ended on the loss.
            if let Some(newest) = jobs.inner.view.get(&job_id) {
                jobs.head_changed(&newest);
            }
        });
    }

    async fn read_and_enter(&self, known: KnownHead) {
        let store = &self.inner.store;
        loop {
            let current = self.inner.view.get(&known.head.job_id);
            let current = current.unwrap_or_else(|| known.clone());
            if !self.owns(&current.head) || !current.is_open() || self.is_stopping() {
                return;
            }
            let items = store.read_items(&current.head).await;
            let progress = store.read_progress(&current.head.job_id).await;
            if let (Ok(items), Ok(progress)) = (items, progress) {
                let requests = items
                    .items
                    .into_iter()
                    .map(|row| crate::model::item_request(row, &current.head))
                    .collect();
                let attempts = self.attempts_of(&current.head.route);
                let mut job = OwnedJob::new(current, requests, progress);
                job.fail_spent_items(attempts);
                self.enter(job);
                return;
            }
            tokio::time::sleep(LOAD_PAUSE).await;
        }
    }

    /// Drives the jobs for as long as the process runs.
    pub async fn run(self) {
        tokio::join!(
            self.clone().run_items(),
            self.clone().run_adoption(),
            self.clone().run_removal()
        );
    }

    /// Gives all jobs up for others; ends at `until` at the latest.
    pub async fn hand_over_all(&self, until: Instant) {
        self.inner.stopping.store(true, Ordering::Relaxed);
        let mut given = Vec::new();
        {
            let mut book = self.book();
            for job in book.jobs.values_mut() {
                given.push((job.known.clone(), job.left_work()));
            }
        }
        let handing = given
            .into_iter()
            .map(|(known, left)| self.hand_over(known, left, "stopping", until));
        // A write that the store does not answer lasts longer than `until`; what it was to hand over is adopted once
        // this daemon is gone.
        let handed = timeout_at(until, futures::future::join_all(handing)).await;
        if handed.is_err() {
            self.inner.log.record(&Record::DependencyLost {
                dependency: HEADS,
                cause: "no answer while jobs were handed over",
            });
        }
    }
}

/// Pause before a job's items are read again.
const LOAD_PAUSE: Duration = Duration::from_millis(150);
