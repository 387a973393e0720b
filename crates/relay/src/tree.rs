//! The relay tree of a zone: its members in a shared order, each with a bounded number of followers. Does no I/O.
//!
//! Members with different views may choose different parents, but a parent always precedes its followers in the
//! order, so no cycle can arise.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of followers per member where all views agree; bounds the load on a member's link.
const MAX_FOLLOWERS: usize = 8;

/// Maximum number of members that serve as fallback sources in addition to the ancestors.
const FALLBACKS: usize = 2;

/// A member that may be followed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayPeer {
    /// Id of the daemon instance.
    pub id: String,
    /// Its control address, `host:port`.
    pub address: String,
}

/// The position of one member in its zone's tree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayTree {
    /// Ancestors from the parent up to the root; empty for the root.
    pub ancestors: Vec<RelayPeer>,
    /// First members of the order that aren't ancestors.
    pub fallbacks: Vec<RelayPeer>,
}

impl RelayTree {
    /// Computes the position of the member `own` among the members of its zone; `zone` may or may not include it.
    pub fn new(own: &str, zone: &[RelayPeer]) -> Self {
        let mut ranked: Vec<&RelayPeer> = zone.iter().filter(|peer| peer.id != own).collect();
        ranked.sort_by_cached_key(|peer| rank(&peer.id));
        let own_rank = rank(own);
        let own_position = ranked.partition_point(|peer| rank(&peer.id) < own_rank);
        let ancestors = ancestors_of(own_position).map(|position| ranked[position].clone());
        let ancestors: Vec<RelayPeer> = ancestors.collect();
        let others = ranked.into_iter().filter(|peer| !ancestors.contains(peer));
        Self {
            fallbacks: others.take(FALLBACKS).cloned().collect(),
            ancestors,
        }
    }
}

fn rank(id: &str) -> (Reverse<u64>, &str) {
    (Reverse(xxh3_64(id.as_bytes())), id)
}

/// Returns the positions of a member's ancestors, the nearest first; all are lower than its own.
fn ancestors_of(position: usize) -> impl Iterator<Item = usize> {
    let parent = |of: &usize| of.checked_sub(1).map(|before| before / MAX_FOLLOWERS);
    std::iter::successors(parent(&position), parent)
}
