//! Zones, regions and the delays between them.

/// Zones and regions of the target.
const ZONES: usize = 11;
const REGIONS: usize = 3;

/// One-way delays, microseconds.
const SAME_ZONE_MICROS: u64 = 300;
const SAME_REGION_MICROS: u64 = 1_000;
const OTHER_REGION_MICROS: u64 = 40_000;

/// Where a daemon stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Zone number.
    pub zone: usize,
    /// Region number.
    pub region: usize,
}

impl Placement {
    /// Place of the daemon with this number.
    pub fn of(number: usize) -> Self {
        let zone = number % ZONES;
        Self {
            zone,
            region: zone % REGIONS,
        }
    }

    /// One-way delay to another place, microseconds.
    pub fn delay_micros(self, other: Self) -> u64 {
        if self.zone == other.zone {
            SAME_ZONE_MICROS
        } else if self.region == other.region {
            SAME_REGION_MICROS
        } else {
            OTHER_REGION_MICROS
        }
    }
}
