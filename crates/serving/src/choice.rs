//! Which replica a request goes to: the candidates as this daemon sees them, and the replica that all daemons prefer
//! for a prompt, so that its shared parts are found again.

use std::sync::Arc;

use harrierward_tenants::AllowedRegions;
use rand::Rng;
use rand::seq::index;
use tokio::time::Instant;

use crate::in_progress::InProgress;
use crate::leases::SlotLease;
use crate::policy::{Mechanism, Policy};
use crate::profile::PromptLength;
use crate::prompt::Prompt;
use crate::replica::{Replica, WorkClass};
use crate::replica_set::ReplicaView;
use crate::selection::{Candidate, SelectionCosts, Separation, choose, preference_weight};

/// Who chose a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChosenBy {
    /// The coordinator of the replica's places.
    Coordinator,
    /// The daemon that sends the request.
    Sender,
}

impl ChosenBy {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Coordinator => "coordinator",
            Self::Sender => "sender",
        }
    }
}

/// Why a request leaves the region of the daemon that it came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrossRegionReason {
    /// The own region's replicas are full, and the way costs less than their queues.
    Full,
    /// The own region has no replica that may take it and answers.
    NoReplica,
    /// Its coordinator gives out slots of several regions, and one in another was the cheapest.
    Price,
}

impl CrossRegionReason {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoReplica => "no replica",
            Self::Price => "price",
        }
    }
}

/// The replica for an attempt.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The replica.
    pub replica: Arc<Replica>,
    /// Who chose it.
    pub by: ChosenBy,
    /// Requests there before this one, as the chooser counted them.
    pub load: u32,
    /// Slots that online requests could still take at the replicas looked at, in thousandths of all their slots.
    pub free_permille: u32,
    /// Until when the request may be sent there although the replica is cold; `None` if it was not counted there.
    pub cold_until: Option<Instant>,
    /// Why a replica in another region was looked for; `None` where the own region's were.
    pub left_region: Option<CrossRegionReason>,
    /// The replica was out of service and is tried for its return.
    pub is_probe: bool,
    /// Another one that probably keeps more of the prompt: its memory of it is copied instead of being made anew.
    pub copy_from: Option<Arc<Replica>>,
}

impl Choice {
    /// The work ran at `earlier` before, which may still keep all of its prompt.
    pub fn copy_from_previous(&mut self, view: &ReplicaView, earlier: u32, policy: Policy) {
        let source = view.by_hash(earlier);
        let source = source.filter(|_| policy.has(Mechanism::PromptCopies));
        if let Some(source) = source.filter(|source| can_copy(source, &self.replica)) {
            self.copy_from = Some(source.clone());
        }
    }

    /// Counts the request at the replica, in a place that is held.
    pub fn enter(self, class: WorkClass, place: SlotLease) -> Placement {
        Placement {
            in_progress: self.replica.enter(class, Some(place)),
            choice: self,
        }
    }
}

/// A request that is counted at its replica.
#[derive(Debug)]
pub struct Placement {
    /// Keeps the request counted.
    pub in_progress: InProgress,
    /// How its replica was chosen.
    pub choice: Choice,
}

/// Part of the slots looked at that must be free to online requests for their replicas to count as roomy, in
/// thousandths. Below it a replica's silence is more likely a queue than a fault (issue 21: 15 % free or less where
/// all attempts were given up for silence), and a group is not asked for its prompt's sake.
pub const MIN_FREE_PERMILLE: u32 = 150;

/// Fewest shared tokens for which a copy is made: below, reading them anew takes no longer.
const LEAST_COPIED_TOKENS: u32 = 1_000;

/// What a choice among replicas respects.
pub struct ChoiceQuery<'a> {
    /// Zone whose replicas come first.
    pub is_own_zone: &'a dyn Fn(&Replica) -> bool,
    /// Region whose replicas come next.
    pub is_own_region: &'a dyn Fn(&Replica) -> bool,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// How its length stands among the service's.
    pub length: PromptLength,
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
    /// Replicas not to be used.
    pub is_excluded: &'a dyn Fn(&Replica) -> bool,
    /// Replicas to which the asker keeps a connection.
    pub is_connected: &'a dyn Fn(&Replica) -> bool,
    /// Replicas to be avoided.
    pub is_suspected: &'a dyn Fn(&Replica) -> bool,
    /// The work is a batch item: it takes only what online leaves, and never waits at a replica.
    pub is_item: bool,
    /// The work is an online request whose objective has passed: it leaves the last slots to others.
    pub is_overdue: bool,
    /// Most replicas that are looked at beside the preferred one: few, where their loads are old, so that daemons
    /// that know the same do not all choose the same.
    pub max_candidates: usize,
}

/// Chooses one of the replicas, which are those that take new work.
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
        .collect();
    let usable = if query.is_item {
        room_for_items(usable, costs.policy, query)
    } else if query.is_overdue && !has_room_for_overdue(&usable) {
        Vec::new()
    } else {
        usable
    };
    let preferred = preferred(&usable, view, query);
    let replicas = narrow(usable, preferred.as_ref(), query.max_candidates);
    let shared_tokens = query.prompt.shared_tokens();
    let candidates: Vec<Candidate> = replicas
        .iter()
        .map(|replica| Candidate {
            load: replica.load(),
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
    let missing = candidates[position].uncached_shared_tokens;
    let copy_from = preferred
        .filter(|source| missing >= LEAST_COPIED_TOKENS && can_copy(source, &replicas[position]))
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

/// The replicas of the own region, if any of them may take the work; else all.
///
/// Why not by price: a daemon that chooses by itself knows too little of the others' queues to send work far away for
/// them. Batch work waits rather than leave its region; online work leaves replicas that are silent.
pub fn own_region_first(
    replicas: Vec<Arc<Replica>>,
    query: &ChoiceQuery<'_>,
) -> (Vec<Arc<Replica>>, Option<CrossRegionReason>) {
    let may_take = |replica: &&Arc<Replica>| {
        (query.is_own_region)(replica)
            && !(query.is_excluded)(replica)
            && query.regions.allows(&replica.record.region)
            && (query.is_item || !(query.is_suspected)(replica))
    };
    let near: Vec<Arc<Replica>> = replicas.iter().filter(may_take).cloned().collect();
    if near.is_empty() {
        (replicas, Some(CrossRegionReason::NoReplica))
    } else {
        (near, None)
    }
}

/// Slots that online requests could take, those of items that would give way among them, in thousandths of all.
fn free_permille(candidates: &[Candidate]) -> u32 {
    let slots: u32 = candidates.iter().map(|one| one.slots).sum();
    let free = candidates.iter().map(|one| {
        let staying = one.load.saturating_sub(one.preemptible);
        one.slots.saturating_sub(staying)
    });
    free.sum::<u32>() * 1_000 / slots.max(1)
}

/// The replica that all daemons prefer for the prompt's last shared part: a long prompt's among the homes,
/// another's within the zone.
fn preferred(
    replicas: &[Arc<Replica>],
    view: &ReplicaView,
    query: &ChoiceQuery<'_>,
) -> Option<Arc<Replica>> {
    let part = query.prompt.shared().last()?.id;
    let fits = |replica: &&Arc<Replica>| {
        let home = view.has_long_prompt_affinity(&replica.record.id);
        match query.length {
            PromptLength::Long => home,
            PromptLength::Short => !home && (query.is_own_zone)(replica),
            PromptLength::Uniform => (query.is_own_zone)(replica),
        }
    };
    let weight = |replica: &&Arc<Replica>| preference_weight(part, &replica.record.id);
    let fitting = replicas.iter().filter(fits).max_by_key(weight);
    let preferred = fitting.or_else(|| replicas.iter().max_by_key(weight));
    preferred.cloned()
}

/// Of very many replicas: the preferred one, and others at random.
fn narrow(
    replicas: Vec<Arc<Replica>>,
    preferred: Option<&Arc<Replica>>,
    most: usize,
) -> Vec<Arc<Replica>> {
    if replicas.len() <= most {
        return replicas;
    }
    let mut random = rand::rng();
    let sampled = index::sample(&mut random, replicas.len(), most);
    let others = sampled.into_iter().map(|position| &replicas[position]);
    let others =
        others.filter(|one| preferred.is_none_or(|preferred| !Arc::ptr_eq(preferred, one)));
    preferred.into_iter().chain(others).cloned().collect()
}

/// Requests at the replica that end as soon as an online request needs their slots.
fn preemptible(replica: &Replica, policy: Policy) -> u32 {
    if policy.has(Mechanism::Preemption) {
        replica.batch()
    } else {
        0
    }
}

fn separation(length: PromptLength, home: bool) -> Separation {
    match (length, home) {
        (PromptLength::Long, false) => Separation::LongWithoutAffinity,
        (PromptLength::Short, true) => Separation::ShortAmongLong,
        _ => Separation::Fits,
    }
}

/// True if another replica may be asked for its memory; one that is silent or cold would hold the request up.
fn can_copy(source: &Arc<Replica>, replica: &Arc<Replica>) -> bool {
    let may_send = !source.is_suspected() && !source.is_cold(harrierward_clock::now());
    !Arc::ptr_eq(source, replica) && may_send && source.accepts_work()
}

/// Standard deviations of online's requests in progress for which items leave slots free. Arrivals that do not depend
/// on each other make the deviation the root of their number.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// Slots that items leave free at replicas with so many online requests together: an item that takes the last slots
/// is ended by one of the next requests, and its prompt is read again for nothing.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn reserved_slots(online: u32) -> u32 {
    (f64::from(online).sqrt() * RESERVE_DEVIATIONS).round() as u32
}

/// True if online requests leave more slots than their number varies by. Those of items count as free.
fn has_room_for_overdue(replicas: &[Arc<Replica>]) -> bool {
    let free = |replica: &Arc<Replica>| replica.slots().saturating_sub(replica.online());
    let free: u32 = replicas.iter().map(free).sum();
    let online = replicas.iter().map(|replica| replica.online()).sum();
    free > reserved_slots(online)
}

/// The replicas that an item may go to; none where all that is free is kept for online.
fn room_for_items(
    replicas: Vec<Arc<Replica>>,
    policy: Policy,
    query: &ChoiceQuery<'_>,
) -> Vec<Arc<Replica>> {
    let free_slots = |replica: &Arc<Replica>| replica.slots().saturating_sub(replica.load());
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
    let has_room =
        |replica: &Arc<Replica>| free_slots(replica) > 0 && !(query.is_suspected)(replica);
    replicas.into_iter().filter(has_room).collect()
}
