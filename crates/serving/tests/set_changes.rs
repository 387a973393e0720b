//! Changes of a few replicas lead to the same as a whole new list.

use std::collections::BTreeMap;
use std::time::Duration;

use harrierward_serving::{ReplicaRecord, ReplicaSet, WorkClass};
use proptest::prelude::*;

fn record(number: usize, born_ms: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("i-{number:08x}"),
        born_ms: Some(born_ms),
        service: format!("model-{}", number % 2),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        zone: format!("zone-{}", number % 5),
        region: "region".to_owned(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    }
}

#[derive(Debug, Clone)]
struct Change {
    written: Vec<(usize, u64, bool)>,
    gone: Vec<usize>,
}

fn change() -> impl Strategy<Value = Change> {
    let written = prop::collection::vec((0..12usize, 1..4u64, any::<bool>()), 0..4);
    let gone = prop::collection::vec(0..12usize, 0..3);
    (written, gone).prop_map(|(written, gone)| Change { written, gone })
}

/// What a view shows of a service: ids, starts and states in order, zones, and the ids behind the hashes.
fn seen(set: &ReplicaSet) -> Vec<String> {
    let view = set.view();
    let mut seen = Vec::new();
    for service in ["model-0", "model-1"] {
        for replica in view.listed(service) {
            let by_hash = view.by_hash(replica.hash).expect("by hash");
            assert_eq!(by_hash.record.id, replica.record.id);
            assert!(view.get(&replica.record.id).is_some());
            let record = &replica.record;
            seen.push(format!(
                "{} {:?} {}",
                record.id,
                record.born_ms,
                replica.is_draining()
            ));
        }
        seen.push(format!(
            "{:?} {:?}",
            view.zones(service),
            view.regions(service)
        ));
        let homes = view.listed(service).iter();
        let homes = homes.filter(|one| view.has_long_prompt_affinity(&one.record.id));
        seen.push(format!("{} homes", homes.count()));
    }
    seen.push(format!("{} listed", view.len()));
    seen
}

proptest! {
    #[test]
    fn changes_lead_to_the_same_as_a_whole_list(changes in prop::collection::vec(change(), 1..20)) {
        let (by_changes, by_lists) = (ReplicaSet::default(), ReplicaSet::default());
        let mut records: BTreeMap<String, ReplicaRecord> = BTreeMap::new();
        for change in changes {
            let mut gone = Vec::new();
            for number in change.gone {
                let id = record(number, 1).id;
                records.remove(&id);
                gone.push(id);
            }
            let mut written = Vec::new();
            for (number, born_ms, draining) in change.written {
                let told = ReplicaRecord { draining, ..record(number, born_ms) };
                records.insert(told.id.clone(), told.clone());
                written.push(told);
            }
            by_changes.update(written, &gone, |_| 1_000);
            by_lists.replace(records.values().cloned().collect(), |_| 1_000);
            prop_assert_eq!(seen(&by_changes), seen(&by_lists));
        }
    }
}

/// Whoever tells others what is in progress looks through all replicas only if something is.
#[tokio::test]
async fn a_set_knows_whether_anything_is_in_progress() {
    let set = ReplicaSet::default();
    set.replace(vec![record(0, 1), record(1, 1)], |_| 1_000);
    assert!(set.is_idle());
    let replica = set.view().get(&record(0, 1).id).expect("listed").clone();
    let request = replica.enter(WorkClass::Online, None);
    let item = replica.enter(WorkClass::Batch, None);
    // It goes on at one that is no longer listed.
    set.update(Vec::new(), &[record(0, 1).id], |_| 1_000);
    assert!(!set.is_idle());
    drop(request);
    assert!(!set.is_idle());
    drop(item);
    assert!(set.is_idle());
}
