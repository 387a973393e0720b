//! Keeps a copy of a table space up to date: a whole read, then changes, and a whole read again after lost history.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{Backoff, PlatformErrorKind, WatchedTable, WholeRead};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};

use crate::pace::{WatchPace, WholeReadPace};
use crate::shared_space::SharedSpace;
use crate::space_copy::SpaceUpdate;

/// Bounds of a watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchSettings {
    /// How long the store may hold a question.
    pub wait: Duration,
    /// First pause after a failure.
    pub first_pause: Duration,
    /// Longest pause after failures.
    pub longest_pause: Duration,
    /// Least time between whole reads: changes may be missing from what the store tells. It grows with the fleet.
    pub whole_read_every: Duration,
    /// How long after its first page a whole read that was interrupted may go on: the store must still know what
    /// changed since. Its history is known to reach 20 s back; whatever is gone is told by the next question.
    pub resume_within: Duration,
    /// Time after the history was lost within which whole reads may be stale, and one more is made at its end.
    pub stale_for: Duration,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(1_000),
            first_pause: Duration::from_millis(60),
            longest_pause: Duration::from_millis(500),
            whole_read_every: Duration::from_secs(10),
            resume_within: Duration::from_secs(10),
            stale_for: Duration::from_secs(4),
        }
    }
}

/// Longest time over which the second reads of daemons that have started together are spread. At 300 daemons before
/// 3,000 replicas they are 4,500 calls, of which the users' stores take 2,000 a second and more.
const LONGEST_SPREAD: Duration = Duration::from_secs(4);

/// How much later than a held question explains the proof of a copy may be before the next question is not held: the store's
/// answer and this process's own turn. A daemon that has woken, or is in contact again, is up to date an answer later instead of
/// a held question later (2 s for what seldom changes); a store that is slower than this gets one more call for each one held.
const LATE_PROOF: Duration = Duration::from_millis(250);

/// One watch.
pub struct Watch {
    /// The store.
    pub table: Arc<dyn WatchedTable>,
    /// Space to watch.
    pub space: &'static str,
    /// Its partitions.
    pub partitions: Vec<String>,
    /// Bounds.
    pub settings: WatchSettings,
    /// How long changes are gathered.
    pub pace: WatchPace,
    /// Time between whole reads, if longer than the settings' least.
    pub whole_read_pace: WholeReadPace,
    /// Log of lost and regained contact.
    pub log: DecisionLog,
}

impl Watch {
    /// Runs for as long as the process does and gives each update to `take`.
    pub async fn run(self, take: impl FnMut(SpaceUpdate)) {
        self.run_shared(Arc::default(), take).await;
    }

    /// The same, with a copy that peers are answered from.
    pub async fn run_shared(self, space: Arc<SharedSpace>, mut take: impl FnMut(SpaceUpdate)) {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(self.settings.first_pause, self.settings.longest_pause);
        let mut read_whole = true;
        let mut history_lost = false;
        let mut whole_read_due = harrierward_clock::now();
        let mut reading: Option<ReadUnderWay> = None;
        // A whole read that is only due again must not keep the changes from being asked for.
        let mut ask_first = false;
        let mut pages = 0;
        let mut lost_at: Option<Instant> = None;
        let mut interval = Duration::ZERO;
        let mut proven_at: Option<Instant> = None;
        let mut difference = Difference::default();
        loop {
            let mut asked_at = harrierward_clock::now();
            let is_read_due = reading.is_some() || asked_at >= whole_read_due;
            let result = if read_whole || (is_read_due && !ask_first) {
                let under_way = self.resume(&mut reading);
                asked_at = under_way.began;
                let newest = space.copy().revision();
                let read = self.read(under_way, newest).await;
                read.map(|()| {
                    let done = reading.take().unwrap_or_else(|| self.begin_read());
                    pages = done.whole.pages();
                    let pace = (self.whole_read_pace)(pages);
                    whole_read_due = asked_at + self.settings.whole_read_every.max(pace);
                    space.copy().take_snapshot(done.whole.into_snapshot())
                })
            } else {
                ask_first = false;
                let wait = self.hold(proven_at, interval);
                self.ask(&space, wait).await
            };
            match result {
                Ok(Some(mut update)) => {
                    if std::mem::take(&mut read_whole) {
                        let lost = std::mem::take(&mut history_lost);
                        whole_read_due =
                            asked_at + self.second_read_after(lost, pages, &mut random);
                    }
                    backoff.reset();
                    if let Some(since) = lost_at.take() {
                        self.log_regained(since);
                    }
                    if difference.is_standing(&update) {
                        read_whole = true;
                        self.log_differs(&update);
                    }
                    update.as_of = proof_of(&update, asked_at);
                    proven_at = proven_at.max(update.as_of);
                    space.copy().prove(&update);
                    space.notify();
                    let gather = !update.is_empty() || update.differs;
                    take(update);
                    interval = if gather {
                        (self.pace)()
                    } else {
                        Duration::ZERO
                    };
                    sleep(interval).await;
                }
                Ok(None) => {
                    // A stale read tells nothing, but its revision may be one that the history still holds.
                    sleep(backoff.wait(&mut random)).await;
                }
                Err(WatchFailure::HistoryLost) => {
                    read_whole = true;
                    history_lost = true;
                    sleep(backoff.wait(&mut random)).await;
                }
                // What was asked before proves nothing any more, and its time-out did not count the suspension.
                Err(WatchFailure::Suspended) => proven_at = None,
                Err(WatchFailure::NoContact(cause)) => {
                    ask_first = reading.is_some() && !read_whole;
                    if lost_at.is_none() {
                        lost_at = Some(asked_at);
                        self.log_lost(&cause);
                    }
                    sleep(backoff.wait(&mut random)).await;
                }
            }
        }
    }

    /// When a space that was read for the first time, or after its history was lost, is read once more.
    ///
    /// After lost history the read may have been stale, so the next one comes as soon as that is over, spread a little
    /// because all daemons have lost it together. After a start nothing says so: a stale read is as old as its revision
    /// tells, and the feed goes on from there or answers that its history is lost. Then the next read comes when a large
    /// fleet's whole reads are due anyway, at a moment of each daemon's own.
    fn second_read_after(&self, lost: bool, pages: usize, random: &mut SmallRng) -> Duration {
        let regular = (self.whole_read_pace)(pages);
        let spread = regular.min(LONGEST_SPREAD);
        let soon = self.settings.stale_for + spread.mul_f64(random.random());
        if lost {
            return soon;
        }
        soon.max(regular.mul_f64(0.5 + random.random::<f64>()))
    }

    fn begin_read(&self) -> ReadUnderWay {
        ReadUnderWay {
            whole: WholeRead::new(&self.partitions),
            began: harrierward_clock::now(),
        }
    }

    /// The read under way, or a new one if there is none that may go on: the feed must still know the changes since
    /// its first page.
    fn resume<'a>(&self, reading: &'a mut Option<ReadUnderWay>) -> &'a mut ReadUnderWay {
        let within = self.settings.resume_within;
        if reading
            .as_ref()
            .is_some_and(|read| harrierward_clock::age(read.began) >= within)
        {
            *reading = None;
        }
        reading.get_or_insert_with(|| self.begin_read())
    }

    /// Reads the pages that are left; those that were read stay if one fails. One that is older than `newest`, the revision that is
    /// known, ends the read: a whole that holds it would change nothing, and the rest of a large space would be read for nothing.
    async fn read(&self, under_way: &mut ReadUnderWay, newest: u64) -> Result<(), WatchFailure> {
        while let Some(start) = under_way.whole.next_page() {
            let page = self.table.read_page(self.space, start).await;
            let page = page.map_err(|error| WatchFailure::NoContact(error.to_string()))?;
            let is_stale = page.revision < newest;
            under_way.whole.take(page);
            if is_stale {
                return Ok(());
            }
        }
        Ok(())
    }

    /// How long the store may hold the next question. One that comes `later` than it could is held for less, so that the copy's
    /// age stays within the same bound, and one without a proof, or with an old one, not at all.
    fn hold(&self, proven_at: Option<Instant>, later: Duration) -> Duration {
        let wait = self.settings.wait;
        let is_old = |moment| harrierward_clock::age(moment) > wait + LATE_PROOF;
        if proven_at.is_none_or(is_old) {
            return Duration::ZERO;
        }
        wait.saturating_sub(later)
    }

    /// Asks for changes, until the machine was suspended meanwhile.
    async fn ask(
        &self,
        space: &SharedSpace,
        wait: Duration,
    ) -> Result<Option<SpaceUpdate>, WatchFailure> {
        let suspended = harrierward_clock::suspension_noticed();
        let after = space.copy().revision();
        let asked = self.table.wait_changes(self.space, after, wait);
        let answer = tokio::select! {
            answer = asked => answer,
            () = suspended => return Err(WatchFailure::Suspended),
        };
        let page = answer.map_err(|error| match error.kind {
            PlatformErrorKind::HistoryLost => WatchFailure::HistoryLost,
            _ => WatchFailure::NoContact(error.to_string()),
        })?;
        Ok(Some(space.copy().take_changes(page)))
    }

    fn log_lost(&self, cause: &str) {
        self.log.record(&Record::DependencyLost {
            dependency: self.space,
            cause,
        });
    }

    fn log_differs(&self, update: &SpaceUpdate) {
        self.log.record(&Record::CopyDiffers {
            space: self.space,
            revision: update.revision,
        });
    }

    fn log_regained(&self, since: Instant) {
        let away = harrierward_clock::age(since).as_millis();
        self.log.record(&Record::DependencyRegained {
            dependency: self.space,
            away_ms: u64::try_from(away).unwrap_or(u64::MAX),
        });
    }
}

/// When the copy is true: as of the question, unless a peer answered, which says so itself. One that differs from the peer's
/// proves nothing.
fn proof_of(update: &SpaceUpdate, asked_at: Instant) -> Option<Instant> {
    if update.differs {
        return None;
    }
    update.as_of.or(Some(asked_at))
}

/// How long a copy may differ from that of the peer that it follows before it is read whole. It does for a moment where it holds
/// rows that the peer has not been told of yet.
const DIFFERS_FOR: Duration = Duration::from_millis(500);

/// Since when the copy differs from that of the peer that it follows.
#[derive(Debug, Default)]
struct Difference {
    since: Option<Instant>,
}

impl Difference {
    /// True if the update shows that the copies have differed for too long; it then begins anew.
    fn is_standing(&mut self, update: &SpaceUpdate) -> bool {
        if !update.differs {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert_with(harrierward_clock::now);
        let is_standing = harrierward_clock::age(since) >= DIFFERS_FOR;
        if is_standing {
            self.since = None;
        }
        is_standing
    }
}

/// A whole read that has begun.
struct ReadUnderWay {
    whole: WholeRead,
    began: Instant,
}

enum WatchFailure {
    Suspended,
    HistoryLost,
    NoContact(String),
}
