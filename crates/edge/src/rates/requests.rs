//! Token requests to the coordinator of a tenant, or to its fallback.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_serving::Location;
use harrierward_tenants::{RateDecision, Tenant, TokenPool};
use harrierward_wire::{RateAsk, RateOutcome, node_datagram};
use tokio::time::Instant;

use super::{MAX_POOLS, RateService};
use crate::calls::{CallTimeouts, PeerLocation};
use crate::rendezvous::top_two;
use crate::slots::CoordinatorCandidate;

/// Timeouts of a token request, before the measured round trip is added. They cover the response time of a busy peer;
/// the longest wait of one call is less than half of an objective of 200 ms.
const TIMEOUTS: CallTimeouts = CallTimeouts {
    resend_after: Duration::from_millis(18),
    timeout: Duration::from_millis(45),
    max_timeout: Duration::from_millis(95),
};

/// How long a coordinator that didn't reply is skipped.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Longest wait for an unresponsive coordinator after which the same request is still sent to the fallback.
const MAX_FIRST_WAIT: Duration = Duration::from_millis(60);

/// The result of a token request.
pub(super) enum TokenReply {
    Granted,
    Exhausted(Duration),
    /// The member doesn't coordinate the tenant, doesn't know it, or can't grant its tokens yet. Holds the
    /// coordinator's address if that is another member and its address is known.
    NotCoordinator(Option<SocketAddr>),
    NoReply,
}

impl RateService {
    /// Takes a token from the local pool. The error holds the time after which the caller may retry, if the coordinator
    /// refused a request recently.
    pub(super) fn take_from_pool(
        &self,
        tenant: &Tenant,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let mut state = self.lock();
        if state.pools.len() >= MAX_POOLS {
            state.pools.retain(|_, pool| !pool.is_idle(now));
        }
        let pool = state.pools.entry(tenant.name.clone()).or_default();
        pool.note_request(now);
        if pool.take(now) {
            return Ok(());
        }
        Err(pool.refusal(now))
    }

    fn build_request(&self, tenant: &Tenant, unresponsive: &str, now: Instant) -> RateAsk {
        let (fleet_members, fleet_seen_ms_ago) = self.fleet.describe(now);
        let state = self.lock();
        let pool = state.pools.get(&tenant.name);
        let wanted = pool.map_or(1, TokenPool::wanted);
        RateAsk {
            number: self.next_call.fetch_add(1, Ordering::Relaxed),
            tenant: tenant.name.to_string(),
            wanted,
            fleet_members,
            fleet_seen_ms_ago,
            silent: unresponsive.to_owned(),
        }
    }

    /// Requests the recent fleet size from another member, once, before this daemon grants its first token.
    async fn fetch_fleet_size(&self, tenant: &Tenant, other: Option<&CoordinatorCandidate>) {
        if self.lock().fleet_size_reported {
            return;
        }
        if let Some(address) = other.and_then(|other| other.address) {
            // Since it doesn't coordinate the tenant, its reply carries the fleet size but no tokens.
            let _ = self.request_tokens(tenant, address, "").await;
        }
        self.lock().fleet_size_reported = true;
    }

    /// Returns the location of the member with this address, relative to this daemon.
    fn location_of(&self, address: SocketAddr) -> PeerLocation {
        let members = self.members.load();
        let own = members.iter().find(|member| member.id == self.instance_id);
        let peer = members
            .iter()
            .find(|member| member.address == Some(address));
        let peer = peer.map_or_else(Location::default, |peer| peer.location);
        PeerLocation::from(own.map_or(peer, |own| own.location), peer)
    }

    /// Requests tokens from an address, naming the coordinator that is unresponsive here, if any. Tokens beyond the one
    /// for this request go to the local pool.
    async fn request_tokens(
        &self,
        tenant: &Tenant,
        address: SocketAddr,
        unresponsive: &str,
    ) -> TokenReply {
        let requested_at = harrierward_clock::now();
        let request = self.build_request(tenant, unresponsive, requested_at);
        let location = self.location_of(address);
        let send = || self.send(node_datagram::Kind::RateAsk(request.clone()), address);
        let Some(grant) = self
            .calls
            .call(request.number, location, TIMEOUTS, send)
            .await
        else {
            return TokenReply::NoReply;
        };
        self.merge_fleet_size(grant.fleet_members, grant.fleet_seen_ms_ago);
        let mut state = self.lock();
        let pool = state.pools.entry(tenant.name.clone()).or_default();
        match grant.outcome() {
            RateOutcome::Granted => {
                pool.add(grant.tokens.saturating_sub(1), requested_at);
                TokenReply::Granted
            }
            RateOutcome::Empty => {
                let retry_after = Duration::from_millis(u64::from(grant.retry_after_ms));
                pool.note_refusal(retry_after, harrierward_clock::now());
                TokenReply::Exhausted(retry_after)
            }
            RateOutcome::NotCoordinator => {
                TokenReply::NotCoordinator(grant.coordinator.parse().ok())
            }
        }
    }

    /// Requests a token from the coordinator or, if it is unresponsive, from its fallback; returns the id of the member
    /// used.
    pub(super) async fn request_from_coordinators(&self, tenant: &Tenant) -> (String, TokenReply) {
        let members = self.members.load_full();
        let [Some(coordinator), fallback] = top_two(&tenant.name, &members) else {
            return (String::new(), TokenReply::NoReply);
        };
        if coordinator.id == self.instance_id {
            self.fetch_fleet_size(tenant, fallback).await;
            return (coordinator.id.clone(), self.grant_to_self(tenant));
        }
        let began = harrierward_clock::now();
        if !self.is_unresponsive(&coordinator.id) {
            let reply = match self.request_from_member(tenant, coordinator, "").await {
                TokenReply::NotCoordinator(Some(other)) if coordinator.address != Some(other) => {
                    self.request_tokens(tenant, other, "").await
                }
                reply => reply,
            };
            let is_timed_out = harrierward_clock::age(began) > MAX_FIRST_WAIT;
            if is_timed_out || !matches!(reply, TokenReply::NoReply) {
                return (coordinator.id.clone(), reply);
            }
        }
        let Some(fallback) = fallback else {
            return (coordinator.id.clone(), TokenReply::NoReply);
        };
        let reply = self
            .request_from_fallback(tenant, coordinator, fallback)
            .await;
        (fallback.id.clone(), reply)
    }

    /// Requests a token from the fallback of an unresponsive coordinator, which may be this daemon.
    async fn request_from_fallback(
        &self,
        tenant: &Tenant,
        coordinator: &CoordinatorCandidate,
        fallback: &CoordinatorCandidate,
    ) -> TokenReply {
        if fallback.id == self.instance_id {
            return match self.grant_as_fallback(tenant, &coordinator.id) {
                true => TokenReply::Granted,
                false => TokenReply::NoReply,
            };
        }
        if self.is_unresponsive(&fallback.id) {
            return TokenReply::NoReply;
        }
        match self
            .request_from_member(tenant, fallback, &coordinator.id)
            .await
        {
            TokenReply::NotCoordinator(Some(other)) if coordinator.address != Some(other) => {
                self.request_tokens(tenant, other, "").await
            }
            // Includes the refusal of a member that still considers the unresponsive one the coordinator.
            reply => reply,
        }
    }

    /// Requests tokens from a member and marks it unresponsive if it doesn't reply.
    async fn request_from_member(
        &self,
        tenant: &Tenant,
        member: &CoordinatorCandidate,
        unresponsive: &str,
    ) -> TokenReply {
        let Some(address) = member.address else {
            return TokenReply::NoReply;
        };
        let reply = self.request_tokens(tenant, address, unresponsive).await;
        if matches!(reply, TokenReply::NoReply) {
            let until = harrierward_clock::now() + UNRESPONSIVE_COOLDOWN;
            self.lock()
                .unresponsive_until
                .insert(member.id.clone(), until);
        }
        reply
    }

    fn is_unresponsive(&self, member: &str) -> bool {
        let state = self.lock();
        let until = state.unresponsive_until.get(member);
        until.is_some_and(|until| harrierward_clock::now() < *until)
    }

    fn grant_to_self(&self, tenant: &Tenant) -> TokenReply {
        match self.grant(tenant, 1) {
            Some(RateDecision::Granted { .. }) => TokenReply::Granted,
            Some(RateDecision::Exhausted { retry_after }) => TokenReply::Exhausted(retry_after),
            None => TokenReply::NoReply,
        }
    }
}
