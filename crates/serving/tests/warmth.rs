//! Guards against replicas considered warm too early, or cold for too long.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{
    GateDenial, GateRequest, Replica, ReplicaRecord, ReplicaSet, Warmth, Warmup, check_gate,
};
use harrierward_tenants::AllowedRegions;
use tokio::time::{Instant, advance};

const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(6),
    per_second: 2.0,
};

fn record(id: &str, warmup: Duration) -> ReplicaRecord {
    ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup,
        id: id.to_owned(),
        service: "model".to_owned(),
        version: String::new(),
        address: format!("{id}:80"),
        zone: "zone-a".to_owned(),
        slots: 8,
        draining: false,
    }
}

fn listed(set: &ReplicaSet, id: &str) -> Arc<Replica> {
    set.view().get(id).expect("listed").clone()
}

fn is_cold(warmth: &Warmth, now: Instant) -> bool {
    warmth.cold_until().is_some_and(|until| now < until)
}

#[test]
fn a_row_counts_from_when_it_was_seen_and_the_newest_one_holds() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut warmth = Warmth::default();
    assert!(!is_cold(&warmth, start));
    warmth.apply_row(Duration::from_secs(6), at(0));
    assert!(is_cold(&warmth, at(5_999)));
    assert!(!is_cold(&warmth, at(6_000)));
    warmth.apply_row(Duration::from_secs(2), at(1_200));
    assert!(!is_cold(&warmth, at(3_200)));
    warmth.apply_row(Duration::from_secs(6), at(3_000));
    assert!(is_cold(&warmth, at(8_000)), "it turned cold again");
    warmth.apply_row(Duration::ZERO, at(8_000));
    assert!(!is_cold(&warmth, at(8_000)), "it says that it is warm");
}

/// Times in rows and configurations come from other processes and must not overflow.
#[test]
fn a_boundless_warmup_is_capped() {
    let start = Instant::now();
    let boundless = Duration::MAX;
    let mut warmth = Warmth::default();
    warmth.apply_row(boundless, start);
    assert!(is_cold(&warmth, start + WARMUP.duration));
    warmth.apply_row(Duration::ZERO, start);
    warmth.set_service(Some(Warmup {
        duration: boundless,
        ..WARMUP
    }));
    warmth.note_zone_return(start);
    assert!(is_cold(&warmth, start + WARMUP.duration));
}

/// A row written before the end of an evacuation must not make a replica warm; a later one does.
#[test]
fn a_replica_that_returns_is_cold_until_a_newer_row_says_otherwise() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut warmth = Warmth::default();
    warmth.note_zone_return(at(0));
    assert!(!is_cold(&warmth, at(0)), "its service needs no warmup");
    warmth.set_service(Some(WARMUP));
    warmth.note_zone_return(at(0));
    assert!(is_cold(&warmth, at(5_999)));
    warmth.apply_row(Duration::ZERO, at(1_000));
    assert!(is_cold(&warmth, at(1_000)), "written before, perhaps");
    warmth.apply_row(Duration::ZERO, at(2_500));
    assert!(!is_cold(&warmth, at(2_500)));
}

/// A row written before the return must not shorten the assumed warmup either.
#[test]
fn a_row_from_before_its_return_does_not_shorten_what_is_assumed() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut warmth = Warmth::default();
    warmth.set_service(Some(WARMUP));
    warmth.note_zone_return(at(0));
    warmth.apply_row(Duration::from_millis(300), at(1_000));
    assert!(is_cold(&warmth, at(5_999)), "written before, perhaps");
    warmth.apply_row(Duration::from_secs(8), at(1_200));
    assert!(is_cold(&warmth, at(9_199)), "it says that it is for longer");
    warmth.apply_row(Duration::from_millis(300), at(2_500));
    assert!(!is_cold(&warmth, at(2_801)));
}

#[tokio::test(start_paused = true)]
async fn the_end_of_its_zones_evacuation_makes_a_replica_cold() {
    let set = ReplicaSet::default();
    set.replace(vec![record("one", Duration::ZERO)], |_| 0);
    let replica = listed(&set, "one");
    replica.set_service_warmup(Some(WARMUP));
    replica.set_zone_evacuated(false);
    assert!(!replica.is_cold(Instant::now()), "it was in service");
    replica.set_zone_evacuated(true);
    replica.set_zone_evacuated(false);
    assert!(replica.is_cold(Instant::now()));
    advance(WARMUP.duration + Duration::from_millis(2)).await;
    assert!(!replica.is_cold(Instant::now()));
}

/// A crashed replica that returns under its id must take its warmup from the new row.
#[tokio::test(start_paused = true)]
async fn a_replica_listed_again_takes_its_warmup_from_the_new_row() {
    let set = ReplicaSet::default();
    set.replace(vec![record("one", Duration::ZERO)], |_| 0);
    set.replace(vec![], |_| 0);
    advance(Duration::from_millis(500)).await;
    set.replace(vec![record("one", WARMUP.duration)], |_| 0);
    assert!(listed(&set, "one").is_cold(Instant::now()));
    set.replace(vec![record("new", WARMUP.duration)], |_| 0);
    assert!(listed(&set, "new").is_cold(Instant::now()));
}

/// A count that expired, for example while the daemon was stalled, must not pass the gate.
#[tokio::test(start_paused = true)]
async fn the_gate_passes_only_counted_requests_until_their_count_expires() {
    let set = ReplicaSet::default();
    set.replace(vec![record("one", WARMUP.duration)], |_| 0);
    let replica = listed(&set, "one");
    let now = Instant::now();
    let request = |cold_until| GateRequest {
        regions: &AllowedRegions::Any,
        version: None,
        cold_until,
    };
    let short = Duration::from_millis(250);
    assert_eq!(
        check_gate(&replica, &request(None), now),
        Some(GateDenial::ColdWithoutGrant)
    );
    assert_eq!(check_gate(&replica, &request(Some(now + short)), now), None);
    assert_eq!(
        check_gate(&replica, &request(Some(now + short)), now + short),
        Some(GateDenial::ColdWithoutGrant)
    );
}
