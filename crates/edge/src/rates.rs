//! Rates of tenants over all daemons: this daemon asks a tenant's coordinator for tokens, and gives out those of the
//! tenants that it coordinates itself.
//!
//! Why asked, and not estimated: a limit holds for the whole fleet, also for daemons that are cut off. A daemon admits
//! only requests for which a coordinator gave it a token; with nobody to ask, it refuses and the caller goes elsewhere.

mod asking;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_serving::{Location, RateAnswer, RateLimits, SharedRoutes};
use harrierward_tenants::{RateBounds, RateDecision, RateLedger, Tenant, TokenStock};
use harrierward_wire::{NodeDatagram, RateAsk, RateGrant, RateOutcome, encode, node_datagram};
use tokio::net::UdpSocket;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::calls::DatagramCalls;
use crate::fleet::SharedFleet;
use crate::slots::CoordinatorCandidate;

/// Stocks kept before those are dropped that hold nothing; bounds the memory of a daemon whose tenants change.
const MOST_STOCKS: usize = 1_024;

struct State {
    ledger: RateLedger,
    stocks: HashMap<Arc<str>, TokenStock>,
    silent_until: HashMap<String, Instant>,
    /// Another member has told how large the fleet was, or could not be asked.
    is_told: bool,
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

/// What a coordinator said.
enum Asked {
    Granted,
    Empty(Duration),
    /// It is another one, perhaps at this address.
    Other(Option<SocketAddr>),
    Silent,
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
            }),
        }
    }

    /// What datagrams go out by.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, at the start.
        let _ = self.socket.set(socket);
    }

    /// The members that may coordinate tenants, this one among them unless it leaves.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        let mut state = self.lock();
        let now = Instant::now();
        self.fleet.see(members.len(), now);
        let share = self.fleet.share(members.len(), now);
        let dropped = state
            .ledger
            .retain(|tenant| self.is_first(tenant, &members));
        // Each start has a name of its own, so what is known of the gone is of no use any more.
        let silent = &mut state.silent_until;
        silent.retain(|id, _| members.iter().any(|member| member.id == *id));
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
        self.fleet.share(members, Instant::now())
    }

    /// True if this daemon coordinates the tenant.
    pub fn coordinates(&self, tenant: &str) -> bool {
        self.is_first(tenant, &self.members.load())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives out tokens of a tenant that this daemon coordinates; `None` if it cannot tell its part of the limit yet.
    fn give_out(&self, tenant: &Tenant, wanted: u32) -> Option<RateDecision> {
        let members = self.members.load().len();
        let now = Instant::now();
        let share = self.fleet.share(members, now);
        if share == 0.0 {
            return None;
        }
        let mut state = self.lock();
        let limit = tenant.rate;
        let decision = state
            .ledger
            .take(&tenant.name, limit, &self.bounds, share, wanted, now);
        Some(decision)
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
                if self.calls.take(grant.number, grant) {
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

    fn answer(&self, ask: &RateAsk) -> RateGrant {
        self.take_fleet(ask.fleet_members, ask.fleet_seen_ms_ago);
        let mut grant = self.decide(ask);
        (grant.fleet_members, grant.fleet_seen_ms_ago) = self.fleet.describe(Instant::now());
        grant
    }

    fn decide(&self, ask: &RateAsk) -> RateGrant {
        let members = self.members.load();
        let is_first = self.is_first(&ask.tenant, &members);
        let tenant = self.tenant(&ask.tenant);
        let decision = tenant
            .filter(|_| is_first)
            .and_then(|tenant| self.give_out(&tenant, ask.wanted.max(1)));
        let Some(decision) = decision else {
            let [first, _] = first_two(&ask.tenant, &members);
            let other = first.filter(|member| member.id != self.life);
            let address = other.and_then(|member| member.address);
            return RateGrant {
                number: ask.number,
                outcome: RateOutcome::NotCoordinator as i32,
                coordinator: address.map_or_else(String::new, |address| address.to_string()),
                ..RateGrant::default()
            };
        };
        match decision {
            RateDecision::Granted { tokens } => RateGrant {
                number: ask.number,
                outcome: RateOutcome::Granted as i32,
                tokens,
                ..RateGrant::default()
            },
            RateDecision::Empty { retry_after } => RateGrant {
                number: ask.number,
                outcome: RateOutcome::Empty as i32,
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
                ..RateGrant::default()
            },
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

    /// Takes a token from the stock, or says when the caller may come back without asking again.
    fn take_from_stock(&self, tenant: &Tenant, now: Instant) -> Result<(), Option<Duration>> {
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
        let asked_for = asked_at.elapsed().as_millis();
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
    async fn admit(&self, tenant: &Tenant, request: &str) -> RateAnswer {
        let now = Instant::now();
        match self.take_from_stock(tenant, now) {
            Ok(()) => return RateAnswer::Within,
            Err(Some(retry_after)) => {
                self.log_refusal(tenant, request, "", "refused before", now);
                return RateAnswer::Over { retry_after };
            }
            Err(None) => {}
        }
        let (coordinator, asked) = self.ask_coordinators(tenant).await;
        match asked {
            Asked::Granted => RateAnswer::Within,
            Asked::Empty(retry_after) => {
                self.log_refusal(tenant, request, &coordinator, "at the limit", now);
                RateAnswer::Over { retry_after }
            }
            Asked::Other(_) => {
                self.log_refusal(tenant, request, &coordinator, "not the coordinator", now);
                RateAnswer::Unknown
            }
            Asked::Silent => {
                self.log_refusal(tenant, request, &coordinator, "no answer", now);
                RateAnswer::Unknown
            }
        }
    }
}

/// The two members that come first in a tenant's order: its coordinator, and who follows it. All daemons that know the
/// same members name the same ones (rendezvous hashing).
fn first_two<'a>(
    tenant: &str,
    members: &'a [CoordinatorCandidate],
) -> [Option<&'a CoordinatorCandidate>; 2] {
    let seed = xxh3_64_with_seed(tenant.as_bytes(), 0);
    let mut first: Option<(u64, &CoordinatorCandidate)> = None;
    let mut second: Option<(u64, &CoordinatorCandidate)> = None;
    for member in members {
        let weight = xxh3_64_with_seed(member.id.as_bytes(), seed);
        if first.is_none_or(|(most, _)| weight > most) {
            second = first.replace((weight, member));
        } else if second.is_none_or(|(most, _)| weight > most) {
            second = Some((weight, member));
        }
    }
    [first, second].map(|found| found.map(|(_, member)| member))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0).round() as u32
}
