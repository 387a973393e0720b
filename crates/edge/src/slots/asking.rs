//! The daemon's own requests: asking coordinators, holding leases, giving them back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::Record;
use harrierward_serving::{
    Choice, ChosenBy, ItemRoom, LeaseEnd, Mechanism, PromptLength, ROOMY_PERMILLE, Replica,
    SlotAnswer, SlotLeases, SlotQuery, WorkClass, preference_weight, short_hash,
};
use harrierward_slots::{GroupId, GroupLayout};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{
    ItemSlotAsk, PromptPartRow, RegionNames, SlotAsk, SlotGrant, SlotReport, node_datagram::Kind,
};
use tokio::time::Instant;

use crate::calls::CallPatience;

use super::{Coordinator, CoordinatorCandidate, LONGEST_SLACK, SlotService, layout, usage_of};

/// Parts of a request's objective after which a coordinator is asked again, and given up.
const ASK_AGAIN_PART: u32 = 25;
const GIVE_UP_PART: u32 = 10;

/// Bounds of the patience with a coordinator.
const LEAST_PATIENCE: Duration = Duration::from_millis(15);
const MOST_PATIENCE: Duration = Duration::from_millis(60);

/// Replicas with a kept connection that a question names at the most: four bytes each.
const MOST_CONNECTED: usize = 16;

/// How long a group that had no room for an item is passed over for items.
const NO_ROOM_LASTS: Duration = Duration::from_millis(300);

/// A group's free slots where its coordinator has not reported them.
const UNREPORTED_PERMILLE: u32 = 500;

/// A question that is under way; ends it where the asker goes away.
struct Awaiting<'a> {
    service: &'a SlotService,
    lease: u32,
    coordinator: SocketAddr,
    answered: bool,
}

impl Drop for Awaiting<'_> {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.held.stop_waiting(self.lease);
        drop(state);
        if !self.answered {
            // The coordinator may have given the lease out.
            self.service.report_released(self.lease, self.coordinator);
        }
    }
}

impl SlotService {
    /// The group to ask: that of the replica which all daemons prefer for the prompt, in the own zone if groups lie
    /// in zones, unless another has far more room. Long prompts go to their homes, wherever these are.
    fn group_to_ask(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        layout: &GroupLayout<'_>,
    ) -> GroupId {
        if layout.is_single() {
            return layout.at(0);
        }
        let preferred = self.preferred_group(query, layout);
        let other = layout.at(rand::random());
        let state = self.lock();
        if query.item.is_some() {
            let full = state.no_room_at.get(&(service, preferred));
            let is_full = full.is_some_and(|at| at.elapsed() < NO_ROOM_LASTS);
            return if is_full { other } else { preferred };
        }
        let free = |group: GroupId| {
            let reported = state.free_permille.get(&(service, group));
            reported.copied().unwrap_or(UNREPORTED_PERMILLE)
        };
        if free(preferred) >= ROOMY_PERMILLE || free(preferred) >= free(other) {
            preferred
        } else {
            other
        }
    }

    /// The group of the replica that all daemons prefer for the prompt: of the own zone, if groups lie in zones.
    fn preferred_group(&self, query: &SlotQuery<'_>, layout: &GroupLayout<'_>) -> GroupId {
        let index = self.index();
        let service = short_hash(query.service);
        let preferred = if query.length == PromptLength::Long {
            None
        } else {
            let near = layout.in_zone(self.location.zone);
            let near = near.flat_map(|group| index.listed(service, group));
            preferred_of(near, query)
        };
        let preferred =
            preferred.or_else(|| preferred_of(index.view.listed(query.service).iter(), query));
        preferred.map_or_else(
            || layout.at(0),
            |replica| layout.group_of(replica.hash, replica.location.zone),
        )
    }

    async fn ask_group(&self, query: &SlotQuery<'_>, service: u32, group: GroupId) -> SlotAnswer {
        match self.coordinator(service, group) {
            Coordinator::Nobody => SlotAnswer::NoCoordinator,
            Coordinator::Own => self.place_own(query, group),
            Coordinator::Peer(peer) => self.ask_peer(query, service, group, &peer).await,
        }
    }

    /// Another group that is not full as far as its coordinator told: a caller is not sent away while it is.
    fn roomier_group(&self, query: &SlotQuery<'_>, service: u32, full: GroupId) -> Option<GroupId> {
        let view = self.replicas.view();
        let layout = layout(&view, query.service, self.costs.policy);
        let state = self.lock();
        let reported = state.free_permille.iter();
        reported
            .filter(|((of, group), _)| *of == service && *group != full && layout.contains(*group))
            .filter(|(_, free)| **free > 0)
            .max_by_key(|(_, free)| **free)
            .map(|((_, group), _)| *group)
    }

    async fn ask_peer(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        group: GroupId,
        coordinator: &CoordinatorCandidate,
    ) -> SlotAnswer {
        let Some(address) = coordinator.address else {
            return SlotAnswer::NoCoordinator;
        };
        if self.is_silent(&coordinator.id) {
            return SlotAnswer::NoCoordinator;
        }
        let lease = {
            let mut state = self.lock();
            let lease = state.held.next_number();
            state.held.wait_for(lease);
            lease
        };
        let mut awaiting = Awaiting {
            service: self,
            lease,
            coordinator: address,
            answered: false,
        };
        let ask = self.describe_ask(query, service, group, lease);
        let give_up = query.objective / GIVE_UP_PART;
        let give_up = give_up.clamp(LEAST_PATIENCE, MOST_PATIENCE);
        let patience = CallPatience {
            again: give_up * GIVE_UP_PART / ASK_AGAIN_PART,
            give_up,
        };
        let send = || self.send(Kind::SlotAsk(ask.clone()), address);
        let Some(grant) = self.calls.ask(lease, patience, send).await else {
            drop(awaiting);
            self.note_silent(&coordinator.id);
            return SlotAnswer::NoCoordinator;
        };
        awaiting.answered = true;
        drop(awaiting);
        self.note_heard(&coordinator.id, service, group, &grant);
        self.take_grant(query, lease, &grant, address)
    }

    fn take_grant(
        &self,
        query: &SlotQuery<'_>,
        lease: u32,
        grant: &SlotGrant,
        coordinator: SocketAddr,
    ) -> SlotAnswer {
        let may_wait = query.item.is_some() || query.overdue;
        let none = if may_wait && !grant.not_coordinator {
            SlotAnswer::NoRoom
        } else {
            SlotAnswer::NoCoordinator
        };
        if grant.come_back_ms > 0 {
            return SlotAnswer::ComeBack {
                after: Duration::from_millis(u64::from(grant.come_back_ms)),
            };
        }
        if grant.replica == 0 {
            return none;
        }
        let view = self.replicas.view();
        let replica = view.by_hash(grant.replica);
        let Some(replica) = replica.filter(|replica| replica.accepts_work()) else {
            self.report_released(lease, coordinator);
            return none;
        };
        let usage = usage_of(query.item, Instant::now());
        self.lock().held.take(lease, replica.hash, usage);
        SlotAnswer::Given {
            choice: Choice {
                replica: replica.clone(),
                by: ChosenBy::Coordinator,
                load: grant.load,
                free_permille: grant.free_permille,
                cold_until: None,
                copy_from: view.by_hash(grant.copy_from).cloned(),
            },
            lease,
        }
    }

    fn describe_ask(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        group: GroupId,
        lease: u32,
    ) -> SlotAsk {
        let index = self.index();
        let listed = index.listed(service, group).iter();
        let suspected = listed.clone().filter(|replica| replica.is_suspected());
        let connected = listed.filter(|replica| self.is_connected(replica));
        let connected = connected.map(|replica| replica.hash).take(MOST_CONNECTED);
        let parts = query.prompt.parts.iter().map(|part| PromptPartRow {
            id: part.id,
            tokens: part.tokens,
        });
        let item = query.item.map(|item| ItemSlotAsk {
            slack_ms: millis(item.slack),
        });
        SlotAsk {
            holder: self.holder,
            lease,
            service,
            group: group.number,
            group_zone: group.zone,
            zone: self.location.zone,
            region: self.location.region,
            allowed_regions: region_names(query.regions),
            parts: parts.collect(),
            length: match query.length {
                PromptLength::Alike => 0,
                PromptLength::Short => 1,
                PromptLength::Long => 2,
            },
            excluded: query.excluded.iter().map(|id| short_hash(id)).collect(),
            suspected: suspected.map(|replica| replica.hash).collect(),
            item,
            overdue: query.overdue,
            may_repeat: query.may_repeat,
            objective_ms: millis(query.objective),
            may_return_ms: query.may_return.map_or(0, millis),
            connected: connected.collect(),
        }
    }

    fn is_silent(&self, coordinator: &str) -> bool {
        let now_ms = self.now_ms();
        let state = self.lock();
        let silent = state.silent.get(coordinator);
        silent.is_some_and(|silent| silent.is_active(now_ms))
    }

    fn note_silent(&self, coordinator: &str) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let suspicion = state.silent.entry(coordinator.to_owned()).or_default();
        suspicion.fail(now_ms);
        drop(state);
        self.log.record(&Record::DependencyLost {
            dependency: "slot coordinator",
            cause: coordinator,
        });
    }

    fn note_heard(&self, coordinator: &str, service: u32, group: GroupId, grant: &SlotGrant) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        if let Some(suspicion) = state.silent.get(coordinator) {
            suspicion.note_progress(now_ms);
        }
        if !grant.not_coordinator {
            let free = grant.free_permille;
            state.free_permille.insert((service, group), free);
        }
    }

    fn report_released(&self, lease: u32, coordinator: SocketAddr) {
        let report = SlotReport {
            holder: self.holder,
            released: vec![lease],
            ..SlotReport::default()
        };
        self.send(Kind::SlotReport(report), coordinator);
    }

    /// The peer that keeps a replica's leases.
    pub(super) fn peer_coordinating(&self, replica: u32) -> Option<SocketAddr> {
        let view = self.replicas.view();
        let replica = view.by_hash(replica)?;
        let service = short_hash(&replica.record.service);
        match self.coordinator(service, self.group(replica)) {
            Coordinator::Peer(peer) => peer.address,
            Coordinator::Own | Coordinator::Nobody => None,
        }
    }
}

#[async_trait]
impl SlotLeases for SlotService {
    async fn ask(&self, query: SlotQuery<'_>) -> SlotAnswer {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return SlotAnswer::NoCoordinator;
        }
        let service = short_hash(query.service);
        let group = {
            let view = self.replicas.view();
            let layout = layout(&view, query.service, self.costs.policy);
            self.group_to_ask(&query, service, &layout)
        };
        let mut answer = self.ask_group(&query, service, group).await;
        if matches!(answer, SlotAnswer::ComeBack { .. })
            && let Some(roomier) = self.roomier_group(&query, service, group)
        {
            answer = self.ask_group(&query, service, roomier).await;
        }
        if query.item.is_some() && matches!(answer, SlotAnswer::NoRoom) {
            let mut state = self.lock();
            state.no_room_at.insert((service, group), Instant::now());
        }
        answer
    }

    fn take(&self, replica: &Arc<Replica>, item: Option<ItemRoom>) -> u32 {
        let now = Instant::now();
        let coordinator = self.peer_coordinating(replica.hash);
        let mut state = self.lock();
        let lease = state.held.next_number();
        state.held.take(lease, replica.hash, usage_of(item, now));
        let held = state.held.describe(lease, now);
        drop(state);
        if let Some(coordinator) = coordinator {
            let report = SlotReport {
                holder: self.holder,
                held: held.into_iter().collect(),
                ..SlotReport::default()
            };
            self.send(Kind::SlotReport(report), coordinator);
        }
        lease
    }

    fn release(&self, lease: u32, end: LeaseEnd) {
        let replica = self.lock().held.release(lease);
        if let Some(replica) = replica {
            self.report_end(lease, replica, end);
        }
    }

    fn is_coordinated(&self, replica: &Replica) -> bool {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return false;
        }
        let service = short_hash(&replica.record.service);
        match self.coordinator(service, self.group(replica)) {
            Coordinator::Own => true,
            Coordinator::Peer(peer) => peer.address.is_some() && !self.is_silent(&peer.id),
            Coordinator::Nobody => false,
        }
    }

    fn free_slot(&self, replica: &Arc<Replica>) {
        if self.coordinates(replica) {
            self.end_an_item(replica);
        } else if let Some(items) = self.yielding.get() {
            if replica.own(WorkClass::Batch) > 0 {
                items.yield_at(&replica.record.id, 1);
            } else {
                items.ask_peer(replica);
            }
        }
    }
}

pub(super) fn millis(time: Duration) -> u32 {
    let time = time.min(LONGEST_SLACK);
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The regions that a question names; nothing where all are allowed.
fn region_names(regions: &AllowedRegions) -> Option<RegionNames> {
    match regions {
        AllowedRegions::Any => None,
        AllowedRegions::Only(names) => Some(RegionNames {
            names: names.to_vec(),
        }),
    }
}

/// Of replicas that take new work and were not tried, the one that all daemons prefer for the prompt; a random one for
/// a prompt that shares nothing.
fn preferred_of<'a>(
    replicas: impl Iterator<Item = &'a Arc<Replica>>,
    query: &SlotQuery<'_>,
) -> Option<&'a Arc<Replica>> {
    let part = query.prompt.shared().last().map(|part| part.id);
    let usable = replicas
        .filter(|replica| replica.accepts_work() && !query.excluded.contains(&replica.record.id));
    usable.max_by_key(|replica| {
        part.map_or_else(rand::random, |part| {
            preference_weight(part, &replica.record.id)
        })
    })
}
