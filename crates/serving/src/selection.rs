//! Cost-based choice of a replica by expected time to the first token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::{Mechanism, Policy};

/// Cost parameters of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionCosts {
    /// Prefill speed, prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of a replica with all slots taken, milliseconds; scaled by the square of the share that is taken.
    pub full_ms: f64,
    /// Cost of each request that waits for a slot, milliseconds, divided by the slots.
    pub waiting_ms: f64,
    /// Cost of a replica in another zone, milliseconds.
    pub other_zone_ms: f64,
    /// Cost of a replica in another region beyond the round trip, milliseconds. The default lies between the waits
    /// behind one and two queued requests at a replica of eight slots, so requests leave only to avoid a queue.
    pub other_region_ms: f64,
    /// Cost of opening a connection, milliseconds: a round trip between zones and the replica's work for it. Less than
    /// one more request at a replica that is a third full, so that it only decides between replicas of similar load.
    pub new_connection_ms: f64,
    /// Cost of a recently failed or unresponsive replica, milliseconds.
    pub suspected_ms: f64,
    /// Factor for uncached shared tokens at the replica that all daemons prefer for the prompt.
    pub preferred_share: f64,
    /// Cost of a long prompt at a replica that isn't for long prompts, milliseconds.
    pub long_without_affinity_ms: f64,
    /// Cost of a short prompt at a replica for long prompts, milliseconds.
    pub short_among_long_ms: f64,
    /// Maximum random addition, milliseconds, so that daemons with the same view don't all choose the same replica.
    pub jitter_ms: f64,
    /// Mechanisms in use.
    pub policy: Policy,
}

impl SelectionCosts {
    /// Returns the default costs without those of mechanisms that are switched off.
    pub fn under(policy: Policy) -> Self {
        let mut costs = Self {
            policy,
            ..Self::default()
        };
        if !policy.has(Mechanism::PreferredReplica) {
            costs.preferred_share = 1.0;
        }
        if !policy.has(Mechanism::OwnZoneFirst) {
            costs.other_zone_ms = 0.0;
            costs.other_region_ms = 0.0;
        }
        if !policy.has(Mechanism::KeptConnections) {
            costs.new_connection_ms = 0.0;
        }
        if !policy.has(Mechanism::Jitter) {
            costs.jitter_ms = 0.0;
        }
        costs
    }
}

impl Default for SelectionCosts {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            full_ms: 40.0,
            waiting_ms: 400.0,
            other_zone_ms: 6.0,
            other_region_ms: 60.0,
            new_connection_ms: 2.5,
            suspected_ms: 2_000.0,
            preferred_share: 0.3,
            long_without_affinity_ms: 60.0,
            short_among_long_ms: 30.0,
            jitter_ms: 1.5,
            policy: Policy::default(),
        }
    }
}

/// How well a replica fits the length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Separation {
    /// The replica suits the prompt, or lengths aren't separated.
    Fits,
    /// A long prompt at a replica that isn't for long prompts.
    LongWithoutAffinity,
    /// A short prompt that would queue behind long ones.
    ShortAmongLong,
}

/// Properties of a replica that the choice depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests running and waiting.
    pub load: u32,
    /// Those of them that an online request preempts.
    pub preemptible: u32,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Shared prompt tokens that it probably doesn't cache.
    pub uncached_shared_tokens: u32,
    /// True for the replica that all daemons prefer for prompts with the same shared parts.
    pub preferred: bool,
    /// True in the daemon's own zone.
    pub own_zone: bool,
    /// True in the daemon's own region.
    pub own_region: bool,
    /// True if the daemon has an open connection to it.
    pub connected: bool,
    /// Fit for the prompt's length class.
    pub separation: Separation,
    /// True if it recently failed or was unresponsive.
    pub suspected: bool,
}

/// Returns the expected cost of a candidate, milliseconds.
pub fn cost(costs: &SelectionCosts, candidate: &Candidate) -> f64 {
    let share = if candidate.preferred {
        costs.preferred_share
    } else {
        1.0
    };
    let tokens = f64::from(candidate.uncached_shared_tokens) * share;
    let prefill = tokens / costs.prefill_tokens_per_ms;
    let distance = if candidate.own_zone {
        0.0
    } else if candidate.own_region {
        costs.other_zone_ms
    } else {
        costs.other_region_ms
    };
    let connection = if candidate.connected {
        0.0
    } else {
        costs.new_connection_ms
    };
    let suspected = if candidate.suspected {
        costs.suspected_ms
    } else {
        0.0
    };
    let separation = match candidate.separation {
        Separation::Fits => 0.0,
        Separation::LongWithoutAffinity => costs.long_without_affinity_ms,
        Separation::ShortAmongLong => costs.short_among_long_ms,
    };
    prefill + distance + connection + suspected + separation + congestion(costs, candidate)
}

fn congestion(costs: &SelectionCosts, candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.load);
    let fill = (load / slots).min(1.0);
    let requests_ahead = candidate.load.saturating_sub(candidate.preemptible);
    costs.full_ms * fill * fill + expected_wait_ms(costs, requests_ahead, candidate.slots)
}

/// Returns the expected wait for a slot behind `requests_ahead` requests that can't be preempted, milliseconds.
pub fn expected_wait_ms(costs: &SelectionCosts, requests_ahead: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    let waiting = (f64::from(requests_ahead) + 1.0 - slots).max(0.0);
    costs.waiting_ms * waiting / slots
}

/// Returns the position of the cheapest candidate; `jitter` returns numbers from 0 to 1.
pub fn choose(
    costs: &SelectionCosts,
    candidates: &[Candidate],
    mut jitter: impl FnMut() -> f64,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let total = cost(costs, candidate) + jitter() * costs.jitter_ms;
        if best.is_none_or(|(_, lowest)| total < lowest) {
            best = Some((position, total));
        }
    }
    best.map(|(position, _)| position)
}

/// Returns the weight of a replica for a prompt part; the greatest weight marks the preferred replica (rendezvous
/// hashing).
pub fn preference_weight(part: u64, replica: &str) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), part)
}
