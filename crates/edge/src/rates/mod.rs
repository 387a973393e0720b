//! Rates of tenants over all daemons: this daemon asks a tenant's coordinator for tokens, and gives out those of the
//! tenants that it coordinates itself.
//!
//! Why asked, and not estimated: a limit holds for the whole fleet, also for daemons that are cut off. A daemon admits
//! only requests for which a coordinator gave it a token; with nobody to ask, it refuses and the caller goes elsewhere.
//!
//! A coordinator that died is found out after a second or more. Until then the member that follows it gives out a
//! bounded stock in its place ([`Succession`], [`RateLedger::take_as_fallback`]).

mod asking;
mod giving;

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
use crate::order::first_two;
use crate::slots::CoordinatorCandidate;
use asking::Asked;

/// Stocks kept before those are dropped that hold nothing; bounds the memory of a daemon whose tenants change.
const MOST_STOCKS: usize = 1_024;

struct State {
    ledger: RateLedger,
    stocks: HashMap<Arc<str>, TokenPool>,
    silent_until: HashMap<String, Instant>,
    /// Another member has told how large the fleet was, or could not be asked.
    is_told: bool,
    succession: Succession,
}

/// The rates of one daemon.
pub struct RateService {
    life: String,
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
    /// Knows only itself.
    pub fn new(
        life: String,
        fleet: Arc<SharedFleet>,
        bounds: RateBounds,
        routes: SharedRoutes,
        log: DecisionLog,
    ) -> Self {
        let own = CoordinatorCandidate {
            id: life.clone(),
            address: None,
            location: Location::default(),
        };
        Self {
            life,
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
                stocks: HashMap::new(),
                silent_until: HashMap::new(),
                is_told: false,
                succession: Succession::new(bounds.accounting_period(), harrierward_clock::now()),
            }),
        }
    }

    /// What datagrams go out by.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, at the start.
        let _ = self.socket.set(socket);
    }

    /// To be called ten times a second at least: finds out that this daemon stood still.
    pub fn tick(&self) {
        self.note_running(&mut self.lock(), harrierward_clock::now());
    }

    fn note_running(&self, state: &mut State, now: Instant) {
        if let Some(stood_still) = state.ledger.detect_stall(now) {
            self.log.record(&Record::RatesStoodStill {
                stood_still_ms: u64::try_from(stood_still.as_millis()).unwrap_or(u64::MAX),
            });
        }
    }

    /// The members that may coordinate tenants, this one among them unless it leaves.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        let mut state = self.lock();
        let now = harrierward_clock::now();
        self.fleet.see(members.len(), now);
        let share = self.fleet.share(members.len(), now);
        let before = self.members.load();
        let is_there = |id: &str| members.iter().any(|member| member.id == id);
        let gone = before.iter().filter(|member| !is_there(&member.id));
        let gone = gone.map(|member| member.id.clone());
        state.succession.note_change(gone, is_there, now);
        let is_first = |tenant: &str| self.is_first(tenant, &members);
        let dropped = state.ledger.retain(&self.bounds, now, is_first);
        // Each start has a name of its own, so what is known of the gone is of no use any more.
        state.silent_until.retain(|id, _| is_there(id));
        self.members.store(Arc::new(members));
        drop(state);
        if dropped > 0 {
            self.log.record(&Record::RatesCoordinated {
                dropped,
                share_permille: permille(share),
            });
        }
    }

    /// True if this daemon coordinates the tenant among these members.
    fn is_first(&self, tenant: &str, members: &[CoordinatorCandidate]) -> bool {
        let [first, _] = first_two(tenant, members);
        first.is_some_and(|member| member.id == self.life)
    }

    /// Part of each limit that this daemon gives out as a coordinator, 0 to 1.
    pub fn share(&self) -> f64 {
        let members = self.members.load().len();
        self.fleet.share(members, harrierward_clock::now())
    }

    /// True if this daemon coordinates the tenant.
    pub fn coordinates(&self, tenant: &str) -> bool {
        self.is_first(tenant, &self.members.load())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a peer's question, or takes the answer to an own one. Returns datagrams of other kinds.
    pub fn receive(
        &self,
        kind: node_datagram::Kind,
        from: SocketAddr,
    ) -> Option<node_datagram::Kind> {
        match kind {
            node_datagram::Kind::RateAsk(ask) => {
                let grant = self.answer(&ask);
                self.send(node_datagram::Kind::RateGrant(grant), from);
                None
            }
            node_datagram::Kind::RateGrant(grant) => {
                if self.calls.complete(grant.number, grant) {
                    self.note_late(from);
                }
                None
            }
            other => Some(other),
        }
    }

    /// An answer came that nobody waits for any more: its sender is not silent, only farther than was known.
    fn note_late(&self, from: SocketAddr) {
        let members = self.members.load();
        let sender = members.iter().find(|one| one.address == Some(from));
        if let Some(sender) = sender {
            self.lock().silent_until.remove(&sender.id);
        }
    }

    /// A tenant as the configuration in force has it.
    fn tenant(&self, name: &str) -> Option<Arc<Tenant>> {
        let routes = self.routes.load();
        let directory = routes.as_ref()?.configuration.tenants.as_ref()?;
        directory.tenant(name).cloned()
    }

    fn send(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // A question that is lost is sent once more; then the asker goes on without an answer.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }

    /// Takes what another member saw of the fleet: a coordinator that has just started knows nothing of members that
    /// were cut off before.
    fn take_fleet(&self, members: u32, seen_ms_ago: u32) {
        if self.fleet.take(members, seen_ms_ago) {
            self.lock().is_told = true;
        }
    }

    fn log_refusal(
        &self,
        tenant: &Tenant,
        request: &str,
        coordinator: &str,
        outcome: &str,
        asked_at: Instant,
    ) {
        let asked_for = harrierward_clock::age(asked_at).as_millis();
        self.log.record(&Record::RateRefused {
            request,
            tenant: &tenant.name,
            coordinator,
            outcome,
            share_permille: permille(self.share()),
            asked_ms: u64::try_from(asked_for).unwrap_or(u64::MAX),
        });
    }
}

#[async_trait]
impl RateLimits for RateService {
    async fn admit(&self, tenant: &Tenant, request: &str) -> RateStatus {
        let now = harrierward_clock::now();
        match self.take_from_stock(tenant, now) {
            Ok(()) => return RateStatus::Within,
            Err(Some(retry_after)) => {
                self.log_refusal(tenant, request, "", "refused before", now);
                return RateStatus::Over { retry_after };
            }
            Err(None) => {}
        }
        let (coordinator, asked) = self.ask_coordinators(tenant).await;
        match asked {
            Asked::Granted => RateStatus::Within,
            Asked::Empty(retry_after) => {
                self.log_refusal(tenant, request, &coordinator, "at the limit", now);
                RateStatus::Over { retry_after }
            }
            Asked::Other(_) => {
                self.log_refusal(tenant, request, &coordinator, "not the coordinator", now);
                RateStatus::Unknown
            }
            Asked::Silent => {
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
