//! Immutable table of the replicas of one service, and the choice among them.

use std::sync::Arc;

use rand::Rng;

use crate::load::{CostModel, ReplicaLoad};
use crate::prefix_index::PrefixIndex;

/// Prompt tokens per prefix block.
const TOKENS_PER_BLOCK: u32 = 16;

/// Maximum number of candidates with a cached prefix.
const AFFINITY_CANDIDATES: usize = 4;

/// Number of candidates sampled regardless of their cache.
const RANDOM_CANDIDATES: usize = 2;

/// Replica of a [`RoutingTable`].
#[derive(Debug, Clone)]
pub struct ReplicaEntry {
    /// Number of the replica in the fleet, as in the prefix index.
    pub number: u32,
    /// Zone distance: 0 same zone, 1 same region, 2 elsewhere.
    pub distance: u8,
    /// Load, shared with the task that applies reports.
    pub load: Arc<ReplicaLoad>,
}

/// Properties of a request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Hashes of the prompt's prefix blocks, in order.
    pub blocks: &'a [u64],
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
}

/// Result of [`RoutingTable::choose`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index into [`RoutingTable::entries`].
    pub position: usize,
    /// Prompt tokens expected not to be cached at the replica.
    pub uncached_tokens: u32,
    /// Expected time until the first token, microseconds.
    pub expected_wait_micros: f64,
}

/// Replicas of one service that a gateway works with.
#[derive(Debug, Default)]
pub struct RoutingTable {
    entries: Vec<ReplicaEntry>,
    cost: CostModel,
}

impl RoutingTable {
    /// Creates a table; `entries` must be sorted by number.
    pub fn new(entries: Vec<ReplicaEntry>, cost: CostModel) -> Self {
        Self { entries, cost }
    }

    /// Returns the replicas, in the order that [`Choice::position`] refers to.
    pub fn entries(&self) -> &[ReplicaEntry] {
        &self.entries
    }

    /// Chooses a usable replica whose position is not in `excluded`; `None` if there is none.
    pub fn choose(
        &self,
        request: &RouteRequest<'_>,
        index: &PrefixIndex,
        excluded: &[usize],
        now_micros: u64,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        let mut consider = |position: usize, cached_blocks: u32| {
            let cached = cached_blocks * TOKENS_PER_BLOCK;
            let uncached = request.prompt_tokens.saturating_sub(cached).max(1);
            let entry = &self.entries[position];
            let wait = entry
                .load
                .expected_wait(f64::from(uncached), now_micros, &self.cost);
            let wait = wait + f64::from(entry.distance) * self.cost.zone_rank_micros;
            if best.is_none_or(|best| wait < best.expected_wait_micros) {
                best = Some(Choice {
                    position,
                    uncached_tokens: uncached,
                    expected_wait_micros: wait,
                });
            }
        };
        let overlaps = index.overlaps(request.blocks, now_micros);
        let mut considered = 0;
        for overlap in &overlaps {
            let position = self.position(overlap.replica);
            let Some(position) =
                position.filter(|position| self.is_usable(*position, excluded, now_micros))
            else {
                continue;
            };
            consider(position, overlap.blocks);
            considered += 1;
            if considered == AFFINITY_CANDIDATES {
                break;
            }
        }
        for _ in 0..RANDOM_CANDIDATES {
            let Some(position) = self.random_usable(excluded, now_micros, random) else {
                break;
            };
            let number = self.entries[position].number;
            let overlap = overlaps.iter().find(|overlap| overlap.replica == number);
            consider(position, overlap.map_or(0, |overlap| overlap.blocks));
        }
        best
    }

    fn is_usable(&self, position: usize, excluded: &[usize], now_micros: u64) -> bool {
        let entry = &self.entries[position];
        !excluded.contains(&position) && entry.load.is_usable(now_micros)
    }

    fn position(&self, number: u32) -> Option<usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
            .ok()
    }

    /// Returns the first usable replica from a random position on.
    fn random_usable(
        &self,
        excluded: &[usize],
        now_micros: u64,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let count = self.entries.len();
        if count == 0 {
            return None;
        }
        let start = random.random_range(0..count);
        (0..count)
            .map(|offset| (start + offset) % count)
            .find(|position| self.is_usable(*position, excluded, now_micros))
    }
}
