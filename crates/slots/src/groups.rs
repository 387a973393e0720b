//! Which replicas belong together, and which daemon keeps their places.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most replicas that one keeper's group holds on the mean.
const GROUP_REPLICAS: usize = 32;

/// Number of groups of a service with so many replicas: a power of two, so that it seldom changes.
pub fn group_count(replicas: usize) -> u32 {
    let needed = replicas.div_ceil(GROUP_REPLICAS).max(1);
    u32::try_from(needed.next_power_of_two()).unwrap_or(u32::MAX)
}

/// The group of a replica, from the hash of its id.
pub fn group_of(replica: u32, groups: u32) -> u32 {
    replica % groups.max(1)
}

/// The member that keeps a group: all daemons that know the same members name the same one (rendezvous hashing).
pub fn keeper_of<'a>(
    service: u32,
    group: u32,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = (u64::from(service) << u32::BITS) | u64::from(group);
    members
        .into_iter()
        .max_by_key(|member| xxh3_64_with_seed(member.as_bytes(), seed))
}
