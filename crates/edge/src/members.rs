//! Membership of the fleet: drives the SWIM protocol, and exchanges load notices with peers.

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
use harrierward_membership::{
    MembershipCore, MembershipSettings, MembershipView, OutgoingDatagram,
};
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

use crate::audits::{AuditMember, AuditService};
use crate::calls::DatagramCalls;
use crate::peer_loads::PeerLoads;
use crate::peer_updates::PeerUpdates;
use crate::quarantine::QuarantineService;
use crate::rates::RateService;
use crate::settings::EdgeSettings;
use crate::slots::{CoordinatorCandidate, SlotService};
use crate::streams::StreamService;

use notices::{CUT_OFF_PROOF_AGE, NOTICE_FAN_OUT};

/// Interval at which the membership protocol is driven.
const TICK: Duration = Duration::from_millis(100);

const TICKS_PER_NOTICE: u64 = 2;

/// Age of the freshness proof from which a daemon that is cut off from the store, while most others are not, declares
/// itself detached, so that other daemons take over its jobs.
const DETACH_PROOF_AGE: Duration = Duration::from_millis(3_200);

/// Size of the receive buffer in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

struct State {
    core: MembershipCore,
    /// The membership view of the last tick, used by the rest of the daemon.
    view: Arc<MembershipView>,
    loads: PeerLoads,
    /// Hashes of the replicas whose peer loads were nonzero when last published.
    replicas_with_peer_load: HashSet<u32>,
    notice_count: u64,
    first_peer_at: Option<Instant>,
}

/// The daemon's membership and its communication with peers.
pub struct Members {
    instance_id: String,
    zone: String,
    region: String,
    policy: Policy,
    /// Start of the protocol's time, on a clock that stops while the machine is suspended: a suspicion must not
    /// expire while this daemon could not receive its refutation.
    started: Instant,
    replicas: Arc<ReplicaSet>,
    log: DecisionLog,
    jobs: OnceLock<InlineJobs>,
    peer_updates: OnceLock<Arc<PeerUpdates>>,
    relay: OnceLock<Arc<Relay>>,
    audits: OnceLock<Arc<AuditService>>,
    quota_calls: DatagramCalls<QuotaAnswer>,
    next_quota_call: AtomicU32,
    slots: Arc<SlotService>,
    rates: Arc<RateService>,
    streams: Arc<StreamService>,
    quarantine: QuarantineService,
    socket: OnceLock<Arc<UdpSocket>>,
    state: Mutex<State>,
}

/// Services that exchange datagrams with the members, and the replicas that they share.
pub struct MemberServices {
    /// Known replicas.
    pub replicas: Arc<ReplicaSet>,
    /// Slot leases.
    pub slots: Arc<SlotService>,
    /// Tenants' rate limits.
    pub rates: Arc<RateService>,
    /// Origins of streams.
    pub streams: Arc<StreamService>,
    /// Quarantined contents.
    pub quarantine: QuarantineService,
}

/// Returns a unique id for this daemon instance: `NAME@MILLISECONDS-RANDOM`, numbers in hexadecimal.
pub fn new_instance_id(member: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |time| time.as_millis());
    format!("{member}@{millis:x}-{:04x}", rand::random::<u16>())
}

/// A parsed instance id.
#[derive(Debug, PartialEq, Eq)]
struct InstanceId<'a> {
    /// Name of the daemon in its settings.
    member: &'a str,
    /// When the instance started by its machine's clock, milliseconds since the epoch.
    started_ms: u64,
}

impl<'a> InstanceId<'a> {
    /// Parses an instance id; `None` if it has another format.
    fn parse(instance_id: &'a str) -> Option<Self> {
        let (member, instance) = instance_id.rsplit_once('@')?;
        let (millis, _) = instance.split_once('-')?;
        let started_ms = u64::from_str_radix(millis, 16).ok()?;
        Some(Self { member, started_ms })
    }
}

impl Members {
    /// Starts with this daemon as the only member.
    pub fn new(
        instance_id: String,
        settings: &EdgeSettings,
        services: MemberServices,
        log: DecisionLog,
    ) -> Self {
        let MemberServices {
            replicas,
            slots,
            rates,
            streams,
            quarantine,
        } = services;
        let own = MemberRecord {
            id: instance_id.clone(),
            udp_address: settings.advertised_peer_address().to_owned(),
            peer_address: settings.advertised_control_address().to_owned(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: 1,
            state: MemberState::Alive as i32,
            backlog: Vec::new(),
            detached: false,
        };
        let mut bounds = MembershipSettings::quick();
        if !settings.policy.has(Mechanism::ViewSync) {
            bounds.sync_catch_up_interval = Duration::MAX;
            bounds.disagreement_timeout = Duration::MAX;
        }
        let core = MembershipCore::new(bounds, own).with_seeds(settings.seeds.clone());
        let state = State {
            view: Arc::new(core.view()),
            core,
            loads: PeerLoads::default(),
            replicas_with_peer_load: HashSet::new(),
            notice_count: 0,
            first_peer_at: None,
        };
        Self {
            instance_id,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            policy: settings.policy,
            started: Instant::now(),
            replicas,
            log,
            jobs: OnceLock::new(),
            peer_updates: OnceLock::new(),
            relay: OnceLock::new(),
            audits: OnceLock::new(),
            quota_calls: DatagramCalls::default(),
            next_quota_call: AtomicU32::new(1),
            slots,
            rates,
            streams,
            quarantine,
            socket: OnceLock::new(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns control addresses of other live members, nearest first.
    pub fn control_addresses(&self, limit: usize) -> Vec<String> {
        let view = self.view();
        let others = view.others_nearest_first(
            &self.instance_id,
            &self.zone,
            &self.region,
            &mut rand::rng(),
        );
        let addresses = others.into_iter().map(|one| one.peer_address.clone());
        addresses.take(limit).collect()
    }

    /// Returns the number of live members, this one included.
    pub fn fleet_size(&self) -> usize {
        self.view().members.len()
    }

    fn view(&self) -> Arc<MembershipView> {
        self.lock().view.clone()
    }

    /// True if this daemon is cut off from the store but most others are not: new work should go to them.
    pub fn is_cut_off_from_store(&self) -> bool {
        self.is_cut_off_for(&self.lock(), CUT_OFF_PROOF_AGE)
    }

    /// Returns the id of this daemon instance.
    pub fn instance_id(&self) -> &str {
        &self.instance_id
    }

    /// Announces that this daemon leaves the membership.
    pub fn leave(&self) {
        self.lock().core.leave();
    }

    /// Requests that a peer preempt one of its batch items at the replica; a lost request is not resent.
    pub fn request_peer_preemption(&self, replica: &Replica) {
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

    /// Drives the protocol over `socket`; never returns.
    pub async fn run(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket.clone());
        self.slots.set_socket(socket.clone());
        self.rates.set_socket(socket.clone());
        self.streams.set_socket(socket.clone());
        self.quarantine.set_socket(socket.clone());
        if let Some(audits) = self.audits.get() {
            audits.set_socket(socket.clone());
        }
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
                let detached = self.is_cut_off_for(&state, DETACH_PROOF_AGE);
                state.core.set_detached(detached);
                let actions = state.core.tick(self.started.elapsed(), &mut random);
                datagrams.extend(wrap(actions));
                self.publish_view(&mut state);
                if state.loads.reporting() > NOTICE_FAN_OUT {
                    self.publish_loads(&mut state);
                }
                if tick.is_multiple_of(TICKS_PER_NOTICE) {
                    datagrams.extend(self.notices(&mut state));
                }
            }
            tick += 1;
            self.note_suspension(&suspensions);
            self.slots.tick();
            self.rates.tick();
            self.streams.tick();
            self.quarantine.tick();
            if let Some(audits) = self.audits.get() {
                audits.tick();
            }
            send_all(&socket, datagrams).await;
            sleep(TICK).await;
        }
    }

    /// Logs a suspension of the machine since the last tick.
    fn note_suspension(&self, suspensions: &SuspensionWatch) {
        let Some(suspended) = suspensions.take() else {
            return;
        };
        self.log.record(&Record::Suspended {
            suspended_ms: u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX),
        });
    }

    async fn receive_all(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                // A departed peer causes a refused connection on some systems.
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
        let kind = kind.and_then(|kind| self.streams.receive(kind, from));
        let kind = kind.and_then(|kind| self.quarantine.receive(kind));
        let kind = kind.and_then(|kind| match self.audits.get() {
            Some(audits) => audits.receive(kind),
            None => Some(kind),
        });
        let mut state = self.lock();
        match kind {
            Some(node_datagram::Kind::Membership(datagram)) => {
                self.log_sync(&datagram);
                let (actions, _) = state.core.receive(&datagram, self.started.elapsed());
                wrap(actions)
            }
            Some(node_datagram::Kind::QuotaAsk(ask)) => {
                drop(state);
                self.handle_quota_ask(&ask, from);
                Vec::new()
            }
            Some(node_datagram::Kind::QuotaAnswer(reply)) => {
                // A late reply needs no handling: a job requests its tokens again.
                let _ = self.quota_calls.complete(reply.number, reply);
                Vec::new()
            }
            Some(node_datagram::Kind::FailureReport(report)) => {
                drop(state);
                if let Some(jobs) = self.jobs.get() {
                    jobs.note_reported_failures(&report.from, &report.jobs);
                }
                Vec::new()
            }
            Some(node_datagram::Kind::LoadNotice(notice)) => {
                self.handle_notice(&mut state, notice);
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

    /// Publishes a changed view. Called once a tick, since the cost grows with the number of members and many may join
    /// within a second.
    fn publish_view(&self, state: &mut State) {
        if !state.core.take_changed() {
            return;
        }
        let view = Arc::new(state.core.view());
        let before = std::mem::replace(&mut state.view, view.clone());
        if view.members.len() > 1 && state.first_peer_at.is_none() {
            state.first_peer_at = Some(Instant::now());
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
        self.update_relay_members(&view);
        self.update_audit_members(&state.core, &view);
        self.quarantine.set_members(&staying);
        self.rates.set_members(staying.clone());
        self.streams.set_members(staying.clone());
        self.slots.set_members(staying);
    }

    /// Sets the peers of the own zone that this daemon may follow: those attached to the store.
    fn update_relay_members(&self, view: &MembershipView) {
        let Some(relay) = self.relay.get() else {
            return;
        };
        let candidates = view.staying().filter(|member| {
            member.zone == self.zone && !member.detached && !member.peer_address.is_empty()
        });
        let candidates = candidates.map(|member| RelayPeer {
            id: member.id.clone(),
            address: member.peer_address.clone(),
        });
        let candidates: Vec<RelayPeer> = candidates.collect();
        relay.set_members(&candidates, view.members.len());
    }

    /// Sets the members that audit, or compare their copies with audited ones.
    fn update_audit_members(&self, core: &MembershipCore, view: &MembershipView) {
        let Some(audits) = self.audits.get() else {
            return;
        };
        let others = view.members.iter();
        let others = others.filter(|member| member.id != self.instance_id);
        let others = others.map(|member| AuditMember {
            peer: RelayPeer {
                id: member.id.clone(),
                address: member.peer_address.clone(),
            },
            address: udp_address(core, &member.id),
            is_attached: !member.detached,
            is_leaving: member.leaving,
        });
        let own = view.member(&self.instance_id);
        audits.set_members(others.collect(), own.is_some_and(|own| own.leaving));
    }

    /// Sets the audits of the store's spaces; effective once.
    pub(crate) fn set_audits(&self, audits: Arc<AuditService>) {
        let _ = self.audits.set(audits);
    }

    /// Sets the relay that reads the store's spaces; effective once.
    pub fn set_relay(&self, relay: Arc<Relay>) {
        let _ = self.relay.set(relay);
    }

    /// Sets the jobs, whose state is announced to peers and whose quotas peers request; effective once.
    pub fn set_jobs(&self, jobs: InlineJobs) {
        let _ = self.jobs.set(jobs);
    }

    fn send_to(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // Loss is tolerated: calls are resent or time out; preemptions and returned tokens are sent only once.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }

    /// Sets the updates of the operator's rows that notices carry; effective once.
    pub fn set_peer_updates(&self, peer_updates: Arc<PeerUpdates>) {
        let _ = self.peer_updates.set(peer_updates);
    }
}

fn udp_address(core: &MembershipCore, id: &str) -> Option<SocketAddr> {
    core.udp_address(id)?.parse().ok()
}

fn wrap(actions: Vec<OutgoingDatagram>) -> Vec<(String, Vec<u8>)> {
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
