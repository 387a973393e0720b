//! Requests in progress at each replica, summed over the peers' load notices.

use std::collections::HashMap;
use std::time::Duration;

use harrierward_wire::{LoadNotice, ReplicaCount};
use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use tokio::time::Instant;

const NOTICE_TTL: Duration = Duration::from_millis(1_500);

struct PeerLoad {
    notice: LoadNotice,
    received_at: Instant,
}

impl PeerLoad {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < NOTICE_TTL
    }
}

/// Requests of all peers in progress at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Online requests, as opposed to batch items.
    pub online: u32,
    /// Batch items, which may be preempted.
    pub batch: u32,
}

/// The latest load notice of each peer. All times come from a clock that counts suspensions.
#[derive(Default)]
pub struct PeerLoads {
    loads: HashMap<String, PeerLoad>,
}

impl PeerLoads {
    /// Returns the number of peers whose notice has not been removed by [`PeerLoads::expire`].
    pub fn reporting(&self) -> usize {
        self.loads.len()
    }

    /// Stores a notice; returns false if its number isn't above that of the sender's last one.
    pub fn apply(&mut self, notice: LoadNotice, now: Instant) -> bool {
        let known = self.loads.get(&notice.from);
        if known.is_some_and(|known| known.notice.number >= notice.number) {
            return false;
        }
        let from = notice.from.clone();
        self.loads.insert(
            from,
            PeerLoad {
                notice,
                received_at: now,
            },
        );
        true
    }

    /// Removes expired notices; returns true if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.loads.len();
        self.loads.retain(|_, load| load.is_current(now));
        self.loads.len() != before
    }

    /// Returns the ages of the freshness proofs in unexpired notices, in milliseconds plus one, 0 without a proof;
    /// notices from before a suspension are left out.
    pub fn proof_ages_ms(&self, now: Instant) -> impl Iterator<Item = u32> {
        let loads = self.loads.values();
        let current = loads.filter(move |load| load.is_current(now));
        current.map(|load| load.notice.proof_age_ms)
    }

    /// Chooses a peer at random, weighted by its batch items at the replica, and subtracts one from its count.
    pub fn take_batch_slot(&mut self, replica: u32, random: &mut impl Rng) -> Option<String> {
        let counts = self.loads.iter_mut().filter_map(|(peer, load)| {
            let mut counts = load.notice.counts.iter_mut();
            let count = counts.find(|count| count.replica == replica && count.batch > 0)?;
            Some((peer, count))
        });
        let mut holders: Vec<(&String, &mut ReplicaCount)> = counts.collect();
        let weights = holders.iter().map(|(_, count)| count.batch);
        let position = WeightedIndex::new(weights).ok()?.sample(random);
        let (peer, count) = &mut holders[position];
        count.batch -= 1;
        Some((*peer).clone())
    }

    /// Returns the sums by the hash of the replica's id, scaled up from the peers with a notice to all `peers`.
    pub fn sums(&self, peers: usize) -> HashMap<u32, PeerCounts> {
        let mut sums: HashMap<u32, PeerCounts> = HashMap::new();
        for count in self.loads.values().flat_map(|load| &load.notice.counts) {
            let sum = sums.entry(count.replica).or_default();
            sum.online = sum.online.saturating_add(count.online);
            sum.batch = sum.batch.saturating_add(count.batch);
        }
        let reporting = self.loads.len().max(1);
        let scale = |count: u32| {
            let scaled = u64::from(count) * peers.max(reporting) as u64 / reporting as u64;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        for sum in sums.values_mut() {
            sum.online = scale(sum.online);
            sum.batch = scale(sum.batch);
        }
        sums
    }
}
