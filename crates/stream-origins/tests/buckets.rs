//! Records of streams in the buckets that are stored.

use harrierward_stream_origins::{
    BucketNumber, SoftwareVersion, StoredBuckets, StoredOrigin, StreamKey, StreamOrigin,
};

fn record(number: u64) -> StoredOrigin {
    StoredOrigin {
        stream: StreamKey::of(None, &number.to_string()),
        origin: StreamOrigin {
            service: 7,
            version: SoftwareVersion::of("v1"),
        },
    }
}

/// Guards against a stream that is refused after all daemons ended, because the write of its record failed.
#[test]
fn a_bucket_that_could_not_be_stored_stays_changed() {
    let mut buckets = StoredBuckets::default();
    buckets.add(record(1));
    let taken = buckets.take_changed(10);
    assert_eq!(
        taken,
        [(BucketNumber::of(record(1).stream), vec![record(1)])]
    );
    assert!(!buckets.has_changes());
    buckets.restore_changed(taken.iter().map(|(number, _)| *number));
    assert_eq!(buckets.take_changed(10), taken);
}

/// Guards against the loss of earlier records of a bucket: each write replaces its row.
#[test]
fn each_write_holds_all_records_of_its_bucket() {
    let mut buckets = StoredBuckets::default();
    let number = BucketNumber::of(record(0).stream);
    let in_bucket = |one: &StoredOrigin| BucketNumber::of(one.stream) == number;
    let mut records = (0..).map(record).filter(in_bucket);
    let first = records.next().expect("a record");
    let second = records.next().expect("a record");
    buckets.add(first);
    buckets.take_changed(10);
    buckets.add(first);
    assert!(!buckets.has_changes());
    buckets.add(second);
    assert_eq!(buckets.take_changed(10), [(number, vec![first, second])]);
}

/// Guards against rows that grow with the streams of a day, and against the loss of the newest records.
#[test]
fn the_newest_records_are_kept_and_bounded() {
    let mut buckets = StoredBuckets::default();
    for number in 0..100_000 {
        buckets.add(record(number));
    }
    let taken = buckets.take_changed(usize::MAX);
    let count: usize = taken.iter().map(|(_, records)| records.len()).sum();
    assert!((1_000..=2_048).contains(&count), "{count}");
    let newest = record(99_999);
    let bucket = taken
        .iter()
        .find(|(number, _)| *number == BucketNumber::of(newest.stream));
    assert_eq!(
        bucket.and_then(|(_, records)| records.last()),
        Some(&newest)
    );
}
