//! Watches of a large fleet gather changes, so that each change does not make every daemon call the store at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, PlatformErrorKind, Row, RowChange, RowReading, SpacePage,
    WatchedTable,
};
use harrierward_relay::{
    Watch, WatchPace, WatchSettings, coalescing_interval, full_read_interval, unpaced,
    unpaced_reads,
};
use tokio::time::{Instant, sleep, timeout};

/// A row changes every 10 ms.
const CHANGE_EVERY: Duration = Duration::from_millis(10);

/// A space of one row that changes all the time until `quiet_after`, then never.
struct BusySpace {
    start: Instant,
    quiet_after: Duration,
    calls: AtomicU64,
    longest_wait: Mutex<Duration>,
}

impl BusySpace {
    fn new(quiet_after: Duration) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            quiet_after,
            calls: AtomicU64::new(0),
            longest_wait: Mutex::default(),
        })
    }

    fn revision(&self) -> u64 {
        let passed = self.start.elapsed().min(self.quiet_after);
        1 + u64::try_from(passed.as_millis() / CHANGE_EVERY.as_millis()).unwrap_or(u64::MAX)
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

    async fn read_row(&self, _key: &str) -> Result<RowReading, PlatformError> {
        Ok(RowReading::default())
    }

    async fn wait_changes(
        &self,
        _space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        {
            let mut longest = self.longest_wait.lock().unwrap();
            *longest = wait.max(*longest);
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

/// Drives a watch for `time`; returns the calls that it made and the newest revision that it told of.
async fn drive(space: &Arc<BusySpace>, pace: WatchPace, time: Duration) -> (u64, u64) {
    let newest = Arc::new(AtomicU64::new(0));
    let told = newest.clone();
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
        log: DecisionLog::new(LogBounds::default()),
    };
    let running = watch.run(move |update| {
        for row in update.written {
            told.fetch_max(row.revision, Ordering::Relaxed);
        }
    });
    let _ = timeout(time, running).await;
    (
        space.calls.load(Ordering::Relaxed),
        newest.load(Ordering::Relaxed),
    )
}

#[tokio::test(start_paused = true)]
async fn a_large_fleet_gathers_changes() {
    let time = Duration::from_secs(10);
    let space = BusySpace::new(time);
    let interval = Duration::from_millis(250);
    let (calls, newest) = drive(&space, Arc::new(move || interval), time).await;
    assert!(calls <= 45, "{calls} calls in 10 s");
    assert!(
        newest + 30 >= space.revision(),
        "at most an interval behind"
    );

    let busy = BusySpace::new(time);
    let (unpaced_calls, _) = drive(&busy, unpaced(), time).await;
    assert!(
        unpaced_calls > 500,
        "the space wakes an unpaced watch at each change"
    );
}

#[tokio::test(start_paused = true)]
async fn the_last_change_is_told_within_the_interval_and_the_copy_grows_no_older_than_the_wait() {
    let space = BusySpace::new(Duration::from_secs(1));
    let interval = Duration::from_millis(400);
    let time = Duration::from_millis(1_400);
    let (_, newest) = drive(&space, Arc::new(move || interval), time).await;
    assert_eq!(newest, space.revision());
    let longest = *space.longest_wait.lock().unwrap();
    assert!(longest <= WatchSettings::default().wait);
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

/// Whole reads of all daemons together stay within their share of the store's reads, at any size.
#[test]
fn whole_reads_of_a_large_fleet_come_more_rarely() {
    let reads = 16_000.0;
    for daemons in [11, 95, 295, 520] {
        let every = full_read_interval(daemons, 8, reads);
        let calls_a_second = 8.0 * daemons as f64 / every.as_secs_f64();
        assert!(calls_a_second <= reads * 0.01 + 1.0, "{calls_a_second}");
    }
    assert!(full_read_interval(11, 8, reads) < WatchSettings::default().full_read_interval);
    assert_eq!(full_read_interval(12, 1, 0.0), Duration::ZERO);
}

/// Pages of the space that many daemons read at once.
const PAGES: usize = 7;

/// Pages that its store answers in a second, of all daemons.
const PAGES_A_SECOND: f64 = 400.0;

/// A space of some pages in a store that refuses what is asked beyond its rate.
struct CrowdedSpace {
    start: Instant,
    /// Until then, questions for changes are told that the history is lost.
    forgotten_until: Duration,
    budget: Mutex<(f64, Instant)>,
    answered: AtomicU64,
    refused: AtomicU64,
}

impl CrowdedSpace {
    fn new() -> Arc<Self> {
        Self::forgetful(Duration::ZERO)
    }

    fn forgetful(forgotten_until: Duration) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            forgotten_until,
            budget: Mutex::new((0.0, Instant::now())),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    fn takes_call(&self) -> bool {
        let mut budget = self.budget.lock().unwrap();
        let now = Instant::now();
        let earned = (now - budget.1).as_secs_f64() * PAGES_A_SECOND;
        *budget = ((budget.0 + earned).min(PAGES_A_SECOND / 10.0), now);
        if budget.0 < 1.0 {
            return false;
        }
        budget.0 -= 1.0;
        true
    }
}

#[async_trait]
impl WatchedTable for CrowdedSpace {
    async fn read_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        sleep(Duration::from_millis(4)).await;
        if !self.takes_call() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            let kind = PlatformErrorKind::RateLimited {
                retry_after: Duration::from_millis(100),
            };
            return Err(PlatformError::new("read", "store", kind, "too many"));
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
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

    async fn read_row(&self, _key: &str) -> Result<RowReading, PlatformError> {
        Ok(RowReading::default())
    }

    async fn wait_changes(
        &self,
        _space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        if self.start.elapsed() < self.forgotten_until {
            sleep(self.forgotten_until.saturating_sub(self.start.elapsed())).await;
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

/// Daemons of a fleet of 300 that have read everything when twice the least time has passed in which a store that takes
/// a fifth of their calls a second can answer all pages.
async fn daemons_that_have_read(resume_window: Duration) -> usize {
    const DAEMONS: usize = 300;
    let space = CrowdedSpace::new();
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
    let least = (DAEMONS * PAGES) as f64 / PAGES_A_SECOND;
    sleep(Duration::from_secs_f64(least * 2.0)).await;
    for watch in watches {
        watch.abort();
    }
    let answered = space.answered.load(Ordering::Relaxed);
    assert!(
        answered > 0,
        "{answered} pages in {:?}",
        space.start.elapsed()
    );
    usize::try_from(read.load(Ordering::Relaxed)).unwrap()
}

/// All daemons of a large fleet start at once: a page that is refused costs that page only. Reads that begin anew show
/// that the test can fail.
#[tokio::test(start_paused = true)]
async fn reads_of_a_crowded_store_go_on_where_they_were_refused() {
    let resumed = daemons_that_have_read(Duration::from_secs(60)).await;
    assert!(resumed >= 290, "{resumed} of 300");
    let anew = daemons_that_have_read(Duration::ZERO).await;
    assert!(anew <= 100, "{anew} of 300");
}

/// When all daemons of the tests below have read everything at their start and lose the store's history.
const FORGOTTEN_AT: Duration = Duration::from_secs(4);

/// Refused calls of second reads after lost history, where these may be spread over so long.
async fn refused_second_reads(spread: Duration) -> u64 {
    const DAEMONS: usize = 60;
    let space = CrowdedSpace::forgetful(FORGOTTEN_AT);
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
            log: DecisionLog::new(LogBounds::default()),
        };
        tokio::spawn(watch.run(|_| {}))
    });
    let watches: Vec<_> = watches.collect();
    sleep(FORGOTTEN_AT + Duration::from_secs(8)).await;
    let first = space.refused.load(Ordering::Relaxed);
    sleep(Duration::from_secs(12)).await;
    for watch in watches {
        watch.abort();
    }
    space.refused.load(Ordering::Relaxed) - first
}

/// Daemons that have lost the history together read once more at different moments, so that their questions for changes are not
/// refused meanwhile.
#[tokio::test(start_paused = true)]
async fn second_reads_are_spread() {
    let spread = refused_second_reads(Duration::from_secs(4)).await;
    let at_once = refused_second_reads(Duration::ZERO).await;
    assert!(spread * 5 < at_once, "{spread} refused, {at_once} at once");
}

/// Pages that daemons read within a time after their start, where whole reads are due so seldom.
async fn pages_read(space: &Arc<CrowdedSpace>, regular: Duration, time: Duration) -> usize {
    const DAEMONS: usize = 20;
    let watches = (0..DAEMONS).map(|_| {
        let watch = Watch {
            table: space.clone(),
            space: "space",
            partitions: vec![String::new()],
            settings: WatchSettings::default(),
            pace: unpaced(),
            full_read_pace: Arc::new(move |_| regular),
            log: DecisionLog::new(LogBounds::default()),
        };
        tokio::spawn(watch.run(|_| {}))
    });
    let watches: Vec<_> = watches.collect();
    sleep(time).await;
    for watch in watches {
        watch.abort();
    }
    let pages = space.answered.load(Ordering::Relaxed);
    usize::try_from(pages).unwrap() / DAEMONS
}

/// A start alone makes no read stale: daemons of a large fleet read everything once, and again when it is due.
#[tokio::test(start_paused = true)]
async fn daemons_of_a_large_fleet_that_start_read_everything_once() {
    let regular = Duration::from_secs(40);
    let start = pages_read(&CrowdedSpace::new(), regular, Duration::from_secs(15)).await;
    assert_eq!(start, PAGES);
    let later = pages_read(&CrowdedSpace::new(), regular, Duration::from_secs(61)).await;
    // The earliest may be at their third.
    assert!((2 * PAGES..=2 * PAGES + 1).contains(&later), "{later}");
}

/// After lost history a read may be stale, at any size of the fleet; and a small fleet reads again soon in any case.
#[tokio::test(start_paused = true)]
async fn lost_history_is_followed_by_two_reads_soon() {
    let regular = Duration::from_secs(100);
    let space = CrowdedSpace::forgetful(FORGOTTEN_AT);
    let time = FORGOTTEN_AT + Duration::from_secs(12);
    assert_eq!(pages_read(&space, regular, time).await, 3 * PAGES);
    let small = pages_read(&CrowdedSpace::new(), Duration::ZERO, Duration::from_secs(6)).await;
    assert_eq!(small, 2 * PAGES);
}
