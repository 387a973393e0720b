//! The state of a running watch: what it requests next, and what it concludes from each response.

use std::sync::Arc;
use std::time::Duration;

use harrierward_external::{Backoff, FullRead};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

use super::{ReadReason, Watch, WatchFailure};
use crate::publisher::{Published, SpacePublisher};
use crate::space_copy::SpaceCopy;
use crate::space_update::{Reading, SpaceUpdate, UpdateSource};

/// A running watch.
pub(super) struct WatchRun {
    watch: Watch,
    publisher: Arc<SpacePublisher>,
    random: SmallRng,
    backoff: Backoff,
    /// Why nothing but a full read helps; `None` while changes can be requested.
    required_read: Option<ReadReason>,
    /// When the next periodic full read is due.
    full_read_due: Instant,
    read_in_progress: Option<ReadInProgress>,
    /// True after a failed periodic full read: changes are requested once before it resumes.
    changes_first: bool,
    /// Pages of the last full read.
    pages: usize,
    /// When contact was lost.
    lost_at: Option<Instant>,
    /// True from a lost history on until changes are received again.
    is_history_loss_logged: bool,
    proven_at: Option<Instant>,
    /// How long changes were coalesced before the present request.
    interval: Duration,
    difference: Difference,
}

/// A response that was applied.
struct Applied {
    published: Published,
    requested_at: Instant,
    /// Revision of the copy before.
    revision_before: u64,
}

impl WatchRun {
    pub fn new(watch: Watch, publisher: Arc<SpacePublisher>) -> Self {
        let backoff = Backoff::new(watch.settings.min_backoff, watch.settings.max_backoff);
        Self {
            watch,
            publisher,
            random: SmallRng::from_os_rng(),
            backoff,
            required_read: Some(ReadReason::Start),
            full_read_due: harrierward_clock::now(),
            read_in_progress: None,
            changes_first: false,
            pages: 0,
            lost_at: None,
            is_history_loss_logged: false,
            proven_at: None,
            interval: Duration::ZERO,
            difference: Difference::default(),
        }
    }

    pub async fn run(mut self) {
        loop {
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let now = harrierward_clock::now();
        let (requested_at, result) = if self.is_full_read_next(now) {
            let started_at = self.resume_read(now);
            (started_at, self.read_in_full(started_at).await)
        } else {
            self.changes_first = false;
            (now, self.request_changes(now).await)
        };
        match result {
            Ok(Some(applied)) => self.conclude(&applied).await,
            // A stale read is discarded; the history may still cover the copy's revision.
            Ok(None) => self.back_off().await,
            Err(WatchFailure::HistoryLost) => {
                self.required_read = Some(ReadReason::HistoryLost);
                if !std::mem::replace(&mut self.is_history_loss_logged, true) {
                    self.watch.log_history_lost(self.publisher.space());
                }
                self.back_off().await;
            }
            // The pending request is dropped: its timeout didn't count the suspension.
            Err(WatchFailure::Suspended) => self.proven_at = None,
            Err(WatchFailure::NoContact(cause)) => {
                self.changes_first =
                    self.read_in_progress.is_some() && self.required_read.is_none();
                if self.lost_at.is_none() {
                    self.lost_at = Some(requested_at);
                    self.watch.log_lost(&cause);
                }
                self.back_off().await;
            }
        }
    }

    async fn back_off(&mut self) {
        sleep(self.backoff.wait(&mut self.random)).await;
    }

    fn is_full_read_next(&self, now: Instant) -> bool {
        let is_due = self.read_in_progress.is_some() || now >= self.full_read_due;
        self.required_read.is_some() || (is_due && !self.changes_first)
    }

    /// Starts a full read unless one is in progress that is young enough to resume; returns when it was started.
    fn resume_read(&mut self, now: Instant) -> Instant {
        let within = self.watch.settings.resume_window;
        let is_young = |read: &ReadInProgress| harrierward_clock::age(read.started_at) < within;
        let read = self.read_in_progress.take().filter(is_young);
        let read = read.unwrap_or_else(|| ReadInProgress {
            pages_read: FullRead::new(&self.watch.partitions),
            started_at: now,
        });
        self.read_in_progress.insert(read).started_at
    }

    /// Reads the rest of the full read in progress and applies it; `None` if it is older than the copy.
    async fn read_in_full(&mut self, started_at: Instant) -> Result<Option<Applied>, WatchFailure> {
        let revision_before = self.publisher.space().copy().revision();
        let Some(read) = &mut self.read_in_progress else {
            return Ok(None);
        };
        self.watch
            .read(&mut read.pages_read, revision_before)
            .await?;
        let Some(read) = self.read_in_progress.take() else {
            return Ok(None);
        };
        let reason = self.required_read.unwrap_or(ReadReason::Periodic);
        self.pages = read.pages_read.pages();
        let pace = (self.watch.full_read_pace)(self.pages);
        self.full_read_due = started_at + self.watch.settings.full_read_interval.max(pace);
        let snapshot = read.pages_read.into_snapshot();
        let outdated = self.watch.outdated_rows(reason, &snapshot).await;
        let published = self.publisher.publish(|copy| {
            let update = copy.apply_snapshot(snapshot);
            self.watch
                .log_read(reason, started_at, revision_before, update.as_ref());
            let mut update = prove(copy, update?, started_at);
            update.append(copy.apply_missing(outdated, Reading::Audit, UpdateSource::Store));
            Some(update)
        });
        Ok(published.map(|published| Applied {
            published,
            requested_at: started_at,
            revision_before,
        }))
    }

    async fn request_changes(
        &mut self,
        requested_at: Instant,
    ) -> Result<Option<Applied>, WatchFailure> {
        let space = self.publisher.space().clone();
        let revision_before = space.copy().revision();
        let wait = self.watch.hold_time(self.proven_at, self.interval);
        let page = self.watch.request_changes(&space, wait).await?;
        self.is_history_loss_logged = false;
        let published = self.publisher.publish(|copy| {
            let update = copy.apply_changes(page);
            Some(prove(copy, update, requested_at))
        });
        Ok(published.map(|published| Applied {
            published,
            requested_at,
            revision_before,
        }))
    }

    /// Draws the conclusions from a response that was applied, and coalesces the next changes.
    async fn conclude(&mut self, applied: &Applied) {
        let published = applied.published;
        let after_lost_history = self.required_read == Some(ReadReason::HistoryLost);
        // A read that is as old as the copy whose history was lost is no success.
        if !after_lost_history || published.revision > applied.revision_before {
            self.backoff.reset();
        }
        if self.required_read.take().is_some() {
            let delay =
                self.watch
                    .second_read_delay(after_lost_history, self.pages, &mut self.random);
            self.full_read_due = applied.requested_at + delay;
        }
        if let Some(since) = self.lost_at.take() {
            self.watch.log_regained(since);
        }
        if self.difference.is_persistent(published.differs) {
            self.required_read = Some(ReadReason::Difference);
            self.watch.log_differs(published.revision);
        }
        self.proven_at = self.proven_at.max(published.as_of);
        self.interval = if published.is_changed || published.differs {
            (self.watch.pace)()
        } else {
            Duration::ZERO
        };
        sleep(self.interval).await;
    }
}

/// Sets the time of an update's proof: that of a peer's reply, else the time of the request; none if the copy differs
/// from the peer's. The copy adopts it.
fn prove(copy: &mut SpaceCopy, mut update: SpaceUpdate, requested_at: Instant) -> SpaceUpdate {
    let proof_time = update.as_of.unwrap_or(requested_at);
    update.as_of = (!update.differs).then_some(proof_time);
    copy.prove(&update);
    update
}

/// How long a copy may differ from the followed peer's before a full read. Short differences are normal while the peer
/// hasn't received the latest rows.
const DIFFERENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tracks how long the copy has differed from the followed peer's.
#[derive(Debug, Default)]
struct Difference {
    since: Option<Instant>,
}

impl Difference {
    /// Returns whether the copies have differed for too long, and restarts the measurement if so.
    fn is_persistent(&mut self, differs: bool) -> bool {
        if !differs {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert_with(harrierward_clock::now);
        let is_persistent = harrierward_clock::age(since) >= DIFFERENCE_TIMEOUT;
        if is_persistent {
            self.since = None;
        }
        is_persistent
    }
}

/// A full read in progress.
struct ReadInProgress {
    pages_read: FullRead,
    started_at: Instant,
}
