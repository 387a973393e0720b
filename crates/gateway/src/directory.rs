//! Directory of the replicas known to a daemon; the request path reads it as a snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use harrierward_external::{Engine, Machine, MachineState, ReplicaId};
use harrierward_routing::{
    CostModel, ReplicaEntry, ReplicaLoad, RoutingTable, SubsetCandidate, stable_subset,
};

/// Factory of engine clients.
pub trait EngineConnector: Send + Sync {
    /// Builds a client of the machine's engine.
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine>;
}

/// Location of this daemon, by which the distance of a zone is ranked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRank {
    /// Name of the daemon's zone.
    pub zone: String,
    /// Names of the zones of the daemon's region.
    pub region_zones: Vec<String>,
}

impl ZoneRank {
    /// Returns 0 for the own zone, 1 for others of the region, 2 for zones elsewhere.
    pub fn distance(&self, zone: &str) -> u8 {
        if zone == self.zone {
            0
        } else if self.region_zones.iter().any(|near| near == zone) {
            1
        } else {
            2
        }
    }
}

/// Counts of this gateway's online requests at one replica, sent to the replica's owner.
#[derive(Debug, Default)]
pub struct OnlineCounts {
    running: AtomicU32,
    prefill_tokens: AtomicU32,
}

impl OnlineCounts {
    /// Returns the number of requests in flight, and of their prompt tokens that are not yet prefilled.
    pub fn get(&self) -> (u32, u32) {
        (
            self.running.load(Ordering::Relaxed),
            self.prefill_tokens.load(Ordering::Relaxed),
        )
    }

    pub(crate) fn note_sent(&self, tokens: u32) {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.prefill_tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    pub(crate) fn note_prefilled(&self, tokens: u32) {
        self.prefill_tokens.fetch_sub(tokens, Ordering::Relaxed);
    }

    pub(crate) fn note_completed(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Replica with its engine client and its load as seen by this gateway.
pub struct Replica {
    /// Number in the prefix index; stable while the replica is listed at the same address.
    pub number: u32,
    /// Entry of the last machine list.
    pub machine: Machine,
    /// Client of the engine.
    pub engine: Arc<dyn Engine>,
    /// Load estimate used for routing.
    pub load: Arc<ReplicaLoad>,
    /// Counts of this gateway's online requests.
    pub online: Arc<OnlineCounts>,
}

/// Replicas of one service that this daemon routes to.
pub struct DirectoryEntry {
    /// Routing table, with entries in the order of `replicas`.
    pub table: RoutingTable,
    /// Replicas in ascending order of their number.
    pub replicas: Vec<Arc<Replica>>,
}

/// Snapshot of all replicas.
#[derive(Default)]
pub struct Directory {
    /// Replicas that may get new work, by service name.
    pub services: BTreeMap<String, DirectoryEntry>,
    /// All listed replicas, leaving ones included.
    pub replicas: BTreeMap<ReplicaId, Arc<Replica>>,
}

/// Maintains the directory; reads are lock-free.
pub struct ReplicaDirectory {
    connector: Arc<dyn EngineConnector>,
    rank: ZoneRank,
    member: String,
    subset: usize,
    cost: CostModel,
    next_number: AtomicU32,
    current: ArcSwap<Directory>,
}

impl ReplicaDirectory {
    /// Builds an empty directory. Each service is routed over a stable subset of at most `subset` replicas, which
    /// depends on the id `member` of this daemon.
    pub fn new(
        connector: Arc<dyn EngineConnector>,
        rank: ZoneRank,
        member: &str,
        subset: usize,
        cost: CostModel,
    ) -> Self {
        Self {
            connector,
            rank,
            member: member.to_owned(),
            subset,
            cost,
            next_number: AtomicU32::new(0),
            current: ArcSwap::from_pointee(Directory::default()),
        }
    }

    /// Returns the current snapshot.
    pub fn load(&self) -> arc_swap::Guard<Arc<Directory>> {
        self.current.load()
    }

    /// Applies a new machine list. Replicas at an unchanged address keep their number, client and load.
    /// Concurrent calls would lose updates: only one task may call this.
    pub fn update(&self, machines: Vec<Machine>) {
        let old = self.current.load_full();
        let mut replicas = BTreeMap::new();
        for machine in machines {
            let id = machine.replica.clone();
            let known = old.replicas.get(&id);
            let same_address = known.filter(|replica| replica.machine.address == machine.address);
            let replica = match same_address {
                Some(known) => Replica {
                    number: known.number,
                    engine: known.engine.clone(),
                    load: known.load.clone(),
                    online: known.online.clone(),
                    machine,
                },
                None => Replica {
                    number: self.next_number.fetch_add(1, Ordering::Relaxed),
                    engine: self.connector.connect(&machine),
                    load: Arc::new(ReplicaLoad::default()),
                    online: Arc::new(OnlineCounts::default()),
                    machine,
                },
            };
            replicas.insert(id, Arc::new(replica));
        }
        let services = self.services(&replicas);
        self.current
            .store(Arc::new(Directory { services, replicas }));
    }

    fn services(
        &self,
        replicas: &BTreeMap<ReplicaId, Arc<Replica>>,
    ) -> BTreeMap<String, DirectoryEntry> {
        let mut by_service: BTreeMap<&str, Vec<&Arc<Replica>>> = BTreeMap::new();
        for replica in replicas.values() {
            if replica.machine.state == MachineState::Live {
                let service = replica.machine.service.as_str();
                by_service.entry(service).or_default().push(replica);
            }
        }
        by_service
            .into_iter()
            .map(|(service, replicas)| (service.to_owned(), self.entry(&replicas)))
            .collect()
    }

    fn entry(&self, replicas: &[&Arc<Replica>]) -> DirectoryEntry {
        let candidates: Vec<SubsetCandidate<'_>> = replicas
            .iter()
            .map(|replica| SubsetCandidate {
                id: &replica.machine.replica.0,
                distance: self.rank.distance(&replica.machine.zone),
            })
            .collect();
        let subset = stable_subset(&self.member, &candidates, self.subset);
        let mut subset: Vec<Arc<Replica>> = subset
            .into_iter()
            .map(|index| replicas[index].clone())
            .collect();
        subset.sort_by_key(|replica| replica.number);
        let entries = subset
            .iter()
            .map(|replica| ReplicaEntry {
                number: replica.number,
                distance: self.rank.distance(&replica.machine.zone),
                load: replica.load.clone(),
            })
            .collect();
        DirectoryEntry {
            table: RoutingTable::new(entries, self.cost),
            replicas: subset,
        }
    }
}
