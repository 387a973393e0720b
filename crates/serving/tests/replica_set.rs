//! Guards against updates lost between tasks that change the set concurrently.

use std::collections::HashSet;
use std::sync::Barrier;
use std::time::Duration;

use harrierward_serving::{ReplicaRecord, ReplicaSet};

const ROUNDS: usize = 300;

const REPLICAS: usize = 50;

fn records(name: &str) -> Vec<ReplicaRecord> {
    let record = |number| ReplicaRecord {
        born_ms: None,
        id: format!("{name}-{number}"),
        service: "model".to_owned(),
        version: String::new(),
        address: format!("{name}-{number}:80"),
        zone: "zone".to_owned(),
        region: String::new(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    };
    (0..REPLICAS).map(record).collect()
}

/// The list and the evacuated zones are updated by different tasks; neither may undo the other.
#[test]
fn a_new_list_and_an_evacuation_that_come_together_are_both_in_force() {
    let set = ReplicaSet::default();
    for round in 0..ROUNDS {
        set.replace(records("old"), |_| 0);
        set.set_evacuated_zones(HashSet::new());
        let start = Barrier::new(2);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                start.wait();
                set.set_evacuated_zones(HashSet::from(["zone".to_owned()]));
            });
            start.wait();
            set.replace(records("new"), |_| 0);
        });
        let view = set.view();
        assert!(view.get("new-0").is_some(), "the list is lost in {round}");
        assert!(view.all().all(|one| !one.accepts_work()), "in {round}");
    }
}
