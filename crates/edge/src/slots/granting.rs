//! Granting of leases in the groups that this daemon coordinates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{
    Choice, ChoiceQuery, ChosenBy, Location, MIN_FREE_PERMILLE, Mechanism, Prompt, PromptLength,
    PromptPart, Replica, SlotQuery, SlotReply, SoftwareVersion, choose_replica, short_hash,
};
use harrierward_slots::{GroupAdmission, GroupId, QueuedRequest, SlotUse};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{SlotAsk, SlotGrant, node_datagram::Kind};

use super::index::GroupIndex;
use super::outcomes::work_of;
use super::requests::millis;
use super::{Coordinator, SlotService, group_of, layout, usage_of};

/// The properties of a lease request on which the choice of a replica depends.
struct Requester<'a> {
    location: Location,
    is_excluded: &'a dyn Fn(&Replica) -> bool,
    is_connected: &'a dyn Fn(&Replica) -> bool,
    is_suspected: &'a dyn Fn(&Replica) -> bool,
    prompt: &'a Prompt,
    regions: &'a AllowedRegions,
    version: Option<SoftwareVersion>,
    length: PromptLength,
    is_item: bool,
    is_overdue: bool,
    may_repeat: bool,
}

impl SlotService {
    /// Chooses a replica of a coordinated group by its exact request counts.
    fn choose(&self, service: &str, group: GroupId, requester: &Requester<'_>) -> Option<Choice> {
        let index = self.index();
        let view = &index.view;
        let usable = self.usable(&index, service, group);
        let usable = self.within_cold_rate((short_hash(service), group), usable, requester.is_item);
        let query = ChoiceQuery {
            is_own_zone: &|replica| replica.location.zone == requester.location.zone,
            is_own_region: &|replica| replica.location.region == requester.location.region,
            prompt: requester.prompt,
            regions: requester.regions,
            version: requester.version,
            length: requester.length,
            is_excluded: requester.is_excluded,
            is_connected: requester.is_connected,
            is_suspected: requester.is_suspected,
            is_item: requester.is_item,
            is_overdue: requester.is_overdue,
            max_candidates: usize::MAX,
        };
        let work = work_of(requester.is_item, requester.may_repeat);
        let may_wait = requester.is_item || requester.is_overdue;
        let offered = self.offered(service, group, usable, work, may_wait);
        let choice = offered
            .into_iter()
            .find_map(|replicas| choose_replica(view, replicas, &self.costs, &query));
        choice.map(|choice| Choice {
            by: ChosenBy::Coordinator,
            ..choice
        })
    }

    /// Returns the replicas of a group that accept work; without any, those that the view still considers usable.
    fn usable(&self, index: &GroupIndex, service: &str, group: GroupId) -> Vec<Arc<Replica>> {
        let listed = index.listed(short_hash(service), group).iter();
        let ready: Vec<Arc<Replica>> = listed
            .filter(|replica| replica.accepts_work())
            .cloned()
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        let layout = layout(&index.view, service, self.costs.policy);
        let others = index.view.usable(service).into_iter();
        others
            .filter(|replica| group_of(&layout, replica) == group)
            .collect()
    }

    /// Grants a lease for a request of this daemon, in a group that it coordinates.
    pub(super) fn grant_own(&self, query: &SlotQuery<'_>, group: GroupId) -> SlotReply {
        let requester = Requester {
            location: self.location,
            is_excluded: &|replica| query.excluded.contains(&replica.record.id),
            is_connected: &|replica| self.is_connected(replica),
            is_suspected: &|replica| replica.is_suspected(),
            prompt: query.prompt,
            regions: query.regions,
            version: query.version,
            length: query.length,
            is_item: query.item.is_some(),
            is_overdue: query.overdue && !self.take_retry(query.service, group),
            may_repeat: query.may_repeat,
        };
        let Some(mut choice) = self.choose(query.service, group, &requester) else {
            if self.is_all_cold(&self.usable(&self.index(), query.service, group)) {
                return SlotReply::AllCold;
            }
            return if query.item.is_some() || query.overdue {
                SlotReply::NoCapacity
            } else {
                SlotReply::NoCoordinator
            };
        };
        if query.item.is_none()
            && let Some(after) = self.retry_after(
                query.service,
                group,
                &choice,
                query.objective,
                query.max_retry_after,
            )
        {
            return SlotReply::RetryLater { after };
        }
        let Ok(cold_until) = self.count_cold(query.service, group, &choice.replica) else {
            return SlotReply::AllCold;
        };
        choice.cold_until = cold_until;
        let usage = usage_of(query.item, harrierward_clock::now());
        let lease = {
            let mut state = self.lock();
            let lease = state.held.next_number();
            state.held.take(lease, choice.replica.hash, usage);
            lease
        };
        let lease_id = (self.holder, lease);
        choice.is_probe = self.note_granted(query.service, group, &choice.replica, lease_id);
        self.preempt_if_full(&choice, usage);
        SlotReply::Granted { choice, lease }
    }

    /// Counts the arrival of an online request. Returns the delay after which its caller should retry if it would miss
    /// its objective at the chosen replica; `None` if it is admitted.
    fn retry_after(
        &self,
        service: &str,
        group: GroupId,
        choice: &Choice,
        objective: Duration,
        max_retry_after: Option<Duration>,
    ) -> Option<Duration> {
        let now = harrierward_clock::now();
        let service = short_hash(service);
        let replica = &choice.replica;
        let position = (replica.online() + 1).saturating_sub(replica.slots());
        let mut state = self.lock();
        let admission = state.admissions.entry((service, group));
        let admission = admission.or_insert_with(|| GroupAdmission::new(now));
        admission.observe_arrival(now);
        if position == 0 || !self.costs.policy.has(Mechanism::Admission) {
            return None;
        }
        let max_retry_after = max_retry_after?;
        let index = self.index();
        let ejected = Self::ejected(&state, service, group);
        let listed = index.listed(service, group).iter();
        // Cold and ejected replicas get few requests, so their slots contribute no completions.
        let ready = listed.filter(|replica| {
            replica.accepts_work() && !replica.is_cold(now) && !ejected.contains(&replica.hash)
        });
        let queued = QueuedRequest {
            position,
            replica_slots: replica.slots(),
            group_slots: ready.map(|replica| replica.slots()).sum(),
            objective,
            max_retry_after,
        };
        let admission = state.admissions.get_mut(&(service, group))?;
        admission.schedule_retry(&queued, rand::random(), now)
    }

    /// True if an overdue request is probably a retry that this daemon scheduled for now; each scheduled one is taken
    /// once.
    fn take_retry(&self, service: &str, group: GroupId) -> bool {
        let mut state = self.lock();
        let admission = state.admissions.get_mut(&(short_hash(service), group));
        admission.is_some_and(|admission| admission.take_retry(harrierward_clock::now()))
    }

    /// Replies to a peer's lease request.
    pub(super) fn handle_request(&self, request: &SlotAsk, from: SocketAddr) {
        let grant = self.grant_for(request, from);
        self.send(Kind::SlotGrant(grant), from);
    }

    fn grant_for(&self, request: &SlotAsk, from: SocketAddr) -> SlotGrant {
        let none = SlotGrant {
            lease: request.lease,
            ..SlotGrant::default()
        };
        self.merge_fleet_size(request);
        let granted = self.lock().ledger.replica_of(request.holder, request.lease);
        let view = self.replicas.view();
        let Some((service, _)) = view.service_by_hash(request.service) else {
            return SlotGrant {
                not_coordinator: true,
                ..none
            };
        };
        let group = GroupId {
            area: request.group_area,
            number: request.group,
        };
        let layout = layout(&view, service, self.costs.policy);
        if !layout.contains(group) || self.coordinator(request.service, group) != Coordinator::Own {
            return SlotGrant {
                not_coordinator: true,
                ..none
            };
        }
        if let Some(replica) = granted {
            // A resent request, whose grant may have been lost: counting it twice is safer than not at all.
            let known = view.by_hash(replica);
            let counted = known.map(|known| self.count_cold(service, group, known));
            return SlotGrant {
                replica,
                counted_cold: matches!(counted, Some(Ok(Some(_)))),
                ..none
            };
        }
        let prompt = prompt_of(request);
        let regions = regions_of(request);
        let requester = Requester {
            location: Location {
                zone: request.zone,
                region: request.region,
            },
            is_excluded: &|replica| request.excluded.contains(&replica.hash),
            is_connected: &|replica| request.connected.contains(&replica.hash),
            is_suspected: &|replica| request.suspected.contains(&replica.hash),
            prompt: &prompt,
            regions: &regions,
            version: request.version.map(SoftwareVersion::from_hash),
            length: length_of(request),
            is_item: request.item.is_some(),
            is_overdue: request.overdue && !self.take_retry(service, group),
            // Requests that spilled from a full region aren't used as probes.
            may_repeat: request.may_repeat && !request.spilled,
        };
        let all_cold = SlotGrant {
            all_cold: true,
            ..none.clone()
        };
        let Some(choice) = self.choose(service, group, &requester) else {
            if self.is_all_cold(&self.usable(&self.index(), service, group)) {
                return all_cold;
            }
            return none;
        };
        if request.spilled && choice.free_permille < MIN_FREE_PERMILLE {
            return SlotGrant {
                free_permille: choice.free_permille,
                load: choice.load,
                ..none
            };
        }
        if request.item.is_none() {
            let objective = Duration::from_millis(u64::from(request.objective_ms));
            let max_retry_after = Duration::from_millis(u64::from(request.may_return_ms));
            let max_retry_after = Some(max_retry_after).filter(|limit| !limit.is_zero());
            let after = self.retry_after(service, group, &choice, objective, max_retry_after);
            if let Some(after) = after {
                return SlotGrant {
                    come_back_ms: millis(after).max(1),
                    free_permille: choice.free_permille,
                    ..none
                };
            }
        }
        let Ok(cold_until) = self.count_cold(service, group, &choice.replica) else {
            return all_cold;
        };
        let now = harrierward_clock::now();
        let usage = match &request.item {
            None => SlotUse::Online,
            Some(item) => SlotUse::Batch {
                due: now + Duration::from_millis(u64::from(item.slack_ms)),
            },
        };
        let replica = choice.replica.hash;
        self.lock()
            .ledger
            .grant(request.holder, from, request.lease, replica, usage, now);
        self.publish();
        let lease_id = (request.holder, request.lease);
        let is_probe = self.note_granted(service, group, &choice.replica, lease_id);
        self.preempt_if_full(&choice, usage);
        choice.replica.note_prompt(&prompt);
        SlotGrant {
            replica,
            copy_from: choice.copy_from.as_ref().map_or(0, |source| source.hash),
            load: choice.load,
            free_permille: choice.free_permille,
            counted_cold: cold_until.is_some(),
            is_probe,
            ..none
        }
    }
}

fn prompt_of(request: &SlotAsk) -> Prompt {
    let parts = request.parts.iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    Prompt {
        parts: parts.collect(),
        ..Prompt::default()
    }
}

fn regions_of(request: &SlotAsk) -> AllowedRegions {
    request
        .allowed_regions
        .as_ref()
        .map_or(AllowedRegions::Any, |allowed| {
            AllowedRegions::only(allowed.names.iter().cloned())
        })
}

fn length_of(request: &SlotAsk) -> PromptLength {
    match request.length {
        1 => PromptLength::Short,
        2 => PromptLength::Long,
        _ => PromptLength::Uniform,
    }
}
