//! Which replicas belong together, and which daemon coordinates their slots.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most replicas that one coordinator's group holds on the mean: what one small daemon can count by heart.
const GROUP_REPLICAS: usize = 32;

/// Fewest replicas that a zone must have on the mean for its groups to be its own. Smaller pools differ too much in
/// what they have free: requests would have to ask twice.
const LEAST_ZONE_REPLICAS: usize = 12;

/// A group of a service's replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId {
    /// Hash of the zone that the group lies in; 0 for a group over all zones.
    pub zone: u32,
    /// Its number within the zone, or among all.
    pub number: u32,
}

/// How a service's replicas are divided into groups: all daemons that know the same replicas divide them alike.
///
/// Why by zone where zones are large enough: most requests stay in their zone, so that the datagrams about their
/// slots need not leave it either, and a zone that is cut off goes on by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupLayout<'a> {
    /// Zones with groups of their own; empty if the groups reach over all zones.
    zones: &'a [u32],
    /// Groups of each zone, or of all together: a power of two, so that it seldom changes.
    numbers: u32,
}

impl<'a> GroupLayout<'a> {
    /// The layout for so many replicas in `zones` (hashes of their names, each once).
    pub fn new(replicas: usize, zones: &'a [u32]) -> Self {
        let in_a_zone = replicas / zones.len().max(1);
        let is_by_zone = replicas > GROUP_REPLICAS && in_a_zone >= LEAST_ZONE_REPLICAS;
        if is_by_zone {
            Self {
                zones,
                numbers: group_count(in_a_zone),
            }
        } else {
            Self {
                zones: &[],
                numbers: group_count(replicas),
            }
        }
    }

    /// True if each group lies in one zone.
    pub fn is_by_zone(&self) -> bool {
        !self.zones.is_empty()
    }

    /// True if there is only one group.
    pub fn is_single(&self) -> bool {
        self.zones.len() <= 1 && self.numbers <= 1
    }

    /// The group of a replica, from the hashes of its id and its zone.
    pub fn group_of(&self, replica: u32, zone: u32) -> GroupId {
        GroupId {
            zone: if self.is_by_zone() { zone } else { 0 },
            number: replica % self.numbers.max(1),
        }
    }

    /// True for a group of this layout.
    pub fn contains(&self, group: GroupId) -> bool {
        let zone_fits = if self.is_by_zone() {
            self.zones.contains(&group.zone)
        } else {
            group.zone == 0
        };
        zone_fits && group.number < self.numbers
    }

    /// The groups that lie in a zone; none if groups do not lie in zones.
    pub fn in_zone(&self, zone: u32) -> impl Iterator<Item = GroupId> + use<> {
        let numbers = if self.zones.contains(&zone) {
            self.numbers
        } else {
            0
        };
        (0..numbers).map(move |number| GroupId { zone, number })
    }

    /// The group at a position of an endless turn through all groups.
    pub fn at(&self, position: u32) -> GroupId {
        let number = position % self.numbers.max(1);
        let turn = (position / self.numbers.max(1)) as usize;
        let zone = self.zones.get(turn % self.zones.len().max(1));
        GroupId {
            zone: zone.copied().unwrap_or(0),
            number,
        }
    }
}

/// Number of groups for so many replicas.
fn group_count(replicas: usize) -> u32 {
    let needed = replicas.div_ceil(GROUP_REPLICAS).max(1);
    u32::try_from(needed.next_power_of_two()).unwrap_or(u32::MAX)
}

/// The member that coordinates a group: all daemons that know the same members name the same one (rendezvous
/// hashing).
pub fn coordinator_of<'a>(
    service: u32,
    group: GroupId,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let lease = u64::from(group.zone) << u32::BITS | u64::from(group.number);
    let seed = (u64::from(service) << u32::BITS) ^ lease;
    members
        .into_iter()
        .max_by_key(|member| xxh3_64_with_seed(member.as_bytes(), seed))
}
