//! Partition of replicas into groups over zones and regions, and spillover between regions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harrierward_slots::{
    AreaKind, FreeCapacity, GroupId, GroupLayout, SpillCost, coordinator_of, should_spill,
};
use proptest::prelude::*;

const ZONES: [u32; 6] = [11, 12, 21, 22, 31, 32];
const REGIONS: [u32; 3] = [1, 2, 3];

fn region_of(zone: u32) -> u32 {
    zone / 10
}

/// Replicas by zone, as hashes of their ids.
type Fleet = BTreeMap<u32, BTreeSet<u32>>;

fn fleets() -> impl Strategy<Value = Fleet> {
    let zone = prop::collection::btree_set(any::<u32>(), 0..40);
    prop::collection::vec(zone, ZONES.len())
        .prop_map(|zones| ZONES.into_iter().zip(zones).collect())
}

fn zones_of(fleet: &Fleet) -> Vec<u32> {
    let used = fleet.iter().filter(|(_, replicas)| !replicas.is_empty());
    used.map(|(zone, _)| *zone).collect()
}

fn regions_of(zones: &[u32]) -> Vec<u32> {
    let regions: BTreeSet<u32> = zones.iter().map(|zone| region_of(*zone)).collect();
    regions.into_iter().collect()
}

fn size(fleet: &Fleet) -> usize {
    fleet.values().map(BTreeSet::len).sum()
}

fn even_layout(replicas: usize) -> GroupLayout<'static> {
    GroupLayout::new(replicas, &ZONES, &REGIONS)
}

#[test]
fn layout_kind_follows_the_replicas_per_zone_and_region() {
    assert_eq!(even_layout(72).kind(), AreaKind::Zone, "twelve a zone");
    assert_eq!(even_layout(60).kind(), AreaKind::Region, "ten a zone");
    assert_eq!(even_layout(12).kind(), AreaKind::Region, "four a region");
    assert_eq!(even_layout(11).kind(), AreaKind::All, "fewer");
    let one_region = GroupLayout::new(5, &[11, 12], &[1]);
    assert_eq!(one_region.kind(), AreaKind::Region, "all in one region");
    assert!(one_region.is_single());
}

proptest! {
    /// Each replica must be in exactly one group, and all daemons that list the same replicas must agree on it.
    #[test]
    fn every_replica_is_in_exactly_one_group(fleet in fleets()) {
        let zones = zones_of(&fleet);
        let regions = regions_of(&zones);
        let layout = GroupLayout::new(size(&fleet), &zones, &regions);
        let again = GroupLayout::new(size(&fleet), &zones, &regions);
        prop_assert_eq!(layout, again);
        let all: Vec<GroupId> = layout.all().collect();
        let distinct: BTreeSet<GroupId> = all.iter().copied().collect();
        prop_assert_eq!(all.len(), distinct.len());
        for (zone, replicas) in &fleet {
            for replica in replicas {
                let group = layout.group_of(*replica, *zone, region_of(*zone));
                prop_assert!(layout.contains(group));
                prop_assert_eq!(all.iter().filter(|one| **one == group).count(), 1);
                let area = layout.area_at(*zone, region_of(*zone));
                prop_assert!(layout.in_area(area).any(|one| one == group));
            }
        }
        for position in 0..all.len() {
            let position = u32::try_from(position).unwrap_or_default();
            prop_assert!(distinct.contains(&layout.at(position)));
        }
    }

    /// Replicas that join or leave must seldom change the layout and so move replicas between groups.
    #[test]
    fn a_layout_changes_seldom_while_a_fleet_grows(start in 1_usize..40) {
        let mut changes = 0;
        for replicas in start..start + 400 {
            let before = even_layout(replicas);
            let after = even_layout(replicas + 1);
            changes += usize::from(before != after);
        }
        prop_assert!(changes <= 6, "{} changes", changes);
    }

    /// Regions must not exchange requests, whatever the waits and the penalty are.
    #[test]
    fn two_regions_never_exchange_load(
        free in prop::collection::vec(0_u32..1_000, 2),
        waits in prop::collection::vec(0_u64..2_000, 2),
        network_delay in 0_u64..80,
        penalty in 0_u64..100,
        min_free in 0_u32..300,
    ) {
        let capacity = |at: usize| FreeCapacity {
            free_permille: free[at],
            wait: Duration::from_millis(waits[at]),
        };
        let cost = SpillCost {
            network_delay: Duration::from_millis(network_delay),
            penalty: Duration::from_millis(penalty),
            min_free_permille: min_free,
        };
        let forth = should_spill(&capacity(0), &capacity(1), &cost);
        let back = should_spill(&capacity(1), &capacity(0), &cost);
        prop_assert!(!(forth && back));
    }
}

#[test]
fn a_request_spills_only_if_it_gains_more_than_delay_and_penalty() {
    let cost = SpillCost {
        network_delay: Duration::from_millis(80),
        penalty: Duration::from_millis(60),
        min_free_permille: 150,
    };
    let free_region = FreeCapacity {
        free_permille: 400,
        wait: Duration::ZERO,
    };
    let full_region = |wait| FreeCapacity {
        free_permille: 0,
        wait: Duration::from_millis(wait),
    };
    assert!(!should_spill(&full_region(140), &free_region, &cost));
    assert!(should_spill(&full_region(141), &free_region, &cost));
    let nearly_full_region = FreeCapacity {
        free_permille: 1,
        ..full_region(900)
    };
    assert!(!should_spill(&nearly_full_region, &free_region, &cost));
    let scarce = FreeCapacity {
        free_permille: 149,
        ..free_region
    };
    assert!(!should_spill(&full_region(900), &scarce, &cost));
}

#[test]
fn coordinators_differ_between_areas() {
    let members = ["a", "b", "c", "d", "e", "f", "g"];
    let coordinators: BTreeSet<&str> = (0..20)
        .filter_map(|area| coordinator_of(1, GroupId { area, number: 0 }, members))
        .collect();
    assert!(coordinators.len() > 3, "{coordinators:?}");
}
