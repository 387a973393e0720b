//! The daemon's own requests: asking keepers, holding places, giving them back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::Record;
use harrierward_serving::{
    Choice, ChosenBy, ItemRoom, Mechanism, PlaceAnswer, PlaceQuery, Places, PromptLength,
    ROOMY_PERMILLE, Replica, WorkClass, preference_weight, short_hash,
};
use harrierward_slots::{GroupId, GroupLayout};
use harrierward_wire::{
    ItemPlaceAsk, PromptPartRow, SlotAsk, SlotGrant, SlotWord, node_datagram::Kind,
};
use tokio::time::Instant;

use crate::calls::CallPatience;

use super::{Keeper, KeeperCandidate, LONGEST_SLACK, SlotService, layout, usage_of};

/// Parts of a request's objective after which a keeper is asked again, and given up.
const ASK_AGAIN_PART: u32 = 25;
const GIVE_UP_PART: u32 = 10;

/// Bounds of the patience with a keeper.
const LEAST_PATIENCE: Duration = Duration::from_millis(15);
const MOST_PATIENCE: Duration = Duration::from_millis(60);

/// Replicas with a kept connection that a question names at the most: four bytes each.
const MOST_CONNECTED: usize = 16;

/// How long a group that had no room for an item is passed over for items.
const NO_ROOM_LASTS: Duration = Duration::from_millis(300);

/// A group's free slots where its keeper has not told them.
const UNTOLD_PERMILLE: u32 = 500;

/// A question that is under way; ends it where the asker goes away.
struct Awaiting<'a> {
    service: &'a SlotService,
    place: u32,
    keeper: SocketAddr,
    answered: bool,
}

impl Drop for Awaiting<'_> {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.held.stop_waiting(self.place);
        drop(state);
        if !self.answered {
            // The keeper may have given the place out.
            self.service.tell_released(self.place, self.keeper);
        }
    }
}

impl SlotService {
    /// The group to ask: that of the replica which all daemons prefer for the prompt, in the own zone if groups lie
    /// in zones, unless another has far more room. Long prompts go to their homes, wherever these are.
    fn group_to_ask(
        &self,
        query: &PlaceQuery<'_>,
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
            let told = state.free_permille.get(&(service, group));
            told.copied().unwrap_or(UNTOLD_PERMILLE)
        };
        if free(preferred) >= ROOMY_PERMILLE || free(preferred) >= free(other) {
            preferred
        } else {
            other
        }
    }

    fn preferred_group(&self, query: &PlaceQuery<'_>, layout: &GroupLayout<'_>) -> GroupId {
        let view = self.replicas.view();
        let usable = view.listed(query.service).iter().filter(|replica| {
            !replica.is_draining() && !query.excluded.contains(&replica.record.id)
        });
        let stays_near = layout.is_by_zone() && query.length != PromptLength::Long;
        let is_near = |replica: &Arc<Replica>| replica.zone_hash == self.zone_hash;
        let part = query.prompt.shared().last().map(|part| part.id);
        let weight = |replica: &&Arc<Replica>| {
            let preference = part.map_or_else(rand::random, |part| {
                preference_weight(part, &replica.record.id)
            });
            (stays_near && is_near(replica), preference)
        };
        let preferred = usable.max_by_key(weight);
        preferred.map_or_else(
            || layout.at(0),
            |replica| layout.group_of(replica.hash, replica.zone_hash),
        )
    }

    async fn ask_peer(
        &self,
        query: &PlaceQuery<'_>,
        service: u32,
        group: GroupId,
        keeper: &KeeperCandidate,
    ) -> PlaceAnswer {
        let Some(address) = keeper.address else {
            return PlaceAnswer::NoKeeper;
        };
        if self.is_silent(&keeper.id) {
            return PlaceAnswer::NoKeeper;
        }
        let place = {
            let mut state = self.lock();
            let place = state.held.next_number();
            state.held.wait_for(place);
            place
        };
        let mut awaiting = Awaiting {
            service: self,
            place,
            keeper: address,
            answered: false,
        };
        let ask = self.describe_ask(query, service, group, place);
        let give_up = query.objective / GIVE_UP_PART;
        let give_up = give_up.clamp(LEAST_PATIENCE, MOST_PATIENCE);
        let patience = CallPatience {
            again: give_up * GIVE_UP_PART / ASK_AGAIN_PART,
            give_up,
        };
        let send = || self.send(Kind::SlotAsk(ask.clone()), address);
        let Some(grant) = self.calls.ask(place, patience, send).await else {
            drop(awaiting);
            self.note_silent(&keeper.id);
            return PlaceAnswer::NoKeeper;
        };
        awaiting.answered = true;
        drop(awaiting);
        self.note_heard(&keeper.id, service, group, &grant);
        self.take_grant(query, place, &grant, address)
    }

    fn take_grant(
        &self,
        query: &PlaceQuery<'_>,
        place: u32,
        grant: &SlotGrant,
        keeper: SocketAddr,
    ) -> PlaceAnswer {
        let may_wait = query.item.is_some() || query.overdue;
        let none = if may_wait && !grant.not_keeper {
            PlaceAnswer::NoRoom
        } else {
            PlaceAnswer::NoKeeper
        };
        if grant.replica == 0 {
            return none;
        }
        let view = self.replicas.view();
        let replica = view.by_hash(grant.replica);
        let Some(replica) = replica.filter(|replica| !replica.is_draining()) else {
            self.tell_released(place, keeper);
            return none;
        };
        let usage = usage_of(query.item, Instant::now());
        self.lock().held.take(place, replica.hash, usage);
        PlaceAnswer::Given {
            choice: Choice {
                replica: replica.clone(),
                by: ChosenBy::Keeper,
                load: grant.load,
                free_permille: grant.free_permille,
                copy_from: view.by_hash(grant.copy_from).cloned(),
            },
            place,
        }
    }

    fn describe_ask(
        &self,
        query: &PlaceQuery<'_>,
        service: u32,
        group: GroupId,
        place: u32,
    ) -> SlotAsk {
        let view = self.replicas.view();
        let listed = view.listed(query.service).iter();
        let suspected = listed.clone().filter(|replica| replica.is_suspected());
        let layout = layout(&view, query.service, self.costs.policy);
        let in_group = listed.clone().filter(|replica| {
            layout.group_of(replica.hash, replica.zone_hash) == group && self.is_connected(replica)
        });
        let connected = in_group.map(|replica| replica.hash).take(MOST_CONNECTED);
        let parts = query.prompt.parts.iter().map(|part| PromptPartRow {
            id: part.id,
            tokens: part.tokens,
        });
        let item = query.item.map(|item| ItemPlaceAsk {
            slack_ms: millis(item.slack),
        });
        SlotAsk {
            holder: self.holder,
            place,
            service,
            group: group.number,
            group_zone: group.zone,
            zone: self.zone_hash,
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
            connected: connected.collect(),
        }
    }

    fn is_silent(&self, keeper: &str) -> bool {
        let now_ms = self.now_ms();
        let state = self.lock();
        let silent = state.silent.get(keeper);
        silent.is_some_and(|silent| silent.is_active(now_ms))
    }

    fn note_silent(&self, keeper: &str) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let suspicion = state.silent.entry(keeper.to_owned()).or_default();
        suspicion.fail(now_ms);
        drop(state);
        self.log.record(&Record::DependencyLost {
            dependency: "slot keeper",
            cause: keeper,
        });
    }

    fn note_heard(&self, keeper: &str, service: u32, group: GroupId, grant: &SlotGrant) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        if let Some(suspicion) = state.silent.get(keeper) {
            suspicion.note_progress(now_ms);
        }
        if !grant.not_keeper {
            let free = grant.free_permille;
            state.free_permille.insert((service, group), free);
        }
    }

    fn tell_released(&self, place: u32, keeper: SocketAddr) {
        let word = SlotWord {
            holder: self.holder,
            released: vec![place],
            ..SlotWord::default()
        };
        self.send(Kind::SlotWord(word), keeper);
    }

    /// The peer that keeps a replica's places.
    fn peer_keeping(&self, replica: u32) -> Option<SocketAddr> {
        let view = self.replicas.view();
        let replica = view.by_hash(replica)?;
        let service = short_hash(&replica.record.service);
        match self.keeper(service, self.group(replica)) {
            Keeper::Peer(peer) => peer.address,
            Keeper::Own | Keeper::Nobody => None,
        }
    }
}

#[async_trait]
impl Places for SlotService {
    async fn ask(&self, query: PlaceQuery<'_>) -> PlaceAnswer {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return PlaceAnswer::NoKeeper;
        }
        let service = short_hash(query.service);
        let group = {
            let view = self.replicas.view();
            let layout = layout(&view, query.service, self.costs.policy);
            self.group_to_ask(&query, service, &layout)
        };
        let answer = match self.keeper(service, group) {
            Keeper::Nobody => PlaceAnswer::NoKeeper,
            Keeper::Own => self.place_own(&query, group),
            Keeper::Peer(peer) => self.ask_peer(&query, service, group, &peer).await,
        };
        if query.item.is_some() && matches!(answer, PlaceAnswer::NoRoom) {
            let mut state = self.lock();
            state.no_room_at.insert((service, group), Instant::now());
        }
        answer
    }

    fn take(&self, replica: &Arc<Replica>, item: Option<ItemRoom>) -> u32 {
        let now = Instant::now();
        let keeper = self.peer_keeping(replica.hash);
        let mut state = self.lock();
        let place = state.held.next_number();
        state.held.take(place, replica.hash, usage_of(item, now));
        let held = state.held.describe(place, now);
        drop(state);
        if let Some(keeper) = keeper {
            let word = SlotWord {
                holder: self.holder,
                held: held.into_iter().collect(),
                ..SlotWord::default()
            };
            self.send(Kind::SlotWord(word), keeper);
        }
        place
    }

    fn release(&self, place: u32) {
        let replica = self.lock().held.release(place);
        if let Some(keeper) = replica.and_then(|replica| self.peer_keeping(replica)) {
            self.tell_released(place, keeper);
        }
    }

    fn is_coordinated(&self, replica: &Replica) -> bool {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return false;
        }
        let service = short_hash(&replica.record.service);
        match self.keeper(service, self.group(replica)) {
            Keeper::Own => true,
            Keeper::Peer(peer) => peer.address.is_some() && !self.is_silent(&peer.id),
            Keeper::Nobody => false,
        }
    }

    fn free_slot(&self, replica: &Arc<Replica>) {
        if self.keeps(replica) {
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

fn millis(time: Duration) -> u32 {
    let time = time.min(LONGEST_SLACK);
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
