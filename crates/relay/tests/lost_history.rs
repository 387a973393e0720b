//! Guards against watches that overload a store whose history is lost while its reads are behind.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, PlatformErrorKind, RowRead, SpacePage, WatchedTable,
};
use harrierward_relay::{Watch, WatchSettings, unpaced, unpaced_reads};
use tokio::time::{Instant, sleep};

/// Time of the store's response.
const RESPONSE_TIME: Duration = Duration::from_millis(4);

/// Revisions before and after the loss of the history.
const BEFORE: u64 = 7;
const AFTER: u64 = 9;

/// A store that has lost its history, and whose reads reflect the state before for a while.
struct ForgetfulStore {
    current_at: Instant,
    calls: AtomicU64,
}

#[async_trait]
impl WatchedTable for ForgetfulStore {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(RESPONSE_TIME).await;
        let is_current = Instant::now() >= self.current_at;
        Ok(SpacePage {
            revision: if is_current { AFTER } else { BEFORE },
            ..SpacePage::default()
        })
    }

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn wait_changes(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(RESPONSE_TIME).await;
        if after < AFTER {
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

/// A read that is as old as the copy is no success: each one would be followed at once by the next lost history, for as
/// long as reads are behind, at all daemons.
#[tokio::test(start_paused = true)]
async fn a_watch_backs_off_while_reads_after_lost_history_are_behind() {
    let behind = Duration::from_secs(6);
    let store = Arc::new(ForgetfulStore {
        current_at: Instant::now() + behind,
        calls: AtomicU64::new(0),
    });
    let watch = Watch {
        table: store.clone(),
        space: "space",
        partitions: vec![String::new()],
        settings: WatchSettings::default(),
        pace: unpaced(),
        full_read_pace: unpaced_reads(),
        first_read_check: None,
        log: DecisionLog::new(LogBounds::default()),
    };
    let newest = Arc::new(AtomicU64::new(0));
    let noted = newest.clone();
    let running = tokio::spawn(watch.run(move |update| {
        noted.fetch_max(update.revision, Ordering::Relaxed);
    }));
    sleep(behind).await;
    let calls = store.calls.load(Ordering::Relaxed);
    // Full jitter up to the maximum backoff of 0.5 s: a read and a request for changes each 0.25 s on the mean.
    assert!(calls <= 80, "{calls} calls in {behind:?}");
    sleep(Duration::from_millis(600)).await;
    assert_eq!(
        newest.load(Ordering::Relaxed),
        AFTER,
        "current reads are used soon"
    );
    running.abort();
}
