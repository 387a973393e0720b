//! The replicas that discovery names, as a whole: read without locks, replaced when the list or the evacuated zones change.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

use crate::replica::{Replica, ReplicaRecord, lock, short_hash};
use crate::selection::preference_weight;
use crate::topology::Location;

/// How long a replica whose record vanished is still used if its service has no other: records also vanish while
/// the store is down.
const VANISHED_LIFETIME: Duration = Duration::from_millis(1_700);

#[derive(Debug, Clone)]
struct Vanished {
    replica: Arc<Replica>,
    at: Instant,
}

/// All replicas at one moment.
#[derive(Debug, Default, Clone)]
pub struct ReplicaView {
    by_id: HashMap<String, Arc<Replica>>,
    by_hash: HashMap<u32, Arc<Replica>>,
    by_service: HashMap<String, Vec<Arc<Replica>>>,
    /// Hashes of the zones that each service's replicas are in, in order, each once.
    zones: HashMap<String, Vec<u32>>,
    /// Hashes of their regions, likewise.
    regions: HashMap<String, Vec<u32>>,
    long_prompt_homes: HashSet<String>,
    vanished: HashMap<String, Vec<Vanished>>,
}

impl ReplicaView {
    /// Replicas of a service that take new work, ready ones first; those that vanished only if there are no others.
    pub fn usable(&self, service: &str) -> Vec<Arc<Replica>> {
        let listed = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let ready: Vec<Arc<Replica>> = listed
            .iter()
            .filter(|replica| replica.accepts_work())
            .cloned()
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        let vanished = self.vanished.get(service).map_or(&[][..], Vec::as_slice);
        vanished
            .iter()
            .filter(|gone| {
                harrierward_clock::age(gone.at) < VANISHED_LIFETIME && gone.replica.accepts_work()
            })
            .map(|gone| gone.replica.clone())
            .collect()
    }

    /// True if any replica of the service takes new work in these regions.
    pub fn has_usable(&self, service: &str, regions: &AllowedRegions) -> bool {
        let fits = |replica: &Arc<Replica>| regions.allows(&replica.record.region);
        let is_ready = |replica: &Arc<Replica>| replica.accepts_work() && fits(replica);
        self.listed(service).iter().any(is_ready) || self.usable(service).iter().any(fits)
    }

    /// The name of a service and its listed replicas, from the hash of the name.
    pub fn service_by_hash(&self, hash: u32) -> Option<(&str, &[Arc<Replica>])> {
        let named = self.by_service.iter();
        let mut named = named.filter(|(name, _)| short_hash(name) == hash);
        named.next().map(|(name, list)| (name.as_str(), &list[..]))
    }

    /// All listed replicas of a service.
    pub fn listed(&self, service: &str) -> &[Arc<Replica>] {
        self.by_service.get(service).map_or(&[][..], Vec::as_slice)
    }

    /// Hashes of the zones in which the service has replicas, each once.
    pub fn zones(&self, service: &str) -> &[u32] {
        self.zones.get(service).map_or(&[][..], Vec::as_slice)
    }

    /// Hashes of the regions in which the service has replicas, each once.
    pub fn regions(&self, service: &str) -> &[u32] {
        self.regions.get(service).map_or(&[][..], Vec::as_slice)
    }

    /// Names of the services that have replicas.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// A replica by the hash of its start.
    pub fn by_hash(&self, hash: u32) -> Option<&Arc<Replica>> {
        self.by_hash.get(&hash)
    }

    /// True if the replica is among those for long prompts.
    pub fn is_long_prompt_home(&self, id: &str) -> bool {
        self.long_prompt_homes.contains(id)
    }

    /// All listed replicas.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Replica>> {
        self.by_id.values()
    }

    /// A replica by id.
    pub fn get(&self, id: &str) -> Option<&Arc<Replica>> {
        self.by_id.get(id)
    }

    /// Number of replicas listed.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// True if no replica is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// The replicas, read without locks.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    view: ArcSwap<ReplicaView>,
    evacuated_zones: ArcSwap<HashSet<String>>,
    /// Held while a view is made from the one before: a new list and a change of the zones come from different tasks.
    changing: Mutex<()>,
}

impl ReplicaSet {
    /// The replicas now.
    pub fn view(&self) -> Arc<ReplicaView> {
        self.view.load_full()
    }

    /// Takes a whole new list; counts and memory of replicas that stay are kept. None is seen in service while its zone
    /// is evacuated.
    pub fn replace(&self, records: Vec<ReplicaRecord>, memory_tokens: impl Fn(&str) -> u64) {
        let _changing = lock(&self.changing);
        let old = self.view();
        let replicas = records
            .into_iter()
            .map(|record| keep_or_create(&old, record, &memory_tokens));
        self.publish(&old, replicas.collect());
    }

    /// Takes the names of all zones that are evacuated; it holds for replicas that are listed later too.
    pub fn set_evacuated_zones(&self, zones: HashSet<String>) {
        let _changing = lock(&self.changing);
        self.evacuated_zones.store(Arc::new(zones));
        let old = self.view();
        self.publish(&old, old.by_id.values().cloned().collect());
    }

    fn publish(&self, old: &ReplicaView, replicas: Vec<Arc<Replica>>) {
        let evacuated = self.evacuated_zones.load();
        let vanished_before = old.vanished.values().flatten();
        for replica in replicas
            .iter()
            .chain(vanished_before.map(|gone| &gone.replica))
            .chain(old.by_id.values())
        {
            replica.set_zone_evacuated(evacuated.contains(&replica.record.zone));
        }
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<String, Vec<Arc<Replica>>> = HashMap::new();
        for replica in replicas {
            let service = by_service
                .entry(replica.record.service.clone())
                .or_default();
            service.push(replica.clone());
            by_id.insert(replica.record.id.clone(), replica);
        }
        for list in by_service.values_mut() {
            list.sort_by(|left, right| left.record.id.cmp(&right.record.id));
        }
        let vanished = still_vanished(old, &by_id);
        let by_hash = by_id
            .values()
            .map(|replica| (replica.hash, replica.clone()));
        let by_hash = by_hash.collect();
        let long_prompt_homes = by_service.values().flat_map(|list| homes(list)).collect();
        let zones = areas_of(&by_service, |location| location.zone);
        let regions = areas_of(&by_service, |location| location.region);
        self.view.store(Arc::new(ReplicaView {
            by_id,
            by_hash,
            zones,
            regions,
            by_service,
            long_prompt_homes,
            vanished,
        }));
    }
}

/// The areas that the replicas of each service are in, in order, each once.
fn areas_of(
    by_service: &HashMap<String, Vec<Arc<Replica>>>,
    area: impl Fn(Location) -> u32,
) -> HashMap<String, Vec<u32>> {
    let services = by_service.iter().map(|(service, list)| {
        let mut areas: Vec<u32> = list.iter().map(|one| area(one.location)).collect();
        areas.sort_unstable();
        areas.dedup();
        (service.clone(), areas)
    });
    services.collect()
}

/// Share of a service's replicas that take the long prompts, in percent.
const HOME_PERCENT: usize = 33;

/// Fewest replicas that take the long prompts.
const FEWEST_HOMES: usize = 2;

/// Replicas for long prompts: the first in an order that all daemons share. A service with too few replicas has none.
fn homes(list: &[Arc<Replica>]) -> Vec<String> {
    let mut ready: Vec<&Arc<Replica>> = list.iter().filter(|one| one.accepts_work()).collect();
    let count = (ready.len() * HOME_PERCENT / 100).max(FEWEST_HOMES);
    if ready.len() < count * 2 {
        return Vec::new();
    }
    ready.sort_by_key(|replica| preference_weight(0, &replica.record.id));
    let first = ready.into_iter().take(count);
    first.map(|replica| replica.record.id.clone()).collect()
}

fn keep_or_create(
    old: &ReplicaView,
    record: ReplicaRecord,
    memory_tokens: &impl Fn(&str) -> u64,
) -> Arc<Replica> {
    let kept = old.by_id.get(&record.id).cloned().or_else(|| {
        let gone = old.vanished.get(&record.service)?;
        let same = gone
            .iter()
            .find(|gone| gone.replica.record.id == record.id)?;
        // It comes back with a row that nobody has taken into account, and may have turned cold meanwhile.
        same.replica
            .note_row_warmup(record.warmup, harrierward_clock::now());
        Some(same.replica.clone())
    });
    match kept {
        Some(replica)
            if replica.record.address == record.address
                && !replica.record.is_other_start(&record) =>
        {
            replica.set_unlisted(false);
            if record.draining {
                replica.set_draining();
            }
            replica
        }
        _ => {
            let tokens = memory_tokens(&record.service);
            Arc::new(Replica::new(record, tokens))
        }
    }
}

fn still_vanished(
    old: &ReplicaView,
    by_id: &HashMap<String, Arc<Replica>>,
) -> HashMap<String, Vec<Vanished>> {
    let now = harrierward_clock::now();
    let just_gone = old.by_id.values().map(|replica| Vanished {
        replica: replica.clone(),
        at: now,
    });
    let earlier = old.vanished.values().flatten().cloned();
    let mut vanished: HashMap<String, Vec<Vanished>> = HashMap::new();
    for gone in earlier.chain(just_gone) {
        let listed = by_id.contains_key(&gone.replica.record.id);
        if listed || harrierward_clock::age(gone.at) >= VANISHED_LIFETIME {
            continue;
        }
        let service = gone.replica.record.service.clone();
        vanished.entry(service).or_default().push(gone);
    }
    vanished
}
