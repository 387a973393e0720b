//! Owners that are held for gone are challenged in the job's head; an owner that lives refutes that, and keeps the job.

use std::collections::HashSet;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_ownership::{Claim, OwnerStanding, Step, TakeoverBounds, Takeovers};
use harrierward_wire::JobHeadRow;
use tokio::time::Instant;

use crate::adoption::ADOPT_HOLD;
use crate::adoption_order::{challenged, refuted};
use crate::service::InlineJobs;
use crate::store::WriteOutcome;
use crate::view::{HeadChange, KnownHead};

/// An owner that is challenged and whose job has come to no event for so long gives it up instead of refuting: it reaches the
/// store, and perhaps no replica. Items that wait for slots move no slower elsewhere.
const STUCK_AFTER: Duration = Duration::from_secs(5);

/// The takeovers of this daemon, on a clock that counts suspensions.
pub(crate) struct JobTakeovers {
    core: Takeovers,
    began: Instant,
    /// Jobs whose head this daemon is writing.
    writing: HashSet<String>,
}

impl Default for JobTakeovers {
    fn default() -> Self {
        Self {
            core: Takeovers::new(TakeoverBounds::default()),
            began: harrierward_clock::now(),
            writing: HashSet::new(),
        }
    }
}

impl JobTakeovers {
    fn now(&self) -> Duration {
        harrierward_clock::age(self.began)
    }

    /// The owner of a job is there.
    pub fn is_present(&mut self, known: &KnownHead) {
        let now = self.now();
        let present = OwnerStanding::Present;
        self.core.step(claim(known), present, Duration::ZERO, now);
    }

    /// What to do about a job now; what is not to wait is under way until [`Self::written`].
    pub fn step(&mut self, known: &KnownHead, standing: OwnerStanding, delay: Duration) -> Step {
        if self.writing.contains(&known.head.job_id) {
            return Step::Wait;
        }
        let now = self.now();
        let step = self.core.step(claim(known), standing, delay, now);
        if step != Step::Wait {
            self.writing.insert(known.head.job_id.clone());
        }
        step
    }

    /// The write of a job's head has ended.
    pub fn written(&mut self, job_id: &str) {
        self.writing.remove(job_id);
    }

    /// Forgets jobs that are not open any more.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        let now = self.now();
        self.core.retain(is_open, now);
    }
}

fn claim(known: &KnownHead) -> Claim<'_> {
    let head = &known.head;
    Claim {
        asset: &head.job_id,
        owner: &head.owner,
        challenger: &head.challenger,
        epoch: head.epoch,
        revision: known.revision,
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
    pub(crate) fn owner_standing(&self, head: &JobHeadRow) -> OwnerStanding {
        if head.owner.is_empty() {
            OwnerStanding::GivenUp
        } else if self.owns(head) {
            OwnerStanding::Present
        } else {
            self.inner.peers.standing(&head.owner)
        }
    }

    /// What a change of a head shows of owners, and an answer to whoever challenges this one.
    pub(crate) fn note_owners(&self, change: &HeadChange) {
        let HeadChange { before, known } = change;
        if let Some(before) = before {
            let is_present = self.owner_standing(&before.head) == OwnerStanding::Present;
            let mut takeovers = self.takeovers();
            let now = takeovers.now();
            takeovers
                .core
                .note_change(claim(before), claim(known), is_present, now);
        }
        let is_challenged = self.owns(&known.head) && !known.head.challenger.is_empty();
        if is_challenged && known.is_open() && !self.is_stopping() {
            let jobs = self.clone();
            let known = known.clone();
            tokio::spawn(async move { jobs.answer_challenge(&known).await });
        }
    }

    pub(crate) fn start_challenge(&self, known: KnownHead, standing: OwnerStanding) {
        let jobs = self.clone();
        tokio::spawn(async move {
            jobs.challenge(&known, standing).await;
            jobs.takeovers().written(&known.head.job_id);
        });
    }

    async fn challenge(&self, known: &KnownHead, standing: OwnerStanding) {
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
            let job_id = &known.head.job_id;
            takeovers
                .core
                .challenged(job_id, current.revision, took, now);
        }
        self.learn(current);
    }

    /// Another daemon holds this one for gone.
    async fn answer_challenge(&self, known: &KnownHead) {
        let until = Instant::now() + ADOPT_HOLD;
        let stuck = {
            let book = self.book();
            let job = book.jobs.get(&known.head.job_id);
            job.filter(|job| job.is_stuck(STUCK_AFTER))
                .map(|job| job.progress_rows())
        };
        if let Some(progress) = stuck {
            let reason = "challenged, and no event came";
            self.hand_over(known.clone(), progress, reason, until).await;
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
}
