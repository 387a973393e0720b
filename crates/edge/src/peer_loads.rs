//! What peers last said of their requests at the replicas, and what follows for each replica: pure.

use std::collections::HashMap;
use std::time::Duration;

use harrierward_wire::{LoadNotice, ReplicaCount};
use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use tokio::time::Instant;

/// How long a peer's word is believed.
const NOTICE_LIFETIME: Duration = Duration::from_millis(1_500);

struct PeerLoad {
    notice: LoadNotice,
    at: Instant,
}

impl PeerLoad {
    fn is_believed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < NOTICE_LIFETIME
    }
}

/// All peers together at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerSum {
    /// Online requests in progress.
    pub online: u32,
    /// Batch items in progress.
    pub batch: u32,
}

/// The peers' last words. All times are those of a clock that counts suspensions.
#[derive(Default)]
pub struct PeerLoads {
    loads: HashMap<String, PeerLoad>,
}

impl PeerLoads {
    /// Peers heard of lately.
    pub fn heard(&self) -> usize {
        self.loads.len()
    }

    /// Takes a notice; false if a newer one of its sender is known.
    pub fn take(&mut self, notice: LoadNotice, now: Instant) -> bool {
        let known = self.loads.get(&notice.from);
        if known.is_some_and(|known| known.notice.number >= notice.number) {
            return false;
        }
        let from = notice.from.clone();
        self.loads.insert(from, PeerLoad { notice, at: now });
        true
    }

    /// Forgets what is too old; true if anything was.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.loads.len();
        self.loads.retain(|_, load| load.is_believed(now));
        self.loads.len() != before
    }

    /// The ages of the peers' proofs, of those heard of lately: what was heard before a suspension says nothing of now.
    pub fn proof_ages_ms(&self, now: Instant) -> impl Iterator<Item = u32> {
        let loads = self.loads.values();
        let believed = loads.filter(move |load| load.is_believed(now));
        believed.map(|load| load.notice.proof_age_ms)
    }

    /// A peer, chosen at random by their numbers, that runs a batch item at the replica; it counts one less from
    /// now on.
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

    /// Sums by the hash of the replica's id; of `peers` daemons, those not heard of lately are taken to be like the
    /// others.
    pub fn sums(&self, peers: usize) -> HashMap<u32, PeerSum> {
        let mut sums: HashMap<u32, PeerSum> = HashMap::new();
        for count in self.loads.values().flat_map(|load| &load.notice.counts) {
            let sum = sums.entry(count.replica).or_default();
            sum.online += count.online;
            sum.batch += count.batch;
        }
        let heard = self.loads.len().max(1);
        let scale = |count: u32| {
            let scaled = u64::from(count) * peers.max(heard) as u64 / heard as u64;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        for sum in sums.values_mut() {
            sum.online = scale(sum.online);
            sum.batch = scale(sum.batch);
        }
        sums
    }
}
