//! Where the coordinators of groups are: in the zone or region of the replicas that they speak for, or near.

use std::sync::Arc;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, SlotService};
use harrierward_serving::{Location, ReplicaRecord, ReplicaSet, SelectionCosts};

const ZONES: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];

fn replicas(in_a_zone: usize) -> Arc<ReplicaSet> {
    let records = ZONES.into_iter().flat_map(|(zone, region)| {
        (0..in_a_zone).map(move |number| ReplicaRecord {
            born_ms: None,
            id: format!("{zone}-{number}"),
            service: "model".to_owned(),
            address: String::new(),
            zone: zone.to_owned(),
            region: region.to_owned(),
            slots: 2,
            draining: false,
            warmup: std::time::Duration::ZERO,
        })
    });
    let set = ReplicaSet::default();
    set.replace(records.collect(), |_| 1_000);
    Arc::new(set)
}

/// Of four daemons in each zone but the ones left out, the places of those that coordinate some of a zone's replicas.
fn coordinating(in_a_zone: usize, without: &[&str], of_zone: &str) -> Vec<&'static str> {
    let present = ZONES
        .into_iter()
        .filter(|(zone, _)| !without.contains(zone));
    let members: Vec<(&str, CoordinatorCandidate)> = present
        .flat_map(|(zone, region)| {
            (0..4).map(move |number| {
                let member = CoordinatorCandidate {
                    id: format!("{zone}-{number}"),
                    address: None,
                    location: Location::new(zone, region),
                };
                (zone, member)
            })
        })
        .collect();
    let candidates: Vec<CoordinatorCandidate> =
        members.iter().map(|(_, member)| member.clone()).collect();
    let set = replicas(in_a_zone);
    let view = set.view();
    let coordinates = |member: &CoordinatorCandidate| {
        let slots = SlotService::new(
            member.id.clone(),
            member.location,
            set.clone(),
            SelectionCosts::default(),
            DecisionLog::new(LogBounds::default()),
        );
        slots.set_members(candidates.clone());
        let mut of_zone = view.all().filter(|one| one.record.zone == of_zone);
        of_zone.any(|replica| slots.coordinates(replica))
    };
    let found = members.iter().filter(|(_, member)| coordinates(member));
    found.map(|(zone, _)| *zone).collect()
}

#[test]
fn a_zone_of_many_replicas_has_its_coordinators_in_the_zone_else_in_its_region() {
    let zones = coordinating(16, &[], "north-a");
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == "north-a"));
    let zones = coordinating(16, &["north-a"], "north-a");
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == "north-b"));
    let zones = coordinating(16, &["north-a", "north-b"], "north-a");
    assert!(!zones.is_empty() && zones.iter().all(|zone| zone.starts_with("south")));
}

#[test]
fn a_region_of_small_zones_has_its_coordinators_in_the_region_else_anywhere() {
    for zone in ["north-a", "north-b"] {
        let zones = coordinating(4, &[], zone);
        assert!(!zones.is_empty() && zones.iter().all(|zone| zone.starts_with("north")));
    }
    let zones = coordinating(4, &["north-a", "north-b"], "north-b");
    assert!(!zones.is_empty() && zones.iter().all(|zone| zone.starts_with("south")));
}
