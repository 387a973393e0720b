//! Records of streams, and what may be concluded without one.

use std::time::Duration;

use harrierward_stream_origins::{
    OriginLedger, OriginRecord, RecordSource, SoftwareVersion, StreamKey, StreamOrigin, Testimony,
    VersionHistory, sole_version,
};
use tokio::time::Instant;

const SERVICE: u32 = 7;
const WINDOW: Duration = Duration::from_secs(15);
const TICK: Duration = Duration::from_millis(100);
const FRESH: Option<Duration> = Some(Duration::from_millis(300));

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name)
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

/// A history that is observed at each tick, with the versions listed then.
struct Observed {
    history: VersionHistory,
    now: Instant,
}

impl Observed {
    fn new() -> Self {
        Self {
            history: VersionHistory::default(),
            now: Instant::now(),
        }
    }

    fn pass(&mut self, time: Duration, names: &[&str], proof_age: Option<Duration>) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let listed = names.iter().map(|name| (SERVICE, version(name)));
            self.history.observe(listed, proof_age, self.now);
        }
    }

    fn testimony(&self) -> Testimony {
        Testimony {
            versions: self.history.versions(SERVICE, WINDOW, self.now),
            is_complete: self.history.covers(WINDOW, self.now),
        }
    }

    fn sole(&self) -> Option<SoftwareVersion> {
        sole_version(&[self.testimony()]).map(|sole| sole.version)
    }
}

/// Guards against a stream that goes on at the only version which a daemon sees, although it has just started, and
/// another one served before.
#[test]
fn a_daemon_that_has_just_started_proves_no_sole_version() {
    let mut observed = Observed::new();
    observed.pass(WINDOW - TICK, &["v1"], FRESH);
    assert_eq!(observed.sole(), None);
    observed.pass(TICK * 2, &["v1"], FRESH);
    assert_eq!(observed.sole(), Some(version("v1")));
}

/// Guards against a stream that goes on at the new version right after the last replica of the old one has left.
#[test]
fn a_version_that_has_just_gone_still_counts() {
    let mut observed = Observed::new();
    observed.pass(WINDOW, &["v1"], FRESH);
    observed.pass(TICK, &["v1", "v2"], FRESH);
    assert_eq!(observed.sole(), None);
    observed.pass(WINDOW, &["v2"], FRESH);
    assert_eq!(observed.sole(), None);
    observed.pass(WINDOW, &["v2"], FRESH);
    assert_eq!(observed.sole(), Some(version("v2")));
}

/// Guards against a proof by a list that was out of date, or by a daemon that was suspended, while a version came and
/// went.
#[test]
fn a_list_without_proof_or_observation_proves_nothing_until_a_window_later() {
    let mut observed = Observed::new();
    observed.pass(WINDOW * 2, &["v1"], FRESH);
    observed.pass(TICK, &["v1"], Some(Duration::from_secs(5)));
    assert_eq!(observed.sole(), None);
    observed.pass(WINDOW - TICK, &["v1"], FRESH);
    assert_eq!(observed.sole(), None);
    observed.pass(TICK * 2, &["v1"], FRESH);
    assert_eq!(observed.sole(), Some(version("v1")));
    observed.now += Duration::from_secs(10);
    assert_eq!(observed.sole(), None);
    observed.pass(TICK, &["v1"], FRESH);
    assert_eq!(observed.sole(), None);
    observed.pass(TICK, &["v1"], None);
    assert_eq!(observed.sole(), None);
}

/// Guards against a stream that goes on at the old version, because the daemon asked first hasn't learned of the new one.
#[test]
fn one_daemon_that_knows_another_version_refutes_a_sole_one() {
    let complete = |names: &[&str]| Testimony {
        versions: names.iter().map(|name| version(name)).collect(),
        is_complete: true,
    };
    let incomplete = |names: &[&str]| Testimony {
        is_complete: false,
        ..complete(names)
    };
    let sole = |testimonies: &[Testimony]| sole_version(testimonies).map(|sole| sole.version);
    assert_eq!(sole(&[complete(&["v1"])]), Some(version("v1")));
    assert_eq!(
        sole(&[incomplete(&["v1"]), complete(&["v1"])]),
        Some(version("v1"))
    );
    assert_eq!(sole(&[complete(&["v1"]), incomplete(&["v1", "v2"])]), None);
    assert_eq!(sole(&[incomplete(&["v1"]), incomplete(&["v1"])]), None);
    assert_eq!(sole(&[complete(&[])]), None);
    assert_eq!(sole(&[]), None);
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
