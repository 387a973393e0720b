//! Lease requests to a group's coordinator and the handling of its reply.

use std::net::SocketAddr;
use std::time::Duration;

use harrierward_serving::{
    Choice, ChosenBy, CrossRegionReason, PromptLength, SlotQuery, SlotReply, SoftwareVersion,
    short_hash,
};
use harrierward_slots::{COLD_GRANT_LIFETIME, GroupId, HOLDER_LIFETIME};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{
    ItemSlotAsk, LeaseOutcome, OutcomeKind, PromptPartRow, RegionNames, SlotAsk, SlotGrant,
    SlotReport, node_datagram::Kind,
};
use tokio::time::Instant;

use crate::calls::{CallTimeouts, PeerLocation};

use super::group_selection::Target;
use super::{Coordinator, CoordinatorCandidate, MAX_SLACK, SlotService, usage_of};

/// Fractions (one over each) of a request's objective: time until the resend, timeout, and the upper bound of the
/// timeout plus the measured round trip.
const RESEND_DIVISOR: u32 = 25;
const TIMEOUT_DIVISOR: u32 = 10;
pub(super) const MAX_WAIT_DIVISOR: u32 = 3;

/// Bounds of the timeout for a coordinator's reply, before the round trip is added.
const MIN_TIMEOUT: Duration = Duration::from_millis(15);
const MAX_TIMEOUT: Duration = Duration::from_millis(60);

/// Most replicas with an idle connection that a lease request names, at four bytes each.
const MAX_CONNECTED: usize = 16;

/// A lease request in flight; dropped without a reply, it releases the lease at the coordinator.
struct PendingRequest<'a> {
    service: &'a SlotService,
    lease: u32,
    coordinator: SocketAddr,
    replied: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.held.stop_waiting(self.lease);
        drop(state);
        if !self.replied {
            // The coordinator may have granted the lease.
            self.service.report_released(self.lease, self.coordinator);
        }
    }
}

impl SlotService {
    pub(super) async fn request_from_group(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        target: Target,
    ) -> SlotReply {
        let group = target.group;
        let mut reply = match self.coordinator(service, group) {
            Coordinator::Unknown => SlotReply::NoCoordinator,
            Coordinator::Own => {
                let reply = self.grant_own(query, group);
                self.note_own_capacity(query, service, group, &reply);
                reply
            }
            Coordinator::Peer(peer) => self.request_from_peer(query, service, target, &peer).await,
        };
        if let SlotReply::Granted { choice, .. } = &mut reply {
            let is_other_region = choice.replica.location.region != self.location.region;
            let why = target.left_region.unwrap_or(CrossRegionReason::Price);
            choice.left_region = is_other_region.then_some(why);
        }
        reply
    }

    async fn request_from_peer(
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
        if self.is_unresponsive(&coordinator.id) {
            return SlotReply::NoCoordinator;
        }
        let lease = {
            let mut state = self.lock();
            let lease = state.held.next_number();
            state.held.wait_for(lease);
            lease
        };
        let mut pending = PendingRequest {
            service: self,
            lease,
            coordinator: address,
            replied: false,
        };
        let mut request = self.build_request(query, service, group, lease);
        self.add_fleet_size(&mut request);
        let requested_at = harrierward_clock::now();
        request.spilled = target.left_region == Some(CrossRegionReason::Full);
        let timeout = query.objective / TIMEOUT_DIVISOR;
        let timeout = timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        let timeouts = CallTimeouts {
            resend_after: timeout * TIMEOUT_DIVISOR / RESEND_DIVISOR,
            timeout,
            max_timeout: query.objective / MAX_WAIT_DIVISOR,
        };
        let send = || self.send(Kind::SlotAsk(request.clone()), address);
        let mut location = PeerLocation::from(self.location, coordinator.location);
        // A spilled request can fall back to its own region, so it doesn't wait longer for an unmeasured peer; a late
        // reply still yields the round-trip time.
        location.is_remote_region &= !request.spilled;
        let Some(grant) = self.calls.call(lease, location, timeouts, send).await else {
            drop(pending);
            self.note_unresponsive(&coordinator.id);
            return SlotReply::NoCoordinator;
        };
        pending.replied = true;
        drop(pending);
        self.note_reply(&coordinator.id);
        self.note_reported_cold((service, group), grant.all_cold);
        if !grant.all_cold && !grant.is_probe {
            self.note_capacity(query, service, group, &grant);
        }
        self.apply_grant(query, lease, &grant, address, requested_at)
    }

    fn apply_grant(
        &self,
        query: &SlotQuery<'_>,
        lease: u32,
        grant: &SlotGrant,
        coordinator: SocketAddr,
        requested_at: Instant,
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
        if harrierward_clock::age(requested_at) >= HOLDER_LIFETIME {
            // Timers stop during a suspension, so the timeout may not have fired. The coordinator may have expired the
            // lease meanwhile and granted its slot again.
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
        let cold_until = grant
            .counted_cold
            .then(|| requested_at + COLD_GRANT_LIFETIME);
        if replica.is_cold(now) && cold_until.is_none() {
            // This daemon learned before the coordinator that the replica is cold.
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

    fn build_request(
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
        let connected = connected.map(|replica| replica.hash).take(MAX_CONNECTED);
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
            version: query.version.map(SoftwareVersion::hash),
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

    /// Releases a lease at the coordinator that was or may have been granted, with the outcome that nothing was sent.
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

    /// Returns the address of the peer that coordinates a replica's group; `None` if this daemon does or there is none.
    pub(super) fn peer_coordinating(&self, replica: u32) -> Option<SocketAddr> {
        let view = self.replicas.view();
        let replica = view.by_hash(replica)?;
        let service = short_hash(&replica.record.service);
        match self.coordinator(service, self.group(replica)) {
            Coordinator::Peer(peer) => peer.address,
            Coordinator::Own | Coordinator::Unknown => None,
        }
    }
}

pub(super) fn millis(time: Duration) -> u32 {
    let time = time.min(MAX_SLACK);
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the allowed regions for a lease request; `None` if all are allowed.
fn region_names(regions: &AllowedRegions) -> Option<RegionNames> {
    match regions {
        AllowedRegions::Any => None,
        AllowedRegions::Only(names) => Some(RegionNames {
            names: names.to_vec(),
        }),
    }
}
