//! Answers to peers that ask for a lease in a group that this daemon keeps.

use std::net::SocketAddr;
use std::time::Duration;

use harrierward_serving::{Choice, Location, Prompt, PromptLength, PromptPart, ROOMY_PERMILLE};
use harrierward_slots::{GroupId, SlotUse};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{SlotAsk, SlotGrant, node_datagram::Kind};
use tokio::time::Instant;

use super::asking::millis;
use super::granting::Asker;
use super::{Coordinator, SlotService, layout};

impl SlotService {
    /// Answers a peer that asks for a lease.
    pub(super) fn take_ask(&self, ask: &SlotAsk, from: SocketAddr) {
        let grant = self.answer(ask, from);
        self.send(Kind::SlotGrant(grant), from);
    }

    fn answer(&self, ask: &SlotAsk, from: SocketAddr) -> SlotGrant {
        let none = no_grant(ask);
        self.take_fleet(ask);
        let given = self.lock().ledger.replica_of(ask.holder, ask.lease);
        let view = self.replicas.view();
        let not_coordinator = SlotGrant {
            not_coordinator: true,
            ..none.clone()
        };
        let Some((service, _)) = view.service_by_hash(ask.service) else {
            return not_coordinator;
        };
        let group = GroupId {
            area: ask.group_area,
            number: ask.group,
        };
        let layout = layout(&view, service, self.costs.policy);
        if !layout.contains(group) || self.coordinator(ask.service, group) != Coordinator::Own {
            return not_coordinator;
        }
        if let Some(replica) = given {
            // The answer may have been lost: the request is counted once more rather than not at all.
            let known = view.by_hash(replica);
            let counted = known.map(|known| self.count_cold(service, group, known));
            return SlotGrant {
                replica,
                counted_cold: matches!(counted, Some(Ok(Some(_)))),
                ..none
            };
        }
        self.answer_first(ask, from, service, group)
    }

    /// Answers a question that comes for the first time, about a group that this daemon keeps.
    fn answer_first(
        &self,
        ask: &SlotAsk,
        from: SocketAddr,
        service: &str,
        group: GroupId,
    ) -> SlotGrant {
        let none = no_grant(ask);
        let all_cold = SlotGrant {
            all_cold: true,
            ..none.clone()
        };
        let Some(choice) = self.choose_for(ask, service, group) else {
            if self.is_all_cold(&self.usable(&self.index(), service, group)) {
                return all_cold;
            }
            return none;
        };
        if ask.spilled && choice.free_permille < ROOMY_PERMILLE {
            return SlotGrant {
                free_permille: choice.free_permille,
                load: choice.load,
                ..none
            };
        }
        if let Some(after) = self.peer_comes_back_after(ask, service, group, &choice) {
            return SlotGrant {
                come_back_ms: millis(after).max(1),
                free_permille: choice.free_permille,
                ..none
            };
        }
        let Ok(cold_until) = self.count_cold(service, group, &choice.replica) else {
            return all_cold;
        };
        self.enter_lease(ask, from, service, group, &choice);
        SlotGrant {
            replica: choice.replica.hash,
            copy_from: choice.copy_from.as_ref().map_or(0, |source| source.hash),
            load: choice.load,
            free_permille: choice.free_permille,
            counted_cold: cold_until.is_some(),
            ..none
        }
    }

    fn choose_for(&self, ask: &SlotAsk, service: &str, group: GroupId) -> Option<Choice> {
        let asker = Asker {
            location: Location {
                zone: ask.zone,
                region: ask.region,
            },
            is_excluded: &|replica| ask.excluded.contains(&replica.hash),
            is_connected: &|replica| ask.connected.contains(&replica.hash),
            is_suspected: &|replica| ask.suspected.contains(&replica.hash),
            prompt: &prompt_of(ask),
            regions: &regions_of(ask),
            length: length_of(ask),
            is_item: ask.item.is_some(),
            is_overdue: ask.overdue && !self.claim_return(service, group),
            may_repeat: ask.may_repeat,
        };
        self.choose(service, group, &asker)
    }

    fn peer_comes_back_after(
        &self,
        ask: &SlotAsk,
        service: &str,
        group: GroupId,
        choice: &Choice,
    ) -> Option<Duration> {
        if ask.item.is_some() {
            return None;
        }
        let objective = Duration::from_millis(u64::from(ask.objective_ms));
        let may_return = Duration::from_millis(u64::from(ask.may_return_ms));
        let may_return = Some(may_return).filter(|longest| !longest.is_zero());
        self.come_back_after(service, group, choice, objective, may_return)
    }

    /// Enters a peer's lease, and makes room for it.
    fn enter_lease(
        &self,
        ask: &SlotAsk,
        from: SocketAddr,
        service: &str,
        group: GroupId,
        choice: &Choice,
    ) {
        let now = Instant::now();
        let usage = match &ask.item {
            None => SlotUse::Online,
            Some(item) => SlotUse::Batch {
                due: now + Duration::from_millis(u64::from(item.slack_ms)),
            },
        };
        let replica = &choice.replica;
        self.lock()
            .ledger
            .grant(ask.holder, from, ask.lease, replica.hash, usage, now);
        self.publish();
        self.note_granted(service, group, replica, (ask.holder, ask.lease));
        self.make_room(choice, usage);
        replica.note_prompt(&prompt_of(ask));
    }
}

/// The answer to a question that gets nothing.
fn no_grant(ask: &SlotAsk) -> SlotGrant {
    SlotGrant {
        lease: ask.lease,
        ..SlotGrant::default()
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

fn regions_of(ask: &SlotAsk) -> AllowedRegions {
    ask.allowed_regions
        .as_ref()
        .map_or(AllowedRegions::Any, |allowed| {
            AllowedRegions::only(allowed.names.iter().cloned())
        })
}

fn length_of(ask: &SlotAsk) -> PromptLength {
    match ask.length {
        1 => PromptLength::Short,
        2 => PromptLength::Long,
        _ => PromptLength::Alike,
    }
}
