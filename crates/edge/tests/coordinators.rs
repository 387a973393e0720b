//! Location of groups' coordinators: in the zone or region of their replicas if there are members, else elsewhere.

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

fn replicas(per_zone: usize) -> Arc<ReplicaSet> {
    let records = ZONES.into_iter().flat_map(|(zone, region)| {
        (0..per_zone).map(move |number| ReplicaRecord {
            born_ms: None,
            id: format!("{zone}-{number}"),
            service: "model".to_owned(),
            version: String::new(),
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

/// Returns the zones of the daemons that coordinate replicas of `of_zone`, with four daemons in each zone but
/// `without`.
fn coordinating(per_zone: usize, without: &[&str], of_zone: &str) -> Vec<&'static str> {
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
    let set = replicas(per_zone);
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
fn a_large_zone_is_coordinated_from_the_zone_or_else_from_its_region() {
    let zones = coordinating(16, &[], "north-a");
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == "north-a"));
    let zones = coordinating(16, &["north-a"], "north-a");
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == "north-b"));
    let zones = coordinating(16, &["north-a", "north-b"], "north-a");
    assert!(!zones.is_empty() && zones.iter().all(|zone| zone.starts_with("south")));
}

#[test]
fn small_zones_are_coordinated_from_their_region_or_else_from_anywhere() {
    for zone in ["north-a", "north-b"] {
        let zones = coordinating(4, &[], zone);
        assert!(!zones.is_empty() && zones.iter().all(|zone| zone.starts_with("north")));
    }
    let zones = coordinating(4, &["north-a", "north-b"], "north-b");
    assert!(!zones.is_empty() && zones.iter().all(|zone| zone.starts_with("south")));
}
