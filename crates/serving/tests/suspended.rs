//! Guards against state of a replica that doesn't age while the machine is suspended.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{Replica, ReplicaLoad, ReplicaRecord, ReplicaSet};
use tokio::sync::{Mutex, MutexGuard};

const SERVICE: &str = "model";

/// Longer than any lifetime in this test.
const SUSPENSION: Duration = Duration::from_secs(10);

/// The simulated clock is global to the process, so tests run one at a time.
async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

fn list_replicas(set: &ReplicaSet, ids: &[&str]) {
    let records = ids.iter().map(|id| ReplicaRecord {
        born_ms: None,
        id: (*id).to_owned(),
        service: SERVICE.to_owned(),
        version: String::new(),
        address: "10.0.0.1:80".to_owned(),
        zone: "zone".to_owned(),
        region: String::new(),
        slots: 4,
        draining: false,
        warmup: Duration::ZERO,
    });
    set.replace(records.collect(), |_| 0);
}

fn one_replica() -> (ReplicaSet, Arc<Replica>) {
    let set = ReplicaSet::default();
    list_replicas(&set, &["one"]);
    let replica = set.view().get("one").expect("a replica").clone();
    (set, replica)
}

#[tokio::test(start_paused = true)]
async fn the_state_of_a_replica_ages_over_a_suspension() {
    let _turn = one_at_a_time().await;
    let (_set, replica) = one_replica();
    // Counts received in the first millisecond would be dated a millisecond later.
    tokio::time::advance(Duration::from_millis(5)).await;
    replica.note_load(ReplicaLoad {
        running: 4,
        waiting: 3,
        slots: 4,
    });
    replica.set_peer_counts(1, 0);
    replica.note_row_warmup(Duration::from_secs(6), harrierward_clock::now());
    assert_eq!(replica.load(), 7);
    assert!(replica.is_cold(harrierward_clock::now()));
    replica.suspect();
    replica.set_crashed();
    assert!(replica.is_suspected() && replica.has_crashed());
    harrierward_clock::simulate_suspension(SUSPENSION);
    assert!(!replica.is_suspected(), "the suspicion has expired");
    assert!(!replica.has_crashed(), "it may have started again");
    assert_eq!(replica.load(), 1, "the load report has expired");
    assert!(replica.report_age_ms() >= Some(10_000));
    assert!(replica.peers_age_ms() >= Some(10_000));
    assert!(!replica.is_cold(harrierward_clock::now()), "it is warm");
}

/// No data is received during a suspension, so it must not count as a stall of the replicas.
#[tokio::test(start_paused = true)]
async fn a_suspension_is_not_a_stall_of_the_replicas() {
    let _turn = one_at_a_time().await;
    let (_set, replica) = one_replica();
    replica.note_progress();
    harrierward_clock::simulate_suspension(SUSPENSION);
    assert_eq!(replica.time_since_progress(), Duration::ZERO);
    tokio::time::advance(Duration::from_millis(300)).await;
    assert_eq!(replica.time_since_progress(), Duration::from_millis(300));
}

/// A vanished replica is used only briefly, and a suspension counts towards that time.
#[tokio::test(start_paused = true)]
async fn a_replica_that_vanished_before_a_suspension_is_not_used_after_it() {
    let _turn = one_at_a_time().await;
    let (set, _replica) = one_replica();
    list_replicas(&set, &[]);
    assert_eq!(set.view().usable(SERVICE).len(), 1);
    harrierward_clock::simulate_suspension(SUSPENSION);
    assert_eq!(set.view().usable(SERVICE).len(), 0);
}
