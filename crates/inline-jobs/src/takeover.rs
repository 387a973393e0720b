//! Takeover of jobs whose owners are absent: a daemon challenges the owner in the job's header, and an owner that is
//! alive refutes the challenge and keeps the job.

use std::collections::{HashMap, HashSet};
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_ownership::{
    OwnerStatus, OwnershipRecord, RiskBounds, RiskCause, Step, TakeoverBounds, TakeoverRisk,
    Takeovers,
};
use harrierward_wire::JobHeadRow;
use tokio::time::Instant;

use crate::adoption::HEADER_WRITE_TIMEOUT;
use crate::adoption_order::{challenged, refuted};
use crate::owned_job::HandoverState;
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::{HeaderChange, KnownHeader};

/// A challenged owner whose job has made no progress for this long releases it instead of refuting: it reaches the
/// store, but possibly no replica.
const STUCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Header writes of takeovers in flight at once. A daemon that is partitioned from all other owners must not fill the
/// store's queues, which also carry their refutations.
const MAX_CONCURRENT_WRITES: usize = 8;

/// Takeover state of this daemon. The takeover clock counts time during which the machine was suspended.
pub(crate) struct JobTakeovers {
    core: Takeovers,
    risk: TakeoverRisk,
    origin: Instant,
    /// Jobs with a header write in flight.
    writing: HashSet<String>,
    /// Jobs whose items are being read, with the start of the read; `None` while they wait for memory.
    loading: HashMap<String, Option<Instant>>,
}

impl Default for JobTakeovers {
    fn default() -> Self {
        Self {
            core: Takeovers::new(TakeoverBounds::default(), rand::random()),
            risk: TakeoverRisk::new(RiskBounds::default(), Duration::ZERO),
            origin: harrierward_clock::now(),
            writing: HashSet::new(),
            loading: HashMap::new(),
        }
    }
}

impl JobTakeovers {
    fn now(&self) -> Duration {
        harrierward_clock::age(self.origin)
    }

    /// Returns the step due for a job. Any step but [`Step::Wait`] counts as in flight until [`Self::end_write`].
    /// `delay` is the time for which this daemon defers to others, `None` if it may not adopt the job.
    pub fn step(
        &mut self,
        known: &KnownHeader,
        status: OwnerStatus,
        delay: impl FnOnce() -> Option<Duration>,
    ) -> Step {
        let job_id = &known.header.job_id;
        if self.writing.len() >= MAX_CONCURRENT_WRITES || self.writing.contains(job_id) {
            return Step::Wait;
        }
        let now = self.now();
        let delay = || delay().unwrap_or(INELIGIBLE_DELAY);
        if status == OwnerStatus::Absent {
            self.risk.note_absent_owner(now);
        }
        let step = self.core.step(ownership_record(known), status, delay, now);
        if step != Step::Wait {
            self.writing.insert(job_id.clone());
        }
        step
    }

    /// Marks a header write as in flight; false if one already is.
    fn begin_write(&mut self, job_id: &str) -> bool {
        self.writing.insert(job_id.to_owned())
    }

    pub fn end_write(&mut self, job_id: &str) {
        self.writing.remove(job_id);
    }

    /// Marks the load of a job's items as in flight; false if it already is.
    pub fn begin_load(&mut self, job_id: &str) -> bool {
        if self.loading.contains_key(job_id) {
            return false;
        }
        self.loading.insert(job_id.to_owned(), None);
        true
    }

    /// Notes that there is memory for a job's items, whose read begins.
    pub fn note_read_begins(&mut self, job_id: &str) {
        if let Some(begun_at) = self.loading.get_mut(job_id) {
            begun_at.get_or_insert_with(Instant::now);
        }
    }

    /// Marks the read of a job's items as finished or cancelled.
    pub fn end_load(&mut self, job_id: &str) {
        self.loading.remove(job_id);
    }

    /// True if the read of a job's items has been in flight for at least `timeout`.
    fn has_been_loading_for(&self, job_id: &str, timeout: Duration) -> bool {
        let since = self.loading.get(job_id).copied().flatten();
        since.is_some_and(|since| since.elapsed() >= timeout)
    }

    /// Updates the view of the daemons that may own jobs, and returns why others may consider this one absent.
    pub fn assess_risk(
        &mut self,
        owners: &[String],
        is_absent: impl Fn(&str) -> bool,
    ) -> Option<RiskCause> {
        let now = self.now();
        self.risk.note_view(owners, is_absent, now);
        self.risk.cause(now)
    }

    /// Records that a job of this daemon was challenged or taken over.
    pub fn note_challenged(&mut self) {
        let now = self.now();
        self.risk.note_challenge(now);
    }

    /// Drops the state of jobs that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        let now = self.now();
        self.core.retain(is_open, now);
    }
}

/// Delay of a daemon that may not read the job's bodies and so must not adopt it; longer than any job stays open.
const INELIGIBLE_DELAY: Duration = Duration::from_secs(1_000_000);

fn ownership_record(known: &KnownHeader) -> OwnershipRecord<'_> {
    let header = &known.header;
    OwnershipRecord {
        resource: &header.job_id,
        owner: &header.owner,
        challenger: &header.challenger,
        epoch: header.epoch,
        takeovers: header.takeovers,
        revision: known.revision,
    }
}

/// Marks the job's header write as finished when dropped.
struct WriteGuard {
    jobs: InlineJobs,
    job_id: String,
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        self.jobs.takeovers().end_write(&self.job_id);
    }
}

impl InlineJobs {
    pub(crate) fn takeovers(&self) -> MutexGuard<'_, JobTakeovers> {
        self.inner
            .takeovers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn owner_status(&self, header: &JobHeadRow) -> OwnerStatus {
        if header.owner.is_empty() {
            OwnerStatus::Unowned
        } else if self.owns(header) {
            OwnerStatus::Present
        } else {
            self.inner.peers.owner_status(&header.owner)
        }
    }

    /// Passes a header change to the takeover logic, and refutes a challenge of a job that this daemon owns.
    pub(crate) fn note_owners(&self, change: &HeaderChange) {
        let HeaderChange { before, known } = change;
        if let Some(before) = before {
            let status = self.owner_status(&before.header);
            // Not where the write is confirmed: its response may be lost.
            if self.owns(&known.header) && known.header.epoch != before.header.epoch {
                self.log_ownership(&before.header, &known.header, "adopted", status.name());
            }
            let is_present = status == OwnerStatus::Present;
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            takeovers.core.note_change(
                ownership_record(before),
                ownership_record(known),
                is_present,
                now,
            );
        }
        if self.owns(&known.header) && known.is_open() {
            self.refute_if_challenged(known);
        }
    }

    /// Responds to a challenge of a job of this daemon. Repeated while the challenge stands, because a write may be
    /// lost.
    pub(crate) fn refute_if_challenged(&self, known: &KnownHeader) {
        let job_id = &known.header.job_id;
        if known.header.challenger.is_empty() || self.is_stopping() {
            return;
        }
        let mut takeovers = self.takeovers();
        takeovers.note_challenged();
        if !takeovers.begin_write(job_id) {
            return;
        }
        drop(takeovers);
        let known = known.clone();
        self.spawn_write(known, |jobs, known| async move {
            jobs.respond_to_challenge(&known).await;
        });
    }

    /// Spawns a header write that is already marked as in flight; the mark is removed however the task ends.
    pub(crate) fn spawn_write<F: Future<Output = ()> + Send>(
        &self,
        known: KnownHeader,
        write: impl FnOnce(Self, KnownHeader) -> F + Send + 'static,
    ) {
        let guard = WriteGuard {
            jobs: self.clone(),
            job_id: known.header.job_id.clone(),
        };
        let jobs = self.clone();
        tokio::spawn(async move {
            let _guard = guard;
            write(jobs, known).await;
        });
    }

    pub(crate) fn start_challenge(&self, known: KnownHeader, status: OwnerStatus) {
        self.spawn_write(known, move |jobs, known| async move {
            jobs.challenge(&known, status).await;
        });
    }

    async fn challenge(&self, known: &KnownHeader, status: OwnerStatus) {
        let header = challenged(&known.header, &self.inner.instance_id);
        let started_at = harrierward_clock::now();
        let until = Instant::now() + HEADER_WRITE_TIMEOUT;
        let store = &self.inner.store;
        let current = match store.replace_header(known.revision, &header, until).await {
            WriteOutcome::Committed { revision } => KnownHeader { header, revision },
            WriteOutcome::Conflict {
                current: Some(current),
            } => *current,
            // The next check retries.
            _ => return,
        };
        // The current header may also carry this daemon's challenge, from a write whose response was lost.
        if current.header.challenger == self.inner.instance_id {
            self.log_ownership(&known.header, &current.header, "challenged", status.name());
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            let elapsed = harrierward_clock::age(started_at);
            takeovers
                .core
                .note_challenge(ownership_record(&current), elapsed, now);
        }
        self.note_header(current);
    }

    /// Refutes a challenge, or releases the job if it is stuck here.
    async fn respond_to_challenge(&self, known: &KnownHeader) {
        let until = Instant::now() + HEADER_WRITE_TIMEOUT;
        if let Some(state) = self.stop_if_stuck(&known.header.job_id) {
            let reason = "challenged while it got nowhere";
            self.hand_over(known.clone(), state, reason, until).await;
            return;
        }
        let header = refuted(&known.header);
        let store = &self.inner.store;
        match store.replace_header(known.revision, &header, until).await {
            WriteOutcome::Committed { revision } => {
                self.log_ownership(&known.header, &header, "refuted", &known.header.challenger);
                self.note_header(KnownHeader { header, revision });
            }
            // The conflicting write of this daemon, such as a listing, has refuted the challenge as well.
            WriteOutcome::Conflict {
                current: Some(current),
            } => self.note_header(*current),
            // The challenger takes the job over if the store stays unreachable for this daemon.
            _ => {}
        }
    }

    /// Stops a stuck job and returns its state for the handover; `None` if the job progresses or only waits for
    /// slots.
    fn stop_if_stuck(&self, job_id: &str) -> Option<HandoverState> {
        if self.takeovers().has_been_loading_for(job_id, STUCK_TIMEOUT) {
            return Some(HandoverState::default());
        }
        let mut registry = self.registry();
        let job = registry.jobs.get_mut(job_id)?;
        job.is_stuck(STUCK_TIMEOUT).then(|| job.stop_for_handover())
    }
}
