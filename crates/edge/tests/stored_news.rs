//! News of ends of replicas in the store: who writes it and when, and what a row is worth that was read later.

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
use harrierward_inline_jobs::crash_updates_key;
use harrierward_quarantine::{ContentId, ContentStatus};
use harrierward_serving::{Quarantine, ReplicaSet};
use harrierward_wire::{
    CrashNews, CrashNewsRow, CrashedContent, ReplicaEnd, decode, encode, node_datagram::Kind,
};
use tokio::time::sleep;

const CONTENT: ContentId = ContentId(5);
const LIFE: &str = "node@1";

/// The store's clock, milliseconds.
const NOW_MS: u64 = 100_000_000;

/// Time for which an end counts, and a content is held back after its third.
const END_LIFETIME_MS: u64 = 3_600_000;
const FIRST_HOLD_MS: u64 = 600_000;

/// Least time between writes.
const WRITE_EVERY: Duration = Duration::from_millis(250);

/// Longer than a write and the one after it take.
const SETTLED: Duration = Duration::from_millis(900);

/// A store that keeps what is written, and fails some writes first.
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
                .all(|(key, _)| *key == crash_updates_key(LIFE))
        );
        let rows = written.iter().map(|(_, value)| decode(value));
        rows.map(|row| row.expect("a row of news")).collect()
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
    QuarantineService::new(LIFE.to_owned(), Arc::new(ReplicaSet::default()), pool, log)
}

/// A quarantine that keeps its row in a store whose first writes fail.
fn kept(failures: usize) -> (QuarantineService, Arc<Rows>) {
    let rows = Arc::new(Rows {
        failures: Mutex::new(failures),
        ..Rows::default()
    });
    let quarantine = quarantine();
    tokio::spawn(quarantine.clone().keep_stored(rows.clone(), || NOW_MS));
    (quarantine, rows)
}

/// Three ends of one content.
fn three_ends(content: ContentId) -> CrashNews {
    let ends = (1..=3).map(|replica| ReplicaEnd { replica, age_ms: 0 });
    CrashNews {
        contents: vec![CrashedContent {
            content: content.0,
            ends: ends.collect(),
            ..CrashedContent::default()
        }],
    }
}

fn row_of(news: CrashNews, life: &str, written_ms: u64, revision: u64) -> Row {
    let row = CrashNewsRow {
        life: life.to_owned(),
        written_ms,
        news: Some(news),
    };
    Row {
        key: crash_updates_key(life),
        value: encode(&row).into(),
        revision,
    }
}

fn row(written_ms: u64) -> Row {
    row_of(three_ends(CONTENT), "other@1", written_ms, 1)
}

fn left(quarantine: &QuarantineService) -> Option<Duration> {
    match quarantine.status(CONTENT) {
        ContentStatus::Quarantined(hold) => Some(
            hold.until
                .saturating_duration_since(harrierward_clock::now()),
        ),
        ContentStatus::Clear | ContentStatus::Suspect { .. } => None,
    }
}

#[tokio::test]
async fn a_row_holds_back_for_what_is_left_of_the_hold() {
    let quarantine = quarantine();
    let age_ms = 400_000;
    quarantine.take_stored(&row(NOW_MS - age_ms), NOW_MS);
    let left = left(&quarantine).expect("held back");
    let expected = Duration::from_millis(FIRST_HOLD_MS - age_ms);
    assert!(left <= expected, "{left:?}");
    assert!(left + Duration::from_secs(1) > expected, "{left:?}");
}

#[tokio::test]
async fn an_old_row_holds_nothing_back() {
    for age_ms in [FIRST_HOLD_MS, END_LIFETIME_MS - 1] {
        let quarantine = quarantine();
        quarantine.take_stored(&row(NOW_MS - age_ms), NOW_MS);
        assert_eq!(left(&quarantine), None, "{age_ms} ms old");
    }
    for age_ms in [END_LIFETIME_MS, NOW_MS] {
        let quarantine = quarantine();
        quarantine.take_stored(&row(NOW_MS - age_ms), NOW_MS);
        assert_eq!(quarantine.status(CONTENT), ContentStatus::Clear);
        assert!(!quarantine.has_quarantined(), "{age_ms} ms old");
    }
}

#[tokio::test]
async fn a_row_of_unknown_age_or_without_sense_is_not_taken() {
    let quarantine = quarantine();
    quarantine.take_stored(&row(NOW_MS), 0);
    let senseless = Row {
        value: Bytes::from_static(b"\xff\xff"),
        ..row(NOW_MS)
    };
    quarantine.take_stored(&senseless, NOW_MS);
    assert!(!quarantine.has_quarantined());
}

/// One that only heard of it, by datagram or from the store, writes nothing: each crash would cost a write a daemon.
#[tokio::test]
async fn only_what_the_daemon_saw_itself_is_written() {
    let (quarantine, rows) = kept(0);
    quarantine.receive(Kind::CrashNews(three_ends(CONTENT)));
    quarantine.take_stored(
        &row_of(three_ends(ContentId(6)), "other@1", NOW_MS, 1),
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
        (LIFE, NOW_MS)
    );
}

/// A daemon that starts later reads the ends in one row and the release in another, in any order.
#[tokio::test]
async fn a_release_in_one_row_undoes_the_ends_in_another() {
    let (quarantine, rows) = kept(0);
    quarantine.receive(Kind::CrashNews(three_ends(CONTENT)));
    assert!(quarantine.release(CONTENT));
    sleep(SETTLED).await;
    let news = rows.written()[0].news.clone().expect("news");
    let released = row_of(news, LIFE, NOW_MS, 2);
    // Older than other daemons are told of a release.
    let ends = row(NOW_MS - 1);
    let read_at_ms = NOW_MS + 300_000;
    for order in [[&ends, &released], [&released, &ends]] {
        let later = self::quarantine();
        for one in order {
            later.take_stored(one, read_at_ms);
        }
        assert_eq!(later.status(CONTENT), ContentStatus::Clear);
    }
}

#[tokio::test]
async fn a_failed_write_is_tried_again_and_the_newest_is_written_once() {
    let (quarantine, rows) = kept(2);
    for content in 10..20 {
        quarantine.receive(Kind::CrashNews(three_ends(ContentId(content))));
        assert!(quarantine.release(ContentId(content)));
    }
    sleep(WRITE_EVERY * 2 + SETTLED).await;
    let written = rows.written();
    assert!(written.len() <= 2, "{} writes", written.len());
    let last = written.last().and_then(|row| row.news.as_ref());
    assert_eq!(last.expect("news").contents.len(), 10);
}

/// A write that was in doubt may be done after the one that took its place.
#[tokio::test]
async fn a_late_write_of_an_older_state_is_written_over() {
    let (quarantine, rows) = kept(0);
    quarantine.receive(Kind::CrashNews(three_ends(CONTENT)));
    assert!(quarantine.release(CONTENT));
    sleep(SETTLED).await;
    assert_eq!(rows.written().len(), 1);
    let own = |written_ms, revision| row_of(CrashNews::default(), LIFE, written_ms, revision);
    quarantine.take_stored(&own(NOW_MS, 1), NOW_MS);
    sleep(SETTLED).await;
    assert_eq!(rows.written().len(), 1, "its own row as it wrote it");
    quarantine.take_stored(&own(NOW_MS - 300, 2), NOW_MS);
    sleep(SETTLED).await;
    assert_eq!(rows.written().len(), 2);
}
