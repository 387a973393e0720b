//! Choosing a replica: pure, by expected time to the first token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::{Mechanism, Policy};

/// Prices of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionCosts {
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of a replica whose slots are all but taken, milliseconds; grows with the square of the load before.
    pub full_ms: f64,
    /// Cost of each request that waits for a slot, milliseconds, times the slots.
    pub waiting_ms: f64,
    /// Cost of a replica in another zone, milliseconds.
    pub other_zone_ms: f64,
    /// Cost of a replica in another region, milliseconds: what a crossing must spare a request beyond the time on the
    /// way. More than one request's wait at a full replica of eight slots and less than two requests', so that a region
    /// keeps its requests until they would queue; an operator whose lines between regions are dearer sets more.
    pub other_region_ms: f64,
    /// Cost of a replica to which the asker keeps no connection, milliseconds: a round trip between zones and the
    /// replica's work for a new connection (1 ms on the users' sites). Less than what one more request costs at a
    /// replica that is a third full, so that it decides only among replicas that are alike.
    pub new_connection_ms: f64,
    /// Cost of a replica that was lately silent, milliseconds.
    pub suspected_ms: f64,
    /// Share of uncached shared tokens that counts at the replica which all daemons prefer for the prompt.
    pub preferred_share: f64,
    /// Cost of a replica that is not among those for long prompts, for a long prompt, milliseconds.
    pub long_without_affinity_ms: f64,
    /// Cost of a replica for long prompts, for a short one, milliseconds.
    pub short_among_long_ms: f64,
    /// Largest random addition, so that daemons with the same view do not all choose the same, milliseconds.
    pub jitter_ms: f64,
    /// Mechanisms in use.
    pub policy: Policy,
}

impl SelectionCosts {
    /// The prices under a policy.
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

/// A replica's place in the separation of long prompts from short ones, for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Separation {
    /// As good as any.
    Fits,
    /// A long prompt would leave the replicas for long prompts.
    LongWithoutAffinity,
    /// A short prompt would wait behind long ones.
    ShortAmongLong,
}

/// One replica as the choice sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests running and waiting.
    pub load: u32,
    /// Those of them that give way to online requests at once.
    pub preemptible: u32,
    /// Requests it works on at once.
    pub slots: u32,
    /// Shared prompt tokens that it does not keep.
    pub uncached_shared_tokens: u32,
    /// All daemons prefer it for prompts that begin like this one.
    pub preferred: bool,
    /// In the daemon's own zone.
    pub own_zone: bool,
    /// In the daemon's own region.
    pub own_region: bool,
    /// The daemon keeps a connection to it.
    pub connected: bool,
    /// Where it stands to the separation of long prompts from short ones.
    pub separation: Separation,
    /// Was silent or broke lately.
    pub suspected: bool,
}

/// Expected cost of a candidate, milliseconds.
pub fn cost(costs: &SelectionCosts, candidate: &Candidate) -> f64 {
    let share = if candidate.preferred {
        costs.preferred_share
    } else {
        1.0
    };
    let tokens = f64::from(candidate.uncached_shared_tokens) * share;
    let prefill = tokens / costs.prefill_tokens_per_ms;
    let place = if candidate.own_zone {
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
    prefill + place + connection + suspected + separation + congestion(costs, candidate)
}

fn congestion(costs: &SelectionCosts, candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.load);
    let fill = (load / slots).min(1.0);
    let staying = candidate.load.saturating_sub(candidate.preemptible);
    costs.full_ms * fill * fill + expected_wait_ms(costs, staying, candidate.slots)
}

/// Expected wait for a slot at a replica with so many requests that stay before this one, milliseconds.
pub fn expected_wait_ms(costs: &SelectionCosts, staying: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    let waiting = (f64::from(staying) + 1.0 - slots).max(0.0);
    costs.waiting_ms * waiting / slots
}

/// Position of the cheapest candidate; `jitter` gives numbers from 0 to 1.
pub fn choose(
    costs: &SelectionCosts,
    candidates: &[Candidate],
    mut jitter: impl FnMut() -> f64,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let price = cost(costs, candidate) + jitter() * costs.jitter_ms;
        if best.is_none_or(|(_, least)| price < least) {
            best = Some((position, price));
        }
    }
    best.map(|(position, _)| position)
}

/// Weight of a replica for a prompt part; the greatest weight is the preferred replica (rendezvous hashing).
pub fn preference_weight(part: u64, replica: &str) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), part)
}
