//! Slot leases at replicas: requests them from the coordinators of replica groups, and grants those of the groups that
//! this daemon coordinates.
//!
//! Leases are advisory: when a coordinator doesn't reply within a short timeout, the daemon chooses replicas by itself
//! for a while, so that not every request spends part of its objective on a failed coordinator.

mod capacity;
mod granting;
mod group_selection;
mod index;
mod leases;
mod outcomes;
mod pacing;
mod preemption;
mod reports;
mod requests;
mod unresponsive;

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

use capacity::ReportedCapacity;
use index::GroupIndex;
use pacing::PacingState;

pub use pacing::Pacing;

/// A live member that isn't leaving, and so may coordinate groups and tenants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorCandidate {
    /// Instance id of the member's daemon.
    pub id: String,
    /// Address for datagrams; `None` if the member's record holds no valid one.
    pub address: Option<SocketAddr>,
    /// Zone and region, as hashes.
    pub location: Location,
}

/// Preempts batch items in favour of online requests.
pub trait PreemptItems: Send + Sync {
    /// Preempts the item of this daemon that holds the lease.
    fn preempt_lease(&self, lease: u32);

    /// Preempts up to `count` items of this daemon at the replica.
    fn preempt_at(&self, replica: &str, count: u32);

    /// Requests that a peer preempt an item at the replica; used where the replica's coordinator is unresponsive.
    fn preempt_peer(&self, replica: &Arc<Replica>);
}

/// The daemon that grants a group's leases.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Coordinator {
    Unknown,
    Own,
    Peer(CoordinatorCandidate),
}

struct State {
    ledger: SlotLedger,
    held: HeldSlots,
    unresponsive: HashMap<String, Suspicion>,
    /// Free capacity of the groups, as their coordinators last reported it.
    capacities: HashMap<(u32, GroupId), ReportedCapacity>,
    /// When a group last had no free slot for a batch item.
    full_for_items_at: HashMap<(u32, GroupId), Instant>,
    /// Coordinators whose last full report listed leases.
    reported_to: HashSet<SocketAddr>,
    /// Digest of the group layouts at the last tick.
    layouts_digest: u64,
    ticks: u64,
    /// Admission control of the groups that this daemon coordinates.
    admissions: HashMap<(u32, GroupId), GroupAdmission>,
    /// Outlier detection of the groups that this daemon coordinates.
    outliers: HashMap<(u32, GroupId), OutlierDetector>,
    /// Cache of [`SlotService::find_coordinator`], cleared when the members or the group layouts change.
    coordinators: HashMap<(u32, GroupId), Coordinator>,
    /// Cache of the members nearest to each area.
    nearest: NearestMembers,
    pacing: PacingState,
}

/// Slot leases of one daemon, as a holder and as a coordinator.
pub struct SlotService {
    instance_id: String,
    holder: u64,
    location: Location,
    started: Instant,
    replicas: Arc<ReplicaSet>,
    costs: SelectionCosts,
    members: ArcSwap<Vec<CoordinatorCandidate>>,
    preemption: OnceLock<Box<dyn PreemptItems>>,
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
    /// Starts without leases and with this daemon as the only member.
    pub fn new(
        instance_id: String,
        location: Location,
        replicas: Arc<ReplicaSet>,
        costs: SelectionCosts,
        log: DecisionLog,
    ) -> Self {
        let own = CoordinatorCandidate {
            id: instance_id.clone(),
            address: None,
            location,
        };
        Self {
            holder: xxh3_64(instance_id.as_bytes()),
            instance_id,
            location,
            started: harrierward_clock::now(),
            replicas,
            costs,
            members: ArcSwap::from_pointee(vec![own]),
            preemption: OnceLock::new(),
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
                unresponsive: HashMap::new(),
                capacities: HashMap::new(),
                full_for_items_at: HashMap::new(),
                reported_to: HashSet::new(),
                layouts_digest: 0,
                ticks: 0,
                admissions: HashMap::new(),
                outliers: HashMap::new(),
                coordinators: HashMap::new(),
                nearest: NearestMembers::default(),
                pacing: PacingState::new(harrierward_clock::now()),
            }),
        }
    }

    /// Sets what preempts batch items; until then no item is preempted.
    pub fn set_preemption(&self, items: Box<dyn PreemptItems>) {
        // Set once, during startup.
        let _ = self.preemption.set(items);
    }

    /// Sets the pool whose idle connections make a replica preferred.
    pub fn set_connections(&self, connections: ConnectionPool) {
        // Set once, during startup.
        let _ = self.connections.set(connections);
    }

    fn is_connected(&self, replica: &Replica) -> bool {
        let connections = self.connections.get();
        connections.is_some_and(|pool| pool.has_idle(&replica.record.address))
    }

    /// Sets the socket for datagrams; nothing is sent before.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Sets the members that may coordinate groups; includes this daemon unless it is leaving.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        let members = Arc::new(members);
        let mut state = self.lock();
        self.members.store(members.clone());
        state.coordinators.clear();
        state.nearest.clear();
        // Each daemon instance has its own id, so entries of departed members are never needed again.
        let unresponsive = &mut state.unresponsive;
        unresponsive.retain(|id, _| members.iter().any(|member| member.id == *id));
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

    /// Prefers a coordinator in the group's own area, then in its region: most requesters are there, and a partitioned
    /// area keeps working.
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
            return Coordinator::Unknown;
        };
        if coordinator == self.instance_id {
            return Coordinator::Own;
        }
        let member = members.iter().find(|member| member.id == coordinator);
        member.map_or(Coordinator::Unknown, |member| {
            Coordinator::Peer(member.clone())
        })
    }

    /// Returns the index of the current replica view, rebuilt when the view has changed.
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

    /// Returns the group of a replica within its service.
    fn group(&self, replica: &Replica) -> GroupId {
        let view = self.replicas.view();
        let layout = layout(&view, &replica.record.service, self.costs.policy);
        group_of(&layout, replica)
    }

    /// True if this daemon coordinates the replica's group, and so has the other daemons' exact request counts there.
    pub fn coordinates(&self, replica: &Replica) -> bool {
        let service = short_hash(&replica.record.service);
        self.coordinator(service, self.group(replica)) == Coordinator::Own
    }

    fn send(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // Loss is tolerated: the next full report or the requester's timeout covers it.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }
}

/// Returns how a service's replicas are divided into groups.
fn layout<'a>(view: &'a ReplicaView, service: &str, policy: Policy) -> GroupLayout<'a> {
    let (zones, regions) = if policy.has(Mechanism::ZoneGroups) {
        (view.zones(service), view.regions(service))
    } else {
        (&[][..], &[][..])
    };
    GroupLayout::new(view.listed(service).len(), zones, regions)
}

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

/// Upper bound of the durations that `requests::millis` converts, such as an item's slack.
const MAX_SLACK: Duration = Duration::from_secs(24 * 60 * 60);
