//! Watches of a large fleet gather changes, so that each change does not make every daemon call the store at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{
    Watch, WatchPace, WatchSettings, gathering_interval, unpaced, whole_read_interval,
};
use harrierward_external::{ChangePage, PlatformError, RowChange, SpaceSnapshot, WatchedTable};
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
    async fn read_space(
        &self,
        _space: &str,
        _partitions: &[String],
    ) -> Result<SpaceSnapshot, PlatformError> {
        Ok(SpaceSnapshot {
            revision: self.revision(),
            ..SpaceSnapshot::default()
        })
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
            whole_read_every: Duration::from_secs(1_000),
            ..WatchSettings::default()
        },
        pace,
        whole_read_pace: unpaced(),
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
    let small = gathering_interval(12, reads);
    let large = gathering_interval(30, reads);
    assert!(small < large);
    assert!(gathering_interval(520, reads) <= Duration::from_millis(800));
    assert_eq!(gathering_interval(12, 0.0), Duration::ZERO);
}

/// Whole reads of all daemons together stay within their share of the store's reads, at any size.
#[test]
fn whole_reads_of_a_large_fleet_come_more_rarely() {
    let reads = 16_000.0;
    for daemons in [11, 95, 295, 520] {
        let every = whole_read_interval(daemons, 8, reads);
        let calls_a_second = 8.0 * daemons as f64 / every.as_secs_f64();
        assert!(calls_a_second <= reads * 0.01 + 1.0, "{calls_a_second}");
    }
    assert!(whole_read_interval(11, 8, reads) < WatchSettings::default().whole_read_every);
    assert_eq!(whole_read_interval(12, 1, 0.0), Duration::ZERO);
}
