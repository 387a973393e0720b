//! Whom a daemon follows: the members of a zone in an order that all of them share, as a tree in which each has few
//! followers. Pure.
//!
//! Members whose views differ a little name different parents, but nobody ever follows a member that comes later in the
//! order, so no circle can arise. A bound on followers keeps what one machine sends within a small machine's link.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Members that follow one other at most, where all views agree.
const MOST_FOLLOWERS: usize = 8;

/// Members besides the ancestors that may be asked where neither these nor the store answer.
const STAND_INS: usize = 2;

/// A member that may be followed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayPeer {
    /// Member id.
    pub id: String,
    /// Where it answers control calls.
    pub address: String,
}

/// The place of one member in its zone's tree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayTree {
    /// Whom it follows, then whom that one follows, up to the first in the order; empty for the first itself.
    pub ancestors: Vec<RelayPeer>,
    /// The first others in the order.
    pub stand_ins: Vec<RelayPeer>,
}

impl RelayTree {
    /// The place of the member `own` among the members of its zone, whether it is named there or not.
    pub fn new(own: &str, zone: &[RelayPeer]) -> Self {
        let mut ranked: Vec<&RelayPeer> = zone.iter().filter(|peer| peer.id != own).collect();
        ranked.sort_by_cached_key(|peer| rank(&peer.id));
        let own_rank = rank(own);
        let own_position = ranked.partition_point(|peer| rank(&peer.id) < own_rank);
        let ancestors = ancestors_of(own_position).map(|position| ranked[position].clone());
        let ancestors: Vec<RelayPeer> = ancestors.collect();
        let others = ranked.into_iter().filter(|peer| !ancestors.contains(peer));
        Self {
            stand_ins: others.take(STAND_INS).cloned().collect(),
            ancestors,
        }
    }
}

fn rank(id: &str) -> (Reverse<u64>, &str) {
    (Reverse(xxh3_64(id.as_bytes())), id)
}

/// Positions of a member's ancestors, the nearest first: all lie before its own.
fn ancestors_of(position: usize) -> impl Iterator<Item = usize> {
    let parent = |of: &usize| of.checked_sub(1).map(|before| before / MOST_FOLLOWERS);
    std::iter::successors(parent(&position), parent)
}
