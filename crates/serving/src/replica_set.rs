//! The replicas that discovery names, as a whole: read without locks, replaced when the list or the evacuated zones change.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
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

/// The listed replicas of one service.
#[derive(Debug, Default)]
struct ServiceReplicas {
    /// In order of id.
    list: Vec<Arc<Replica>>,
    /// Hashes of the zones that they are in, in order, each once.
    zones: Vec<u32>,
    /// Hashes of their regions, likewise.
    regions: Vec<u32>,
    /// Found when first asked for: most daemons never choose for long prompts of most services.
    long_prompt_affinity: OnceLock<HashSet<String>>,
}

/// All replicas at one moment. The next view shares with this one what has not changed.
#[derive(Debug, Default, Clone)]
pub struct ReplicaView {
    by_id: imbl::HashMap<String, Arc<Replica>>,
    by_hash: imbl::HashMap<u32, Arc<Replica>>,
    by_service: HashMap<String, Arc<ServiceReplicas>>,
    vanished: HashMap<String, Vec<Vanished>>,
}

impl ReplicaView {
    /// Replicas of a service that take new work, ready ones first; those that vanished only if there are no others.
    pub fn usable(&self, service: &str) -> Vec<Arc<Replica>> {
        let listed = self.listed(service);
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
        named
            .next()
            .map(|(name, replicas)| (name.as_str(), &replicas.list[..]))
    }

    /// All listed replicas of a service.
    pub fn listed(&self, service: &str) -> &[Arc<Replica>] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.list)
    }

    /// Hashes of the zones in which the service has replicas, each once.
    pub fn zones(&self, service: &str) -> &[u32] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.zones)
    }

    /// Hashes of the regions in which the service has replicas, each once.
    pub fn regions(&self, service: &str) -> &[u32] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.regions)
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
    pub fn has_long_prompt_affinity(&self, id: &str) -> bool {
        let service = self.by_id.get(id).map(|one| &one.record.service);
        let replicas = service.and_then(|service| self.by_service.get(service));
        replicas.is_some_and(|replicas| replicas.long_prompt_affinity().contains(id))
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
    in_progress: Arc<AtomicUsize>,
    /// Held while a view is made from the one before: a new list and a change of the zones come from different tasks.
    changing: Mutex<()>,
}

impl ReplicaSet {
    /// The replicas now.
    pub fn view(&self) -> Arc<ReplicaView> {
        self.view.load_full()
    }

    /// True if no request of this daemon is in progress at any replica, also at none that is no longer listed: nobody then needs to look
    /// through all replicas for those that have some.
    pub fn is_idle(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) == 0
    }

    /// Takes a whole new list; counts and memory of replicas that stay are kept. None is seen in service while its zone
    /// is evacuated.
    pub fn replace(&self, records: Vec<ReplicaRecord>, memory_tokens: impl Fn(&str) -> u64) {
        let old = self.view();
        let named: HashSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
        let gone = old.by_id.keys().filter(|id| !named.contains(id.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        self.update(records, &gone, memory_tokens);
    }

    /// Takes what has changed: records that are new or other than before, and ids of replicas that are not listed any more. What
    /// this costs follows from the changes, and only a copy of pointers from the number of replicas.
    pub fn update(
        &self,
        changed: Vec<ReplicaRecord>,
        gone: &[String],
        memory_tokens: impl Fn(&str) -> u64,
    ) {
        let _changing = lock(&self.changing);
        let old = self.view();
        let evacuated = self.evacuated_zones.load();
        let last_words = changed
            .into_iter()
            .map(|record| (record.id.clone(), record));
        let last_words: HashMap<String, ReplicaRecord> = last_words.collect();
        let changed = last_words.into_values().map(|record| {
            let replica = keep_or_create(&old, record, &memory_tokens, &self.in_progress);
            replica.set_zone_evacuated(evacuated.contains(&replica.record.zone));
            replica
        });
        let changed: Vec<Arc<Replica>> = changed.collect();
        self.view.store(Arc::new(next_view(&old, &changed, gone)));
    }

    /// Takes the names of all zones that are evacuated; it holds for replicas that are listed later too.
    pub fn set_evacuated_zones(&self, zones: HashSet<String>) {
        let _changing = lock(&self.changing);
        let mut view = ReplicaView::clone(&self.view());
        let vanished = view.vanished.values().flatten();
        let vanished = vanished.map(|gone| &gone.replica);
        for replica in view.by_id.values().chain(vanished) {
            replica.set_zone_evacuated(zones.contains(&replica.record.zone));
        }
        self.evacuated_zones.store(Arc::new(zones));
        let services: Vec<String> = view.by_service.keys().cloned().collect();
        for service in services {
            view.edit_service(service, ServiceEdit::default());
        }
        self.view.store(Arc::new(view));
    }
}

/// The view that follows from `old` by these changes.
fn next_view(old: &ReplicaView, changed: &[Arc<Replica>], gone: &[String]) -> ReplicaView {
    let mut view = old.clone();
    let mut edits: HashMap<String, ServiceEdit> = HashMap::new();
    for id in gone {
        let Some(replica) = view.by_id.remove(id) else {
            continue;
        };
        view.forget_hash(&replica);
        edit_of(&mut edits, &replica).gone.insert(id.clone());
    }
    for replica in changed {
        let id = &replica.record.id;
        let before = view.by_id.insert(id.clone(), replica.clone());
        if let Some(before) = before {
            view.forget_hash(&before);
            edit_of(&mut edits, &before).gone.insert(id.clone());
        }
        view.by_hash.insert(replica.hash, replica.clone());
        edit_of(&mut edits, replica).listed.push(replica.clone());
    }
    view.vanished = still_vanished(old, &view.by_id, changed, gone);
    for (service, edit) in edits {
        view.edit_service(service, edit);
    }
    view
}

/// What changes in the list of one service.
#[derive(Default)]
struct ServiceEdit {
    gone: HashSet<String>,
    listed: Vec<Arc<Replica>>,
}

fn edit_of<'a>(
    edits: &'a mut HashMap<String, ServiceEdit>,
    replica: &Replica,
) -> &'a mut ServiceEdit {
    edits.entry(replica.record.service.clone()).or_default()
}

impl ReplicaView {
    /// Another start may have taken the hash meanwhile.
    fn forget_hash(&mut self, replica: &Arc<Replica>) {
        let known = self.by_hash.get(&replica.hash);
        if known.is_some_and(|known| Arc::ptr_eq(known, replica)) {
            self.by_hash.remove(&replica.hash);
        }
    }

    fn edit_service(&mut self, service: String, edit: ServiceEdit) {
        let before = self.listed(&service);
        let kept = before.iter();
        let kept = kept.filter(|replica| !edit.gone.contains(&replica.record.id));
        let mut list = Vec::with_capacity(before.len() + edit.listed.len());
        list.extend(kept.cloned());
        list.extend(edit.listed);
        if list.is_empty() {
            self.by_service.remove(&service);
            return;
        }
        // Nearly sorted: what stays is in order.
        list.sort_by(|left, right| left.record.id.cmp(&right.record.id));
        let replicas = ServiceReplicas {
            zones: areas_of(&list, |location| location.zone),
            regions: areas_of(&list, |location| location.region),
            list,
            long_prompt_affinity: OnceLock::new(),
        };
        self.by_service.insert(service, Arc::new(replicas));
    }
}

impl ServiceReplicas {
    fn long_prompt_affinity(&self) -> &HashSet<String> {
        let found = || homes(&self.list).into_iter().collect();
        self.long_prompt_affinity.get_or_init(found)
    }
}

/// The areas that replicas are in, in order, each once.
fn areas_of(list: &[Arc<Replica>], area: impl Fn(Location) -> u32) -> Vec<u32> {
    let areas: BTreeSet<u32> = list.iter().map(|one| area(one.location)).collect();
    areas.into_iter().collect()
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
    in_progress: &Arc<AtomicUsize>,
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
                && !replica.record.is_other_instance(&record) =>
        {
            replica.set_unlisted(false);
            if record.draining {
                replica.set_draining();
            }
            replica
        }
        _ => {
            let tokens = memory_tokens(&record.service);
            Arc::new(Replica::new(record, tokens, in_progress.clone()))
        }
    }
}

fn still_vanished(
    old: &ReplicaView,
    by_id: &imbl::HashMap<String, Arc<Replica>>,
    changed: &[Arc<Replica>],
    gone: &[String],
) -> HashMap<String, Vec<Vanished>> {
    let now = harrierward_clock::now();
    // One whose place another start has taken is listed by its name, and so is not among them.
    let named = changed.iter().map(|replica| &replica.record.id);
    let named = named.chain(gone).filter(|id| !by_id.contains_key(*id));
    let just_gone = named
        .filter_map(|id| old.by_id.get(id))
        .map(|replica| Vanished {
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
