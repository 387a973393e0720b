//! Partition of a service's replicas into groups, and the choice of each group's coordinator.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum mean number of replicas in a group; bounds the work of one coordinator.
const MAX_MEAN_GROUP_SIZE: usize = 32;

/// Minimum mean number of replicas per zone for groups by zone. With fewer, the zones' free slots differ too much, and
/// requests would often need a second group.
const MIN_ZONE_REPLICAS: usize = 12;

/// Minimum mean number of replicas per region for groups by region. With fewer, most requests of a busy region would
/// find their group full and need a second query, to another region. Lower than the minimum for zones, since a query to
/// another region takes longer than a second one within the own region.
const MIN_REGION_REPLICAS: usize = 4;

/// Identifies one group of a service's replicas; ordered by area.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId {
    /// Hash of the group's zone or region; 0 for groups over all areas.
    pub area: u32,
    /// Number within the area.
    pub number: u32,
}

/// Area that the groups of a service are confined to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AreaKind {
    /// Each group lies in one zone.
    Zone,
    /// Each group lies in one region.
    Region,
    /// Groups span all zones and regions.
    All,
}

/// Partition of a service's replicas into groups, a function of the replicas alone: all daemons that know the same
/// replicas compute the same one.
///
/// Groups by zone keep slot traffic within the zone and let an isolated zone keep serving. Otherwise groups lie in a
/// region, as a coordinator in another region replies too late.
///
/// No earlier layout may influence this one: daemons that started at different times would keep different layouts for
/// the same replicas, and refuse each other's queries. After a change of the layout a new coordinator learns the leases
/// from the holders' next full reports, as after any change of the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupLayout<'a> {
    kind: AreaKind,
    /// Areas with their own groups; empty if groups span all areas.
    areas: &'a [u32],
    /// Groups per area, or in total if groups span all areas: a power of two, so that it seldom changes.
    numbers: u32,
}

impl<'a> GroupLayout<'a> {
    /// Computes the layout for `replicas` replicas in `zones` and `regions` (distinct hashes of their names).
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

    /// Returns the kind of area that each group lies in.
    pub fn kind(&self) -> AreaKind {
        self.kind
    }

    /// True if there is at most one group.
    pub fn is_single(&self) -> bool {
        self.areas.len() <= 1 && self.numbers <= 1
    }

    /// Returns the group of a replica, from the hashes of its id, its zone and its region.
    pub fn group_of(&self, replica: u32, zone: u32, region: u32) -> GroupId {
        GroupId {
            area: self.area_at(zone, region),
            number: replica % self.numbers.max(1),
        }
    }

    /// Returns the area of a location; 0 if groups span all areas.
    pub fn area_at(&self, zone: u32, region: u32) -> u32 {
        match self.kind {
            AreaKind::Zone => zone,
            AreaKind::Region => region,
            AreaKind::All => 0,
        }
    }

    /// True if the group belongs to this layout.
    pub fn contains(&self, group: GroupId) -> bool {
        let is_area = match self.kind {
            AreaKind::Zone | AreaKind::Region => self.areas.contains(&group.area),
            AreaKind::All => group.area == 0,
        };
        is_area && group.number < self.numbers
    }

    /// Returns all groups, ordered by area.
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

    /// Returns the groups of an area; none if the layout doesn't have it.
    pub fn in_area(&self, area: u32) -> impl Iterator<Item = GroupId> + use<'a> {
        self.all().filter(move |group| group.area == area)
    }

    /// Returns the group at a position of a cyclic sequence over all groups.
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

fn group_count(replicas: usize) -> u32 {
    let needed = replicas.div_ceil(MAX_MEAN_GROUP_SIZE).max(1);
    u32::try_from(needed.next_power_of_two()).unwrap_or(u32::MAX)
}

/// Returns the member that coordinates a group, by rendezvous hashing: all daemons with the same members choose the
/// same one. `None` without members.
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
