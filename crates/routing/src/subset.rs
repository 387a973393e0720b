//! Rendezvous hashing: a ranking of members for a key that changes little when members come and go.
//!
//! Used for the stable subset of replicas that a gateway works with, and for who owns what.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A member to be ranked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubsetMember<'a> {
    /// Id that is hashed.
    pub id: &'a str,
    /// Nearer ranks come first: 0 the same zone, 1 the same region, 2 elsewhere.
    pub distance: u8,
}

fn weight(key: &str, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Ids in order of their weight for `key`, the owner first.
pub fn rank_by_rendezvous<'a>(key: &str, ids: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = ids.into_iter().map(|id| (weight(key, id), id)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// The id with the greatest weight for `key`: the first of [`rank_by_rendezvous`], without ranking the others.
pub fn rendezvous_owner<'a>(key: &str, ids: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    ids.into_iter()
        .max_by_key(|id| (xxh3_64_with_seed(id.as_bytes(), seed), *id))
}

/// Indexes of the `size` members that the gateway `key` works with, the nearest zones first.
pub fn stable_subset(key: &str, members: &[SubsetMember<'_>], size: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..members.len()).collect();
    ranked.sort_by_key(|index| {
        let member = &members[*index];
        (member.distance, std::cmp::Reverse(weight(key, member.id)))
    });
    ranked.truncate(size);
    ranked
}
