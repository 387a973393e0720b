//! Set of all listed replicas, read without locks and replaced when the list or the evacuated zones change.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

use crate::gate::admits_version;
use crate::replica::{Replica, lock, short_hash};
use crate::replica_record::ReplicaRecord;
use crate::selection::preference_weight;
use crate::topology::Location;
use harrierward_stream_origins::SoftwareVersion;

/// Time for which a replica whose record vanished is still used if its service has no other; records also vanish
/// while the store is down. Less than the shortest bound on the use of a replica that has gone.
const VANISHED_TTL: Duration = Duration::from_millis(1_700);

#[derive(Debug, Clone)]
struct Vanished {
    replica: Arc<Replica>,
    /// Earliest moment at which the record may have vanished.
    vanished_at: Instant,
}

/// Listed replicas of one service.
#[derive(Debug, Default)]
struct ServiceReplicas {
    /// Ordered by id.
    list: Vec<Arc<Replica>>,
    /// Hashes of their zones, ordered, without duplicates.
    zones: Vec<u32>,
    /// Hashes of their regions, ordered, without duplicates.
    regions: Vec<u32>,
    /// Their software versions, without duplicates.
    versions: Vec<SoftwareVersion>,
    /// Ids of the replicas for long prompts; computed on first use, as most daemons need it for few services.
    long_prompt_affinity: OnceLock<HashSet<String>>,
}

/// Snapshot of all replicas; shares unchanged parts with its successor.
#[derive(Debug, Default, Clone)]
pub struct ReplicaView {
    by_id: imbl::HashMap<String, Arc<Replica>>,
    by_hash: imbl::HashMap<u32, Arc<Replica>>,
    by_service: HashMap<String, Arc<ServiceReplicas>>,
    vanished: HashMap<String, Vec<Vanished>>,
}

impl ReplicaView {
    /// Returns the replicas of a service that accept work; vanished ones only if there are no others.
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
            .filter(|entry| {
                harrierward_clock::age(entry.vanished_at) < VANISHED_TTL
                    && entry.replica.accepts_work()
            })
            .map(|entry| entry.replica.clone())
            .collect()
    }

    /// True if a replica of the service accepts work in one of these regions, and is of this software version if one is
    /// given.
    pub fn has_usable(
        &self,
        service: &str,
        regions: &AllowedRegions,
        version: Option<SoftwareVersion>,
    ) -> bool {
        self.has_usable_besides(service, regions, version, None)
    }

    /// True if a replica as for [`Self::has_usable`] has another id than the excluded one.
    pub fn has_usable_besides(
        &self,
        service: &str,
        regions: &AllowedRegions,
        version: Option<SoftwareVersion>,
        excluded: Option<&str>,
    ) -> bool {
        let fits = |replica: &Arc<Replica>| {
            regions.allows(&replica.record.region)
                && admits_version(version, replica)
                && Some(replica.record.id.as_str()) != excluded
        };
        let is_ready = |replica: &Arc<Replica>| replica.accepts_work() && fits(replica);
        self.listed(service).iter().any(is_ready) || self.usable(service).iter().any(fits)
    }

    /// Returns the name and the listed replicas of the service whose name has this hash.
    pub fn service_by_hash(&self, hash: u32) -> Option<(&str, &[Arc<Replica>])> {
        let named = self.by_service.iter();
        let mut named = named.filter(|(name, _)| short_hash(name) == hash);
        named
            .next()
            .map(|(name, replicas)| (name.as_str(), &replicas.list[..]))
    }

    /// Returns the listed replicas of a service, ordered by id.
    pub fn listed(&self, service: &str) -> &[Arc<Replica>] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.list)
    }

    /// Returns the hashes of the zones in which the service has replicas, without duplicates.
    pub fn zones(&self, service: &str) -> &[u32] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.zones)
    }

    /// Returns the hashes of the regions in which the service has replicas, without duplicates.
    pub fn regions(&self, service: &str) -> &[u32] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.regions)
    }

    /// Returns the software versions of the listed replicas of a service, without duplicates.
    pub fn versions(&self, service: &str) -> &[SoftwareVersion] {
        let replicas = self.by_service.get(service);
        replicas.map_or(&[][..], |replicas| &replicas.versions)
    }

    /// Returns the names of the services with listed replicas.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// Returns a replica by the hash of its instance.
    pub fn by_hash(&self, hash: u32) -> Option<&Arc<Replica>> {
        self.by_hash.get(&hash)
    }

    /// True if the replica is one of those for long prompts.
    pub fn has_long_prompt_affinity(&self, id: &str) -> bool {
        let service = self.by_id.get(id).map(|one| &one.record.service);
        let replicas = service.and_then(|service| self.by_service.get(service));
        replicas.is_some_and(|replicas| replicas.long_prompt_affinity().contains(id))
    }

    /// Returns all listed replicas, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Replica>> {
        self.by_id.values()
    }

    /// Returns a replica by id.
    pub fn get(&self, id: &str) -> Option<&Arc<Replica>> {
        self.by_id.get(id)
    }

    /// Returns the number of listed replicas.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// True if no replica is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// Current [`ReplicaView`], read without locks.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    view: ArcSwap<ReplicaView>,
    evacuated_zones: ArcSwap<HashSet<String>>,
    in_progress: Arc<AtomicUsize>,
    /// Time of the proof that the listed replicas aren't leaving; `None` before the first.
    proven_at: ArcSwapOption<Instant>,
    /// Serializes updates: the list and the evacuated zones are changed by different tasks.
    update_lock: Mutex<()>,
}

impl ReplicaSet {
    /// Returns the current snapshot.
    pub fn view(&self) -> Arc<ReplicaView> {
        self.view.load_full()
    }

    /// Records that no listed replica had changed its record by `as_of`, as an audit showed.
    pub fn prove(&self, as_of: Instant) {
        let known = self.proven_at.load();
        if known.as_ref().is_none_or(|known| **known < as_of) {
            self.proven_at.store(Some(Arc::new(as_of)));
        }
    }

    /// Returns the age of the proof of the list; `None` without one.
    pub fn proof_age(&self) -> Option<Duration> {
        let proven_at = self.proven_at.load();
        proven_at.as_ref().map(|at| harrierward_clock::age(**at))
    }

    /// True if no request of this daemon is in progress at any replica, listed or not. Callers that look for replicas
    /// with such requests then needn't scan all of them.
    pub fn is_idle(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) == 0
    }

    /// Replaces the full list; the state of replicas that stay is kept.
    pub fn replace(&self, records: Vec<ReplicaRecord>, memory_tokens: impl Fn(&str) -> u64) {
        let old = self.view();
        let named: HashSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
        let removed = old.by_id.keys().filter(|id| !named.contains(id.as_str()));
        let removed: Vec<String> = removed.cloned().collect();
        self.update(records, &removed, memory_tokens);
    }

    /// Applies new or changed records, and the ids of removed replicas. Apart from copying pointers, the cost depends
    /// on the number of changes only.
    pub fn update(
        &self,
        changed: Vec<ReplicaRecord>,
        removed: &[String],
        memory_tokens: impl Fn(&str) -> u64,
    ) {
        let _guard = lock(&self.update_lock);
        let old = self.view();
        let evacuated = self.evacuated_zones.load();
        let latest = changed
            .into_iter()
            .map(|record| (record.id.clone(), record));
        let latest: HashMap<String, ReplicaRecord> = latest.collect();
        let changed = latest.into_values().map(|record| {
            let replica = keep_or_create(&old, record, &memory_tokens, &self.in_progress);
            replica.set_zone_evacuated(evacuated.contains(&replica.record.zone));
            replica
        });
        let changed: Vec<Arc<Replica>> = changed.collect();
        let vanished_at = self.earliest_removal();
        let view = next_view(&old, &changed, removed, vanished_at);
        self.view.store(Arc::new(view));
    }

    /// Returns since when records may be gone whose removal becomes known now: since the last proof of the list. If that
    /// is old, the store was away, and records that vanished meanwhile are used for the whole time.
    fn earliest_removal(&self) -> Instant {
        let now = harrierward_clock::now();
        let proven_at = self.proven_at.load();
        let proven_at = proven_at.as_deref().copied();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < VANISHED_TTL;
        proven_at.filter(is_recent).unwrap_or(now)
    }

    /// Sets the evacuated zones, which also apply to replicas listed later.
    pub fn set_evacuated_zones(&self, zones: HashSet<String>) {
        let _guard = lock(&self.update_lock);
        let mut view = ReplicaView::clone(&self.view());
        let vanished = view.vanished.values().flatten();
        let vanished = vanished.map(|entry| &entry.replica);
        for replica in view.by_id.values().chain(vanished) {
            replica.set_zone_evacuated(zones.contains(&replica.record.zone));
        }
        self.evacuated_zones.store(Arc::new(zones));
        // The replicas for long prompts are recomputed, since they are among those in service.
        let services: Vec<String> = view.by_service.keys().cloned().collect();
        for service in services {
            view.edit_service(service, ServiceEdit::default());
        }
        self.view.store(Arc::new(view));
    }
}

/// Applies changes to the view `old`; `vanished_at` is when the removed records vanished, at the earliest.
fn next_view(
    old: &ReplicaView,
    changed: &[Arc<Replica>],
    removed: &[String],
    vanished_at: Instant,
) -> ReplicaView {
    let mut view = old.clone();
    let mut edits: HashMap<String, ServiceEdit> = HashMap::new();
    for id in removed {
        let Some(replica) = view.by_id.remove(id) else {
            continue;
        };
        view.remove_hash(&replica);
        edit_for(&mut edits, &replica).removed.insert(id.clone());
    }
    for replica in changed {
        let id = &replica.record.id;
        let before = view.by_id.insert(id.clone(), replica.clone());
        if let Some(before) = before {
            view.remove_hash(&before);
            edit_for(&mut edits, &before).removed.insert(id.clone());
        }
        view.by_hash.insert(replica.hash, replica.clone());
        edit_for(&mut edits, replica).listed.push(replica.clone());
    }
    view.vanished = vanished_replicas(old, &view.by_id, changed, removed, vanished_at);
    for (service, edit) in edits {
        view.edit_service(service, edit);
    }
    view
}

/// Changes to the list of one service.
#[derive(Default)]
struct ServiceEdit {
    removed: HashSet<String>,
    listed: Vec<Arc<Replica>>,
}

fn edit_for<'a>(
    edits: &'a mut HashMap<String, ServiceEdit>,
    replica: &Replica,
) -> &'a mut ServiceEdit {
    edits.entry(replica.record.service.clone()).or_default()
}

impl ReplicaView {
    /// Removes the hash unless another instance already uses it.
    fn remove_hash(&mut self, replica: &Arc<Replica>) {
        let known = self.by_hash.get(&replica.hash);
        if known.is_some_and(|known| Arc::ptr_eq(known, replica)) {
            self.by_hash.remove(&replica.hash);
        }
    }

    fn edit_service(&mut self, service: String, edit: ServiceEdit) {
        let before = self.listed(&service);
        let kept = before.iter();
        let kept = kept.filter(|replica| !edit.removed.contains(&replica.record.id));
        let mut list = Vec::with_capacity(before.len() + edit.listed.len());
        list.extend(kept.cloned());
        list.extend(edit.listed);
        if list.is_empty() {
            self.by_service.remove(&service);
            return;
        }
        // Cheap, since the remaining replicas are in order already.
        list.sort_by(|left, right| left.record.id.cmp(&right.record.id));
        let replicas = ServiceReplicas {
            zones: areas_of(&list, |location| location.zone),
            regions: areas_of(&list, |location| location.region),
            versions: versions_of(&list),
            list,
            long_prompt_affinity: OnceLock::new(),
        };
        self.by_service.insert(service, Arc::new(replicas));
    }
}

impl ServiceReplicas {
    fn long_prompt_affinity(&self) -> &HashSet<String> {
        let found = || long_prompt_replicas(&self.list).into_iter().collect();
        self.long_prompt_affinity.get_or_init(found)
    }
}

/// Hashes of the replicas' areas, ordered, without duplicates.
fn areas_of(list: &[Arc<Replica>], area: impl Fn(Location) -> u32) -> Vec<u32> {
    let areas: BTreeSet<u32> = list.iter().map(|one| area(one.location)).collect();
    areas.into_iter().collect()
}

/// Software versions of the replicas, without duplicates. There are few, so that none is allocated for each replica.
fn versions_of(list: &[Arc<Replica>]) -> Vec<SoftwareVersion> {
    let mut versions = Vec::new();
    for replica in list {
        if !versions.contains(&replica.version) {
            versions.push(replica.version);
        }
    }
    versions
}

/// Share of a service's replicas that take the long prompts, in percent.
const LONG_PROMPT_PERCENT: usize = 33;

/// Minimum number of replicas that take the long prompts.
const MIN_LONG_PROMPT_REPLICAS: usize = 2;

/// Ids of the replicas for long prompts: the first of a ranking that is the same on all daemons. Empty if the service
/// has too few replicas.
fn long_prompt_replicas(list: &[Arc<Replica>]) -> Vec<String> {
    let mut ready: Vec<&Arc<Replica>> = list.iter().filter(|one| one.accepts_work()).collect();
    let count = (ready.len() * LONG_PROMPT_PERCENT / 100).max(MIN_LONG_PROMPT_REPLICAS);
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
        let vanished = old.vanished.get(&record.service)?;
        let same = vanished
            .iter()
            .find(|entry| entry.replica.record.id == record.id)?;
        // The new row has not been applied to the vanished replica, which may have become cold meanwhile.
        same.replica
            .note_row_warmup(record.warmup, harrierward_clock::now());
        Some(same.replica.clone())
    });
    match kept {
        Some(replica) if replica.record.is_placed_like(&record) => {
            replica.set_unlisted(false);
            if record.draining {
                replica.set_draining();
            } else if !replica.is_draining() {
                replica.note_listed();
            }
            replica
        }
        _ => {
            let tokens = memory_tokens(&record.service);
            Arc::new(Replica::new(record, tokens, in_progress.clone()))
        }
    }
}

fn vanished_replicas(
    old: &ReplicaView,
    by_id: &imbl::HashMap<String, Arc<Replica>>,
    changed: &[Arc<Replica>],
    removed: &[String],
    vanished_at: Instant,
) -> HashMap<String, Vec<Vanished>> {
    // A replica replaced by another instance stays listed under its id, so it isn't among the vanished ones.
    let named = changed.iter().map(|replica| &replica.record.id);
    let named = named.chain(removed).filter(|id| !by_id.contains_key(*id));
    let just_vanished = named
        .filter_map(|id| old.by_id.get(id))
        .map(|replica| Vanished {
            replica: replica.clone(),
            vanished_at,
        });
    let earlier = old.vanished.values().flatten().cloned();
    let mut vanished: HashMap<String, Vec<Vanished>> = HashMap::new();
    for entry in earlier.chain(just_vanished) {
        let listed = by_id.contains_key(&entry.replica.record.id);
        if listed || harrierward_clock::age(entry.vanished_at) >= VANISHED_TTL {
            continue;
        }
        let service = entry.replica.record.service.clone();
        vanished.entry(service).or_default().push(entry);
    }
    vanished
}
