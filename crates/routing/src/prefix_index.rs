//! Which replicas probably hold which prompt prefixes.
//!
//! Cache events come late and with gaps, so entries are hints: they expire, and what a gateway sent itself
//! counts as cached from the moment of sending. A persistent map makes a snapshot cheap, so that the request
//! path reads one without a lock while a task writes the next.

use imbl::HashMap;

/// Replicas remembered for a block.
const MOST_HOLDERS: usize = 6;

#[derive(Debug, Clone, Copy)]
struct Holder {
    replica: u32,
    seen_micros: u64,
}

#[derive(Debug, Clone, Default)]
struct Holders {
    holders: Vec<Holder>,
}

/// A snapshot of the index; cloning is cheap.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    blocks: HashMap<u64, Holders>,
    lifetime_micros: u64,
}

/// How many leading blocks of a prompt a replica probably holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixOverlap {
    /// Replica, by its number in the fleet.
    pub replica: u32,
    /// Leading blocks held.
    pub blocks: u32,
}

impl PrefixIndex {
    /// An empty index whose entries are forgotten after `lifetime_micros` without news.
    pub fn new(lifetime_micros: u64) -> Self {
        Self {
            blocks: HashMap::new(),
            lifetime_micros,
        }
    }

    /// The replica stored the block, or was sent a prompt with it.
    pub fn insert(&mut self, block: u64, replica: u32, now_micros: u64) {
        let holders = &mut self.blocks.entry(block).or_default().holders;
        if let Some(holder) = holders.iter_mut().find(|holder| holder.replica == replica) {
            holder.seen_micros = holder.seen_micros.max(now_micros);
            return;
        }
        if holders.len() >= MOST_HOLDERS {
            let oldest = (0..holders.len()).min_by_key(|index| holders[*index].seen_micros);
            oldest.map(|index| holders.swap_remove(index));
        }
        holders.push(Holder {
            replica,
            seen_micros: now_micros,
        });
    }

    /// The replica evicted the block.
    pub fn remove(&mut self, block: u64, replica: u32) {
        let Some(entry) = self.blocks.get_mut(&block) else {
            return;
        };
        entry.holders.retain(|holder| holder.replica != replica);
        if entry.holders.is_empty() {
            self.blocks.remove(&block);
        }
    }

    /// Forgets entries without news for the lifetime; to be called now and then.
    pub fn expire(&mut self, now_micros: u64) {
        let lifetime = self.lifetime_micros;
        let live = |holder: &Holder| now_micros.saturating_sub(holder.seen_micros) <= lifetime;
        let stale: Vec<u64> = self
            .blocks
            .iter()
            .filter(|(_, entry)| !entry.holders.iter().all(live))
            .map(|(block, _)| *block)
            .collect();
        for block in stale {
            if let Some(entry) = self.blocks.get_mut(&block) {
                entry.holders.retain(live);
                if entry.holders.is_empty() {
                    self.blocks.remove(&block);
                }
            }
        }
    }

    /// Replicas that hold leading blocks, the longest overlap first.
    pub fn overlaps(&self, blocks: &[u64], now_micros: u64) -> Vec<PrefixOverlap> {
        let mut overlaps: Vec<PrefixOverlap> = Vec::with_capacity(MOST_HOLDERS);
        for (index, block) in blocks.iter().enumerate().rev() {
            let length = u32::try_from(index + 1).unwrap_or(u32::MAX);
            let Some(entry) = self.blocks.get(block) else {
                continue;
            };
            for holder in &entry.holders {
                let age = now_micros.saturating_sub(holder.seen_micros);
                let known = overlaps
                    .iter()
                    .any(|overlap| overlap.replica == holder.replica);
                if age <= self.lifetime_micros && !known {
                    overlaps.push(PrefixOverlap {
                        replica: holder.replica,
                        blocks: length,
                    });
                }
            }
            if overlaps.len() >= MOST_HOLDERS {
                break;
            }
        }
        overlaps
    }

    /// Number of blocks known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// True if nothing is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
