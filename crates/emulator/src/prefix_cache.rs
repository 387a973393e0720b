//! A bounded cache of prompt prefixes, least recently used out first, whose events appear late and with gaps.

use std::collections::VecDeque;
use std::num::NonZeroUsize;

use harrierward_external::CacheEvent;
use lru::LruCache;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Events kept for readers; older ones become gaps.
const KEPT_EVENTS: usize = 4096;

/// How the cache behaves.
#[derive(Debug, Clone, Copy)]
pub struct CacheParameters {
    /// Blocks held.
    pub capacity: usize,
    /// Delay until an event can be read, microseconds.
    pub event_lag_micros: u64,
    /// Share of events that are never published.
    pub event_loss: f64,
}

impl Default for CacheParameters {
    fn default() -> Self {
        Self {
            capacity: 4096,
            event_lag_micros: 1_000_000,
            event_loss: 0.02,
        }
    }
}

/// The cache of one engine.
pub struct PrefixCache {
    parameters: CacheParameters,
    blocks: LruCache<u64, ()>,
    events: VecDeque<(u64, CacheEvent)>,
    next_event: u64,
    random: ChaCha8Rng,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(parameters: CacheParameters, random: ChaCha8Rng) -> Self {
        let capacity = NonZeroUsize::new(parameters.capacity).unwrap_or(NonZeroUsize::MIN);
        Self {
            parameters,
            blocks: LruCache::new(capacity),
            events: VecDeque::new(),
            next_event: 1,
            random,
        }
    }

    /// How many leading blocks are cached; marks them as used.
    pub fn hit(&mut self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.get(*block).is_some())
            .count()
    }

    /// True if the block is cached.
    pub fn contains(&self, block: u64) -> bool {
        self.blocks.contains(&block)
    }

    /// Stores a prompt's blocks and publishes what changed.
    pub fn store(&mut self, blocks: &[u64], now_micros: u64) {
        for block in blocks {
            if self.blocks.get(block).is_some() {
                continue;
            }
            let evicted = self.blocks.push(*block, ()).map(|(block, ())| block);
            if let Some(evicted) = evicted.filter(|evicted| evicted != block) {
                self.publish(evicted, false, now_micros);
            }
            self.publish(*block, true, now_micros);
        }
    }

    fn publish(&mut self, block: u64, stored: bool, now_micros: u64) {
        let number = self.next_event;
        self.next_event += 1;
        if self.random.random::<f64>() < self.parameters.event_loss {
            return;
        }
        let visible_at = now_micros + self.parameters.event_lag_micros;
        let event = CacheEvent {
            number,
            block,
            stored,
        };
        self.events.push_back((visible_at, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events numbered above `after` that are visible by now.
    pub fn events_after(&self, after: u64, now_micros: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(visible_at, event)| *visible_at <= now_micros && event.number > after)
            .map(|(_, event)| *event)
            .collect()
    }
}
