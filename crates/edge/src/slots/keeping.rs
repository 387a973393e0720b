//! The groups that this daemon keeps: giving out places, taking the holders' words, ending items.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{
    Choice, ChoiceQuery, ChosenBy, Mechanism, PlaceAnswer, PlaceQuery, Prompt, PromptLength,
    PromptPart, Replica, WorkClass, choose_replica, short_hash,
};
use harrierward_slots::{GroupId, PlaceUse};
use harrierward_wire::{SlotAsk, SlotGrant, SlotWord, YieldRequest, node_datagram::Kind};
use tokio::time::Instant;

use super::{Keeper, SlotService, class_of, layout, usage_of};

/// Ticks of the membership between two whole words to a keeper.
const WORD_TICKS: u64 = 4;

/// Who asks for a place of an own group.
struct Asker<'a> {
    zone_hash: u32,
    is_excluded: &'a dyn Fn(&Replica) -> bool,
    is_connected: &'a dyn Fn(&Replica) -> bool,
    is_suspected: &'a dyn Fn(&Replica) -> bool,
    prompt: &'a Prompt,
    length: PromptLength,
    is_item: bool,
    is_overdue: bool,
}

impl SlotService {
    /// Chooses a replica of an own group by exact counts.
    fn choose(&self, service: &str, group: GroupId, asker: &Asker<'_>) -> Option<Choice> {
        let view = self.replicas.view();
        let layout = layout(&view, service, self.costs.policy);
        let is_in_group =
            |replica: &Arc<Replica>| layout.group_of(replica.hash, replica.zone_hash) == group;
        let usable = view.usable(service).into_iter().filter(is_in_group);
        let query = ChoiceQuery {
            is_own_zone: &|replica| replica.zone_hash == asker.zone_hash,
            prompt: asker.prompt,
            length: asker.length,
            is_excluded: asker.is_excluded,
            is_connected: asker.is_connected,
            is_suspected: asker.is_suspected,
            is_item: asker.is_item,
            is_overdue: asker.is_overdue,
            most_candidates: usize::MAX,
        };
        let choice = choose_replica(&view, usable.collect(), &self.costs, &query);
        choice.map(|choice| Choice {
            by: ChosenBy::Keeper,
            ..choice
        })
    }

    /// A place for a request of this daemon's own, in a group that it keeps.
    pub(super) fn place_own(&self, query: &PlaceQuery<'_>, group: GroupId) -> PlaceAnswer {
        let asker = Asker {
            zone_hash: self.zone_hash,
            is_excluded: &|replica| query.excluded.contains(&replica.record.id),
            is_connected: &|replica| self.is_connected(replica),
            is_suspected: &|replica| replica.is_suspected(),
            prompt: query.prompt,
            length: query.length,
            is_item: query.item.is_some(),
            is_overdue: query.overdue,
        };
        let Some(choice) = self.choose(query.service, group, &asker) else {
            return if query.item.is_some() || query.overdue {
                PlaceAnswer::NoRoom
            } else {
                PlaceAnswer::NoKeeper
            };
        };
        let usage = usage_of(query.item, Instant::now());
        let place = {
            let mut state = self.lock();
            let place = state.held.next_number();
            state.held.take(place, choice.replica.hash, usage);
            place
        };
        self.make_room(&choice, usage);
        PlaceAnswer::Given { choice, place }
    }

    /// An online request was given a place where all are taken: an item ends for it.
    fn make_room(&self, choice: &Choice, usage: PlaceUse) {
        let replica = &choice.replica;
        let may_preempt = self.costs.policy.has(Mechanism::Preemption);
        let online = may_preempt && class_of(usage) == WorkClass::Online;
        if online && choice.load >= replica.slots() && replica.batch() > 0 {
            self.end_an_item(replica);
        }
    }

    /// The item at the replica with most time left gives its place back.
    pub(super) fn end_an_item(&self, replica: &Arc<Replica>) {
        let now = Instant::now();
        let (own, peers) = {
            let state = self.lock();
            let own = state.held.most_slack(replica.hash, now);
            (own, state.ledger.most_slack(replica.hash, now))
        };
        let own_first = match (&own, &peers) {
            (Some((_, own)), Some(peers)) => *own >= peers.slack,
            (own, _) => own.is_some(),
        };
        let own = own.filter(|_| own_first);
        let slack = own.map(|(_, slack)| slack);
        if let Some(slack) = slack.or(peers.map(|ended| ended.slack)) {
            self.log_end(replica, slack, own.is_none());
        }
        if let (Some((place, _)), Some(items)) = (own, self.yielding.get()) {
            self.lock().held.release(place);
            items.yield_place(place);
        } else if let Some(ended) = peers {
            self.lock().ledger.note_ending(ended, now);
            self.publish();
            let request = YieldRequest {
                replica: replica.hash,
                slots: 1,
                place: ended.place,
            };
            self.send(Kind::YieldRequest(request), ended.holder);
        }
    }

    fn log_end(&self, replica: &Replica, slack: Duration, of_peer: bool) {
        self.log.record(&Record::ItemEndOrdered {
            replica: &replica.record.id,
            online: replica.online(),
            batch: replica.batch(),
            slots: replica.slots(),
            slack_ms: u64::try_from(slack.as_millis()).unwrap_or(u64::MAX),
            of_peer,
        });
    }

    /// Answers a peer that asks for a place.
    pub(super) fn take_ask(&self, ask: &SlotAsk, from: SocketAddr) {
        let grant = self.answer(ask, from);
        self.send(Kind::SlotGrant(grant), from);
    }

    fn answer(&self, ask: &SlotAsk, from: SocketAddr) -> SlotGrant {
        let none = SlotGrant {
            place: ask.place,
            ..SlotGrant::default()
        };
        let given = self.lock().ledger.replica_of(ask.holder, ask.place);
        if let Some(replica) = given {
            return SlotGrant { replica, ..none };
        }
        let view = self.replicas.view();
        let Some((service, _)) = view.service_by_hash(ask.service) else {
            return SlotGrant {
                not_keeper: true,
                ..none
            };
        };
        let group = GroupId {
            zone: ask.group_zone,
            number: ask.group,
        };
        let layout = layout(&view, service, self.costs.policy);
        if !layout.contains(group) || self.keeper(ask.service, group) != Keeper::Own {
            return SlotGrant {
                not_keeper: true,
                ..none
            };
        }
        let prompt = prompt_of(ask);
        let asker = Asker {
            zone_hash: ask.zone,
            is_excluded: &|replica| ask.excluded.contains(&replica.hash),
            is_connected: &|replica| ask.connected.contains(&replica.hash),
            is_suspected: &|replica| ask.suspected.contains(&replica.hash),
            prompt: &prompt,
            length: length_of(ask),
            is_item: ask.item.is_some(),
            is_overdue: ask.overdue,
        };
        let Some(choice) = self.choose(service, group, &asker) else {
            return none;
        };
        let now = Instant::now();
        let usage = match &ask.item {
            None => PlaceUse::Online,
            Some(item) => PlaceUse::Batch {
                due: now + Duration::from_millis(u64::from(item.slack_ms)),
            },
        };
        let replica = choice.replica.hash;
        self.lock()
            .ledger
            .grant(ask.holder, from, ask.place, replica, usage, now);
        self.publish();
        self.make_room(&choice, usage);
        choice.replica.note_prompt(&prompt);
        SlotGrant {
            replica,
            copy_from: choice.copy_from.as_ref().map_or(0, |source| source.hash),
            load: choice.load,
            free_permille: choice.free_permille,
            ..none
        }
    }

    /// A keeper, or a daemon that found none, wants items of this daemon to end.
    fn take_yield(&self, request: &YieldRequest) {
        let Some(items) = self.yielding.get() else {
            return;
        };
        if request.place > 0 {
            items.yield_place(request.place);
            return;
        }
        let view = self.replicas.view();
        if let Some(replica) = view.by_hash(request.replica) {
            items.yield_at(&replica.record.id, request.slots);
        }
    }

    /// Takes what a holder says of its places.
    pub(super) fn take_word(&self, word: &SlotWord, from: SocketAddr) {
        self.lock().ledger.take_word(word, from, Instant::now());
        self.publish();
    }

    /// Brings the replicas' counts of other daemons' requests up to date.
    fn publish(&self) {
        let mut state = self.lock();
        let changed = state.ledger.take_changed();
        if changed.is_empty() {
            return;
        }
        let counts: Vec<_> = changed
            .into_iter()
            .map(|replica| (replica, state.ledger.counts(replica)))
            .collect();
        drop(state);
        let view = self.replicas.view();
        for (hash, counts) in counts {
            if let Some(replica) = view.by_hash(hash).filter(|replica| self.keeps(replica)) {
                replica.set_peers(counts.online, counts.batch);
            }
        }
    }

    /// Driven by the membership's tick: forgets silent holders, and tells keepers what is held.
    pub fn tick(&self) {
        let now = Instant::now();
        let due = {
            let mut state = self.lock();
            state.ledger.expire(now);
            state.ticks += 1;
            state.ticks.is_multiple_of(WORD_TICKS)
        };
        self.publish();
        if due {
            self.tell_keepers(now);
        }
    }

    fn tell_keepers(&self, now: Instant) {
        let view = self.replicas.view();
        let mut kept_by: HashMap<SocketAddr, Vec<u32>> = HashMap::new();
        for replica in view.all() {
            let service = short_hash(&replica.record.service);
            let layout = layout(&view, &replica.record.service, self.costs.policy);
            let group = layout.group_of(replica.hash, replica.zone_hash);
            if let Keeper::Peer(peer) = self.keeper(service, group)
                && let Some(address) = peer.address
            {
                kept_by.entry(address).or_default().push(replica.hash);
            }
        }
        let mut words = Vec::new();
        {
            let mut state = self.lock();
            for (address, replicas) in &kept_by {
                let word = state
                    .held
                    .whole_word(self.holder, now, |replica| replicas.contains(&replica));
                let before = state.told.insert(*address, word.held.len());
                if !word.held.is_empty() || before.is_some_and(|count| count > 0) {
                    words.push((*address, word));
                }
            }
            state
                .told
                .retain(|address, _| kept_by.contains_key(address));
        }
        for (address, word) in words {
            self.send(Kind::SlotWord(word), address);
        }
    }

    /// Takes a datagram that concerns places; gives back any other.
    pub fn receive(&self, kind: Kind, from: SocketAddr) -> Option<Kind> {
        match kind {
            Kind::SlotAsk(ask) => self.take_ask(&ask, from),
            Kind::SlotGrant(grant) => self.calls.take(grant.place, grant),
            Kind::SlotWord(word) => self.take_word(&word, from),
            Kind::YieldRequest(request) => self.take_yield(&request),
            other => return Some(other),
        }
        None
    }
}

fn prompt_of(ask: &SlotAsk) -> Prompt {
    let parts = ask.parts.iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    Prompt {
        parts: parts.collect(),
        ..Prompt::default()
    }
}

fn length_of(ask: &SlotAsk) -> PromptLength {
    match ask.length {
        1 => PromptLength::Short,
        2 => PromptLength::Long,
        _ => PromptLength::Alike,
    }
}
