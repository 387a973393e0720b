//! Asking for tokens: the coordinator of a tenant, or the member that follows it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_serving::Location;
use harrierward_tenants::{RateDecision, Tenant, TokenPool};
use harrierward_wire::{RateAsk, RateOutcome, node_datagram};
use tokio::time::Instant;

use super::{MOST_STOCKS, RateService};
use crate::calls::{CallTimeouts, PeerLocation};
use crate::order::first_two;
use crate::slots::CoordinatorCandidate;

/// Bounds of a question for tokens: what a busy peer takes to answer, and a whole wait under half of the shortest
/// objective known (200 ms). The way to the peer is measured.
const PATIENCE: CallTimeouts = CallTimeouts {
    resend_after: Duration::from_millis(18),
    timeout: Duration::from_millis(45),
    max_timeout: Duration::from_millis(95),
};

/// How long a coordinator that did not answer is passed over.
const SILENT_FOR: Duration = Duration::from_millis(1_000);

/// Longest wait for a silent coordinator after which the same request still asks the member that follows it: else the
/// caller has waited for too long.
const LONGEST_FIRST_WAIT: Duration = Duration::from_millis(60);

/// What a coordinator said.
pub(super) enum Asked {
    Granted,
    Empty(Duration),
    /// It is another one, perhaps at this address.
    Other(Option<SocketAddr>),
    Silent,
}

impl RateService {
    /// Takes a token from the stock, or says when the caller may come back without asking again.
    pub(super) fn take_from_stock(
        &self,
        tenant: &Tenant,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let mut state = self.lock();
        if state.stocks.len() >= MOST_STOCKS {
            state.stocks.retain(|_, stock| !stock.is_idle(now));
        }
        let stock = state.stocks.entry(tenant.name.clone()).or_default();
        stock.note_request(now);
        if stock.take(now) {
            return Ok(());
        }
        Err(stock.refusal(now))
    }

    fn question(&self, tenant: &Tenant, silent: &str, now: Instant) -> RateAsk {
        let (fleet_members, fleet_seen_ms_ago) = self.fleet.describe(now);
        let state = self.lock();
        let stock = state.stocks.get(&tenant.name);
        let wanted = stock.map_or(1, TokenPool::wanted);
        RateAsk {
            number: self.next_call.fetch_add(1, Ordering::Relaxed),
            tenant: tenant.name.to_string(),
            wanted,
            fleet_members,
            fleet_seen_ms_ago,
            silent: silent.to_owned(),
        }
    }

    /// Lets another member tell how large the fleet was, before this one gives out tokens for the first time.
    async fn be_told(&self, tenant: &Tenant, other: Option<&CoordinatorCandidate>) {
        if self.lock().is_told {
            return;
        }
        if let Some(address) = other.and_then(|other| other.address) {
            // It does not coordinate the tenant, so it answers with what it knows of the fleet and nothing else.
            let _ = self.ask(tenant, address, "").await;
        }
        self.lock().is_told = true;
    }

    /// Where the member with this address is, as seen from here.
    fn place_of(&self, address: SocketAddr) -> PeerLocation {
        let members = self.members.load();
        let own = members.iter().find(|one| one.id == self.life);
        let peer = members.iter().find(|one| one.address == Some(address));
        let peer = peer.map_or_else(Location::default, |peer| peer.location);
        PeerLocation::from(own.map_or(peer, |own| own.location), peer)
    }

    /// Asks a coordinator at an address, or the member that follows one which is `silent` here; keeps what it gives out
    /// beyond the one token for this request.
    async fn ask(&self, tenant: &Tenant, address: SocketAddr, silent: &str) -> Asked {
        let asked_at = harrierward_clock::now();
        let ask = self.question(tenant, silent, asked_at);
        let place = self.place_of(address);
        let send = || self.send(node_datagram::Kind::RateAsk(ask.clone()), address);
        let Some(grant) = self.calls.call(ask.number, place, PATIENCE, send).await else {
            return Asked::Silent;
        };
        self.take_fleet(grant.fleet_members, grant.fleet_seen_ms_ago);
        let mut state = self.lock();
        let stock = state.stocks.entry(tenant.name.clone()).or_default();
        match grant.outcome() {
            RateOutcome::Granted => {
                stock.keep(grant.tokens.saturating_sub(1), asked_at);
                Asked::Granted
            }
            RateOutcome::Empty => {
                let retry_after = Duration::from_millis(u64::from(grant.retry_after_ms));
                stock.note_refusal(retry_after, harrierward_clock::now());
                Asked::Empty(retry_after)
            }
            RateOutcome::NotCoordinator => Asked::Other(grant.coordinator.parse().ok()),
        }
    }

    /// Asks the coordinator; where it is silent, the member that follows it.
    pub(super) async fn ask_coordinators(&self, tenant: &Tenant) -> (String, Asked) {
        let members = self.members.load_full();
        let [Some(first), second] = first_two(&tenant.name, &members) else {
            return (String::new(), Asked::Silent);
        };
        if first.id == self.life {
            self.be_told(tenant, second).await;
            return (first.id.clone(), self.give_out_to_self(tenant));
        }
        let began = harrierward_clock::now();
        if !self.is_silent(&first.id) {
            let asked = match self.ask_member(tenant, first, "").await {
                Asked::Other(Some(other)) if first.address != Some(other) => {
                    self.ask(tenant, other, "").await
                }
                asked => asked,
            };
            let is_late = harrierward_clock::age(began) > LONGEST_FIRST_WAIT;
            if is_late || !matches!(asked, Asked::Silent) {
                return (first.id.clone(), asked);
            }
        }
        let Some(second) = second else {
            return (first.id.clone(), Asked::Silent);
        };
        let asked = self.ask_second(tenant, first, second).await;
        (second.id.clone(), asked)
    }

    /// Asks the member that follows a silent coordinator, which may be this one.
    async fn ask_second(
        &self,
        tenant: &Tenant,
        first: &CoordinatorCandidate,
        second: &CoordinatorCandidate,
    ) -> Asked {
        if second.id == self.life {
            return match self.stand_in(tenant, &first.id) {
                true => Asked::Granted,
                false => Asked::Silent,
            };
        }
        if self.is_silent(&second.id) {
            return Asked::Silent;
        }
        match self.ask_member(tenant, second, &first.id).await {
            Asked::Other(Some(other)) if first.address != Some(other) => {
                self.ask(tenant, other, "").await
            }
            // It still takes the first, which is silent here, for the coordinator, and may not stand in for it.
            asked => asked,
        }
    }

    /// Asks a member; remembers it as silent if it does not answer.
    async fn ask_member(
        &self,
        tenant: &Tenant,
        member: &CoordinatorCandidate,
        silent: &str,
    ) -> Asked {
        let Some(address) = member.address else {
            return Asked::Silent;
        };
        let asked = self.ask(tenant, address, silent).await;
        if matches!(asked, Asked::Silent) {
            let until = harrierward_clock::now() + SILENT_FOR;
            self.lock().silent_until.insert(member.id.clone(), until);
        }
        asked
    }

    fn is_silent(&self, member: &str) -> bool {
        let state = self.lock();
        let until = state.silent_until.get(member);
        until.is_some_and(|until| harrierward_clock::now() < *until)
    }

    fn give_out_to_self(&self, tenant: &Tenant) -> Asked {
        match self.give_out(tenant, 1) {
            Some(RateDecision::Granted { .. }) => Asked::Granted,
            Some(RateDecision::Exhausted { retry_after }) => Asked::Empty(retry_after),
            None => Asked::Silent,
        }
    }
}
