//! The replicas that a daemon knows, read by the request path as a snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use harrierward_external::{Engine, Machine, MachineState, ReplicaId};
use harrierward_routing::{
    CostModel, ReplicaEntry, ReplicaLoad, RoutingTable, SubsetMember, stable_subset,
};

/// Makes a client of an engine.
pub trait EngineConnector: Send + Sync {
    /// A client of the machine's engine.
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine>;
}

/// Ranks zones by distance from this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRank {
    /// Own zone.
    pub zone: String,
    /// Zones of the own region.
    pub region_zones: Vec<String>,
}

impl ZoneRank {
    /// 0 for the own zone, 1 for the own region, 2 elsewhere.
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

/// Online requests of this gateway at one replica, for the replica's owner.
#[derive(Debug, Default)]
pub struct OnlineCounts {
    running: AtomicU32,
    prefill_tokens: AtomicU32,
}

impl OnlineCounts {
    /// Requests in flight and their prompt tokens not yet prefilled.
    pub fn get(&self) -> (u32, u32) {
        (
            self.running.load(Ordering::Relaxed),
            self.prefill_tokens.load(Ordering::Relaxed),
        )
    }

    pub(crate) fn sent(&self, tokens: u32) {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.prefill_tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    pub(crate) fn prefilled(&self, tokens: u32) {
        self.prefill_tokens.fetch_sub(tokens, Ordering::Relaxed);
    }

    pub(crate) fn ended(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One replica.
pub struct Replica {
    /// Number used by the prefix index; the same as long as the replica is known.
    pub number: u32,
    /// The machine as last listed.
    pub machine: Machine,
    /// Client of its engine.
    pub engine: Arc<dyn Engine>,
    /// Load as the gateway sees it.
    pub load: Arc<ReplicaLoad>,
    /// Online requests of this gateway.
    pub online: Arc<OnlineCounts>,
}

/// The replicas of one service.
pub struct DirectoryEntry {
    /// Table for the choice; entries in the order of `replicas`.
    pub table: RoutingTable,
    /// The replicas, ordered by number.
    pub replicas: Vec<Arc<Replica>>,
}

/// A snapshot of all replicas.
#[derive(Default)]
pub struct Directory {
    /// Replicas that may get new work, by service.
    pub services: BTreeMap<String, DirectoryEntry>,
    /// All listed replicas, leaving ones included.
    pub replicas: BTreeMap<ReplicaId, Arc<Replica>>,
}

/// Keeps the directory; readers never wait.
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
    /// An empty directory; each service is reached over a stable subset of at most `subset` replicas.
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

    /// The present snapshot.
    pub fn load(&self) -> arc_swap::Guard<Arc<Directory>> {
        self.current.load()
    }

    /// Takes over a new machine list. Known replicas keep their number, client and load. To be called by one
    /// task only.
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
        let members: Vec<SubsetMember<'_>> = replicas
            .iter()
            .map(|replica| SubsetMember {
                id: &replica.machine.replica.0,
                distance: self.rank.distance(&replica.machine.zone),
            })
            .collect();
        let chosen = stable_subset(&self.member, &members, self.subset);
        let mut chosen: Vec<Arc<Replica>> = chosen
            .into_iter()
            .map(|index| replicas[index].clone())
            .collect();
        chosen.sort_by_key(|replica| replica.number);
        let entries = chosen
            .iter()
            .map(|replica| ReplicaEntry {
                number: replica.number,
                distance: self.rank.distance(&replica.machine.zone),
                load: replica.load.clone(),
            })
            .collect();
        DirectoryEntry {
            table: RoutingTable::new(entries, self.cost),
            replicas: chosen,
        }
    }
}
