//! What follows from the peers' words for each replica.

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
fn old_words_are_forgotten_and_unheard_peers_are_like_the_others() {
    let now = Instant::now();
    let mut loads = PeerLoads::default();
    assert!(loads.take(notice("a", 5, vec![count(7, 2)]), now));
    assert!(
        !loads.take(notice("a", 4, vec![]), now),
        "an older notice that came late"
    );
    assert_eq!(loads.sums(3)[&7].online, 6);
    assert!(!loads.expire(now + Duration::from_millis(1_400)));
    assert!(loads.expire(now + Duration::from_millis(1_500)));
    assert_eq!(loads.heard(), 0);
}
