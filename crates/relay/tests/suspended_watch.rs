//! Guards against a watch whose copy stays unproven after its machine was suspended or its process stopped.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, RowRead, SpacePage, WatchedTable,
};
use harrierward_relay::{Watch, WatchSettings, unpaced, unpaced_reads};
use tokio::sync::MutexGuard;
use tokio::time::{Instant, sleep};

/// Hold time of requests at the store.
const WAIT: Duration = Duration::from_secs(2);

/// Maximum time from resuming until the copy is proven.
const PROVEN_WITHIN: Duration = Duration::from_millis(250);

/// Latency of a call to the store.
const CALL: Duration = Duration::from_millis(5);

/// A space that never changes.
struct QuietSpace;

#[async_trait]
impl WatchedTable for QuietSpace {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        sleep(CALL).await;
        Ok(SpacePage::default())
    }

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn wait_changes(
        &self,
        _: &str,
        _: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        sleep(wait + CALL).await;
        Ok(ChangePage::default())
    }
}

/// Serializes the tests, as the clock that they manipulate is global to the process.
async fn serialize_tests() -> MutexGuard<'static, ()> {
    static LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    LOCK.lock().await
}

/// Starts a watch; returns the time of its copy's latest proof.
fn start() -> Arc<Mutex<Option<Instant>>> {
    let proven = Arc::new(Mutex::new(None));
    let latest = proven.clone();
    let watch = Watch {
        table: Arc::new(QuietSpace),
        space: "quiet",
        partitions: vec![String::new()],
        settings: WatchSettings {
            wait: WAIT,
            ..WatchSettings::default()
        },
        pace: unpaced(),
        full_read_pace: unpaced_reads(),
        first_read_check: None,
        log: DecisionLog::new(LogBounds::default()),
    };
    tokio::spawn(watch.run(move |update| *latest.lock().unwrap() = update.as_of));
    proven
}

#[tokio::test(start_paused = true)]
async fn a_watch_sends_a_new_request_at_once_after_a_suspension() {
    let _lock = serialize_tests().await;
    let proven = start();
    sleep(Duration::from_secs(1)).await;
    // Suspensions start at different points of a held request; some are shorter than the hold time.
    for suspended in [3_000, 1_200, 500, 6_000, 3_000] {
        sleep(Duration::from_millis(1_370)).await;
        harrierward_clock::simulate_suspension(Duration::from_millis(suspended));
        let resumed_at = harrierward_clock::now();
        sleep(PROVEN_WITHIN).await;
        let proof = proven.lock().unwrap().expect("a proof");
        assert!(
            proof >= resumed_at,
            "suspended for {suspended} ms: proven {:?} before it woke",
            resumed_at - proof
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_with_a_late_response_does_not_hold_the_next_request() {
    let _lock = serialize_tests().await;
    let proven = start();
    // A point between two full reads.
    sleep(Duration::from_millis(6_500)).await;
    // The process is stopped while its request is held; the response is waiting when it resumes.
    tokio::time::advance(Duration::from_secs(3)).await;
    let resumed_at = harrierward_clock::now();
    sleep(PROVEN_WITHIN).await;
    let proof = proven.lock().unwrap().expect("a proof");
    assert!(
        proof >= resumed_at,
        "proven {:?} before it went on",
        resumed_at - proof
    );
}
