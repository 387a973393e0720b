//! Fleet-wide rate limits of tenants: requests tokens from a tenant's coordinator, and grants those of the tenants that
//! this daemon coordinates. A request without a token is refused, so the limits hold during partitions too.
//!
//! Until a failed coordinator is removed from the members, the next member by rendezvous hash acts as fallback and
//! grants a bounded number of tokens ([`Succession`], [`RateLedger::take_as_fallback`]).

mod granting;
mod requests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_serving::{Location, RateLimits, RateStatus, SharedRoutes};
use harrierward_tenants::{RateBounds, RateLedger, Succession, Tenant, TokenPool};
use harrierward_wire::{NodeDatagram, RateGrant, encode, node_datagram};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::calls::DatagramCalls;
use crate::fleet::SharedFleet;
use crate::rendezvous::top_two;
use crate::slots::CoordinatorCandidate;
use requests::TokenReply;

/// Number of token pools above which idle ones are removed; bounds memory when tenants change.
const MAX_POOLS: usize = 1_024;

struct State {
    ledger: RateLedger,
    pools: HashMap<Arc<str>, TokenPool>,
    unresponsive_until: HashMap<String, Instant>,
    /// Another member has reported its recent fleet size or could not be reached, or there is none.
    fleet_size_reported: bool,
    succession: Succession,
}

/// Tenants' rate limits, as seen by one daemon.
pub struct RateService {
    instance_id: String,
    bounds: RateBounds,
    fleet: Arc<SharedFleet>,
    routes: SharedRoutes,
    members: ArcSwap<Vec<CoordinatorCandidate>>,
    socket: OnceLock<Arc<UdpSocket>>,
    calls: DatagramCalls<RateGrant>,
    next_call: AtomicU32,
    log: DecisionLog,
    state: Mutex<State>,
}

impl RateService {
    /// Starts with this daemon as the only member.
    pub fn new(
        instance_id: String,
        fleet: Arc<SharedFleet>,
        bounds: RateBounds,
        routes: SharedRoutes,
        log: DecisionLog,
    ) -> Self {
        let own = CoordinatorCandidate {
            id: instance_id.clone(),
            address: None,
            location: Location::default(),
        };
        Self {
            instance_id,
            bounds,
            fleet,
            routes,
            members: ArcSwap::from_pointee(vec![own]),
            socket: OnceLock::new(),
            calls: DatagramCalls::default(),
            next_call: AtomicU32::new(1),
            log,
            state: Mutex::new(State {
                ledger: RateLedger::default(),
                pools: HashMap::new(),
                unresponsive_until: HashMap::new(),
                fleet_size_reported: false,
                succession: Succession::new(bounds.accounting_period(), harrierward_clock::now()),
            }),
        }
    }

    /// Sets the socket for datagrams; nothing is sent before.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, during startup.
        let _ = self.socket.set(socket);
    }

    /// Detects from the time since the last check that this daemon was stalled; called at each tick of the membership.
    pub fn tick(&self) {
        self.note_running(&mut self.lock(), harrierward_clock::now());
    }

    fn note_running(&self, state: &mut State, now: Instant) {
        if let Some(stall) = state.ledger.detect_stall(now) {
            self.log.record(&Record::RatesStoodStill {
                stood_still_ms: u64::try_from(stall.as_millis()).unwrap_or(u64::MAX),
            });
        }
    }

    /// Sets the members that may coordinate tenants; includes this daemon unless it is leaving.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        let mut state = self.lock();
        let now = harrierward_clock::now();
        self.fleet.observe(members.len(), now);
        let share = self.fleet.share(members.len(), now);
        let before = self.members.load();
        let is_member = |id: &str| members.iter().any(|member| member.id == id);
        let departed = before.iter().filter(|member| !is_member(&member.id));
        let departed = departed.map(|member| member.id.clone());
        state.succession.note_change(departed, is_member, now);
        let is_coordinator = |tenant: &str| self.is_coordinator(tenant, &members);
        let dropped = state.ledger.retain(&self.bounds, now, is_coordinator);
        // Each daemon instance has its own id, so entries of departed members are never needed again.
        state.unresponsive_until.retain(|id, _| is_member(id));
        self.members.store(Arc::new(members));
        drop(state);
        if dropped > 0 {
            self.log.record(&Record::RatesCoordinated {
                dropped,
                share_permille: permille(share),
            });
        }
    }

    /// True if this daemon coordinates the tenant, given these members.
    fn is_coordinator(&self, tenant: &str, members: &[CoordinatorCandidate]) -> bool {
        let [coordinator, _] = top_two(tenant, members);
        coordinator.is_some_and(|member| member.id == self.instance_id)
    }

    /// Returns the share (0 to 1) of each limit that this daemon may grant as a coordinator.
    pub fn share(&self) -> f64 {
        let members = self.members.load().len();
        self.fleet.share(members, harrierward_clock::now())
    }

    /// True if this daemon coordinates the tenant, given the current members.
    pub fn coordinates(&self, tenant: &str) -> bool {
        self.is_coordinator(tenant, &self.members.load())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles token requests and grants; returns datagrams of other kinds.
    pub fn receive(
        &self,
        kind: node_datagram::Kind,
        from: SocketAddr,
    ) -> Option<node_datagram::Kind> {
        match kind {
            node_datagram::Kind::RateAsk(request) => {
                let grant = self.reply_to(&request);
                self.send(node_datagram::Kind::RateGrant(grant), from);
                None
            }
            node_datagram::Kind::RateGrant(grant) => {
                if self.calls.complete(grant.number, grant) {
                    self.note_late_reply(from);
                }
                None
            }
            other => Some(other),
        }
    }

    /// Marks the sender of a reply that arrived after the timeout as responsive: it is slow to reach, not failed.
    fn note_late_reply(&self, from: SocketAddr) {
        let members = self.members.load();
        let sender = members.iter().find(|member| member.address == Some(from));
        if let Some(sender) = sender {
            self.lock().unresponsive_until.remove(&sender.id);
        }
    }

    /// Returns a tenant of the configuration in force.
    fn tenant(&self, name: &str) -> Option<Arc<Tenant>> {
        let routes = self.routes.load();
        let directory = routes.as_ref()?.configuration.tenants.as_ref()?;
        directory.tenant(name).cloned()
    }

    fn send(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // A lost request is resent once; after that the requester proceeds without a reply.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }

    /// Merges a fleet size reported by another member, which may include members that were partitioned off before this
    /// daemon started.
    fn merge_fleet_size(&self, members: u32, seen_ms_ago: u32) {
        if self.fleet.merge_report(members, seen_ms_ago) {
            self.lock().fleet_size_reported = true;
        }
    }

    fn log_refusal(
        &self,
        tenant: &Tenant,
        request: &str,
        coordinator: &str,
        outcome: &str,
        requested_at: Instant,
    ) {
        let waited = harrierward_clock::age(requested_at).as_millis();
        self.log.record(&Record::RateRefused {
            request,
            tenant: &tenant.name,
            coordinator,
            outcome,
            share_permille: permille(self.share()),
            asked_ms: u64::try_from(waited).unwrap_or(u64::MAX),
        });
    }
}

#[async_trait]
impl RateLimits for RateService {
    async fn admit(&self, tenant: &Tenant, request: &str) -> RateStatus {
        let now = harrierward_clock::now();
        match self.take_from_pool(tenant, now) {
            Ok(()) => return RateStatus::Within,
            Err(Some(retry_after)) => {
                self.log_refusal(tenant, request, "", "refused before", now);
                return RateStatus::Over { retry_after };
            }
            Err(None) => {}
        }
        let (coordinator, reply) = self.request_from_coordinators(tenant).await;
        match reply {
            TokenReply::Granted => RateStatus::Within,
            TokenReply::Exhausted(retry_after) => {
                self.log_refusal(tenant, request, &coordinator, "at the limit", now);
                RateStatus::Over { retry_after }
            }
            TokenReply::NotCoordinator(_) => {
                self.log_refusal(tenant, request, &coordinator, "not the coordinator", now);
                RateStatus::Unknown
            }
            TokenReply::NoReply => {
                self.log_refusal(tenant, request, &coordinator, "no answer", now);
                RateStatus::Unknown
            }
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0).round() as u32
}
