//! The other daemons: who lives, and what each has in progress at the replicas.

mod notices;
mod peers;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use harrierward_clock::SuspensionWatch;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_inline_jobs::InlineJobs;
use harrierward_membership::{Action, MembershipCore, MembershipSettings, MembershipView};
use harrierward_relay::{Relay, RelayPeer};
use harrierward_serving::{Location, Mechanism, Policy, Replica, ReplicaSet};
use harrierward_wire::{
    Datagram, DatagramKind, MemberRecord, MemberState, NodeDatagram, QuotaAnswer, YieldRequest,
    decode, encode, node_datagram,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use crate::calls::DatagramCalls;
use crate::peer_loads::PeerLoads;
use crate::peer_news::PeerNews;
use crate::quarantine::QuarantineService;
use crate::rates::RateService;
use crate::settings::EdgeSettings;
use crate::slots::{CoordinatorCandidate, SlotService};

use notices::{ALONE_CUT_OFF_AFTER, NOTICE_FAN_OUT};

/// How often the membership protocol is driven.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two load notices.
const NOTICE_TICKS: u64 = 2;

/// Age of the own proof from which on this daemon, if it alone is cut off from the store, says so to all: its jobs go
/// on elsewhere.
const CUT_OFF_AFTER: Duration = Duration::from_millis(3_200);

/// Largest datagram received, bytes.
const DATAGRAM_LIMIT: usize = 65_536;

struct State {
    core: MembershipCore,
    /// The core's view at the last tick: what the rest of the daemon goes by.
    view: Arc<MembershipView>,
    loads: PeerLoads,
    /// Replicas at which peers had something when their loads were last published.
    published: HashSet<u32>,
    notices: u64,
    others_since: Option<Instant>,
}

/// This daemon's view of its peers.
pub struct Members {
    life: String,
    zone: String,
    region: String,
    policy: Policy,
    /// Beginning of the membership's time. It is the steady clock, which stands still while the machine is suspended: ages in
    /// the protocol are times in which this daemon listened, and a suspicion must not run out while nobody could refute it.
    started: Instant,
    replicas: Arc<ReplicaSet>,
    log: DecisionLog,
    jobs: OnceLock<InlineJobs>,
    news: OnceLock<Arc<PeerNews>>,
    relay: OnceLock<Arc<Relay>>,
    quota_calls: DatagramCalls<QuotaAnswer>,
    next_quota_call: AtomicU32,
    slots: Arc<SlotService>,
    rates: Arc<RateService>,
    quarantine: QuarantineService,
    socket: OnceLock<Arc<UdpSocket>>,
    state: Mutex<State>,
}

/// A name for this life of the daemon.
pub fn new_life(member: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |time| time.as_millis());
    format!("{member}@{millis:x}-{:04x}", rand::random::<u16>())
}

/// What a life's name tells.
#[derive(Debug, PartialEq, Eq)]
struct LifeName<'a> {
    /// The daemon by its settings' name.
    member: &'a str,
    /// When it was started, by its machine's clock, milliseconds.
    started_ms: u64,
}

impl<'a> LifeName<'a> {
    /// `None` for a name of another form.
    fn parse(life: &'a str) -> Option<Self> {
        let (member, start) = life.rsplit_once('@')?;
        let (millis, _) = start.split_once('-')?;
        let started_ms = u64::from_str_radix(millis, 16).ok()?;
        Some(Self { member, started_ms })
    }
}

impl Members {
    /// Knows only itself.
    pub fn new(
        life: String,
        settings: &EdgeSettings,
        replicas: Arc<ReplicaSet>,
        slots: Arc<SlotService>,
        rates: Arc<RateService>,
        quarantine: QuarantineService,
        log: DecisionLog,
    ) -> Self {
        let own = MemberRecord {
            id: life.clone(),
            udp_address: settings.told_peer_address().to_owned(),
            peer_address: settings.told_control_address().to_owned(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: 1,
            state: MemberState::Alive as i32,
            backlog: Vec::new(),
            detached: false,
        };
        let mut bounds = MembershipSettings::quick();
        if !settings.policy.has(Mechanism::ViewSync) {
            bounds.sync_catch_up_every = Duration::MAX;
            bounds.sync_after_disagreement = Duration::MAX;
        }
        let core = MembershipCore::new(bounds, own).with_seeds(settings.seeds.clone());
        let state = State {
            view: Arc::new(core.view()),
            core,
            loads: PeerLoads::default(),
            published: HashSet::new(),
            notices: 0,
            others_since: None,
        };
        Self {
            life,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            policy: settings.policy,
            started: Instant::now(),
            replicas,
            log,
            jobs: OnceLock::new(),
            news: OnceLock::new(),
            relay: OnceLock::new(),
            quota_calls: DatagramCalls::default(),
            next_quota_call: AtomicU32::new(1),
            slots,
            rates,
            quarantine,
            socket: OnceLock::new(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Addresses at which some other living daemons answer control calls, near ones first.
    pub fn control_addresses(&self, most: usize) -> Vec<String> {
        let view = self.view();
        let others =
            view.others_nearest_first(&self.life, &self.zone, &self.region, &mut rand::rng());
        let addresses = others.into_iter().map(|one| one.peer_address.clone());
        addresses.take(most).collect()
    }

    /// Living daemons, this one among them.
    pub fn fleet_size(&self) -> usize {
        self.view().members.len()
    }

    fn view(&self) -> Arc<MembershipView> {
        self.lock().view.clone()
    }

    /// True if this daemon cannot reach the store, but most others can: it is better if new work goes to them.
    pub fn is_cut_off_alone(&self) -> bool {
        self.is_alone_without_proof_for(&self.lock(), ALONE_CUT_OFF_AFTER)
    }

    /// Member id of this life of the daemon.
    pub fn life(&self) -> &str {
        &self.life
    }

    /// Says that this daemon leaves.
    pub fn leave(&self) {
        self.lock().core.leave();
    }

    /// Asks a peer for a slot that its batch items hold; what is lost on the way is not asked again.
    pub fn ask_peer_to_yield(&self, replica: &Replica) {
        let hash = replica.hash;
        let address = {
            let mut state = self.lock();
            let peer = state.loads.take_batch_slot(hash, &mut rand::rng());
            peer.and_then(|peer| udp_address(&state.core, &peer))
        };
        let Some(address) = address else {
            return;
        };
        replica.note_peer_preemption();
        let request = YieldRequest {
            replica: hash,
            slots: 1,
            lease: 0,
        };
        self.send_to(node_datagram::Kind::YieldRequest(request), address);
    }

    /// Drives the protocol over `socket` for as long as the process runs.
    pub async fn run(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket.clone());
        self.slots.set_socket(socket.clone());
        self.rates.set_socket(socket.clone());
        self.quarantine.set_socket(socket.clone());
        let receiving = self.clone().receive_all(socket.clone());
        tokio::join!(self.tick_all(socket), receiving);
    }

    async fn tick_all(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut random = SmallRng::from_os_rng();
        let suspensions = SuspensionWatch::start();
        let mut tick: u64 = 0;
        loop {
            let mut datagrams = Vec::new();
            {
                let mut state = self.lock();
                let detached = self.is_alone_without_proof_for(&state, CUT_OFF_AFTER);
                state.core.set_detached(detached);
                let actions = state.core.tick(self.started.elapsed(), &mut random);
                datagrams.extend(wrap(actions));
                self.note_changes(&mut state);
                if state.loads.reporting() > NOTICE_FAN_OUT {
                    self.publish_loads(&mut state);
                }
                if tick.is_multiple_of(NOTICE_TICKS) {
                    datagrams.extend(self.notices(&mut state));
                }
            }
            tick += 1;
            self.note_suspension(&suspensions);
            self.slots.tick();
            self.rates.tick();
            self.quarantine.tick();
            send_all(&socket, datagrams).await;
            sleep(TICK).await;
        }
    }

    /// Tells of a suspension of the machine since the last tick. Whoever asks for the age of something has counted it already.
    fn note_suspension(&self, suspensions: &SuspensionWatch) {
        let Some(suspended) = suspensions.take() else {
            return;
        };
        self.log.record(&Record::Suspended {
            suspended_ms: u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX),
        });
    }

    async fn receive_all(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                // A peer that has gone shows up as a refused connection on some systems.
                sleep(TICK).await;
                continue;
            };
            let datagrams = self.receive(&buffer[..length], from);
            send_all(&socket, datagrams).await;
        }
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) -> Vec<(String, Vec<u8>)> {
        let kind = decode::<NodeDatagram>(bytes).and_then(|datagram| datagram.kind);
        let kind = kind.and_then(|kind| self.slots.receive(kind, from));
        let kind = kind.and_then(|kind| self.rates.receive(kind, from));
        let kind = kind.and_then(|kind| self.quarantine.receive(kind));
        let mut state = self.lock();
        match kind {
            Some(node_datagram::Kind::Membership(datagram)) => {
                self.log_sync(&datagram);
                let (actions, _) = state.core.receive(&datagram, self.started.elapsed());
                wrap(actions)
            }
            Some(node_datagram::Kind::QuotaAsk(ask)) => {
                drop(state);
                self.take_quota_ask(&ask, from);
                Vec::new()
            }
            Some(node_datagram::Kind::QuotaAnswer(answer)) => {
                // A late answer changes nothing: a job's tokens are asked for again.
                let _ = self.quota_calls.take(answer.number, answer);
                Vec::new()
            }
            Some(node_datagram::Kind::LoadNotice(notice)) => {
                self.take_notice(&mut state, notice);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn log_sync(&self, datagram: &Datagram) {
        if datagram.kind == DatagramKind::SyncReply as i32 {
            self.log.record(&Record::ViewSynced {
                peer: &datagram.from,
                records: datagram.records.len(),
                peer_members: datagram.view_size,
            });
        }
    }

    /// Brings the view up to date: once a tick, since a start of the whole fleet brings hundreds of members within
    /// a second, and each change has a cost of all members.
    fn note_changes(&self, state: &mut State) {
        if !state.core.take_changed() {
            return;
        }
        let view = Arc::new(state.core.view());
        let before = std::mem::replace(&mut state.view, view.clone());
        if view.members.len() > 1 && state.others_since.is_none() {
            state.others_since = Some(Instant::now());
        }
        let (joined, gone) = view.changes_since(&before);
        if joined + gone > 0 {
            self.log.record(&Record::MembersChanged {
                alive: view.members.len(),
                joined,
                gone,
                view: view.digest(),
            });
        }
        let staying = view.staying().map(|member| CoordinatorCandidate {
            id: member.id.clone(),
            address: udp_address(&state.core, &member.id),
            location: Location::new(&member.zone, &member.region),
        });
        let staying: Vec<CoordinatorCandidate> = staying.collect();
        self.tell_relay(&view);
        self.quarantine.set_members(&staying);
        self.rates.set_members(staying.clone());
        self.slots.set_members(staying);
    }

    /// Tells whom of the own zone this daemon may follow. Who cannot reach the store has nothing to hand on.
    fn tell_relay(&self, view: &MembershipView) {
        let Some(relay) = self.relay.get() else {
            return;
        };
        let near = view.staying().filter(|member| {
            member.zone == self.zone && !member.detached && !member.peer_address.is_empty()
        });
        let near = near.map(|member| RelayPeer {
            id: member.id.clone(),
            address: member.peer_address.clone(),
        });
        let near: Vec<RelayPeer> = near.collect();
        relay.set_members(&near, view.members.len());
    }

    /// Where the store's spaces are read.
    pub fn set_relay(&self, relay: Arc<Relay>) {
        // Set once, at the start.
        let _ = self.relay.set(relay);
    }

    /// The jobs of this daemon, of which its peers are told, and whose quotas they ask for.
    pub fn set_jobs(&self, jobs: InlineJobs) {
        // Set once, at the start.
        let _ = self.jobs.set(jobs);
    }

    fn send_to(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // A datagram that is lost is sent again, or its sender gives up.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }

    /// The operator's rows, of which peers are told in passing.
    pub fn set_news(&self, news: Arc<PeerNews>) {
        // Set once, at the start.
        let _ = self.news.set(news);
    }
}

fn udp_address(core: &MembershipCore, id: &str) -> Option<SocketAddr> {
    core.udp_address(id)?.parse().ok()
}

fn wrap(actions: Vec<Action>) -> Vec<(String, Vec<u8>)> {
    let encoded = actions.into_iter().map(|action| {
        let datagram = NodeDatagram {
            kind: Some(node_datagram::Kind::Membership(action.datagram)),
        };
        (action.address, encode(&datagram))
    });
    encoded.collect()
}

async fn send_all(socket: &UdpSocket, datagrams: Vec<(String, Vec<u8>)>) {
    for (address, bytes) in datagrams {
        if let Ok(address) = address.parse::<SocketAddr>() {
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}
