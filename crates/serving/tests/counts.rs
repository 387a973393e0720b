//! Counts of requests that replicas and peers report, at their limits.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{Replica, ReplicaLoad, ReplicaRecord, ReplicaSet};

fn replica(slots: u32, memory_tokens: u64) -> Arc<Replica> {
    let replicas = ReplicaSet::default();
    let record = ReplicaRecord {
        id: "i-1".to_owned(),
        born_ms: None,
        service: "model".to_owned(),
        version: String::new(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone".to_owned(),
        region: String::new(),
        slots,
        draining: false,
        warmup: Duration::ZERO,
    };
    replicas.replace(vec![record], |_| memory_tokens);
    replicas.view().get("i-1").expect("listed").clone()
}

/// Guards against a replica that seems idle, or a daemon that ends a request, because reported numbers add up to more
/// than can be counted.
#[test]
fn a_load_report_at_its_limits_counts_as_a_high_load() {
    let replica = replica(8, 0);
    for (running, waiting) in [(u32::MAX, u32::MAX), (u32::MAX, 1), (1, u32::MAX)] {
        let load = ReplicaLoad {
            running,
            waiting,
            slots: u32::MAX,
        };
        replica.note_load(load);
        assert!(replica.load() > 1_000, "{load:?}: {}", replica.load());
    }
}

/// Guards against a replica that seems idle, or a daemon that ends a request, because the peers' numbers add up to more
/// than can be counted.
#[test]
fn counts_of_peers_at_their_limits_count_as_a_high_load() {
    let replica = replica(8, 0);
    replica.set_peer_counts(u32::MAX, u32::MAX);
    assert!(replica.load() > 1_000, "{}", replica.load());
    assert!(replica.online() > 1_000, "{}", replica.online());
}
