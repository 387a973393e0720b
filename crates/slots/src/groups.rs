//! Which replicas belong together, and which daemon coordinates their slots.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most replicas that one coordinator's group holds on the mean: what one small daemon can count by heart.
const MAX_MEAN_GROUP_SIZE: usize = 32;

/// Fewest replicas that a zone must have on the mean for its groups to be its own. Smaller pools differ too much in
/// what they have free: requests would have to ask twice.
const MIN_ZONE_REPLICAS: usize = 12;

/// Fewest replicas that a region must have on the mean for its groups to be its own. A question to another region takes
/// longer than one more question within the own, so regions have groups of their own long before zones have; with one
/// to three replicas, though, nearly every request of a busy region would find its group full and ask twice, once far
/// away.
const MIN_REGION_REPLICAS: usize = 4;

/// A group of a service's replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId {
    /// Hash of the zone or the region that the group lies in; 0 for a group over all places.
    pub area: u32,
    /// Its number within the area, or among all.
    pub number: u32,
}

/// What the groups of a service lie in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AreaKind {
    /// Each lies in one zone.
    Zone,
    /// Each lies in one region.
    Region,
    /// They reach over all places.
    All,
}

/// How a service's replicas are divided into groups: all daemons that know the same replicas divide them alike.
///
/// Why by zone where zones are large enough: most requests stay in their zone, so that the datagrams about their
/// slots need not leave it either, and a zone that is cut off goes on by itself. Why else by region: a coordinator in
/// another region answers later than a request can wait.
///
/// Why nothing is remembered of earlier layouts: daemons that started at different times would divide the same
/// replicas differently for good, and refuse each other's questions. A layout that changes costs what a coordinator
/// that changes costs: the new one learns from the holders' next whole report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupLayout<'a> {
    kind: AreaKind,
    /// Areas with groups of their own; empty if the groups reach over all places.
    areas: &'a [u32],
    /// Groups of each area, or of all together: a power of two, so that it seldom changes.
    numbers: u32,
}

impl<'a> GroupLayout<'a> {
    /// The layout for so many replicas in `zones` and `regions` (hashes of their names, each once).
    pub fn new(replicas: usize, zones: &'a [u32], regions: &'a [u32]) -> Self {
        let per_zone = replicas / zones.len().max(1);
        let per_region = replicas / regions.len().max(1);
        let is_by_zone = replicas > MAX_MEAN_GROUP_SIZE && per_zone >= MIN_ZONE_REPLICAS;
        if is_by_zone {
            Self::over(AreaKind::Zone, zones, per_zone)
        } else if regions.len() == 1 || (regions.len() > 1 && per_region >= MIN_REGION_REPLICAS) {
            Self::over(AreaKind::Region, regions, per_region)
        } else {
            Self::over(AreaKind::All, &[], replicas)
        }
    }

    fn over(kind: AreaKind, areas: &'a [u32], replicas: usize) -> Self {
        Self {
            kind,
            areas,
            numbers: group_count(replicas),
        }
    }

    /// What each group lies in.
    pub fn kind(&self) -> AreaKind {
        self.kind
    }

    /// True if there is only one group.
    pub fn is_single(&self) -> bool {
        self.areas.len() <= 1 && self.numbers <= 1
    }

    /// The group of a replica, from the hashes of its id, its zone and its region.
    pub fn group_of(&self, replica: u32, zone: u32, region: u32) -> GroupId {
        GroupId {
            area: self.area_at(zone, region),
            number: replica % self.numbers.max(1),
        }
    }

    /// The area of a place.
    pub fn area_at(&self, zone: u32, region: u32) -> u32 {
        match self.kind {
            AreaKind::Zone => zone,
            AreaKind::Region => region,
            AreaKind::All => 0,
        }
    }

    /// True for a group of this layout.
    pub fn contains(&self, group: GroupId) -> bool {
        let is_area = match self.kind {
            AreaKind::Zone | AreaKind::Region => self.areas.contains(&group.area),
            AreaKind::All => group.area == 0,
        };
        is_area && group.number < self.numbers
    }

    /// All groups, area after area.
    pub fn all(&self) -> impl Iterator<Item = GroupId> + use<'a> {
        let everywhere: &[u32] = &[0];
        let areas = if self.areas.is_empty() {
            everywhere
        } else {
            self.areas
        };
        let numbers = self.numbers;
        areas
            .iter()
            .flat_map(move |&area| (0..numbers).map(move |number| GroupId { area, number }))
    }

    /// The groups that lie in an area; none if there is no such area.
    pub fn in_area(&self, area: u32) -> impl Iterator<Item = GroupId> + use<'a> {
        self.all().filter(move |group| group.area == area)
    }

    /// The group at a position of an endless turn through all groups.
    pub fn at(&self, position: u32) -> GroupId {
        let number = position % self.numbers.max(1);
        let round = (position / self.numbers.max(1)) as usize;
        let area = self.areas.get(round % self.areas.len().max(1));
        GroupId {
            area: area.copied().unwrap_or(0),
            number,
        }
    }
}

/// Number of groups for so many replicas.
fn group_count(replicas: usize) -> u32 {
    let needed = replicas.div_ceil(MAX_MEAN_GROUP_SIZE).max(1);
    u32::try_from(needed.next_power_of_two()).unwrap_or(u32::MAX)
}

/// The member that coordinates a group: all daemons that know the same members name the same one (rendezvous
/// hashing).
pub fn coordinator_of<'a>(
    service: u32,
    group: GroupId,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let group_bits = u64::from(group.area) << u32::BITS | u64::from(group.number);
    let seed = (u64::from(service) << u32::BITS) ^ group_bits;
    members
        .into_iter()
        .max_by_key(|member| xxh3_64_with_seed(member.as_bytes(), seed))
}
