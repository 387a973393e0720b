//! Records of streams, and what may be concluded without one.

use std::collections::BTreeSet;
use std::time::Duration;

use harrierward_stream_origins::{
    OriginLedger, OriginRecord, OriginSet, RecordSource, SoftwareVersion, StreamKey, StreamOrigin,
};
use proptest::prelude::*;
use tokio::time::Instant;

const SERVICE: u32 = 7;
const WINDOW: Duration = Duration::from_secs(15);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name)
}

fn hash(name: &str) -> u64 {
    version(name).hash()
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE,
        version: version(name),
    }
}

fn record(name: &str, now: Instant, lifetime: Duration) -> OriginRecord {
    OriginRecord {
        origin: origin(name),
        source: RecordSource::Own,
        known_at: now,
        expires_at: now + lifetime,
        is_announced: false,
    }
}

/// Guards against a stream without a record that goes on at the version which serves now, although another one served
/// before: nothing but the first other version ends a sole one, and no time brings it back.
#[test]
fn a_second_version_ends_a_sole_one_for_good() {
    let mut served = OriginSet::default();
    assert_eq!(served.sole(), None);
    assert!(served.add(hash("v1")));
    assert_eq!(served.sole(), Some(hash("v1")));
    assert!(!served.add(hash("v1")));
    assert!(served.add(hash("v2")));
    assert_eq!(served.sole(), None);
    let before = OriginSet::of([hash("v1")]);
    served.merge(&before);
    assert_eq!(served.sole(), None);
    assert_eq!(served.iter().collect::<Vec<_>>().len(), 2);
}

/// Guards against a stream that goes on at the old version, because one of two readings lacks the new one.
#[test]
fn one_reading_that_holds_another_version_refutes_a_sole_one() {
    let mut of_old = OriginSet::of([hash("v1")]);
    of_old.merge(&OriginSet::of([hash("v2")]));
    assert_eq!(of_old.sole(), None);
    assert!(of_old.contains(hash("v2")));
}

/// Guards against a version that counts as the only one where the versions can't be read, or are too many to keep.
#[test]
fn any_version_is_never_a_sole_one() {
    let mut any = OriginSet::any();
    assert_eq!(any.sole(), None);
    assert!(any.contains(hash("v1")) && !any.is_empty());
    any.merge(&OriginSet::of([hash("v1")]));
    assert_eq!(any.sole(), None);
    let names = (0..1_000).map(|number| hash(&number.to_string()));
    let many = OriginSet::of(names);
    assert!(many.is_any() && many.len() <= 256, "{}", many.len());
    assert_eq!(many, OriginSet::any());
    let mut of_one = OriginSet::of([hash("v1")]);
    of_one.merge(&OriginSet::any());
    assert_eq!(
        of_one,
        OriginSet::any(),
        "its row is read as what it was written from"
    );
    assert!(many.contains(hash("never added")));
}

proptest! {
    /// Guards against a sole version that depends on the order in which readings arrive, or on how often.
    #[test]
    fn the_order_of_readings_does_not_matter(
        readings in prop::collection::vec(prop::collection::vec(0_u64..4, 0..4), 1..6),
    ) {
        let sets: Vec<OriginSet> = readings
            .iter()
            .map(|one| OriginSet::of(one.iter().copied()))
            .collect();
        let mut forwards = OriginSet::default();
        sets.iter().for_each(|one| forwards.merge(one));
        let mut backwards = OriginSet::default();
        sets.iter().rev().chain(&sets).for_each(|one| backwards.merge(one));
        prop_assert_eq!(&forwards, &backwards);
        let distinct: BTreeSet<u64> = readings.iter().flatten().copied().collect();
        prop_assert_eq!(forwards.sole().is_some(), distinct.len() == 1);
    }
}

/// Guards against a stream that changes its version, because its id is announced again with another one.
#[test]
fn the_first_record_of_a_stream_stays_until_it_expires() {
    let now = Instant::now();
    let key = StreamKey::of(None, "a1");
    let mut ledger = OriginLedger::default();
    let second = Duration::from_secs(1);
    ledger.note(key, record("v1", now, second), now);
    ledger.note(key, record("v2", now, second * 3), now);
    let known = ledger.get(key, now + second * 2).expect("a record");
    assert_eq!(known.origin, origin("v1"));
    assert_eq!(ledger.get(key, now + second * 3), None);
    let later = now + second * 4;
    ledger.note(key, record("v2", later, second), later);
    assert_eq!(
        ledger.get(key, later).map(|known| known.origin),
        Some(origin("v2"))
    );
}

/// Guards against a stream that is continued at the version of another tenant's stream with the same id.
#[test]
fn equal_ids_of_two_tenants_are_two_streams() {
    assert_ne!(
        StreamKey::of(Some("one"), "a1"),
        StreamKey::of(Some("two"), "a1")
    );
    assert_ne!(StreamKey::of(None, "a1"), StreamKey::of(Some("one"), "a1"));
}

/// Guards against streams that only this daemon knows, because they began before a second version was listed.
#[test]
fn own_records_are_announced_once() {
    let now = Instant::now();
    let mut ledger = OriginLedger::default();
    let key = |number: u32| StreamKey::of(None, &number.to_string());
    for number in 0..3 {
        ledger.note(key(number), record("v1", now, WINDOW), now);
    }
    let of_peer = OriginRecord {
        source: RecordSource::Peer("peer".into()),
        ..record("v1", now, WINDOW)
    };
    ledger.note(key(9), of_peer, now);
    let later = now + Duration::from_secs(1);
    for number in 20..22 {
        ledger.note(key(number), record("v1", later, WINDOW), later);
    }
    let of_later = ledger.take_unannounced(SERVICE, later);
    let keys: Vec<StreamKey> = of_later.iter().map(|(key, _)| *key).collect();
    assert_eq!(
        keys,
        [key(20), key(21)],
        "the oldest first: later ones replace them"
    );
    assert_eq!(ledger.take_unannounced(SERVICE, now).len(), 3);
    assert_eq!(ledger.take_unannounced(SERVICE, now), []);
    ledger.note(key(4), record("v1", now, WINDOW), now);
    assert_eq!(ledger.take_unannounced(SERVICE, now).len(), 1);
    assert_eq!(ledger.take_unannounced(SERVICE + 1, now), []);
}

/// Guards against memory that grows with the streams of a day.
#[test]
fn the_records_are_bounded_and_expired_ones_are_removed() {
    let mut ledger = OriginLedger::default();
    let mut now = Instant::now();
    for number in 0..200_000_u32 {
        now += Duration::from_millis(1);
        let key = StreamKey::of(None, &number.to_string());
        ledger.note(key, record("v1", now, Duration::from_secs(10)), now);
    }
    assert!(ledger.len() <= 10_001, "{}", ledger.len());
    let crowded = now;
    for number in 0..200_000_u32 {
        let key = StreamKey::of(None, &format!("x{number}"));
        ledger.note(key, record("v1", crowded, WINDOW), crowded);
    }
    assert_eq!(ledger.len(), 65_536);
}
