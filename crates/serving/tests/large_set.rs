//! Guards against updates of one replica whose cost, beyond a copy of pointers, grows with the number of replicas. A
//! rolling restart of a fleet would otherwise cost daemons x replicas x changes.

use std::alloc::System;
use std::time::Duration;

use harrierward_serving::{ReplicaRecord, ReplicaSet};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn record(number: usize, born_ms: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("i-{number:08x}"),
        born_ms: Some(born_ms),
        service: format!("model-{}", number % 2),
        version: String::new(),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        zone: format!("zone-{}", number % 5),
        region: "region".to_owned(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    }
}

/// Mean number of bytes allocated per change.
fn bytes_per_change(replicas: usize) -> usize {
    const CHANGES: usize = 20;
    let set = ReplicaSet::default();
    set.replace(
        (0..replicas).map(|number| record(number, 1)).collect(),
        |_| 1_000,
    );
    let region = Region::new(ALLOCATOR);
    for number in 0..CHANGES {
        set.update(vec![record(number, 2)], &[], |_| 1_000);
    }
    region.change().bytes_allocated / CHANGES
}

/// Only the pointers, eight bytes per replica, may grow with the number of replicas.
#[test]
fn a_change_among_very_many_replicas_copies_pointers_only() {
    for replicas in [10_000, 20_000] {
        let bytes = bytes_per_change(replicas);
        let max = 16 * replicas + 30_000;
        assert!(bytes <= max, "{bytes} bytes a change among {replicas}");
    }
}
