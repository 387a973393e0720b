//! Guards against a daemon that starts on a read which is behind the store, and uses what has changed since.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, PlatformErrorKind, Row, RowChange, RowCheck, RowRead,
    RowVersion, SpacePage, WatchedTable,
};
use harrierward_relay::{
    FirstReadCheck, SpaceUpdate, Watch, WatchSettings, unpaced, unpaced_reads,
};
use tokio::time::sleep;

/// Revision that reads reflect, and the store's own.
const BEHIND: u64 = 5;
const CURRENT: u64 = 9;

/// A store whose reads and changes are behind; since then the row `left` was removed and `added` was written.
#[derive(Default)]
struct StoreBehind {
    /// Number of further rows.
    others: usize,
    refuses_checks: bool,
    checks: AtomicU64,
    loses_history: bool,
}

fn row(key: &str) -> Row {
    Row {
        key: key.to_owned(),
        value: Bytes::from_static(b"value"),
        revision: BEHIND,
    }
}

fn not_done(cause: &str) -> PlatformError {
    PlatformError::new("store", "store", PlatformErrorKind::NotDone, cause)
}

#[async_trait]
impl WatchedTable for StoreBehind {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        let others = (0..self.others).map(|number| row(&format!("other-{number}")));
        Ok(SpacePage {
            rows: others.chain([row("left")]).collect(),
            revision: BEHIND,
            ..SpacePage::default()
        })
    }

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn check_rows(&self, rows: &[RowVersion]) -> Result<RowCheck, PlatformError> {
        self.checks.fetch_add(1, Ordering::Relaxed);
        if self.refuses_checks {
            return Err(not_done("turned away"));
        }
        let changes = rows.iter().filter_map(|row| {
            let value = match row.key.as_str() {
                "left" => None,
                "added" => Some(Bytes::from_static(b"value")),
                _ => return None,
            };
            Some(RowChange {
                key: row.key.clone(),
                revision: CURRENT,
                value,
            })
        });
        Ok(RowCheck {
            changes: changes.collect(),
            revision: CURRENT,
        })
    }

    async fn wait_changes(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        sleep(wait).await;
        if self.loses_history {
            let kind = PlatformErrorKind::HistoryLost;
            return Err(PlatformError::new("changes", "store", kind, "forgotten"));
        }
        Ok(ChangePage {
            revision: after,
            ..ChangePage::default()
        })
    }
}

/// Runs a watch for a while; returns its updates.
async fn updates_of(store: Arc<StoreBehind>) -> Vec<SpaceUpdate> {
    let watch = Watch {
        table: store,
        space: "space",
        partitions: vec![String::new()],
        settings: WatchSettings::default(),
        pace: unpaced(),
        full_read_pace: unpaced_reads(),
        first_read_check: Some(FirstReadCheck {
            expected_keys: vec!["added".to_owned()],
        }),
        log: DecisionLog::new(LogBounds::default()),
    };
    let updates = Arc::new(Mutex::new(Vec::new()));
    let received = updates.clone();
    let running = tokio::spawn(watch.run(move |update| {
        received.lock().expect("not poisoned").push(update);
    }));
    sleep(Duration::from_secs(30)).await;
    running.abort();
    let updates = updates.lock().expect("not poisoned");
    updates.clone()
}

fn writes(updates: &[SpaceUpdate], key: &str) -> bool {
    let mut written = updates.iter().flat_map(|update| &update.written);
    written.any(|row| row.key == key)
}

/// Guards against a first read that is used before what has changed since is known.
#[tokio::test(start_paused = true)]
async fn rows_that_changed_since_a_first_read_are_never_used() {
    let store = Arc::new(StoreBehind::default());
    let updates = updates_of(store.clone()).await;
    assert!(!writes(&updates, "left"));
    assert!(writes(&updates[..1], "added"), "{:?}", updates[0]);
    assert_eq!(store.checks.load(Ordering::Relaxed), 1, "checks");
}

/// Guards against a later read, as far behind as the first one, that brings a removed row back.
#[tokio::test(start_paused = true)]
async fn a_further_read_that_is_behind_brings_no_row_back() {
    let store = Arc::new(StoreBehind {
        loses_history: true,
        ..StoreBehind::default()
    });
    assert!(!writes(&updates_of(store).await, "left"));
}

/// Guards against a daemon that cannot start while the store refuses transactions.
#[tokio::test(start_paused = true)]
async fn a_first_read_is_used_if_its_check_fails() {
    let store = Arc::new(StoreBehind {
        refuses_checks: true,
        ..StoreBehind::default()
    });
    assert!(writes(&updates_of(store).await, "left"));
}

/// Guards against starting daemons that take the store's write rate for a large space.
#[tokio::test(start_paused = true)]
async fn the_first_read_of_a_large_space_is_not_checked() {
    let store = Arc::new(StoreBehind {
        others: 1_000,
        ..StoreBehind::default()
    });
    updates_of(store.clone()).await;
    assert_eq!(store.checks.load(Ordering::Relaxed), 0, "checks");
}
