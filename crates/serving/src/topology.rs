//! Zones and regions of daemons and replicas.

use std::collections::HashMap;

use crate::replica::short_hash;

/// Regions of the zones that the settings define.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    region_by_zone: HashMap<String, String>,
}

impl Topology {
    /// Creates a topology from pairs of zone and region.
    pub fn new(zones: impl IntoIterator<Item = (String, String)>) -> Self {
        Self {
            region_by_zone: zones.into_iter().collect(),
        }
    }

    /// Returns the region of a zone; empty if the settings don't define the zone.
    pub fn region_of(&self, zone: &str) -> &str {
        self.region_by_zone.get(zone).map_or("", String::as_str)
    }

    /// True if the settings define no zones.
    pub fn is_empty(&self) -> bool {
        self.region_by_zone.is_empty()
    }

    /// True if the settings define the zone.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.region_by_zone.contains_key(zone)
    }

    /// Returns the names of the defined zones, in no particular order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.region_by_zone.keys().map(String::as_str)
    }

    /// True if a defined zone lies in the region.
    pub fn has_region(&self, region: &str) -> bool {
        self.region_by_zone.values().any(|known| known == region)
    }
}

/// Zone and region by their short hashes, as in datagrams; locations are compared by these hashes only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Short hash of the zone's name.
    pub zone: u32,
    /// Short hash of the region's name.
    pub region: u32,
}

impl Location {
    /// Creates a location from the names of zone and region.
    pub fn new(zone: &str, region: &str) -> Self {
        Self {
            zone: short_hash(zone),
            region: short_hash(region),
        }
    }
}
