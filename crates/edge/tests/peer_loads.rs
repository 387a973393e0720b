//! Sums of the peers' load notices for each replica.

use std::time::Duration;

use harrierward_edge::PeerLoads;
use harrierward_wire::{LoadNotice, ReplicaCount};
use tokio::time::Instant;

fn count(replica: u32, online: u32) -> ReplicaCount {
    ReplicaCount {
        replica,
        online,
        batch: 0,
    }
}

fn notice(from: &str, number: u64, counts: Vec<ReplicaCount>) -> LoadNotice {
    LoadNotice {
        from: from.to_owned(),
        number,
        counts,
        ..LoadNotice::default()
    }
}

#[test]
fn old_notices_expire_and_sums_are_scaled_to_peers_without_one() {
    let now = Instant::now();
    let mut loads = PeerLoads::default();
    assert!(loads.apply(notice("a", 5, vec![count(7, 2)]), now));
    assert!(
        !loads.apply(notice("a", 4, vec![]), now),
        "an older notice that came late"
    );
    assert_eq!(loads.sums(3)[&7].online, 6);
    assert!(!loads.expire(now + Duration::from_millis(1_400)));
    assert!(loads.expire(now + Duration::from_millis(1_500)));
    assert_eq!(loads.reporting(), 0);
}

/// Guards against a resumed daemon that compares its outdated proof with peers' notices from before the suspension, and
/// considers itself cut off from the store.
#[test]
fn proof_ages_from_before_a_suspension_are_ignored() {
    let now = Instant::now();
    let mut loads = PeerLoads::default();
    let fresh = LoadNotice {
        proof_age_ms: 40,
        ..notice("a", 1, Vec::new())
    };
    loads.apply(fresh, now);
    let ages = |at: Instant| loads.proof_ages_ms(at).collect::<Vec<u32>>();
    assert_eq!(ages(now + Duration::from_millis(1_400)), [40]);
    assert_eq!(ages(now + Duration::from_millis(4_000)), Vec::<u32>::new());
}

#[test]
fn batch_slots_are_taken_once_each_from_the_peers_that_hold_them() {
    let now = Instant::now();
    let mut loads = PeerLoads::default();
    let batch = |replica, batch| ReplicaCount {
        replica,
        online: 1,
        batch,
    };
    loads.apply(notice("a", 1, vec![batch(7, 2), batch(8, 5)]), now);
    loads.apply(notice("b", 1, vec![batch(7, 1)]), now);
    loads.apply(notice("c", 1, vec![count(7, 3)]), now);
    let mut random = rand::rng();
    let mut peers: Vec<String> = (0..3)
        .filter_map(|_| loads.take_batch_slot(7, &mut random))
        .collect();
    peers.sort_unstable();
    assert_eq!(peers, ["a", "a", "b"]);
    assert_eq!(loads.take_batch_slot(7, &mut random), None);
    assert_eq!(loads.sums(3)[&8].batch, 5);
}

/// Guards against a daemon that receives no more datagrams because the peers' numbers add up to more than can be counted.
#[test]
fn counts_at_their_limits_are_summed() {
    let now = Instant::now();
    let mut loads = PeerLoads::default();
    for peer in ["a", "b"] {
        assert!(loads.apply(notice(peer, u64::MAX, vec![count(7, u32::MAX)]), now));
    }
    assert_eq!(loads.sums(3)[&7].online, u32::MAX);
}
