//! Owners that are held for gone are challenged in the job's head; an owner that lives refutes that, and keeps the job.

use std::collections::{HashMap, HashSet};
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_ownership::{OwnerStatus, OwnershipRecord, Step, TakeoverBounds, Takeovers};
use harrierward_wire::JobHeadRow;
use tokio::time::Instant;

use crate::adoption::ADOPT_HOLD;
use crate::adoption_order::{challenged, refuted};
use crate::owned_job::LeftWork;
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::{HeadChange, KnownHead};

/// An owner that is challenged and whose job came to nothing for so long gives it up instead of refuting: it reaches the
/// store, and perhaps no replica.
const STUCK_AFTER: Duration = Duration::from_secs(5);

/// Most heads that this daemon writes at once for takeovers: a cut that makes all other owners missing shall not fill the
/// queues of the store, through which their refutations go.
const MOST_WRITES: usize = 8;

/// The takeovers of this daemon, on a clock that counts suspensions.
pub(crate) struct JobTakeovers {
    core: Takeovers,
    began: Instant,
    /// Jobs whose head this daemon is writing.
    writing: HashSet<String>,
    /// Jobs whose items this daemon is reading, and since when.
    loading: HashMap<String, Instant>,
}

impl Default for JobTakeovers {
    fn default() -> Self {
        Self {
            core: Takeovers::new(TakeoverBounds::default(), rand::random()),
            began: harrierward_clock::now(),
            writing: HashSet::new(),
            loading: HashMap::new(),
        }
    }
}

impl JobTakeovers {
    fn now(&self) -> Duration {
        harrierward_clock::age(self.began)
    }

    /// What to do about a job now; what is not to wait is under way until [`Self::written`]. `delay` is how long this daemon lets
    /// others go first, `None` if the job is not for it.
    pub fn step(
        &mut self,
        known: &KnownHead,
        standing: OwnerStatus,
        delay: impl FnOnce() -> Option<Duration>,
    ) -> Step {
        let job_id = &known.head.job_id;
        if self.writing.len() >= MOST_WRITES || self.writing.contains(job_id) {
            return Step::Wait;
        }
        let now = self.now();
        let delay = || delay().unwrap_or(NOT_FOR_THIS_DAEMON);
        let step = self.core.step(claim(known), standing, delay, now);
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
    pub fn written(&mut self, job_id: &str) {
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
    pub fn loaded(&mut self, job_id: &str) {
        self.loading.remove(job_id);
    }

    /// True if a job's items could not be read for so long.
    fn has_loaded_for(&self, job_id: &str, patience: Duration) -> bool {
        let since = self.loading.get(job_id);
        since.is_some_and(|since| since.elapsed() >= patience)
    }

    /// Forgets jobs that are not open any more.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        let now = self.now();
        self.core.retain(is_open, now);
    }
}

/// Delay of a daemon that must not adopt a job, since it may not read its bodies: longer than any job is open.
const NOT_FOR_THIS_DAEMON: Duration = Duration::from_secs(1_000_000);

fn claim(known: &KnownHead) -> OwnershipRecord<'_> {
    let head = &known.head;
    OwnershipRecord {
        resource: &head.job_id,
        owner: &head.owner,
        challenger: &head.challenger,
        epoch: head.epoch,
        takeovers: head.takeovers,
        revision: known.revision,
    }
}

/// A write of a job's head that is under way.
struct EnteredWrite {
    jobs: InlineJobs,
    job_id: String,
}

impl Drop for EnteredWrite {
    fn drop(&mut self) {
        self.jobs.takeovers().written(&self.job_id);
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
    pub(crate) fn owner_standing(&self, head: &JobHeadRow) -> OwnerStatus {
        if head.owner.is_empty() {
            OwnerStatus::Unowned
        } else if self.owns(head) {
            OwnerStatus::Present
        } else {
            self.inner.peers.standing(&head.owner)
        }
    }

    /// What a change of a head shows of owners, and an answer to whoever challenges this one.
    pub(crate) fn note_owners(&self, change: &HeadChange) {
        let HeadChange { before, known } = change;
        if let Some(before) = before {
            let is_present = self.owner_standing(&before.head) == OwnerStatus::Present;
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            takeovers
                .core
                .note_change(claim(before), claim(known), is_present, now);
        }
        if self.owns(&known.head) && known.is_open() {
            self.answer_if_challenged(known);
        }
    }

    /// Answers a challenge of a job of this daemon. Called again and again while it stands: an answer may be lost on its way.
    pub(crate) fn answer_if_challenged(&self, known: &KnownHead) {
        let job_id = &known.head.job_id;
        let is_challenged = !known.head.challenger.is_empty() && !self.is_stopping();
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
        known: KnownHead,
        write: impl FnOnce(Self, KnownHead) -> F + Send + 'static,
    ) {
        let entered = EnteredWrite {
            jobs: self.clone(),
            job_id: known.head.job_id.clone(),
        };
        let jobs = self.clone();
        tokio::spawn(async move {
            let _entered = entered;
            write(jobs, known).await;
        });
    }

    pub(crate) fn start_challenge(&self, known: KnownHead, standing: OwnerStatus) {
        self.spawn_write(known, move |jobs, known| async move {
            jobs.challenge(&known, standing).await;
        });
    }

    async fn challenge(&self, known: &KnownHead, standing: OwnerStatus) {
        let head = challenged(&known.head, &self.inner.life);
        let began = harrierward_clock::now();
        let until = Instant::now() + ADOPT_HOLD;
        let store = &self.inner.store;
        let current = match store.replace_head(known.revision, &head, until).await {
            WriteOutcome::Committed { revision } => KnownHead { head, revision },
            WriteOutcome::Conflict {
                current: Some(current),
            } => *current,
            // The next look decides anew.
            _ => return,
        };
        // A write whose answer was lost is met here too.
        if current.head.challenger == self.inner.life {
            self.log_ownership(&known.head, &current.head, "challenged", standing.name());
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            let took = harrierward_clock::age(began);
            takeovers.core.note_challenge(claim(&current), took, now);
        }
        self.learn(current);
    }

    /// Another daemon holds this one for gone.
    async fn answer_challenge(&self, known: &KnownHead) {
        let until = Instant::now() + ADOPT_HOLD;
        if let Some(left) = self.take_stuck(&known.head.job_id) {
            let reason = "challenged while it got nowhere";
            self.hand_over(known.clone(), left, reason, until).await;
            return;
        }
        let head = refuted(&known.head);
        let store = &self.inner.store;
        match store.replace_head(known.revision, &head, until).await {
            WriteOutcome::Committed { revision } => {
                self.log_ownership(&known.head, &head, "refuted", &known.head.challenger);
                self.learn(KnownHead { head, revision });
            }
            // Listed results refute it as well, and so does what else this daemon has written meanwhile.
            WriteOutcome::Conflict {
                current: Some(current),
            } => self.learn(*current),
            // It is taken over if the store keeps this daemon away for longer.
            _ => {}
        }
    }

    /// What is left of a job of this daemon that gets nowhere here; `None` for one that moves or waits for slots.
    fn take_stuck(&self, job_id: &str) -> Option<LeftWork> {
        if self.takeovers().has_loaded_for(job_id, STUCK_AFTER) {
            return Some(LeftWork::default());
        }
        let mut book = self.book();
        let job = book.jobs.get_mut(job_id)?;
        job.is_stuck(STUCK_AFTER).then(|| job.left_work())
    }
}
