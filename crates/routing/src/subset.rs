//! Rendezvous hashing, used for each gateway's stable subset of replicas and for ownership.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Candidate replica of [`stable_subset`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubsetCandidate<'a> {
    /// Id from which the weight is hashed.
    pub id: &'a str,
    /// Zone distance: 0 same zone, 1 same region, 2 elsewhere.
    pub distance: u8,
}

fn weight(key: &str, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the ids by descending weight for `key`, the owner first.
pub fn rank_by_rendezvous<'a>(key: &str, ids: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = ids.into_iter().map(|id| (weight(key, id), id)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Returns the id with the greatest weight for `key`: the first of [`rank_by_rendezvous`], without sorting the
/// others.
pub fn rendezvous_owner<'a>(key: &str, ids: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    ids.into_iter()
        .max_by_key(|id| (xxh3_64_with_seed(id.as_bytes(), seed), *id))
}

/// Returns the indexes of the `size` replicas that the gateway `key` works with, the nearest zones first.
pub fn stable_subset(key: &str, candidates: &[SubsetCandidate<'_>], size: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (
            candidate.distance,
            std::cmp::Reverse(weight(key, candidate.id)),
        )
    });
    ranked.truncate(size);
    ranked
}
