//! Candidate replicas of a request as this daemon sees them, and the choice among them by load and prefix affinity.

use std::sync::Arc;

use harrierward_tenants::AllowedRegions;
use rand::Rng;
use rand::seq::index;
use tokio::time::Instant;

use crate::gate::admits_version;
use crate::in_progress::InProgress;
use crate::leases::SlotLease;
use crate::policy::{Mechanism, Policy};
use crate::profile::PromptLength;
use crate::prompt::Prompt;
use crate::replica::{Replica, WorkClass};
use crate::replica_set::ReplicaView;
use crate::selection::{Candidate, SelectionCosts, Separation, choose, preference_weight};
use harrierward_stream_origins::SoftwareVersion;

/// Role of the daemon that chose a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChosenBy {
    /// The coordinator that grants the replica's slots.
    Coordinator,
    /// The daemon that sends the request.
    Sender,
}

impl ChosenBy {
    /// Returns the name in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Coordinator => "coordinator",
            Self::Sender => "sender",
        }
    }
}

/// Reason why a request is served outside of the region of its daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrossRegionReason {
    /// The replicas of the own region are full, and the round trip costs less than their queues.
    Full,
    /// No replica of the own region accepts the request or responds.
    NoReplica,
    /// The coordinator grants slots of several regions, and the cheapest was in another one.
    Price,
}

impl CrossRegionReason {
    /// Returns the name in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoReplica => "no replica",
            Self::Price => "price",
        }
    }
}

/// Replica chosen for an attempt.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Chosen replica.
    pub replica: Arc<Replica>,
    /// Role of the daemon that made the choice.
    pub by: ChosenBy,
    /// Requests at the replica before this one, as counted by the daemon that chose it.
    pub load: u32,
    /// Free share of the candidates' slots, in thousandths; preemptible slots count as free.
    pub free_permille: u32,
    /// End of the permission to send to a cold replica; `None` if the request wasn't counted there.
    pub cold_until: Option<Instant>,
    /// Reason for leaving the own region; `None` for a replica of the own region.
    pub left_region: Option<CrossRegionReason>,
    /// True if the request probes an ejected replica.
    pub is_probe: bool,
    /// Replica that probably caches more of the prompt, and from which the prefix cache is copied.
    pub copy_from: Option<Arc<Replica>>,
}

impl Choice {
    /// Sets the replica with the hash `previous`, where the work ran before, as the source of the prefix cache.
    pub fn copy_from_previous(&mut self, view: &ReplicaView, previous: u32, policy: Policy) {
        let source = view.by_hash(previous);
        let source = source.filter(|_| policy.has(Mechanism::PromptCopies));
        if let Some(source) = source.filter(|source| can_copy(source, &self.replica)) {
            self.copy_from = Some(source.clone());
        }
    }

    /// Counts the request at the replica, under a lease that is held.
    pub fn enter(self, class: WorkClass, lease: SlotLease) -> Placement {
        Placement {
            in_progress: self.replica.enter(class, Some(lease)),
            choice: self,
        }
    }
}

/// Request that is counted at its replica.
#[derive(Debug)]
pub struct Placement {
    /// Guard that counts the request.
    pub in_progress: InProgress,
    /// Chosen replica, with the reasons for the log.
    pub choice: Choice,
}

/// Minimum share of free slots, in thousandths. Below it an unresponsive replica is more likely queueing than faulty,
/// and a group is not preferred for prefix affinity.
pub const MIN_FREE_PERMILLE: u32 = 150;

/// Minimum number of shared tokens to copy; fewer are prefilled as fast.
const MIN_COPIED_TOKENS: u32 = 1_000;

/// Constraints and preferences of a choice among replicas.
pub struct ChoiceQuery<'a> {
    /// True for replicas of the own zone, which are preferred.
    pub is_own_zone: &'a dyn Fn(&Replica) -> bool,
    /// True for replicas of the own region, which come next.
    pub is_own_region: &'a dyn Fn(&Replica) -> bool,
    /// Prompt, for prefix affinity.
    pub prompt: &'a Prompt,
    /// Length class of the prompt within its service.
    pub length: PromptLength,
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
    /// The only software version that may serve it; `None` if any may.
    pub version: Option<SoftwareVersion>,
    /// True for replicas that must not be used.
    pub is_excluded: &'a dyn Fn(&Replica) -> bool,
    /// True for replicas to which the requester keeps a connection.
    pub is_connected: &'a dyn Fn(&Replica) -> bool,
    /// True for replicas to avoid.
    pub is_suspected: &'a dyn Fn(&Replica) -> bool,
    /// True for a batch item: it takes spare slots only and is never queued at a replica.
    pub is_item: bool,
    /// True for an online request past its objective: it leaves the reserved slots to others.
    pub is_overdue: bool,
    /// Maximum number of candidates besides the preferred replica; small where loads are outdated, so that daemons
    /// with the same view don't all choose the same replica.
    pub max_candidates: usize,
}

/// Chooses one of `replicas`, all of which must accept work; `None` if the query admits none of them.
pub fn choose_replica(
    view: &ReplicaView,
    replicas: Vec<Arc<Replica>>,
    costs: &SelectionCosts,
    query: &ChoiceQuery<'_>,
) -> Option<Choice> {
    let usable: Vec<Arc<Replica>> = replicas
        .into_iter()
        .filter(|replica| !(query.is_excluded)(replica))
        .filter(|replica| query.regions.allows(&replica.record.region))
        .filter(|replica| admits_version(query.version, replica))
        .collect();
    let usable = if query.is_item {
        item_candidates(usable, costs.policy, query)
    } else if query.is_overdue && !has_capacity_for_overdue(&usable) {
        Vec::new()
    } else {
        usable
    };
    let preferred = preferred(&usable, view, query);
    let replicas = sample_candidates(usable, preferred.as_ref(), query.max_candidates);
    let shared_tokens = query.prompt.shared_tokens();
    let candidates: Vec<Candidate> = replicas
        .iter()
        .map(|replica| Candidate {
            load: replica.load_for(query.prompt.total_tokens()),
            preemptible: preemptible(replica, costs.policy),
            slots: replica.slots(),
            uncached_shared_tokens: shared_tokens
                .saturating_sub(replica.cached_tokens(query.prompt)),
            preferred: preferred
                .as_ref()
                .is_some_and(|preferred| Arc::ptr_eq(preferred, replica)),
            own_zone: (query.is_own_zone)(replica),
            own_region: (query.is_own_region)(replica),
            connected: (query.is_connected)(replica),
            separation: separation(
                query.length,
                view.has_long_prompt_affinity(&replica.record.id),
            ),
            suspected: (query.is_suspected)(replica),
        })
        .collect();
    let mut random = rand::rng();
    let position = choose(costs, &candidates, || random.random::<f64>())?;
    let uncached = candidates[position].uncached_shared_tokens;
    let copy_from = preferred
        .filter(|source| uncached >= MIN_COPIED_TOKENS && can_copy(source, &replicas[position]))
        .filter(|_| costs.policy.has(Mechanism::PromptCopies));
    Some(Choice {
        replica: replicas[position].clone(),
        by: ChosenBy::Sender,
        load: candidates[position].load,
        free_permille: free_permille(&candidates),
        cold_until: None,
        left_region: None,
        is_probe: false,
        copy_from,
    })
}

/// Returns the replicas of the own region if any of them may take the request, otherwise all.
///
/// A daemon without a coordinator has no reliable queue lengths by which to price other regions. Batch items wait in
/// their region; online requests leave it if its replicas are suspected.
pub fn own_region_first(
    replicas: Vec<Arc<Replica>>,
    query: &ChoiceQuery<'_>,
) -> (Vec<Arc<Replica>>, Option<CrossRegionReason>) {
    let may_take = |replica: &&Arc<Replica>| {
        (query.is_own_region)(replica)
            && !(query.is_excluded)(replica)
            && query.regions.allows(&replica.record.region)
            && admits_version(query.version, replica)
            && (query.is_item || !(query.is_suspected)(replica))
    };
    let near: Vec<Arc<Replica>> = replicas.iter().filter(may_take).cloned().collect();
    if near.is_empty() {
        (replicas, Some(CrossRegionReason::NoReplica))
    } else {
        (near, None)
    }
}

/// Share of the slots that are free or preemptible, in thousandths.
fn free_permille(candidates: &[Candidate]) -> u32 {
    let slots: u64 = candidates.iter().map(|one| u64::from(one.slots)).sum();
    let free = candidates.iter().map(|one| {
        let non_preemptible = one.load.saturating_sub(one.preemptible);
        u64::from(one.slots.saturating_sub(non_preemptible))
    });
    let permille = free.sum::<u64>() * 1_000 / slots.max(1);
    u32::try_from(permille).unwrap_or(u32::MAX)
}

/// Replica that all daemons prefer for the prompt's last shared part: for long prompts among the replicas with
/// affinity to them, for others within the zone.
fn preferred(
    replicas: &[Arc<Replica>],
    view: &ReplicaView,
    query: &ChoiceQuery<'_>,
) -> Option<Arc<Replica>> {
    let part = query.prompt.shared().last()?.id;
    let fits = |replica: &&Arc<Replica>| {
        let has_affinity = view.has_long_prompt_affinity(&replica.record.id);
        match query.length {
            PromptLength::Long => has_affinity,
            PromptLength::Short => !has_affinity && (query.is_own_zone)(replica),
            PromptLength::Uniform => (query.is_own_zone)(replica),
        }
    };
    let weight = |replica: &&Arc<Replica>| preference_weight(part, &replica.record.id);
    let fitting = replicas.iter().filter(fits).max_by_key(weight);
    let preferred = fitting.or_else(|| replicas.iter().max_by_key(weight));
    preferred.cloned()
}

/// Samples `max` replicas if there are more, and adds the preferred one.
fn sample_candidates(
    replicas: Vec<Arc<Replica>>,
    preferred: Option<&Arc<Replica>>,
    max: usize,
) -> Vec<Arc<Replica>> {
    if replicas.len() <= max {
        return replicas;
    }
    let mut random = rand::rng();
    let sampled = index::sample(&mut random, replicas.len(), max);
    let others = sampled.into_iter().map(|position| &replicas[position]);
    let others =
        others.filter(|one| preferred.is_none_or(|preferred| !Arc::ptr_eq(preferred, one)));
    preferred.into_iter().chain(others).cloned().collect()
}

/// Number of requests that an online request may preempt.
fn preemptible(replica: &Replica, policy: Policy) -> u32 {
    if policy.has(Mechanism::Preemption) {
        replica.batch()
    } else {
        0
    }
}

fn separation(length: PromptLength, has_affinity: bool) -> Separation {
    match (length, has_affinity) {
        (PromptLength::Long, false) => Separation::LongWithoutAffinity,
        (PromptLength::Short, true) => Separation::ShortAmongLong,
        _ => Separation::Fits,
    }
}

/// True if the prefix cache can be copied from `source`; a suspected or cold replica would delay the request.
fn can_copy(source: &Arc<Replica>, replica: &Arc<Replica>) -> bool {
    let may_send = !source.is_suspected() && !source.is_cold(harrierward_clock::now());
    !Arc::ptr_eq(source, replica) && may_send && source.accepts_work()
}

/// Number of standard deviations of online load that items leave free. For independent arrivals the deviation is the
/// square root of the number of requests.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// Returns the slots that items leave free at replicas with `online` requests in total. An item in the last slots
/// would soon be preempted, and its prefill wasted.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn reserved_slots(online: u32) -> u32 {
    (f64::from(online).sqrt() * RESERVE_DEVIATIONS).round() as u32
}

/// True if online requests leave more slots free than the reserve; slots of items count as free.
fn has_capacity_for_overdue(replicas: &[Arc<Replica>]) -> bool {
    let free = |replica: &Arc<Replica>| replica.slots().saturating_sub(replica.online());
    let free: u32 = replicas.iter().map(free).sum();
    let online = replicas.iter().map(|replica| replica.online()).sum();
    free > reserved_slots(online)
}

/// Replicas that an item may use; none if all free slots are reserved for online requests.
fn item_candidates(
    replicas: Vec<Arc<Replica>>,
    policy: Policy,
    query: &ChoiceQuery<'_>,
) -> Vec<Arc<Replica>> {
    let tokens = query.prompt.total_tokens();
    let free_slots =
        |replica: &Arc<Replica>| replica.slots().saturating_sub(replica.load_for(tokens));
    let free: u32 = replicas.iter().map(free_slots).sum();
    let online = replicas.iter().map(|replica| replica.online()).sum();
    let reserved = if policy.has(Mechanism::ItemReserve) {
        reserved_slots(online)
    } else {
        0
    };
    if free <= reserved {
        return Vec::new();
    }
    let has_capacity =
        |replica: &Arc<Replica>| free_slots(replica) > 0 && !(query.is_suspected)(replica);
    replicas.into_iter().filter(has_capacity).collect()
}
