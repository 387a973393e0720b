//! Zones and regions: where daemons and replicas are.

use std::collections::HashMap;

use crate::replica::short_hash;

/// The zones that the settings name, and the region in which each lies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    region_by_zone: HashMap<String, String>,
}

impl Topology {
    /// From pairs of a zone and its region.
    pub fn new(zones: impl IntoIterator<Item = (String, String)>) -> Self {
        Self {
            region_by_zone: zones.into_iter().collect(),
        }
    }

    /// Region of a zone; empty if the settings do not name the zone.
    pub fn region_of(&self, zone: &str) -> &str {
        self.region_by_zone.get(zone).map_or("", String::as_str)
    }

    /// True if the settings name no zone at all.
    pub fn is_empty(&self) -> bool {
        self.region_by_zone.is_empty()
    }

    /// True if the settings name the zone.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.region_by_zone.contains_key(zone)
    }

    /// True if a zone that the settings name lies in the region.
    pub fn has_region(&self, region: &str) -> bool {
        self.region_by_zone.values().any(|known| known == region)
    }
}

/// Where a daemon or a replica is, in the short form of datagrams. Two places are compared by these hashes only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Hash of the zone.
    pub zone: u32,
    /// Hash of the region.
    pub region: u32,
}

impl Location {
    /// Of a zone in a region.
    pub fn new(zone: &str, region: &str) -> Self {
        Self {
            zone: short_hash(zone),
            region: short_hash(region),
        }
    }
}
