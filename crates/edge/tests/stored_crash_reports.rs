//! Crash reports in the store: which daemon writes them and when, and how a row's age counts when it is read.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{ConnectionPool, PoolSettings, QuarantineService};
use harrierward_external::{
    PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction, TransactionOutcome,
    Write,
};
use harrierward_inline_jobs::crash_reports_key;
use harrierward_quarantine::{ContentId, Status};
use harrierward_serving::{Quarantine, ReplicaSet};
use harrierward_wire::{
    CrashNews, CrashNewsRow, CrashedContent, ReplicaEnd, decode, encode, node_datagram::Kind,
};
use tokio::time::sleep;

const CONTENT: ContentId = ContentId(5);
const INSTANCE_ID: &str = "node@1";

/// The store's clock, in milliseconds.
const NOW_MS: u64 = 100_000_000;

/// Time after which a crash report expires, and the first quarantine, which follows the third crash.
const CRASH_TTL_MS: u64 = 3_600_000;
const FIRST_QUARANTINE_MS: u64 = 600_000;

/// Minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Longer than two successive writes take.
const SETTLED: Duration = Duration::from_millis(900);

/// A store that records writes, after failing the first ones.
#[derive(Default)]
struct Rows {
    written: Mutex<Vec<(String, Bytes)>>,
    failures: Mutex<usize>,
}

impl Rows {
    fn written(&self) -> Vec<CrashNewsRow> {
        let written = self.written.lock().expect("rows");
        assert!(
            written
                .iter()
                .all(|(key, _)| *key == crash_reports_key(INSTANCE_ID))
        );
        let rows = written.iter().map(|(_, value)| decode(value));
        rows.map(|row| row.expect("a row of crash reports"))
            .collect()
    }
}

#[async_trait]
impl Table for Rows {
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        assert_eq!(class, RequestClass::Commit);
        assert!(transaction.conditions.is_empty());
        let mut failures = self.failures.lock().expect("failures");
        if *failures > 0 {
            *failures -= 1;
            let kind = PlatformErrorKind::Unknown;
            return Err(PlatformError::new("transact", "store", kind, "no answer"));
        }
        let mut written = self.written.lock().expect("rows");
        for write in transaction.writes {
            if let Write::Put { key, value } = write {
                written.push((key, value));
            }
        }
        let revision = written.len() as u64;
        Ok(TransactionOutcome::Committed { revision })
    }

    async fn get(
        &self,
        _class: RequestClass,
        _keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        Ok(Vec::new())
    }

    async fn scan(
        &self,
        _class: RequestClass,
        _prefix: &str,
        _after: &str,
        _limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        Ok(Vec::new())
    }
}

fn quarantine() -> QuarantineService {
    let log = DecisionLog::new(LogBounds::default());
    let pool = ConnectionPool::new(PoolSettings::default(), log.clone());
    QuarantineService::new(
        INSTANCE_ID.to_owned(),
        Arc::new(ReplicaSet::default()),
        pool,
        log,
    )
}

/// Starts a quarantine with a row in a store whose first writes fail.
fn with_store(failures: usize) -> (QuarantineService, Arc<Rows>) {
    let rows = Arc::new(Rows {
        failures: Mutex::new(failures),
        ..Rows::default()
    });
    let quarantine = quarantine();
    tokio::spawn(quarantine.clone().run_row_writer(rows.clone(), || NOW_MS));
    (quarantine, rows)
}

/// Returns a report of three crashes under one content.
fn three_crashes(content: ContentId) -> CrashNews {
    let crashes = (1..=3).map(|replica| ReplicaEnd { replica, age_ms: 0 });
    CrashNews {
        contents: vec![CrashedContent {
            content: content.0,
            ends: crashes.collect(),
            ..CrashedContent::default()
        }],
        ..CrashNews::default()
    }
}

fn row_of(reports: CrashNews, life: &str, written_ms: u64, revision: u64) -> Row {
    let row = CrashNewsRow {
        life: life.to_owned(),
        written_ms,
        news: Some(reports),
    };
    Row {
        key: crash_reports_key(life),
        value: encode(&row).into(),
        revision,
    }
}

fn row(written_ms: u64) -> Row {
    row_of(three_crashes(CONTENT), "other@1", written_ms, 1)
}

fn remaining(quarantine: &QuarantineService) -> Option<Duration> {
    match quarantine.status(&CONTENT.into()) {
        Status::Quarantined(quarantine) => Some(
            quarantine
                .until
                .saturating_duration_since(harrierward_clock::now()),
        ),
        Status::Clear | Status::Suspect { .. } => None,
    }
}

#[tokio::test]
async fn a_row_quarantines_for_the_remaining_period() {
    let quarantine = quarantine();
    let age_ms = 400_000;
    quarantine.apply_stored(&row(NOW_MS - age_ms), NOW_MS);
    let remaining = remaining(&quarantine).expect("quarantined");
    let expected = Duration::from_millis(FIRST_QUARANTINE_MS - age_ms);
    assert!(remaining <= expected, "{remaining:?}");
    assert!(
        remaining + Duration::from_secs(1) > expected,
        "{remaining:?}"
    );
}

#[tokio::test]
async fn an_old_row_quarantines_nothing() {
    for age_ms in [FIRST_QUARANTINE_MS, CRASH_TTL_MS - 1] {
        let quarantine = quarantine();
        quarantine.apply_stored(&row(NOW_MS - age_ms), NOW_MS);
        assert_eq!(remaining(&quarantine), None, "{age_ms} ms old");
    }
    for age_ms in [CRASH_TTL_MS, NOW_MS] {
        let quarantine = quarantine();
        quarantine.apply_stored(&row(NOW_MS - age_ms), NOW_MS);
        assert_eq!(quarantine.status(&CONTENT.into()), Status::Clear);
        assert!(!quarantine.has_quarantined(), "{age_ms} ms old");
    }
}

#[tokio::test]
async fn a_row_that_is_malformed_or_of_unknown_age_is_ignored() {
    let quarantine = quarantine();
    quarantine.apply_stored(&row(NOW_MS), 0);
    let malformed = Row {
        value: Bytes::from_static(b"\xff\xff"),
        ..row(NOW_MS)
    };
    quarantine.apply_stored(&malformed, NOW_MS);
    assert!(!quarantine.has_quarantined());
}

/// Guards against a write by every daemon that receives a crash report.
#[tokio::test]
async fn only_observations_of_the_daemon_itself_are_written() {
    let (quarantine, rows) = with_store(0);
    quarantine.receive(Kind::CrashNews(three_crashes(CONTENT)));
    quarantine.apply_stored(
        &row_of(three_crashes(ContentId(6)), "other@1", NOW_MS, 1),
        NOW_MS,
    );
    sleep(SETTLED).await;
    assert!(rows.written().is_empty());
    assert!(quarantine.release(CONTENT));
    sleep(SETTLED).await;
    let written = rows.written();
    assert_eq!(written.len(), 1);
    assert_eq!(
        (written[0].life.as_str(), written[0].written_ms),
        (INSTANCE_ID, NOW_MS)
    );
}

/// Guards against a release that has no effect when a daemon reads the crashes after it, from another row.
#[tokio::test]
async fn a_release_in_one_row_clears_the_crashes_in_another() {
    let (quarantine, rows) = with_store(0);
    quarantine.receive(Kind::CrashNews(three_crashes(CONTENT)));
    assert!(quarantine.release(CONTENT));
    sleep(SETTLED).await;
    let reports = rows.written()[0].news.clone().expect("crash reports");
    let released = row_of(reports, INSTANCE_ID, NOW_MS, 2);
    // Older than the time for which releases are gossiped.
    let crashes = row(NOW_MS - 1);
    let read_at_ms = NOW_MS + 300_000;
    for order in [[&crashes, &released], [&released, &crashes]] {
        let later = self::quarantine();
        for one in order {
            later.apply_stored(one, read_at_ms);
        }
        assert_eq!(later.status(&CONTENT.into()), Status::Clear);
    }
}

#[tokio::test]
async fn failed_writes_are_retried_with_the_latest_reports() {
    let (quarantine, rows) = with_store(2);
    for content in 10..20 {
        quarantine.receive(Kind::CrashNews(three_crashes(ContentId(content))));
        assert!(quarantine.release(ContentId(content)));
    }
    sleep(WRITE_INTERVAL * 2 + SETTLED).await;
    let written = rows.written();
    assert!(written.len() <= 2, "{} writes", written.len());
    let last = written.last().and_then(|row| row.news.as_ref());
    assert_eq!(last.expect("crash reports").contents.len(), 10);
}

/// Guards against an indeterminate write that takes effect after the one that replaced it.
#[tokio::test]
async fn a_late_indeterminate_write_is_overwritten() {
    let (quarantine, rows) = with_store(0);
    quarantine.receive(Kind::CrashNews(three_crashes(CONTENT)));
    assert!(quarantine.release(CONTENT));
    sleep(SETTLED).await;
    assert_eq!(rows.written().len(), 1);
    let own =
        |written_ms, revision| row_of(CrashNews::default(), INSTANCE_ID, written_ms, revision);
    quarantine.apply_stored(&own(NOW_MS, 1), NOW_MS);
    sleep(SETTLED).await;
    assert_eq!(rows.written().len(), 1, "its own row is as it was written");
    quarantine.apply_stored(&own(NOW_MS - 300, 2), NOW_MS);
    sleep(SETTLED).await;
    assert_eq!(rows.written().len(), 2);
}
