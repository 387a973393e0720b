//! Which replica a request goes to: the candidates as this daemon sees them, and the replica that all daemons prefer
//! for a prompt, so that its shared parts are found again.

use std::sync::Arc;

use rand::Rng;
use rand::seq::index;

use crate::exchange::ServingRequest;
use crate::forwarder::Forwarder;
use crate::profile::PromptLength;
use crate::replica::{InProgress, Replica, ReplicaView, WorkClass};
use crate::selection::{Candidate, Separation, choose, preference_weight};

/// Where an attempt may go.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTarget<'a> {
    /// Service.
    pub service: &'a str,
    /// Class of the work.
    pub class: WorkClass,
    /// Replicas not to be used again.
    pub excluded: &'a [String],
    /// Slots that must stay free at the replica; `None` if the work may wait there.
    pub free_slots: Option<u32>,
}

/// The replica for an attempt.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The replica.
    pub replica: Arc<Replica>,
    /// Another one that probably keeps more of the prompt: its memory of it is copied instead of being made anew.
    pub copy_from: Option<Arc<Replica>>,
}

impl Choice {
    /// The work ran at `earlier` before, which may still keep all of its prompt.
    pub fn copy_from_earlier(&mut self, view: &ReplicaView, earlier: &str) {
        let source = view.get(earlier);
        if let Some(source) = source.filter(|source| can_copy(source, &self.replica)) {
            self.copy_from = Some(source.clone());
        }
    }

    /// Counts the request at the replica.
    pub fn enter(self, class: WorkClass) -> Placement {
        Placement {
            in_progress: self.replica.enter(class),
            copy_from: self.copy_from,
        }
    }
}

/// A request that is counted at its replica.
#[derive(Debug)]
pub struct Placement {
    /// Keeps the request counted.
    pub in_progress: InProgress,
    /// Replica from which the prompt's memory is copied.
    pub copy_from: Option<Arc<Replica>>,
}

/// Fewest shared tokens for which a copy is made: below, reading them anew takes no longer.
const LEAST_COPIED_TOKENS: u32 = 1_000;

/// Replicas that are looked at for one request, beside the preferred one.
const MOST_CANDIDATES: usize = 48;

impl Forwarder {
    /// Chooses a replica for the request.
    pub fn choose_replica(
        &self,
        request: &ServingRequest,
        target: AttemptTarget<'_>,
    ) -> Option<Choice> {
        let view = self.replicas().view();
        let usable: Vec<Arc<Replica>> = view
            .usable(target.service)
            .into_iter()
            .filter(|replica| !target.excluded.contains(&replica.record.id))
            .filter(|replica| has_room(replica, target.free_slots))
            .collect();
        let length = self.length_of(request, target);
        let preferred = self.preferred(request, &usable, &view, length);
        let replicas = narrow(usable, preferred.as_ref());
        let shared_tokens = request.prompt.shared_tokens();
        let candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| Candidate {
                load: replica.load(),
                preemptible: replica.batch(),
                slots: replica.slots(),
                uncached_shared_tokens: shared_tokens
                    .saturating_sub(replica.cached_tokens(&request.prompt)),
                preferred: preferred
                    .as_ref()
                    .is_some_and(|preferred| Arc::ptr_eq(preferred, replica)),
                own_zone: replica.record.zone == self.settings().zone,
                separation: separation(length, view.is_long_prompt_home(&replica.record.id)),
                suspected: replica.is_suspected(),
            })
            .collect();
        let mut random = rand::rng();
        let costs = &self.settings().costs;
        let position = choose(costs, &candidates, || random.random::<f64>())?;
        let missing = candidates[position].uncached_shared_tokens;
        let copy_from = preferred.filter(|source| {
            missing >= LEAST_COPIED_TOKENS && can_copy(source, &replicas[position])
        });
        Some(Choice {
            replica: replicas[position].clone(),
            copy_from,
        })
    }

    fn length_of(&self, request: &ServingRequest, target: AttemptTarget<'_>) -> PromptLength {
        match target.class {
            WorkClass::Online => self
                .profiles()
                .observe(target.service, request.prompt.tokens),
            WorkClass::Batch => PromptLength::Alike,
        }
    }

    /// The replica that all daemons prefer for the prompt's last shared part: a long prompt's among the homes,
    /// another's within the zone.
    fn preferred(
        &self,
        request: &ServingRequest,
        replicas: &[Arc<Replica>],
        view: &ReplicaView,
        length: PromptLength,
    ) -> Option<Arc<Replica>> {
        let part = request.prompt.shared().last()?.id;
        let zone = &self.settings().zone;
        let fits = |replica: &&Arc<Replica>| {
            let home = view.is_long_prompt_home(&replica.record.id);
            match length {
                PromptLength::Long => home,
                PromptLength::Short => !home && replica.record.zone == *zone,
                PromptLength::Alike => replica.record.zone == *zone,
            }
        };
        let weight = |replica: &&Arc<Replica>| preference_weight(part, &replica.record.id);
        let fitting = replicas.iter().filter(fits).max_by_key(weight);
        let preferred = fitting.or_else(|| replicas.iter().max_by_key(weight));
        preferred.cloned()
    }
}

/// Of very many replicas: the preferred one, and others at random.
fn narrow(replicas: Vec<Arc<Replica>>, preferred: Option<&Arc<Replica>>) -> Vec<Arc<Replica>> {
    if replicas.len() <= MOST_CANDIDATES {
        return replicas;
    }
    let mut random = rand::rng();
    let sampled = index::sample(&mut random, replicas.len(), MOST_CANDIDATES);
    let others = sampled.into_iter().map(|position| &replicas[position]);
    let others =
        others.filter(|one| preferred.is_none_or(|preferred| !Arc::ptr_eq(preferred, one)));
    preferred.into_iter().chain(others).cloned().collect()
}

fn separation(length: PromptLength, home: bool) -> Separation {
    match (length, home) {
        (PromptLength::Long, false) => Separation::LongAway,
        (PromptLength::Short, true) => Separation::ShortBesideLong,
        _ => Separation::Fits,
    }
}

/// True if another replica may be asked for its memory; one that is silent would hold the request up.
fn can_copy(source: &Arc<Replica>, replica: &Arc<Replica>) -> bool {
    !Arc::ptr_eq(source, replica) && !source.is_suspected() && !source.is_draining()
}

fn has_room(replica: &Replica, free_slots: Option<u32>) -> bool {
    let Some(free) = free_slots else {
        return true;
    };
    // Items keep to their share also where online has little in progress just now.
    let free = free.max(replica.online() + 1);
    !replica.is_suspected()
        && replica.load().saturating_sub(replica.online()) + free < replica.slots()
}
