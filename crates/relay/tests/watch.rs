//! Guards against watches of a large fleet that overload the store with requests for changes or full reads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, PlatformErrorKind, Row, RowChange, RowRead, SpacePage,
    WatchedTable,
};
use harrierward_relay::{
    Watch, WatchPace, WatchSettings, coalescing_interval, full_read_interval, unpaced,
    unpaced_reads,
};
use tokio::time::{Instant, sleep, timeout};

/// Interval of changes of the row.
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);

/// A space of one row that changes until `quiet_after`, and never again.
struct BusySpace {
    start: Instant,
    quiet_after: Duration,
    calls: AtomicU64,
    max_wait: Mutex<Duration>,
}

impl BusySpace {
    fn new(quiet_after: Duration) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            quiet_after,
            calls: AtomicU64::new(0),
            max_wait: Mutex::default(),
        })
    }

    fn revision(&self) -> u64 {
        let passed = self.start.elapsed().min(self.quiet_after);
        1 + u64::try_from(passed.as_millis() / CHANGE_INTERVAL.as_millis()).unwrap_or(u64::MAX)
    }
}

#[async_trait]
impl WatchedTable for BusySpace {
    async fn read_page(
        &self,
        _space: &str,
        _start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        Ok(SpacePage {
            revision: self.revision(),
            ..SpacePage::default()
        })
    }

    async fn read_row(&self, _key: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn wait_changes(
        &self,
        _space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        {
            let mut max_wait = self.max_wait.lock().unwrap();
            *max_wait = wait.max(*max_wait);
        }
        let changed = async {
            while self.revision() <= after {
                sleep(Duration::from_millis(1)).await;
            }
        };
        let _ = timeout(wait, changed).await;
        let revision = self.revision();
        let change = RowChange {
            key: "row".to_owned(),
            revision,
            value: Some(Bytes::new()),
        };
        Ok(ChangePage {
            changes: if revision > after {
                vec![change]
            } else {
                Vec::new()
            },
            revision,
            store_time_ms: 0,
            proof: None,
        })
    }
}

/// Runs a watch for `time`; returns the number of its calls and the newest revision that it passed on.
async fn run_watch(space: &Arc<BusySpace>, pace: WatchPace, time: Duration) -> (u64, u64) {
    let newest = Arc::new(AtomicU64::new(0));
    let newest_written = newest.clone();
    let watch = Watch {
        table: space.clone(),
        space: "space",
        partitions: vec![String::new()],
        settings: WatchSettings {
            full_read_interval: Duration::from_secs(1_000),
            ..WatchSettings::default()
        },
        pace,
        full_read_pace: unpaced_reads(),
        first_read_check: None,
        log: DecisionLog::new(LogBounds::default()),
    };
    let running = watch.run(move |update| {
        for row in update.written {
            newest_written.fetch_max(row.revision, Ordering::Relaxed);
        }
    });
    let _ = timeout(time, running).await;
    (
        space.calls.load(Ordering::Relaxed),
        newest.load(Ordering::Relaxed),
    )
}

#[tokio::test(start_paused = true)]
async fn a_large_fleet_coalesces_changes() {
    let time = Duration::from_secs(10);
    let space = BusySpace::new(time);
    let interval = Duration::from_millis(250);
    let (calls, newest) = run_watch(&space, Arc::new(move || interval), time).await;
    assert!(calls <= 45, "{calls} calls in 10 s");
    assert!(
        newest + 30 >= space.revision(),
        "at most an interval behind"
    );

    let busy = BusySpace::new(time);
    let (unpaced_calls, _) = run_watch(&busy, unpaced(), time).await;
    assert!(
        unpaced_calls > 500,
        "the space wakes an unpaced watch at each change"
    );
}

#[tokio::test(start_paused = true)]
async fn the_last_change_arrives_within_the_interval_and_the_hold_time_is_bounded() {
    let space = BusySpace::new(Duration::from_secs(1));
    let interval = Duration::from_millis(400);
    let time = Duration::from_millis(1_400);
    let (_, newest) = run_watch(&space, Arc::new(move || interval), time).await;
    assert_eq!(newest, space.revision());
    let max_wait = *space.max_wait.lock().unwrap();
    assert!(max_wait <= WatchSettings::default().wait);
}

#[test]
fn the_interval_grows_with_the_fleet_and_is_bounded() {
    let reads = 2_000.0;
    let small = coalescing_interval(12, reads);
    let large = coalescing_interval(30, reads);
    assert!(small < large);
    assert!(coalescing_interval(520, reads) <= Duration::from_millis(800));
    assert_eq!(coalescing_interval(12, 0.0), Duration::ZERO);
}

/// Full reads of all daemons together stay within their part of the store's read rate at any fleet size.
#[test]
fn full_reads_are_rarer_in_a_large_fleet() {
    let reads = 16_000.0;
    for daemons in [11, 95, 295, 520] {
        let interval = full_read_interval(daemons, 8, reads);
        let calls_per_second = 8.0 * daemons as f64 / interval.as_secs_f64();
        assert!(calls_per_second <= reads * 0.01 + 1.0, "{calls_per_second}");
    }
    assert!(full_read_interval(11, 8, reads) < WatchSettings::default().full_read_interval);
    assert_eq!(full_read_interval(12, 1, 0.0), Duration::ZERO);
}

/// Number of pages of the space.
const PAGES: usize = 7;

/// Rate limit of the store for all daemons together.
const PAGES_PER_SECOND: f64 = 400.0;

/// A space in a store that refuses calls above its rate limit.
struct RateLimitedSpace {
    start: Instant,
    /// Time from the start until which requests for changes fail with lost history.
    history_lost_until: Duration,
    budget: Mutex<(f64, Instant)>,
    served: AtomicU64,
    refused: AtomicU64,
}

impl RateLimitedSpace {
    fn new() -> Arc<Self> {
        Self::with_lost_history(Duration::ZERO)
    }

    fn with_lost_history(history_lost_until: Duration) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            history_lost_until,
            budget: Mutex::new((0.0, Instant::now())),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    fn admits_call(&self) -> bool {
        let mut budget = self.budget.lock().unwrap();
        let now = Instant::now();
        let earned = (now - budget.1).as_secs_f64() * PAGES_PER_SECOND;
        *budget = ((budget.0 + earned).min(PAGES_PER_SECOND / 10.0), now);
        if budget.0 < 1.0 {
            return false;
        }
        budget.0 -= 1.0;
        true
    }
}

#[async_trait]
impl WatchedTable for RateLimitedSpace {
    async fn read_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        sleep(Duration::from_millis(4)).await;
        if !self.admits_call() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            let kind = PlatformErrorKind::RateLimited {
                retry_after: Duration::from_millis(100),
            };
            return Err(PlatformError::new("read", "store", kind, "too many"));
        }
        self.served.fetch_add(1, Ordering::Relaxed);
        let page: usize = start.from.parse().unwrap_or_default();
        Ok(SpacePage {
            rows: vec![Row {
                key: format!("{space}//{page}"),
                value: Bytes::new(),
                revision: 1,
            }],
            next: (page + 1 < PAGES).then(|| (page + 1).to_string()),
            revision: 1,
            store_time_ms: 0,
            proof: None,
        })
    }

    async fn read_row(&self, _key: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn wait_changes(
        &self,
        _space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        if self.start.elapsed() < self.history_lost_until {
            sleep(self.history_lost_until.saturating_sub(self.start.elapsed())).await;
            let kind = PlatformErrorKind::HistoryLost;
            return Err(PlatformError::new("changes", "store", kind, "forgotten"));
        }
        sleep(wait).await;
        Ok(ChangePage {
            revision: after,
            ..ChangePage::default()
        })
    }
}

/// Returns how many of 300 daemons have completed a full read after twice the minimum time that the store's rate limit
/// allows for all pages.
async fn daemons_that_have_read(resume_window: Duration) -> usize {
    const DAEMONS: usize = 300;
    let space = RateLimitedSpace::new();
    let read = Arc::new(AtomicU64::new(0));
    let watches = (0..DAEMONS).map(|_| {
        let watch = Watch {
            table: space.clone(),
            space: "space",
            partitions: vec![String::new()],
            settings: WatchSettings {
                stale_window: Duration::from_secs(1_000),
                resume_window,
                ..WatchSettings::default()
            },
            pace: unpaced(),
            full_read_pace: unpaced_reads(),
            first_read_check: None,
            log: DecisionLog::new(LogBounds::default()),
        };
        let read = read.clone();
        tokio::spawn(watch.run(move |update| {
            if update.written.len() == PAGES {
                read.fetch_add(1, Ordering::Relaxed);
            }
        }))
    });
    let watches: Vec<_> = watches.collect();
    #[allow(clippy::cast_precision_loss)]
    let min_seconds = (DAEMONS * PAGES) as f64 / PAGES_PER_SECOND;
    sleep(Duration::from_secs_f64(min_seconds * 2.0)).await;
    for watch in watches {
        watch.abort();
    }
    let served = space.served.load(Ordering::Relaxed);
    assert!(served > 0, "{served} pages in {:?}", space.start.elapsed());
    usize::try_from(read.load(Ordering::Relaxed)).unwrap()
}

/// A refused page must not restart the full read; with resumption disabled most daemons don't finish in time.
#[tokio::test(start_paused = true)]
async fn refused_full_reads_resume_at_the_refused_page() {
    let resumed = daemons_that_have_read(Duration::from_secs(60)).await;
    assert!(resumed >= 290, "{resumed} of 300");
    let restarted = daemons_that_have_read(Duration::ZERO).await;
    assert!(restarted <= 100, "{restarted} of 300");
}

/// Time at which the history is lost; all daemons have completed their first full read by then.
const HISTORY_LOST_AT: Duration = Duration::from_secs(4);

/// Returns the number of refused calls of the second full reads after lost history, with jitter up to `spread`.
async fn refused_second_reads(spread: Duration) -> u64 {
    const DAEMONS: usize = 60;
    let space = RateLimitedSpace::with_lost_history(HISTORY_LOST_AT);
    let watches = (0..DAEMONS).map(|_| {
        let watch = Watch {
            table: space.clone(),
            space: "space",
            partitions: vec![String::new()],
            settings: WatchSettings {
                stale_window: Duration::from_secs(10),
                full_read_interval: Duration::from_secs(1_000),
                ..WatchSettings::default()
            },
            pace: unpaced(),
            full_read_pace: Arc::new(move |_| spread),
            first_read_check: None,
            log: DecisionLog::new(LogBounds::default()),
        };
        tokio::spawn(watch.run(|_| {}))
    });
    let watches: Vec<_> = watches.collect();
    sleep(HISTORY_LOST_AT + Duration::from_secs(8)).await;
    let first = space.refused.load(Ordering::Relaxed);
    sleep(Duration::from_secs(12)).await;
    for watch in watches {
        watch.abort();
    }
    space.refused.load(Ordering::Relaxed) - first
}

/// Second full reads after lost history must be jittered, against a thundering herd at the store.
#[tokio::test(start_paused = true)]
async fn second_full_reads_are_jittered() {
    let spread = refused_second_reads(Duration::from_secs(4)).await;
    let at_once = refused_second_reads(Duration::ZERO).await;
    assert!(spread * 5 < at_once, "{spread} refused, {at_once} at once");
}

/// Returns the mean number of pages that a daemon reads within `time`, with full reads at the interval `regular`.
async fn pages_per_daemon(
    space: &Arc<RateLimitedSpace>,
    regular: Duration,
    time: Duration,
) -> usize {
    const DAEMONS: usize = 20;
    let watches = (0..DAEMONS).map(|_| {
        let watch = Watch {
            table: space.clone(),
            space: "space",
            partitions: vec![String::new()],
            settings: WatchSettings::default(),
            pace: unpaced(),
            full_read_pace: Arc::new(move |_| regular),
            first_read_check: None,
            log: DecisionLog::new(LogBounds::default()),
        };
        tokio::spawn(watch.run(|_| {}))
    });
    let watches: Vec<_> = watches.collect();
    sleep(time).await;
    for watch in watches {
        watch.abort();
    }
    let pages = space.served.load(Ordering::Relaxed);
    usize::try_from(pages).unwrap() / DAEMONS
}

/// A start alone must not cause a second full read before it is due.
#[tokio::test(start_paused = true)]
async fn starting_daemons_of_a_large_fleet_do_one_full_read() {
    let regular = Duration::from_secs(40);
    let start = pages_per_daemon(&RateLimitedSpace::new(), regular, Duration::from_secs(15)).await;
    assert_eq!(start, PAGES);
    let later = pages_per_daemon(&RateLimitedSpace::new(), regular, Duration::from_secs(61)).await;
    // Due to jitter some daemons may have begun their third read.
    assert!((2 * PAGES..=2 * PAGES + 1).contains(&later), "{later}");
}

/// After lost history two full reads must follow soon, as the first may be stale.
#[tokio::test(start_paused = true)]
async fn two_full_reads_follow_lost_history() {
    let regular = Duration::from_secs(100);
    let space = RateLimitedSpace::with_lost_history(HISTORY_LOST_AT);
    let time = HISTORY_LOST_AT + Duration::from_secs(12);
    assert_eq!(pages_per_daemon(&space, regular, time).await, 3 * PAGES);
    let small = pages_per_daemon(
        &RateLimitedSpace::new(),
        Duration::ZERO,
        Duration::from_secs(6),
    )
    .await;
    assert_eq!(small, 2 * PAGES);
}
