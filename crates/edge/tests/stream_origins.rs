//! What a daemon concludes of streams from the store's rows, beside other writers, late readings and lost responses.

#[path = "support/rows.rs"]
mod rows;

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{StreamService, StreamStoreParts};
use harrierward_external::Row;
use harrierward_inline_jobs::{host_services_key, served_versions_key};
use harrierward_serving::{
    Location, OriginLookup, OriginSource, ReplicaSet, SharedRoutes, SoftwareVersion, StoreEvidence,
    StreamKey, StreamOrigin, StreamOrigins, short_hash,
};
use harrierward_wire::{OriginSetRow, StoredStreamsRow, StreamRecord, decode, encode};
use rows::Rows;
use tokio::time::sleep;

const HOST: &str = "host";
const SERVICE: &str = "service";

/// Prefix of the keys of stored records.
const RECORDS: &str = "streams/records/";

/// The store's clock, in milliseconds, long after its start.
const NOW_MS: u64 = 100_000_000;

/// Time after which a row of records is removed, and a little.
const OLD_MS: u64 = 601_000;

/// Interval at which a daemon removes old rows of one bucket, and a little.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(10_100);

/// Buckets of records.
const BUCKETS: usize = 64;

/// Longer than a few writes of records take.
const SETTLED: Duration = Duration::from_millis(400);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name)
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin {
        service: short_hash(SERVICE),
        version: version(name),
    }
}

fn stream(name: &str) -> StreamKey {
    StreamKey::of(None, name)
}

fn versions_key() -> String {
    served_versions_key(short_hash(SERVICE))
}

fn services_key() -> String {
    host_services_key(short_hash(HOST))
}

fn versions_row(names: &[&str]) -> Vec<u8> {
    let members = names.iter().map(|name| version(name).hash());
    set_row(short_hash(SERVICE), members.collect())
}

fn set_row(subject: u32, members: Vec<u64>) -> Vec<u8> {
    encode(&OriginSetRow {
        format: 1,
        subject,
        members,
        is_any: false,
    })
}

fn stored_versions(rows: &Rows) -> Vec<u64> {
    let row = rows.row(&versions_key()).expect("a row of versions");
    let row: OriginSetRow = decode(&row.value).expect("a set");
    row.members
}

fn hashes(names: &[&str]) -> Vec<u64> {
    let mut hashes: Vec<u64> = names.iter().map(|name| version(name).hash()).collect();
    hashes.sort_unstable();
    hashes
}

fn daemon(rows: &Arc<Rows>, instance: &str) -> Arc<StreamService> {
    let store = StreamStoreParts {
        table: rows.clone(),
        watched: rows.clone(),
        writes_per_second: 1_000.0,
    };
    Arc::new(StreamService::new(
        instance,
        Location::default(),
        Arc::new(ReplicaSet::default()),
        SharedRoutes::default(),
        store,
        DecisionLog::new(LogBounds::default()),
    ))
}

/// Applies a row as the watch of the store does that reads it now.
fn watch(daemon: &StreamService, row: &Row) {
    daemon.apply_origin_set(row, row.revision);
}

/// Stores one version and one service, known to the daemon.
fn store_first_origin(rows: &Rows, daemon: &StreamService) -> Row {
    let services = set_row(short_hash(HOST), vec![u64::from(short_hash(SERVICE))]);
    watch(daemon, &rows.put(&services_key(), services));
    let versions = rows.put(&versions_key(), versions_row(&["v1"]));
    watch(daemon, &versions);
    versions
}

async fn find(daemon: &StreamService, name: &str) -> OriginLookup {
    daemon.find(Some(stream(name)), HOST, Some(SERVICE)).await
}

fn assert_sole(found: &OriginLookup, name: &str) {
    let known = found.known.as_ref().expect("an origin");
    assert_eq!(known.origin, origin(name));
    assert_eq!(known.source, OriginSource::SoleVersion);
}

fn assert_unknown(found: &OriginLookup) {
    assert_eq!(found.known, None);
}

/// Guards against streams that begin at a version which the store doesn't hold: an earlier reading of a row that another
/// writer has removed arrives late.
#[tokio::test]
async fn a_removed_row_is_stored_again_though_an_earlier_reading_arrives_late() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    let earlier = store_first_origin(&rows, &daemon);
    let removed_at = rows.remove(&versions_key());
    daemon.origin_set_removed(&versions_key(), removed_at);
    watch(&daemon, &earlier);
    daemon.admit(HOST, origin("v1")).await;
    assert_eq!(stored_versions(&rows), hashes(&["v1"]));
}

/// Guards against calls to the store at each stream: a copy that is behind lacks the row that this daemon has written.
#[tokio::test]
async fn an_earlier_absence_that_is_reported_late_changes_nothing() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    let before = rows.remove(&versions_key());
    daemon.admit(HOST, origin("v1")).await;
    let transactions = rows.transactions();
    daemon.origin_set_removed(&versions_key(), before);
    daemon.admit(HOST, origin("v1")).await;
    assert_eq!(rows.transactions(), transactions);
}

/// Guards against a version that is lost where two daemons add theirs at once.
#[tokio::test]
async fn a_version_is_added_beside_those_that_others_add_meanwhile() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    store_first_origin(&rows, &daemon);
    rows.overtake(&versions_key(), versions_row(&["v1", "v3"]));
    rows.overtake(&versions_key(), versions_row(&["v1", "v3", "v4"]));
    daemon.admit(HOST, origin("v2")).await;
    assert_eq!(stored_versions(&rows), hashes(&["v1", "v2", "v3", "v4"]));
}

/// Guards against a version that is taken out by another writer for good.
#[tokio::test]
async fn a_version_that_another_writer_took_out_is_put_back() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    store_first_origin(&rows, &daemon);
    daemon.admit(HOST, origin("v2")).await;
    watch(&daemon, &rows.put(&versions_key(), versions_row(&["v2"])));
    assert_unknown(&find(&daemon, "s").await);
    daemon.admit(HOST, origin("v3")).await;
    assert_eq!(stored_versions(&rows), hashes(&["v1", "v2", "v3"]));
}

/// Guards against streams that are refused although only one version has ever served.
#[tokio::test]
async fn a_stream_without_a_record_goes_on_at_the_only_version_ever() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    store_first_origin(&rows, &daemon);
    assert_sole(&find(&daemon, "s").await, "v1");
}

/// Guards against a stream that goes on at another version, at a daemon whose watch is behind.
#[tokio::test]
async fn a_version_that_the_watch_has_not_shown_is_found() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    store_first_origin(&rows, &daemon);
    rows.put(&versions_key(), versions_row(&["v1", "v2"]));
    assert_unknown(&find(&daemon, "s").await);
}

/// Guards against a stream that goes on at another version by a check that the store had decided before the version joined.
#[tokio::test]
async fn a_check_that_began_before_a_take_up_proves_nothing_for_it() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    store_first_origin(&rows, &daemon);
    rows.hold_checks(true);
    let earlier = tokio::spawn({
        let daemon = daemon.clone();
        async move { find(&daemon, "s1").await }
    });
    while rows.checks() == 0 {
        tokio::task::yield_now().await;
    }
    rows.put(&versions_key(), versions_row(&["v1", "v2"]));
    let later = tokio::spawn({
        let daemon = daemon.clone();
        async move { find(&daemon, "s2").await }
    });
    tokio::task::yield_now().await;
    rows.hold_checks(false);
    assert_sole(&earlier.await.expect("find"), "v1");
    assert_unknown(&later.await.expect("find"));
    assert_eq!(rows.checks(), 2);
}

/// Guards against a stream that goes on at a version by a row that can't be read.
#[tokio::test]
async fn a_row_that_cannot_be_read_stands_for_any_version() {
    let others = set_row(short_hash("other"), hashes(&["v1"]));
    for odd in [b"odd".to_vec(), Vec::new(), vec![0xff; 4096], others] {
        let rows = Arc::new(Rows::default());
        let daemon = daemon(&rows, "d1");
        store_first_origin(&rows, &daemon);
        rows.put(&versions_key(), odd);
        assert_unknown(&find(&daemon, "s").await);
    }
}

/// Guards against a stream that goes on at a version by rows that are absent.
#[tokio::test]
async fn absent_rows_prove_nothing() {
    let rows = Arc::new(Rows::default());
    let daemon = daemon(&rows, "d1");
    assert_unknown(&find(&daemon, "s").await);
    store_first_origin(&rows, &daemon);
    rows.remove(&services_key());
    assert_unknown(&find(&daemon, "s").await);
}

/// Has a daemon store that a stream began at a version, beside another one.
async fn store_record(rows: &Arc<Rows>, daemon: &Arc<StreamService>, name: &str) {
    rows.put(&versions_key(), versions_row(&["v1", "v2"]));
    daemon.note(stream(name), HOST, origin("v1"));
    sleep(SETTLED).await;
}

fn assert_stored(found: &OriginLookup, name: &str) {
    assert_eq!(found.asked.store, StoreEvidence::Record);
    let known = found.known.as_ref().expect("an origin");
    assert_eq!(known.origin, origin(name));
    assert_eq!(known.source, OriginSource::Store);
}

/// Guards against a stream that is refused for another writer's row beside its record.
#[tokio::test]
async fn a_record_is_found_beside_odd_rows() {
    let rows = Arc::new(Rows::default());
    let writer = daemon(&rows, "d1");
    tokio::spawn(writer.clone().store_records(|| NOW_MS));
    store_record(&rows, &writer, "s").await;
    for key in rows.keys(RECORDS) {
        rows.put(&format!("{key}.odd"), b"odd".to_vec());
        rows.put(&format!("{key}.long"), vec![0xff; 4096]);
    }
    let reader = daemon(&rows, "d2");
    assert_stored(&find(&reader, "s").await, "v1");
    assert_unknown(&find(&reader, "another").await);
}

/// Guards against a record that a write without a response overwrites later: the next write goes to another row.
#[tokio::test]
async fn a_write_without_a_response_is_repeated_in_another_row() {
    let rows = Arc::new(Rows::default());
    let writer = daemon(&rows, "d1");
    tokio::spawn(writer.clone().store_records(|| NOW_MS));
    rows.lose_response();
    store_record(&rows, &writer, "s").await;
    assert_eq!(rows.keys(RECORDS).len(), 2);
    let reader = daemon(&rows, "d2");
    assert_stored(&find(&reader, "s").await, "v1");
}

/// Stores a row of records in each bucket, as another daemon does.
fn store_others(rows: &Rows, instance: &str, written_ms: u64) {
    for bucket in 0..BUCKETS {
        let key = format!("{RECORDS}{bucket:02}.{instance}.0");
        rows.put(&key, others_row(written_ms));
    }
}

fn others_row(written_ms: u64) -> Vec<u8> {
    encode(&StoredStreamsRow {
        written_ms,
        records: vec![StreamRecord::default()],
    })
}

/// Has a daemon record streams until it has looked for old rows in each bucket.
async fn note_streams(daemon: &StreamService) {
    for number in 0..=BUCKETS {
        daemon.note(stream(&number.to_string()), HOST, origin("v1"));
        sleep(REMOVAL_INTERVAL).await;
    }
}

/// Returns the number of rows of records of an instance.
fn count_rows(rows: &Rows, instance: &str) -> usize {
    let keys = rows.keys(RECORDS);
    let of_instance = format!(".{instance}.");
    keys.iter().filter(|key| key.contains(&of_instance)).count()
}

/// Guards against rows of daemons that have ended, which would be read for ever, and against the loss of recent ones.
#[tokio::test(start_paused = true)]
async fn only_old_rows_are_removed() {
    let rows = Arc::new(Rows::default());
    store_others(&rows, "old", NOW_MS - OLD_MS);
    store_others(&rows, "recent", NOW_MS - OLD_MS / 2);
    let writer = daemon(&rows, "d1");
    tokio::spawn(writer.clone().store_records(|| NOW_MS));
    note_streams(&writer).await;
    assert_eq!(count_rows(&rows, "old"), 0);
    assert_eq!(count_rows(&rows, "recent"), BUCKETS);
    assert!(count_rows(&rows, "d1") > 0);
}

/// Guards against the loss of records that their daemon writes while another one removes old rows.
#[tokio::test(start_paused = true)]
async fn a_row_that_is_written_meanwhile_is_not_removed() {
    let rows = Arc::new(Rows::default());
    store_others(&rows, "old", NOW_MS - OLD_MS);
    rows.rewrite_before_removal(others_row(NOW_MS));
    let writer = daemon(&rows, "d1");
    tokio::spawn(writer.clone().store_records(|| NOW_MS));
    note_streams(&writer).await;
    assert_eq!(count_rows(&rows, "old"), BUCKETS);
    let rewritten = rows.row(&format!("{RECORDS}00.old.0")).expect("a row");
    assert_eq!(rewritten.value, others_row(NOW_MS));
}
