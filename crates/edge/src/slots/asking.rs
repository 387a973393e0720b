//! One question to a group's coordinator, and what its answer means.

use std::net::SocketAddr;
use std::time::Duration;

use harrierward_serving::{
    Choice, ChosenBy, CrossRegionReason, PromptLength, SlotQuery, SlotReply, short_hash,
};
use harrierward_slots::{COLD_GRANT_LIFETIME, GroupId, HOLDER_LIFETIME};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{
    ItemSlotAsk, LeaseOutcome, OutcomeKind, PromptPartRow, RegionNames, SlotAsk, SlotGrant,
    SlotReport, node_datagram::Kind,
};
use tokio::time::Instant;

use crate::calls::{CallTimeouts, PeerLocation};

use super::choosing_group::Target;
use super::{Coordinator, CoordinatorCandidate, LONGEST_SLACK, SlotService, usage_of};

/// Parts of a request's objective after which a coordinator is asked again, and given up; the way to it is added, up to
/// the last part.
const ASK_AGAIN_PART: u32 = 25;
const GIVE_UP_PART: u32 = 10;
pub(super) const LONGEST_PART: u32 = 3;

/// Bounds of the patience with a coordinator, beside the way to it.
const LEAST_PATIENCE: Duration = Duration::from_millis(15);
const MOST_PATIENCE: Duration = Duration::from_millis(60);

/// Replicas with a kept connection that a question names at the most: four bytes each.
const MOST_CONNECTED: usize = 16;

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
    pub(super) async fn ask_group(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        target: Target,
    ) -> SlotReply {
        let group = target.group;
        let mut answer = match self.coordinator(service, group) {
            Coordinator::Nobody => SlotReply::NoCoordinator,
            Coordinator::Own => {
                let answer = self.place_own(query, group);
                self.note_own_room(query, service, group, &answer);
                answer
            }
            Coordinator::Peer(peer) => self.ask_peer(query, service, target, &peer).await,
        };
        if let SlotReply::Granted { choice, .. } = &mut answer {
            let is_away = choice.replica.location.region != self.location.region;
            let why = target.left.unwrap_or(CrossRegionReason::Price);
            choice.left_region = is_away.then_some(why);
        }
        answer
    }

    async fn ask_peer(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        target: Target,
        coordinator: &CoordinatorCandidate,
    ) -> SlotReply {
        let group = target.group;
        let Some(address) = coordinator.address else {
            return SlotReply::NoCoordinator;
        };
        if self.is_silent(&coordinator.id) {
            return SlotReply::NoCoordinator;
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
        let mut ask = self.describe_ask(query, service, group, lease);
        self.tell_fleet(&mut ask);
        let asked_at = harrierward_clock::now();
        ask.spilled = target.left == Some(CrossRegionReason::Full);
        let give_up = query.objective / GIVE_UP_PART;
        let give_up = give_up.clamp(LEAST_PATIENCE, MOST_PATIENCE);
        let patience = CallTimeouts {
            resend_after: give_up * GIVE_UP_PART / ASK_AGAIN_PART,
            timeout: give_up,
            max_timeout: query.objective / LONGEST_PART,
        };
        let send = || self.send(Kind::SlotAsk(ask.clone()), address);
        let mut place = PeerLocation::from(self.location, coordinator.location);
        // Not for a request that has a place at home: the late answer tells the next one how long the way is.
        place.is_remote_region &= !ask.spilled;
        let Some(grant) = self.calls.call(lease, place, patience, send).await else {
            drop(awaiting);
            self.note_silent(&coordinator.id);
            return SlotReply::NoCoordinator;
        };
        awaiting.answered = true;
        drop(awaiting);
        self.note_heard(&coordinator.id);
        self.note_told_cold((service, group), grant.all_cold);
        if !grant.all_cold && !grant.is_probe {
            self.note_room(query, service, group, &grant);
        }
        self.take_grant(query, lease, &grant, address, asked_at)
    }

    fn take_grant(
        &self,
        query: &SlotQuery<'_>,
        lease: u32,
        grant: &SlotGrant,
        coordinator: SocketAddr,
        asked_at: Instant,
    ) -> SlotReply {
        if grant.all_cold {
            return SlotReply::AllCold;
        }
        let may_wait = query.item.is_some() || query.overdue;
        let none = if may_wait && !grant.not_coordinator {
            SlotReply::NoCapacity
        } else {
            SlotReply::NoCoordinator
        };
        if grant.come_back_ms > 0 {
            return SlotReply::RetryLater {
                after: Duration::from_millis(u64::from(grant.come_back_ms)),
            };
        }
        if grant.replica == 0 {
            return none;
        }
        if harrierward_clock::age(asked_at) >= HOLDER_LIFETIME {
            // The patience is kept by timers, which stand still during a suspension. The coordinator may have forgotten
            // the lease since, and given its slot to others.
            self.report_released(lease, coordinator);
            return none;
        }
        let view = self.replicas.view();
        let replica = view.by_hash(grant.replica);
        let Some(replica) = replica.filter(|replica| replica.accepts_work()) else {
            self.report_released(lease, coordinator);
            return none;
        };
        let now = harrierward_clock::now();
        let cold_until = grant.counted_cold.then(|| asked_at + COLD_GRANT_LIFETIME);
        if replica.is_cold(now) && cold_until.is_none() {
            // This daemon has heard sooner than the coordinator that the replica is cold.
            self.report_released(lease, coordinator);
            return SlotReply::AllCold;
        }
        let usage = usage_of(query.item, now);
        self.lock().held.take(lease, replica.hash, usage);
        SlotReply::Granted {
            choice: Choice {
                replica: replica.clone(),
                by: ChosenBy::Coordinator,
                load: grant.load,
                free_permille: grant.free_permille,
                cold_until,
                left_region: None,
                is_probe: grant.is_probe,
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
        let view = self.replicas.view();
        let excluded = query.excluded.iter();
        let excluded = excluded.filter_map(|id| Some(view.get(id)?.hash));
        let item = query.item.map(|item| ItemSlotAsk {
            slack_ms: millis(item.slack),
        });
        SlotAsk {
            holder: self.holder,
            lease,
            service,
            group: group.number,
            group_area: group.area,
            zone: self.location.zone,
            region: self.location.region,
            allowed_regions: region_names(query.regions),
            parts: parts.collect(),
            length: match query.length {
                PromptLength::Uniform => 0,
                PromptLength::Short => 1,
                PromptLength::Long => 2,
            },
            excluded: excluded.collect(),
            suspected: suspected.map(|replica| replica.hash).collect(),
            item,
            overdue: query.overdue,
            spilled: false,
            may_repeat: query.may_repeat,
            objective_ms: millis(query.objective),
            may_return_ms: query.max_retry_after.map_or(0, millis),
            connected: connected.collect(),
            fleet_members: 0,
            fleet_seen_ms_ago: 0,
        }
    }

    /// A lease that was or may have been given out is not needed: nothing was sent under it.
    fn report_released(&self, lease: u32, coordinator: SocketAddr) {
        let outcome = LeaseOutcome {
            lease,
            kind: OutcomeKind::NotSent.into(),
            ..LeaseOutcome::default()
        };
        let report = SlotReport {
            holder: self.holder,
            released: vec![lease],
            outcomes: vec![outcome],
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
