//! A watch whose machine was suspended asks the store anew at once.
//!
//! What happened: a daemon woke after some seconds and refused requests on routes that it did not know with 503 for another
//! 0.8 to 2.7 s, and sent cold replicas more than they bear, since it had not heard yet that they had started again. Its watches
//! still waited for the answers to questions from before, held by the store for 2 s of a clock that had stood still, and those
//! answers proved nothing; the next questions were held again. What showed it: the lines `refused` of such daemons name
//! `stale_configuration` beside a `configuration_age_ms` that goes on growing after the line `suspended`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, RowReading, SpacePage, WatchedTable,
};
use harrierward_relay::{Watch, WatchSettings, unpaced, unpaced_reads};
use tokio::sync::MutexGuard;
use tokio::time::{Instant, sleep};

/// How long the store holds a question, as for spaces that seldom change.
const WAIT: Duration = Duration::from_secs(2);

/// Time after waking within which the copy is proven: a small part of the 2 s within which a configuration is in force.
const PROVEN_WITHIN: Duration = Duration::from_millis(250);

/// What a call to the store takes.
const CALL: Duration = Duration::from_millis(5);

/// A store in which nothing changes.
struct QuietSpace;

#[async_trait]
impl WatchedTable for QuietSpace {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        sleep(CALL).await;
        Ok(SpacePage::default())
    }

    async fn read_row(&self, _: &str) -> Result<RowReading, PlatformError> {
        Ok(RowReading::default())
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

/// The clock is the process's, so one test at a time may let it jump.
async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    TURN.lock().await
}

/// Starts a watch; gives the moment of which its copy was last known to be true.
fn start() -> Arc<Mutex<Option<Instant>>> {
    let proven = Arc::new(Mutex::new(None));
    let told = proven.clone();
    let watch = Watch {
        table: Arc::new(QuietSpace),
        space: "quiet",
        partitions: vec![String::new()],
        settings: WatchSettings {
            wait: WAIT,
            ..WatchSettings::default()
        },
        pace: unpaced(),
        whole_read_pace: unpaced_reads(),
        log: DecisionLog::new(LogBounds::default()),
    };
    tokio::spawn(watch.run(move |update| *told.lock().unwrap() = update.as_of));
    proven
}

#[tokio::test(start_paused = true)]
async fn a_watch_asks_anew_at_once_when_its_machine_wakes() {
    let _turn = one_at_a_time().await;
    let proven = start();
    sleep(Duration::from_secs(1)).await;
    // At other moments of the question that is under way; some suspensions are shorter than it is held.
    for suspended in [3_000, 1_200, 500, 6_000, 3_000] {
        sleep(Duration::from_millis(1_370)).await;
        harrierward_clock::simulate_suspension(Duration::from_millis(suspended));
        let woke = harrierward_clock::now();
        sleep(PROVEN_WITHIN).await;
        let known = proven.lock().unwrap().expect("a proof");
        assert!(
            known >= woke,
            "suspended for {suspended} ms: proven {:?} before it woke",
            woke - known
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_whose_answer_came_late_does_not_wait_for_the_next() {
    let _turn = one_at_a_time().await;
    let proven = start();
    // Between two whole reads.
    sleep(Duration::from_millis(6_500)).await;
    // The process is stopped while its question is held; its answer lies there when it goes on.
    tokio::time::advance(Duration::from_secs(3)).await;
    let went_on = harrierward_clock::now();
    sleep(PROVEN_WITHIN).await;
    let known = proven.lock().unwrap().expect("a proof");
    assert!(
        known >= went_on,
        "proven {:?} before it went on",
        went_on - known
    );
}
