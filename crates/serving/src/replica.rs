//! The replicas that discovery names, and what this daemon knows of each one's load and memory.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Warmup;
use crate::exchange::ReplicaLoad;
use crate::leases::SlotLease;
use crate::outcome::{Evidence, Verdict};
use crate::prompt::{Prompt, PromptMemory};
use crate::selection::preference_weight;
use crate::suspicion::Suspicion;
use crate::topology::Location;
use crate::warmth::Warmth;

/// How long a replica's own load word is trusted beside the daemons' counts.
const REPLICA_LOAD_LIFETIME: Duration = Duration::from_millis(400);

/// How long a replica whose record vanished is still used if its service has no other: records also vanish while
/// the store is down.
const VANISHED_LIFETIME: Duration = Duration::from_millis(1_700);

/// Share of a replica's memory that shared prompt parts are believed to keep.
const MEMORY_SHARE_PERCENT: u64 = 70;

/// What a replica says of itself in discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Incarnation: each start of a replica has a new one.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Region of the zone; empty if it is not known.
    pub region: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Says that it leaves: gets no new work.
    pub draining: bool,
    /// How much longer it stays cold, from the moment at which it wrote this.
    pub warmup: Duration,
}

/// Class of a request in the load counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller waits.
    Online,
    /// An item of a batch job.
    Batch,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    word: ReplicaLoad,
    at: Instant,
    own_then: u32,
}

/// The short form of a name in datagrams between daemons.
pub fn short_hash(name: &str) -> u32 {
    let bytes = xxh3_64(name.as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// Its record.
    pub record: ReplicaRecord,
    /// Hash of its id.
    pub hash: u32,
    /// Where it is.
    pub location: Location,
    draining: AtomicBool,
    zone_evacuated: AtomicBool,
    /// Copy of the warmth's end for the request path, which takes no lock.
    cold_until_ms: AtomicU64,
    warmth: Mutex<Warmth>,
    own_online: AtomicU32,
    own_batch: AtomicU32,
    peers_online: AtomicU32,
    peers_batch: AtomicU32,
    peers_told_at_ms: AtomicU64,
    started: Instant,
    suspicion: Suspicion,
    report: Mutex<Option<LoadReport>>,
    memory: Mutex<PromptMemory>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Replica {
    fn new(record: ReplicaRecord, memory_tokens: u64) -> Self {
        let draining = record.draining;
        let left = record.warmup;
        let kept_tokens = memory_tokens * MEMORY_SHARE_PERCENT / 100;
        let replica = Self {
            hash: short_hash(&record.id),
            location: Location::new(&record.zone, &record.region),
            record,
            draining: AtomicBool::new(draining),
            zone_evacuated: AtomicBool::new(false),
            cold_until_ms: AtomicU64::new(0),
            warmth: Mutex::default(),
            own_online: AtomicU32::new(0),
            own_batch: AtomicU32::new(0),
            peers_online: AtomicU32::new(0),
            peers_batch: AtomicU32::new(0),
            peers_told_at_ms: AtomicU64::new(0),
            started: Instant::now(),
            suspicion: Suspicion::default(),
            report: Mutex::new(None),
            memory: Mutex::new(PromptMemory::new(kept_tokens)),
        };
        replica.note_row_warmup(left, replica.started);
        replica
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    /// Requests that the replica works on at once.
    pub fn slots(&self) -> u32 {
        self.record.slots.max(1)
    }

    /// True if it gets no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Takes it out of service at once.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// True if its zone is evacuated: it gets nothing until that is taken back.
    pub fn is_zone_evacuated(&self) -> bool {
        self.zone_evacuated.load(Ordering::Relaxed)
    }

    /// Its zone is evacuated, or not any more: then it may be cold, whatever its last row said.
    pub fn set_zone_evacuated(&self, evacuated: bool) {
        if self.zone_evacuated.swap(evacuated, Ordering::Relaxed) && !evacuated {
            self.change_warmth(|warmth| warmth.take_return(Instant::now()));
        }
    }

    /// True while it may take new work: it does not leave, and its zone is in service.
    pub fn accepts_work(&self) -> bool {
        !self.is_draining() && !self.is_zone_evacuated()
    }

    /// True while it is cold: it bears few requests a second, which its coordinator counts.
    pub fn is_cold(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.started);
        millis(since) < self.cold_until_ms.load(Ordering::Relaxed)
    }

    /// It stays cold until then, if it is not for longer already.
    pub fn set_cold_until(&self, until: Instant) {
        self.change_warmth(|warmth| warmth.extend(until));
    }

    /// Its row was seen at `seen` and says that it stays cold for `left`; zero says that it is warm.
    pub fn note_row_warmup(&self, left: Duration, seen: Instant) {
        self.change_warmth(|warmth| warmth.take_row(left, seen));
    }

    /// The configuration tells how replicas of its service warm up.
    pub fn set_service_warmup(&self, warmup: Option<Warmup>) {
        self.change_warmth(|warmth| warmth.take_service(warmup));
    }

    /// How replicas of its service warm up.
    pub fn service_warmup(&self) -> Option<Warmup> {
        lock(&self.warmth).service()
    }

    /// How much longer it is taken for cold.
    pub fn cold_for(&self, now: Instant) -> Duration {
        let until = lock(&self.warmth).cold_until();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn change_warmth(&self, change: impl FnOnce(&mut Warmth)) {
        let mut warmth = lock(&self.warmth);
        change(&mut warmth);
        let until = warmth.cold_until();
        let since = until.map(|until| until.saturating_duration_since(self.started));
        // Rounded up: it is not warm before its time.
        let until_ms = since.map_or(0, |since| millis(since).saturating_add(1));
        self.cold_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Requests of this daemon in progress there, of one class.
    pub fn own(&self, class: WorkClass) -> u32 {
        match class {
            WorkClass::Online => self.own_online.load(Ordering::Relaxed),
            WorkClass::Batch => self.own_batch.load(Ordering::Relaxed),
        }
    }

    fn own_total(&self) -> u32 {
        self.own(WorkClass::Online) + self.own(WorkClass::Batch)
    }

    /// Takes the other daemons' counts.
    pub fn set_peers(&self, online: u32, batch: u32) {
        let now = self.now_ms().max(1);
        self.peers_told_at_ms.store(now, Ordering::Relaxed);
        self.peers_online.store(online, Ordering::Relaxed);
        self.peers_batch.store(batch, Ordering::Relaxed);
    }

    /// A peer was asked to end a batch item there.
    pub fn note_peer_yield(&self) {
        let one_less = |batch: u32| batch.checked_sub(1);
        let _ = self
            .peers_batch
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less);
    }

    /// Online requests there, of all daemons.
    pub fn online(&self) -> u32 {
        self.own(WorkClass::Online) + self.peers_online.load(Ordering::Relaxed)
    }

    /// Batch items there, of all daemons.
    pub fn batch(&self) -> u32 {
        self.own(WorkClass::Batch) + self.peers_batch.load(Ordering::Relaxed)
    }

    /// Estimated requests running and waiting there.
    pub fn load(&self) -> u32 {
        let counted = self.online() + self.batch();
        let Some(report) = *lock(&self.report) else {
            return counted;
        };
        if report.at.elapsed() > REPLICA_LOAD_LIFETIME {
            return counted;
        }
        let told = report.word.running + report.word.waiting;
        let now = (told + self.own_total()).saturating_sub(report.own_then);
        counted.max(now)
    }

    /// True if not all requests there have a slot, and batch items hold some.
    pub fn is_crowded_by_batch(&self) -> bool {
        self.batch() > 0 && self.load() > self.slots()
    }

    /// Age of the last load word, milliseconds.
    pub fn report_age_ms(&self) -> Option<u64> {
        lock(&self.report).map(|report| millis(report.at.elapsed()))
    }

    /// Age of the other daemons' counts, milliseconds.
    pub fn peers_age_ms(&self) -> Option<u64> {
        let at = self.peers_told_at_ms.load(Ordering::Relaxed);
        (at > 0).then(|| self.now_ms().saturating_sub(at))
    }

    /// Takes the replica's word on its load.
    pub fn note_load(&self, word: ReplicaLoad) {
        let report = LoadReport {
            word,
            at: Instant::now(),
            own_then: self.own_total(),
        };
        *lock(&self.report) = Some(report);
    }

    /// The replica refused a request because it is full.
    pub fn note_full(&self) {
        let word = ReplicaLoad {
            running: self.slots(),
            waiting: self.slots(),
            slots: self.slots(),
        };
        self.note_load(word);
    }

    /// Bytes came from the replica.
    pub fn note_progress(&self) {
        self.suspicion.note_progress(self.now_ms());
    }

    /// Time since bytes last came from the replica.
    pub fn silent_for(&self) -> Duration {
        Duration::from_millis(self.suspicion.silent_for_ms(self.now_ms()))
    }

    /// Avoids the replica for a while: longer each time that nothing comes from it in between.
    pub fn suspect(&self) {
        self.suspicion.fail(self.now_ms());
    }

    /// True while the replica is avoided.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_active(self.now_ms())
    }

    /// Tokens at the beginning of the prompt that the replica probably keeps.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        lock(&self.memory).cached_tokens(prompt)
    }

    /// The prompt was read by the replica.
    pub fn note_prompt(&self, prompt: &Prompt) {
        lock(&self.memory).note(prompt);
    }

    /// Counts a request for as long as the guard lives, and keeps its place.
    pub fn enter(self: &Arc<Self>, class: WorkClass, place: Option<SlotLease>) -> InProgress {
        self.count(class).fetch_add(1, Ordering::Relaxed);
        InProgress {
            replica: self.clone(),
            class,
            place,
        }
    }

    fn count(&self, class: WorkClass) -> &AtomicU32 {
        match class {
            WorkClass::Online => &self.own_online,
            WorkClass::Batch => &self.own_batch,
        }
    }
}

/// A request in progress at a replica.
#[derive(Debug)]
pub struct InProgress {
    replica: Arc<Replica>,
    class: WorkClass,
    place: Option<SlotLease>,
}

impl InProgress {
    /// Class of the request.
    pub fn class(&self) -> WorkClass {
        self.class
    }

    /// The replica.
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Number of its place.
    pub fn place(&self) -> Option<u32> {
        self.place.as_ref().map(SlotLease::number)
    }

    /// What the request sees of the replica; goes back with its place.
    pub fn evidence(&self) -> Option<&Evidence> {
        self.place.as_ref().map(SlotLease::evidence)
    }

    /// The request ended so.
    pub fn conclude(&self, verdict: Verdict) {
        if let Some(evidence) = self.evidence() {
            evidence.conclude(verdict);
        }
    }

    /// Bytes of the answer's content came.
    pub fn note_event(&self) {
        self.replica.note_progress();
        if let Some(evidence) = self.evidence() {
            evidence.note_event();
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.replica
            .count(self.class)
            .fetch_sub(1, Ordering::Relaxed);
    }
}

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
            .filter(|gone| gone.at.elapsed() < VANISHED_LIFETIME && gone.replica.accepts_work())
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

    /// A replica by the hash of its id.
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
        same.replica.note_row_warmup(record.warmup, Instant::now());
        Some(same.replica.clone())
    });
    match kept {
        Some(replica) if replica.record.address == record.address => {
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
    let now = Instant::now();
    let just_gone = old.by_id.values().map(|replica| Vanished {
        replica: replica.clone(),
        at: now,
    });
    let earlier = old.vanished.values().flatten().cloned();
    let mut vanished: HashMap<String, Vec<Vanished>> = HashMap::new();
    for gone in earlier.chain(just_gone) {
        let listed = by_id.contains_key(&gone.replica.record.id);
        if listed || gone.at.elapsed() >= VANISHED_LIFETIME {
            continue;
        }
        let service = gone.replica.record.service.clone();
        vanished.entry(service).or_default().push(gone);
    }
    vanished
}
