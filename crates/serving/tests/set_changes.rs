//! Guards against incremental updates that differ from a replacement by the full list.

use std::collections::BTreeMap;
use std::time::Duration;

use harrierward_serving::{ReplicaRecord, ReplicaSet, WorkClass};
use proptest::prelude::*;

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

#[derive(Debug, Clone)]
struct Change {
    written: Vec<(usize, u64, bool)>,
    removed: Vec<usize>,
}

fn change() -> impl Strategy<Value = Change> {
    let written = prop::collection::vec((0..12usize, 1..4u64, any::<bool>()), 0..4);
    let removed = prop::collection::vec(0..12usize, 0..3);
    (written, removed).prop_map(|(written, removed)| Change { written, removed })
}

/// Visible state of a set: ids, start times and draining flags in order, zones, regions, lookups by hash and the
/// number of replicas for long prompts.
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
        let for_long_prompts = view.listed(service).iter();
        let for_long_prompts =
            for_long_prompts.filter(|one| view.has_long_prompt_affinity(&one.record.id));
        seen.push(format!("{} for long prompts", for_long_prompts.count()));
    }
    seen.push(format!("{} listed", view.len()));
    seen
}

proptest! {
    #[test]
    fn changes_lead_to_the_same_as_a_full_list(changes in prop::collection::vec(change(), 1..20)) {
        let (by_changes, by_lists) = (ReplicaSet::default(), ReplicaSet::default());
        let mut records: BTreeMap<String, ReplicaRecord> = BTreeMap::new();
        for change in changes {
            let mut removed = Vec::new();
            for number in change.removed {
                let id = record(number, 1).id;
                records.remove(&id);
                removed.push(id);
            }
            let mut written = Vec::new();
            for (number, born_ms, draining) in change.written {
                let latest = ReplicaRecord { draining, ..record(number, born_ms) };
                records.insert(latest.id.clone(), latest.clone());
                written.push(latest);
            }
            by_changes.update(written, &removed, |_| 1_000);
            by_lists.replace(records.values().cloned().collect(), |_| 1_000);
            prop_assert_eq!(seen(&by_changes), seen(&by_lists));
        }
    }
}

/// A set must not report itself idle while requests are in progress, even at replicas that are no longer listed.
#[tokio::test]
async fn a_set_reports_whether_anything_is_in_progress() {
    let set = ReplicaSet::default();
    set.replace(vec![record(0, 1), record(1, 1)], |_| 1_000);
    assert!(set.is_idle());
    let replica = set.view().get(&record(0, 1).id).expect("listed").clone();
    let request = replica.enter(WorkClass::Online, None);
    let item = replica.enter(WorkClass::Batch, None);
    // The requests continue at a replica that is no longer listed.
    set.update(Vec::new(), &[record(0, 1).id], |_| 1_000);
    assert!(!set.is_idle());
    drop(request);
    assert!(!set.is_idle());
    drop(item);
    assert!(set.is_idle());
}
