//! A machine that was suspended for seconds: what its daemon believed of a replica is as old as the world says.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{Replica, ReplicaLoad, ReplicaRecord, ReplicaSet};
use tokio::sync::{Mutex, MutexGuard};

const SERVICE: &str = "model";

/// Longer than any belief of the test lasts.
const SUSPENSION: Duration = Duration::from_secs(10);

/// The clock is the process's, so one test at a time may let it jump.
async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

fn listed(set: &ReplicaSet, ids: &[&str]) {
    let records = ids.iter().map(|id| ReplicaRecord {
        born_ms: None,
        id: (*id).to_owned(),
        service: SERVICE.to_owned(),
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
    listed(&set, &["one"]);
    let replica = set.view().get("one").expect("a replica").clone();
    (set, replica)
}

#[tokio::test(start_paused = true)]
async fn what_is_believed_of_a_replica_ages_over_a_suspension() {
    let _turn = one_at_a_time().await;
    let (_set, replica) = one_replica();
    // Peers' counts that came in its first millisecond are dated a millisecond later.
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
    harrierward_clock::imagine_suspension(SUSPENSION);
    assert!(!replica.is_suspected(), "its time is over");
    assert!(!replica.has_crashed(), "it may have started again");
    assert_eq!(replica.load(), 1, "its word on its load is old");
    assert!(replica.report_age_ms() >= Some(10_000));
    assert!(replica.peers_age_ms() >= Some(10_000));
    assert!(!replica.is_cold(harrierward_clock::now()), "it is warm");
}

/// While a machine is suspended nobody listens, so it says nothing of the replicas.
#[tokio::test(start_paused = true)]
async fn a_suspension_is_no_silence_of_the_replicas() {
    let _turn = one_at_a_time().await;
    let (_set, replica) = one_replica();
    replica.note_progress();
    harrierward_clock::imagine_suspension(SUSPENSION);
    assert_eq!(replica.time_since_progress(), Duration::ZERO);
    tokio::time::advance(Duration::from_millis(300)).await;
    assert_eq!(replica.time_since_progress(), Duration::from_millis(300));
}

/// An entry that vanished is believed for a moment, since the store may be away.
#[tokio::test(start_paused = true)]
async fn a_replica_that_vanished_before_a_suspension_is_not_used_after_it() {
    let _turn = one_at_a_time().await;
    let (set, _replica) = one_replica();
    listed(&set, &[]);
    assert_eq!(set.view().usable(SERVICE).len(), 1);
    harrierward_clock::imagine_suspension(SUSPENSION);
    assert_eq!(set.view().usable(SERVICE).len(), 0);
}
