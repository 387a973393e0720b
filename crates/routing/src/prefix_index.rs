//! Index of the replicas that probably cache a prompt prefix.
//!
//! Cache events arrive late and with gaps, so entries are hints that expire; blocks of a request count as cached from
//! the moment it is sent. Snapshots of the persistent map are cheap, and the request path reads one without a lock.

use imbl::HashMap;

/// Maximum number of replicas tracked per block.
const MAX_HOLDERS: usize = 6;

#[derive(Debug, Clone, Copy)]
struct Holder {
    replica: u32,
    updated_micros: u64,
}

#[derive(Debug, Clone, Default)]
struct Holders {
    holders: Vec<Holder>,
}

/// Persistent map from prefix block to replicas; cloning is cheap.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    blocks: HashMap<u64, Holders>,
    ttl_micros: u64,
}

/// Number of leading prompt blocks that a replica probably caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixOverlap {
    /// Number of the replica in the fleet.
    pub replica: u32,
    /// Cached leading blocks.
    pub blocks: u32,
}

impl PrefixIndex {
    /// Creates an empty index whose entries expire `ttl_micros` after their last update.
    pub fn new(ttl_micros: u64) -> Self {
        Self {
            blocks: HashMap::new(),
            ttl_micros,
        }
    }

    /// Records that the replica stored the block or was sent a prompt with it.
    pub fn insert(&mut self, block: u64, replica: u32, now_micros: u64) {
        let holders = &mut self.blocks.entry(block).or_default().holders;
        if let Some(holder) = holders.iter_mut().find(|holder| holder.replica == replica) {
            holder.updated_micros = holder.updated_micros.max(now_micros);
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            let oldest = (0..holders.len()).min_by_key(|index| holders[*index].updated_micros);
            oldest.map(|index| holders.swap_remove(index));
        }
        holders.push(Holder {
            replica,
            updated_micros: now_micros,
        });
    }

    /// Records that the replica evicted the block.
    pub fn remove(&mut self, block: u64, replica: u32) {
        let Some(entry) = self.blocks.get_mut(&block) else {
            return;
        };
        entry.holders.retain(|holder| holder.replica != replica);
        if entry.holders.is_empty() {
            self.blocks.remove(&block);
        }
    }

    /// Removes expired entries; to be called periodically.
    pub fn expire(&mut self, now_micros: u64) {
        let ttl = self.ttl_micros;
        let is_live = |holder: &Holder| now_micros.saturating_sub(holder.updated_micros) <= ttl;
        let stale: Vec<u64> = self
            .blocks
            .iter()
            .filter(|(_, entry)| !entry.holders.iter().all(is_live))
            .map(|(block, _)| *block)
            .collect();
        for block in stale {
            if let Some(entry) = self.blocks.get_mut(&block) {
                entry.holders.retain(is_live);
                if entry.holders.is_empty() {
                    self.blocks.remove(&block);
                }
            }
        }
    }

    /// Returns the replicas that cache leading blocks, the longest overlap first.
    pub fn overlaps(&self, blocks: &[u64], now_micros: u64) -> Vec<PrefixOverlap> {
        let mut overlaps: Vec<PrefixOverlap> = Vec::with_capacity(MAX_HOLDERS);
        for (index, block) in blocks.iter().enumerate().rev() {
            let length = u32::try_from(index + 1).unwrap_or(u32::MAX);
            let Some(entry) = self.blocks.get(block) else {
                continue;
            };
            for holder in &entry.holders {
                let age = now_micros.saturating_sub(holder.updated_micros);
                let is_listed = overlaps
                    .iter()
                    .any(|overlap| overlap.replica == holder.replica);
                if age <= self.ttl_micros && !is_listed {
                    overlaps.push(PrefixOverlap {
                        replica: holder.replica,
                        blocks: length,
                    });
                }
            }
            if overlaps.len() >= MAX_HOLDERS {
                break;
            }
        }
        overlaps
    }

    /// Returns the number of indexed blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// True if no block is indexed.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
