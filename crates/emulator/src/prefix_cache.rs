//! LRU cache of prompt prefixes that publishes its events with a lag and with gaps.

use std::collections::VecDeque;
use std::num::NonZeroUsize;

use harrierward_external::CacheEvent;
use lru::LruCache;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Events retained for readers; older ones are dropped.
const MAX_EVENTS: usize = 4096;

/// Size of the cache, and lag and loss of its events.
#[derive(Debug, Clone, Copy)]
pub struct CacheParameters {
    /// Maximum number of blocks.
    pub capacity: usize,
    /// Delay until an event can be read, microseconds.
    pub event_lag_micros: u64,
    /// Probability from 0 to 1 that an event is never published.
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

/// Prefix cache of one engine.
pub struct PrefixCache {
    parameters: CacheParameters,
    blocks: LruCache<u64, ()>,
    events: VecDeque<(u64, CacheEvent)>,
    next_event: u64,
    random: ChaCha8Rng,
}

impl PrefixCache {
    /// Creates an empty cache; `random` selects the events that are lost.
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

    /// Returns the number of leading blocks that are cached, and marks them as recently used.
    pub fn hit(&mut self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.get(*block).is_some())
            .count()
    }

    /// Returns true if the block is cached, without marking it as used.
    pub fn contains(&self, block: u64) -> bool {
        self.blocks.contains(&block)
    }

    /// Inserts a prompt's blocks and publishes events for those inserted and evicted.
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
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events numbered above `after` whose lag has passed.
    pub fn events_after(&self, after: u64, now_micros: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(visible_at, event)| *visible_at <= now_micros && event.number > after)
            .map(|(_, event)| *event)
            .collect()
    }
}
