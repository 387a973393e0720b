//! An immutable table of the replicas of one service, and the choice among them.

use std::sync::Arc;

use rand::Rng;

use crate::load::{CostModel, ReplicaLoad};
use crate::prefix_index::PrefixIndex;

/// Prompt tokens that a prefix block covers.
const TOKENS_A_BLOCK: u32 = 16;

/// Replicas with the prefix that are looked at.
const AFFINITY_CANDIDATES: usize = 4;

/// Replicas looked at whatever they hold.
const RANDOM_CANDIDATES: usize = 2;

/// A replica in the table.
#[derive(Debug, Clone)]
pub struct ReplicaEntry {
    /// Number of the replica in the fleet, as the prefix index uses it.
    pub number: u32,
    /// 0 the same zone, 1 the same region, 2 elsewhere.
    pub distance: u8,
    /// Load, shared with whoever takes reports.
    pub load: Arc<ReplicaLoad>,
}

/// What is to be routed.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Hashes of the prompt's prefixes.
    pub blocks: &'a [u64],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// A chosen replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Position in the table.
    pub position: usize,
    /// Prompt tokens expected not to be cached there.
    pub uncached_tokens: u32,
    /// Expected time until the first token, microseconds.
    pub expected_wait_micros: f64,
}

/// The replicas of one service that a gateway works with.
#[derive(Debug, Default)]
pub struct RoutingTable {
    entries: Vec<ReplicaEntry>,
    cost: CostModel,
}

impl RoutingTable {
    /// A table of `entries`.
    pub fn new(entries: Vec<ReplicaEntry>, cost: CostModel) -> Self {
        Self { entries, cost }
    }

    /// The replicas.
    pub fn entries(&self) -> &[ReplicaEntry] {
        &self.entries
    }

    /// Chooses a replica that is available and not among `excluded` (positions); `None` if there is none.
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
            let cached = cached_blocks * TOKENS_A_BLOCK;
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
        let mut looked_at = 0;
        for overlap in &overlaps {
            let position = self.position(overlap.replica);
            let Some(position) =
                position.filter(|position| self.usable(*position, excluded, now_micros))
            else {
                continue;
            };
            consider(position, overlap.blocks);
            looked_at += 1;
            if looked_at == AFFINITY_CANDIDATES {
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

    fn usable(&self, position: usize, excluded: &[usize], now_micros: u64) -> bool {
        let entry = &self.entries[position];
        !excluded.contains(&position) && entry.load.is_usable(now_micros)
    }

    fn position(&self, number: u32) -> Option<usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
            .ok()
    }

    /// A usable replica, from a random start.
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
            .find(|position| self.usable(*position, excluded, now_micros))
    }
}
