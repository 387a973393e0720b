//! Keeps a copy of a table space up to date by a full read and then changes, with further full reads after lost
//! history.

mod run;

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{
    ChangePage, FullRead, PlatformErrorKind, RowChange, SpaceSnapshot, WatchedTable,
};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::first_read::FirstReadCheck;
use crate::pace::{FullReadPace, WatchPace};
use crate::publisher::SpacePublisher;
use crate::shared_space::SharedSpace;
use crate::space_update::SpaceUpdate;

use run::WatchRun;

/// Timeouts and intervals of a watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchSettings {
    /// How long the store may hold a request for changes.
    pub wait: Duration,
    /// Maximum backoff after the first failure; doubles with each further one.
    pub min_backoff: Duration,
    /// Maximum backoff after failures.
    pub max_backoff: Duration,
    /// Minimum time between full reads, which repair changes that the store's feed omitted.
    pub full_read_interval: Duration,
    /// How long after its start an interrupted full read may resume; the store's history must reach back that far. If
    /// it doesn't, the next request for changes fails with `HistoryLost`.
    pub resume_window: Duration,
    /// Time after lost history in which full reads may be stale; another one follows at its end.
    pub stale_window: Duration,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(1_000),
            min_backoff: Duration::from_millis(60),
            max_backoff: Duration::from_millis(500),
            full_read_interval: Duration::from_secs(10),
            resume_window: Duration::from_secs(10),
            stale_window: Duration::from_secs(4),
        }
    }
}

/// Maximum jitter of the second full read, against a thundering herd at the store.
const MAX_SECOND_READ_JITTER: Duration = Duration::from_secs(4);

/// Margin over the hold time above which a proof counts as old, so that the next request isn't held: after a suspension
/// or an outage the copy is then proven by one immediate response. Covers the store's response time and delays of this
/// process; with a slower store each held request is followed by one that isn't held.
const PROOF_MARGIN: Duration = Duration::from_millis(250);

/// Settings and dependencies of the watch of one space.
pub struct Watch {
    /// Table from which the space is read: the store or a relay.
    pub table: Arc<dyn WatchedTable>,
    /// Name of the space; also the dependency's name in the decision log.
    pub space: &'static str,
    /// Partitions of the space, all of which a full read covers.
    pub partitions: Vec<String>,
    /// Timeouts and intervals.
    pub settings: WatchSettings,
    /// How long changes are coalesced.
    pub pace: WatchPace,
    /// Time between full reads, if longer than the minimum of the settings.
    pub full_read_pace: FullReadPace,
    /// Check of the first full read; `None` if that is used unchecked.
    pub first_read_check: Option<FirstReadCheck>,
    /// Log for lost and regained contact, and for copies that differ.
    pub log: DecisionLog,
}

impl Watch {
    /// Runs forever and passes each update to `on_update`.
    pub async fn run(self, on_update: impl FnMut(SpaceUpdate) + Send + 'static) {
        let publisher = SpacePublisher::new(Arc::default(), on_update);
        self.run_shared(Arc::new(publisher)).await;
    }

    /// Runs like `run`, on a copy that is shared with peers and that audits change too.
    pub async fn run_shared(self, publisher: Arc<SpacePublisher>) {
        WatchRun::new(self, publisher).run().await;
    }

    /// Returns the time until the next full read after a space's first one, or after the one that follows lost history
    /// or a persistent difference from a peer's copy.
    ///
    /// After lost history a full read may be stale, so the next one comes as soon as reads are current again, with
    /// jitter. After a start the feed itself detects a stale read, since it continues after the revision of that read
    /// or reports its history as lost; so the next one comes at a random time around the regular interval.
    fn second_read_delay(
        &self,
        after_lost_history: bool,
        pages: usize,
        random: &mut SmallRng,
    ) -> Duration {
        let regular = (self.full_read_pace)(pages);
        let spread = regular.min(MAX_SECOND_READ_JITTER);
        let soon = self.settings.stale_window + spread.mul_f64(random.random());
        if after_lost_history {
            return soon;
        }
        soon.max(regular.mul_f64(0.5 + random.random::<f64>()))
    }

    /// Reads the remaining pages; pages already read are kept on failure. Stops at a page older than `newest`, the
    /// copy's revision, since the full read would then be discarded as stale.
    async fn read(&self, pages: &mut FullRead, newest: u64) -> Result<(), WatchFailure> {
        while let Some(start) = pages.next_page() {
            let page = self.table.read_page(self.space, start).await;
            let page = page.map_err(|error| WatchFailure::NoContact(error.to_string()))?;
            let is_stale = page.revision < newest;
            pages.take(page);
            if is_stale {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the rows of the space's first full read that have changed since the state that it reflects.
    async fn outdated_rows(&self, reason: ReadReason, snapshot: &SpaceSnapshot) -> Vec<RowChange> {
        match &self.first_read_check {
            Some(check) if reason == ReadReason::Start => {
                let table = self.table.as_ref();
                check
                    .outdated_rows(table, self.space, snapshot, &self.log)
                    .await
            }
            _ => Vec::new(),
        }
    }

    /// Returns how long the store may hold the next request: the coalescing `interval` before it is deducted to
    /// bound the copy's age, and a request without a recent proof isn't held.
    fn hold_time(&self, proven_at: Option<Instant>, interval: Duration) -> Duration {
        let wait = self.settings.wait;
        let is_old = |moment| harrierward_clock::age(moment) > wait + PROOF_MARGIN;
        if proven_at.is_none_or(is_old) {
            return Duration::ZERO;
        }
        wait.saturating_sub(interval)
    }

    /// Requests changes; gives up if the machine was suspended meanwhile.
    async fn request_changes(
        &self,
        space: &SharedSpace,
        wait: Duration,
    ) -> Result<ChangePage, WatchFailure> {
        let suspended = harrierward_clock::suspension_noticed();
        let after = space.copy().revision();
        let request = self.table.wait_changes(self.space, after, wait);
        let response = tokio::select! {
            response = request => response,
            () = suspended => return Err(WatchFailure::Suspended),
        };
        response.map_err(|error| match error.kind {
            PlatformErrorKind::HistoryLost => WatchFailure::HistoryLost,
            _ => WatchFailure::NoContact(error.to_string()),
        })
    }

    fn log_lost(&self, cause: &str) {
        self.log.record(&Record::DependencyLost {
            dependency: self.space,
            cause,
        });
    }

    fn log_history_lost(&self, space: &SharedSpace) {
        let copy = space.copy();
        let proof_age = copy.as_of().map(harrierward_clock::age);
        self.log.record(&Record::HistoryLost {
            space: self.space,
            revision: copy.revision(),
            proof_age_ms: proof_age.map(milliseconds),
        });
    }

    /// Logs a full read; `update` is its effect, `None` if it was older than the copy of revision `before`.
    fn log_read(
        &self,
        reason: ReadReason,
        started_at: Instant,
        before: u64,
        update: Option<&SpaceUpdate>,
    ) {
        self.log.record(&Record::SpaceRead {
            space: self.space,
            reason: reason.name(),
            outcome: if update.is_some() {
                "applied"
            } else {
                "behind"
            },
            source: update.map_or("", |update| update.source.name()),
            revision_before: before,
            revision: update.map_or(before, |update| update.revision),
            written: update.map_or(0, |update| update.written.len()),
            omitted: update.map_or(0, SpaceUpdate::omitted),
            removed: update.map_or(0, |update| update.removed.len()),
            after_ms: milliseconds(harrierward_clock::age(started_at)),
        });
    }

    fn log_differs(&self, revision: u64) {
        self.log.record(&Record::CopyDiffers {
            space: self.space,
            revision,
        });
    }

    fn log_regained(&self, since: Instant) {
        self.log.record(&Record::DependencyRegained {
            dependency: self.space,
            away_ms: milliseconds(harrierward_clock::age(since)),
        });
    }
}

pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Why a space is read in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    Start,
    HistoryLost,
    Difference,
    Periodic,
}

impl ReadReason {
    fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::HistoryLost => "history lost",
            Self::Difference => "difference",
            Self::Periodic => "periodic",
        }
    }
}

/// Why a request gave no response.
enum WatchFailure {
    Suspended,
    HistoryLost,
    NoContact(String),
}
