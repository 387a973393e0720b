//! The nearest members of the areas of a whole fleet, while its members change.

use std::cell::Cell;

use harrierward_slots::{GroupLayout, NearestMembers};

const REGION: u32 = 99;

/// Locations that were looked at while the nearest members of all groups were found.
fn looks(zones: u32, members_a_zone: u32, replicas: usize) -> (usize, usize) {
    let zones: Vec<u32> = (1..=zones).collect();
    let members: Vec<(u32, u32)> = zones
        .iter()
        .flat_map(|zone| (0..members_a_zone).map(|_| (*zone, REGION)))
        .collect();
    let looks = Cell::new(0);
    let counted = members.iter().map(|member| {
        looks.set(looks.get() + 1);
        *member
    });
    let regions = [REGION];
    let layout = GroupLayout::new(replicas, &zones, &regions);
    let mut nearest = NearestMembers::default();
    let mut groups = 0;
    for group in layout.all() {
        let near = nearest.of(group.area, Some(REGION), counted.clone());
        assert_eq!(near.len(), members_a_zone as usize);
        assert!(
            near.iter()
                .all(|position| members[*position].0 == group.area)
        );
        groups += 1;
    }
    (groups, looks.get())
}

/// All members are looked at twice for each zone, however many groups the replicas make.
#[test]
fn members_are_looked_at_for_each_zone_and_not_for_each_group() {
    for (members_a_zone, replicas) in [(200, 10_000), (400, 20_000)] {
        let (groups, looks) = looks(5, members_a_zone, replicas);
        assert!(groups >= replicas / 64, "{groups} groups");
        let members = 5 * members_a_zone as usize;
        assert!(looks <= 5 * 2 * members, "{looks} looks");
    }
}

#[test]
fn an_area_without_members_is_kept_from_its_region_else_from_anywhere() {
    let members = [(1, 10), (2, 10), (3, 20)];
    let mut nearest = NearestMembers::default();
    assert_eq!(nearest.of(2, Some(10), members.into_iter()), [1]);
    assert_eq!(nearest.of(20, Some(20), members.into_iter()), [2]);
    assert_eq!(nearest.of(7, Some(10), members.into_iter()), [0, 1]);
    assert_eq!(nearest.of(7, Some(30), members.into_iter()), [0, 1, 2]);
    nearest.clear();
    assert_eq!(nearest.of(7, Some(30), members[..1].iter().copied()), [0]);
}
