//! Owners that are held for gone are challenged in the job's head; an owner that lives refutes that, and keeps the job.

use std::collections::{HashMap, HashSet};
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_ownership::{Claim, OwnerStanding, Step, TakeoverBounds, Takeovers};
use harrierward_wire::JobHeaderRow;
use tokio::time::Instant;

use crate::adoption::HEADER_WRITE_TIMEOUT;
use crate::adoption_order::{challenged, refuted};
use crate::owned_job::HandoverState;
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::{HeaderChange, KnownHeader};

/// An owner that is challenged and whose job came to nothing for so long gives it up instead of refuting: it reaches the
/// store, and perhaps no replica.
const STUCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Most heads that this daemon writes at once for takeovers: a cut that makes all other owners missing shall not fill the
/// queues of the store, through which their refutations go.
const MAX_CONCURRENT_WRITES: usize = 8;

/// The takeovers of this daemon, on a clock that counts suspensions.
pub(crate) struct JobTakeovers {
    core: Takeovers,
    origin: Instant,
    /// Jobs whose head this daemon is writing.
    writing: HashSet<String>,
    /// Jobs whose items this daemon is reading, and since when.
    loading: HashMap<String, Instant>,
}

impl Default for JobTakeovers {
    fn default() -> Self {
        Self {
            core: Takeovers::new(TakeoverBounds::default(), rand::random()),
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

    /// What to do about a job now; what is not to wait is under way until [`Self::end_write`]. `delay` is how long this daemon lets
    /// others go first, `None` if the job is not for it.
    pub fn step(
        &mut self,
        known: &KnownHeader,
        status: OwnerStanding,
        delay: impl FnOnce() -> Option<Duration>,
    ) -> Step {
        let job_id = &known.header.job_id;
        if self.writing.len() >= MAX_CONCURRENT_WRITES || self.writing.contains(job_id) {
            return Step::Wait;
        }
        let now = self.now();
        let delay = || delay().unwrap_or(INELIGIBLE_DELAY);
        let step = self.core.step(claim(known), status, delay, now);
        if step != Step::Wait {
            self.writing.insert(job_id.clone());
        }
        step
    }

    /// Begins the write of a job's head; false if one is under way.
    fn begin_write(&mut self, job_id: &str) -> bool {
        self.writing.insert(job_id.to_owned())
    }

    /// The write of a job's head has ended.
    pub fn end_write(&mut self, job_id: &str) {
        self.writing.remove(job_id);
    }

    /// Begins the reading of a job's items; false if that is under way.
    pub fn begin_load(&mut self, job_id: &str) -> bool {
        if self.loading.contains_key(job_id) {
            return false;
        }
        self.loading.insert(job_id.to_owned(), Instant::now());
        true
    }

    /// A job's items were read, or need not be.
    pub fn end_load(&mut self, job_id: &str) {
        self.loading.remove(job_id);
    }

    /// True if a job's items could not be read for so long.
    fn has_been_loading_for(&self, job_id: &str, timeout: Duration) -> bool {
        let since = self.loading.get(job_id);
        since.is_some_and(|since| since.elapsed() >= timeout)
    }

    /// Forgets jobs that are not open any more.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        let now = self.now();
        self.core.retain(is_open, now);
    }
}

/// Delay of a daemon that must not adopt a job, since it may not read its bodies: longer than any job is open.
const INELIGIBLE_DELAY: Duration = Duration::from_secs(1_000_000);

fn claim(known: &KnownHeader) -> Claim<'_> {
    let header = &known.header;
    Claim {
        asset: &header.job_id,
        owner: &header.owner,
        challenger: &header.challenger,
        epoch: header.epoch,
        takeovers: header.takeovers,
        revision: known.revision,
    }
}

/// A write of a job's head that is under way.
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

    /// How this daemon sees the owner of a job.
    pub(crate) fn owner_status(&self, header: &JobHeaderRow) -> OwnerStanding {
        if header.owner.is_empty() {
            OwnerStanding::GivenUp
        } else if self.owns(header) {
            OwnerStanding::Present
        } else {
            self.inner.peers.owner_status(&header.owner)
        }
    }

    /// What a change of a head shows of owners, and an answer to whoever challenges this one.
    pub(crate) fn note_owners(&self, change: &HeaderChange) {
        let HeaderChange { before, known } = change;
        if let Some(before) = before {
            let is_present = self.owner_status(&before.header) == OwnerStanding::Present;
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            takeovers
                .core
                .note_change(claim(before), claim(known), is_present, now);
        }
        if self.owns(&known.header) && known.is_open() {
            self.answer_if_challenged(known);
        }
    }

    /// Answers a challenge of a job of this daemon. Called again and again while it stands: an answer may be lost on its way.
    pub(crate) fn answer_if_challenged(&self, known: &KnownHeader) {
        let job_id = &known.header.job_id;
        let is_challenged = !known.header.challenger.is_empty() && !self.is_stopping();
        if !is_challenged || !self.takeovers().begin_write(job_id) {
            return;
        }
        let known = known.clone();
        self.spawn_write(known, |jobs, known| async move {
            jobs.answer_challenge(&known).await;
        });
    }

    /// Runs the write of a job's head that has been entered as under way; it is taken off however the write ends.
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

    pub(crate) fn start_challenge(&self, known: KnownHeader, status: OwnerStanding) {
        self.spawn_write(known, move |jobs, known| async move {
            jobs.challenge(&known, status).await;
        });
    }

    async fn challenge(&self, known: &KnownHeader, status: OwnerStanding) {
        let header = challenged(&known.header, &self.inner.instance_id);
        let origin = harrierward_clock::now();
        let until = Instant::now() + HEADER_WRITE_TIMEOUT;
        let store = &self.inner.store;
        let current = match store.replace_header(known.revision, &header, until).await {
            WriteOutcome::Committed { revision } => KnownHeader { header, revision },
            WriteOutcome::Conflict {
                current: Some(current),
            } => *current,
            // The next look decides anew.
            _ => return,
        };
        // A write whose answer was lost is met here too.
        if current.header.challenger == self.inner.instance_id {
            self.log_ownership(&known.header, &current.header, "challenged", status.name());
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            let elapsed = harrierward_clock::age(origin);
            takeovers.core.challenged(claim(&current), elapsed, now);
        }
        self.note_header(current);
    }

    /// Another daemon holds this one for gone.
    async fn answer_challenge(&self, known: &KnownHeader) {
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
            // Listed results refute it as well, and so does what else this daemon has written meanwhile.
            WriteOutcome::Conflict {
                current: Some(current),
            } => self.note_header(*current),
            // It is taken over if the store keeps this daemon away for longer.
            _ => {}
        }
    }

    /// What is left of a job of this daemon that gets nowhere here; `None` for one that moves or waits for slots.
    fn stop_if_stuck(&self, job_id: &str) -> Option<HandoverState> {
        if self.takeovers().has_been_loading_for(job_id, STUCK_TIMEOUT) {
            return Some(HandoverState::default());
        }
        let mut registry = self.registry();
        let job = registry.jobs.get_mut(job_id)?;
        job.is_stuck(STUCK_TIMEOUT).then(|| job.stop_for_handover())
    }
}
