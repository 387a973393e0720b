//! SlotLeases at replicas: this daemon asks the coordinators of the replicas for them, and keeps those of its own groups.
//!
//! Why by datagram, and with a short patience: a lease is a hint that spares a request a wait. A coordinator that is slow,
//! cut off or gone costs a request a part of its objective once; then the daemon chooses by itself for a while.

mod asking;
mod choosing_group;
mod giving_way;
mod granting;
mod index;
mod leases;
mod outcomes;
mod pacing;
mod reports;
mod room;
mod silence;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use harrierward_clock::SuspensionWatch;
use harrierward_decisions::DecisionLog;
use harrierward_serving::{
    Location, Mechanism, Policy, Replica, ReplicaSet, ReplicaView, SelectionCosts, Suspicion,
    WorkClass, short_hash,
};
use harrierward_slots::{
    GroupAdmission, GroupId, GroupLayout, HeldSlots, NearestMembers, OutlierDetector, SlotLedger,
    SlotUse, coordinator_of,
};
use harrierward_wire::{NodeDatagram, SlotGrant, encode, node_datagram};
use tokio::net::UdpSocket;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::calls::DatagramCalls;
use crate::pool::ConnectionPool;

use index::GroupIndex;
use pacing::PacingState;
use room::ToldRoom;

pub use pacing::Pacing;

/// A living member that stays, as far as the leases concern it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorCandidate {
    /// Member id.
    pub id: String,
    /// Its address for datagrams; `None` if it cannot be read.
    pub address: Option<SocketAddr>,
    /// Where it is.
    pub location: Location,
}

/// Ends this daemon's own batch items.
pub trait YieldItems: Send + Sync {
    /// The item that holds the lease ends.
    fn yield_lease(&self, lease: u32);

    /// So many items at the replica end.
    fn yield_at(&self, replica: &str, count: u32);

    /// A peer's item at a replica shall end; for a replica whose coordinator is silent.
    fn ask_peer(&self, replica: &Arc<Replica>);
}

/// Who keeps a group.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Coordinator {
    Nobody,
    Own,
    Peer(CoordinatorCandidate),
}

struct State {
    ledger: SlotLedger,
    held: HeldSlots,
    silent: HashMap<String, Suspicion>,
    /// What coordinators last told of their groups.
    rooms: HashMap<(u32, GroupId), ToldRoom>,
    /// When a group last had no room for an item.
    no_room_at: HashMap<(u32, GroupId), Instant>,
    /// Coordinators that the last round of reports told of leases.
    reported: HashSet<SocketAddr>,
    /// Digest of the layouts at the last tick.
    layouts: u64,
    ticks: u64,
    /// What was observed of the groups that this daemon coordinates.
    admissions: HashMap<(u32, GroupId), GroupAdmission>,
    /// What became of requests at the replicas of the groups that this daemon coordinates.
    outliers: HashMap<(u32, GroupId), OutlierDetector>,
    /// Coordinators by service and group, as they follow from the members.
    coordinators: HashMap<(u32, GroupId), Coordinator>,
    /// Members nearest to the groups' areas.
    nearest: NearestMembers,
    pacing: PacingState,
}

/// The leases of one daemon.
pub struct SlotService {
    life: String,
    holder: u64,
    location: Location,
    started: Instant,
    replicas: Arc<ReplicaSet>,
    costs: SelectionCosts,
    members: ArcSwap<Vec<CoordinatorCandidate>>,
    yielding: OnceLock<Box<dyn YieldItems>>,
    connections: OnceLock<ConnectionPool>,
    pacing: OnceLock<Pacing>,
    index: ArcSwapOption<GroupIndex>,
    socket: OnceLock<Arc<UdpSocket>>,
    log: DecisionLog,
    calls: DatagramCalls<SlotGrant>,
    suspensions: SuspensionWatch,
    state: Mutex<State>,
}

impl SlotService {
    /// Holds nothing, and knows only itself.
    pub fn new(
        life: String,
        location: Location,
        replicas: Arc<ReplicaSet>,
        costs: SelectionCosts,
        log: DecisionLog,
    ) -> Self {
        let own = CoordinatorCandidate {
            id: life.clone(),
            address: None,
            location,
        };
        Self {
            holder: xxh3_64(life.as_bytes()),
            life,
            location,
            started: harrierward_clock::now(),
            replicas,
            costs,
            members: ArcSwap::from_pointee(vec![own]),
            yielding: OnceLock::new(),
            connections: OnceLock::new(),
            pacing: OnceLock::new(),
            index: ArcSwapOption::empty(),
            socket: OnceLock::new(),
            log,
            calls: DatagramCalls::default(),
            suspensions: SuspensionWatch::start(),
            state: Mutex::new(State {
                ledger: SlotLedger::default(),
                held: HeldSlots::default(),
                silent: HashMap::new(),
                rooms: HashMap::new(),
                no_room_at: HashMap::new(),
                reported: HashSet::new(),
                layouts: 0,
                ticks: 0,
                admissions: HashMap::new(),
                outliers: HashMap::new(),
                coordinators: HashMap::new(),
                nearest: NearestMembers::default(),
                pacing: PacingState::new(harrierward_clock::now()),
            }),
        }
    }

    /// What ends batch items.
    pub fn set_yielding(&self, items: Box<dyn YieldItems>) {
        // Set once, at the start.
        let _ = self.yielding.set(items);
    }

    /// The connections to replicas.
    pub fn set_connections(&self, connections: ConnectionPool) {
        // Set once, at the start.
        let _ = self.connections.set(connections);
    }

    fn is_connected(&self, replica: &Replica) -> bool {
        let connections = self.connections.get();
        connections.is_some_and(|pool| pool.has_idle(&replica.record.address))
    }

    /// What datagrams go out by.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// The members that may keep leases, this one among them unless it leaves.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        let members = Arc::new(members);
        let mut state = self.lock();
        self.members.store(members.clone());
        state.coordinators.clear();
        state.nearest.clear();
        // Each start has a name of its own, so what is known of the gone is of no use any more.
        let silent = &mut state.silent;
        silent.retain(|id, _| members.iter().any(|member| member.id == *id));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(harrierward_clock::age(self.started).as_millis()).unwrap_or(u64::MAX)
    }

    fn coordinator(&self, service: u32, group: GroupId) -> Coordinator {
        let mut state = self.lock();
        if let Some(known) = state.coordinators.get(&(service, group)) {
            return known.clone();
        }
        let found = self.find_coordinator(&mut state.nearest, service, group);
        state.coordinators.insert((service, group), found.clone());
        found
    }

    /// An area's group is coordinated from within the area if anybody is there, else from within its region.
    ///
    /// Why: nearly all who ask are there, and an area that is cut off goes on by itself.
    fn find_coordinator(
        &self,
        nearest: &mut NearestMembers,
        service: u32,
        group: GroupId,
    ) -> Coordinator {
        let members = self.members.load();
        let region = self.index().region_of(service, group);
        let locations = members.iter().map(|member| {
            let location = member.location;
            (location.zone, location.region)
        });
        let nearest = nearest.of(group.area, region, locations);
        let ids = nearest
            .iter()
            .map(|position| members[*position].id.as_str());
        let Some(coordinator) = coordinator_of(service, group, ids) else {
            return Coordinator::Nobody;
        };
        if coordinator == self.life {
            return Coordinator::Own;
        }
        let member = members.iter().find(|member| member.id == coordinator);
        member.map_or(Coordinator::Nobody, |member| {
            Coordinator::Peer(member.clone())
        })
    }

    /// The replicas by group, as they are listed now.
    fn index(&self) -> Arc<GroupIndex> {
        let view = self.replicas.view();
        if let Some(known) = self.index.load_full()
            && Arc::ptr_eq(&known.view, &view)
        {
            return known;
        }
        let index = Arc::new(GroupIndex::new(view, self.costs.policy));
        self.index.store(Some(index.clone()));
        index
    }

    /// The group of a replica within its service.
    fn group(&self, replica: &Replica) -> GroupId {
        let view = self.replicas.view();
        let layout = layout(&view, &replica.record.service, self.costs.policy);
        group_of(&layout, replica)
    }

    /// True if this daemon keeps the replica's leases: the other daemons' requests there are then known exactly.
    pub fn coordinates(&self, replica: &Replica) -> bool {
        let service = short_hash(&replica.record.service);
        self.coordinator(service, self.group(replica)) == Coordinator::Own
    }

    fn send(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // A datagram that is lost is made good by the next whole report, or by the asker's patience.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }
}

/// How a service's replicas are divided into groups.
fn layout<'a>(view: &'a ReplicaView, service: &str, policy: Policy) -> GroupLayout<'a> {
    let (zones, regions) = if policy.has(Mechanism::ZoneGroups) {
        (view.zones(service), view.regions(service))
    } else {
        (&[][..], &[][..])
    };
    GroupLayout::new(view.listed(service).len(), zones, regions)
}

/// The group of a replica.
fn group_of(layout: &GroupLayout<'_>, replica: &Replica) -> GroupId {
    layout.group_of(replica.hash, replica.location.zone, replica.location.region)
}

fn usage_of(item: Option<harrierward_serving::ItemSlack>, now: Instant) -> SlotUse {
    item.map_or(SlotUse::Online, |item| SlotUse::Batch {
        due: now + item.slack,
    })
}

fn class_of(usage: SlotUse) -> WorkClass {
    match usage {
        SlotUse::Online => WorkClass::Online,
        SlotUse::Batch { .. } => WorkClass::Batch,
    }
}

/// Longest time left that an item tells, so that an instant can be made of it.
const LONGEST_SLACK: Duration = Duration::from_secs(24 * 60 * 60);
