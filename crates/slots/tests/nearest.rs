//! The cache of the nearest members by area.

use std::cell::Cell;

use harrierward_slots::{GroupLayout, NearestMembers};

const REGION: u32 = 99;

/// Returns the number of groups, and of locations visited while the nearest members of all groups are determined.
fn count_visits(zones: u32, members_per_zone: u32, replicas: usize) -> (usize, usize) {
    let zones: Vec<u32> = (1..=zones).collect();
    let members: Vec<(u32, u32)> = zones
        .iter()
        .flat_map(|zone| (0..members_per_zone).map(|_| (*zone, REGION)))
        .collect();
    let visits = Cell::new(0);
    let counted = members.iter().map(|member| {
        visits.set(visits.get() + 1);
        *member
    });
    let regions = [REGION];
    let layout = GroupLayout::new(replicas, &zones, &regions);
    let mut nearest = NearestMembers::default();
    let mut groups = 0;
    for group in layout.all() {
        let nearest_members = nearest.of(group.area, Some(REGION), counted.clone());
        assert_eq!(nearest_members.len(), members_per_zone as usize);
        assert!(
            nearest_members
                .iter()
                .all(|position| members[*position].0 == group.area)
        );
        groups += 1;
    }
    (groups, visits.get())
}

/// The cost must not grow with the number of groups: each zone scans all members twice.
#[test]
fn members_are_scanned_per_zone_not_per_group() {
    for (members_per_zone, replicas) in [(200, 10_000), (400, 20_000)] {
        let (groups, visits) = count_visits(5, members_per_zone, replicas);
        assert!(groups >= replicas / 64, "{groups} groups");
        let members = 5 * members_per_zone as usize;
        assert!(visits <= 5 * 2 * members, "{visits} visits");
    }
}

#[test]
fn an_area_without_members_falls_back_to_its_region_then_to_all() {
    let members = [(1, 10), (2, 10), (3, 20)];
    let mut nearest = NearestMembers::default();
    assert_eq!(nearest.of(2, Some(10), members.into_iter()), [1]);
    assert_eq!(nearest.of(20, Some(20), members.into_iter()), [2]);
    assert_eq!(nearest.of(7, Some(10), members.into_iter()), [0, 1]);
    assert_eq!(nearest.of(7, Some(30), members.into_iter()), [0, 1, 2]);
    nearest.clear();
    assert_eq!(nearest.of(7, Some(30), members[..1].iter().copied()), [0]);
}
