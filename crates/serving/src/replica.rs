//! A replica that discovery names, and what this daemon knows of its load and memory.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Warmup;
use crate::exchange::ReplicaLoad;
use crate::in_progress::InProgress;
use crate::leases::SlotLease;
use crate::prompt::{PrefixCacheEstimate, Prompt};
use crate::suspicion::Suspicion;
use crate::topology::Location;
use crate::warmth::Warmth;

/// How long a replica's own load word is trusted beside the daemons' counts.
const REPLICA_LOAD_LIFETIME: Duration = Duration::from_millis(400);

/// Share of a replica's memory that shared prompt parts are believed to keep.
const MEMORY_SHARE_PERCENT: u64 = 70;

/// How long a replica whose port is dead counts as ended. Entries go after three heartbeats of silence, 3.6 s on the smallest
/// sites; one that is back earlier under the same name is found by the next request.
const ENDED_FOR: Duration = Duration::from_millis(4_000);

/// What a replica says of itself in discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Name under which it is listed. It may start again under the same one.
    pub id: String,
    /// When this start of it began, by its own clock, milliseconds since 1970; `None` if it does not say.
    pub born_ms: Option<u64>,
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

impl ReplicaRecord {
    /// True if `told` speaks of another start than this: whatever is known of this one does not hold for it. A date that is
    /// missing says nothing; one that goes back is another start whose clock was set.
    pub fn is_other_instance(&self, told: &Self) -> bool {
        told.born_ms.is_some() && told.born_ms != self.born_ms
    }

    /// Hash of this start, by which daemons tell each other of it.
    pub fn instance_hash(&self) -> u32 {
        self.born_ms.map_or_else(
            || short_hash(&self.id),
            |born| short_hash(&format!("{}@{born}", self.id)),
        )
    }
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
    /// Hash of its start.
    pub hash: u32,
    /// Where it is.
    pub location: Location,
    draining: AtomicBool,
    zone_evacuated: AtomicBool,
    is_unlisted: AtomicBool,
    /// Until when it counts as ended, on its own clock; 0 if it does not.
    ended_until_ms: AtomicU64,
    /// Copy of the warmth's end for the request path, which takes no lock.
    cold_until_ms: AtomicU64,
    warmth: Mutex<Warmth>,
    own_online: AtomicU32,
    own_batch: AtomicU32,
    /// Requests of this daemon in progress at all replicas.
    in_progress: Arc<AtomicUsize>,
    peers_online: AtomicU32,
    peers_batch: AtomicU32,
    peers_told_at_ms: AtomicU64,
    /// On the clock that counts suspensions, as are all times of what is believed of it.
    started: Instant,
    /// On the steady clock: nobody listens while the machine is suspended.
    listening_since: Instant,
    suspicion: Suspicion,
    report: Mutex<Option<LoadReport>>,
    memory: Mutex<PrefixCacheEstimate>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Replica {
    pub(crate) fn new(
        record: ReplicaRecord,
        memory_tokens: u64,
        in_progress: Arc<AtomicUsize>,
    ) -> Self {
        let draining = record.draining;
        let left = record.warmup;
        let kept_tokens = memory_tokens * MEMORY_SHARE_PERCENT / 100;
        let replica = Self {
            hash: record.instance_hash(),
            location: Location::new(&record.zone, &record.region),
            record,
            draining: AtomicBool::new(draining),
            zone_evacuated: AtomicBool::new(false),
            is_unlisted: AtomicBool::new(false),
            ended_until_ms: AtomicU64::new(0),
            cold_until_ms: AtomicU64::new(0),
            warmth: Mutex::default(),
            own_online: AtomicU32::new(0),
            own_batch: AtomicU32::new(0),
            in_progress,
            peers_online: AtomicU32::new(0),
            peers_batch: AtomicU32::new(0),
            peers_told_at_ms: AtomicU64::new(0),
            started: harrierward_clock::now(),
            listening_since: Instant::now(),
            suspicion: Suspicion::default(),
            report: Mutex::new(None),
            memory: Mutex::new(PrefixCacheEstimate::new(kept_tokens)),
        };
        replica.note_row_warmup(left, replica.started);
        replica
    }

    fn now_ms(&self) -> u64 {
        millis(harrierward_clock::age(self.started))
    }

    fn listened_ms(&self) -> u64 {
        millis(self.listening_since.elapsed())
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
            self.change_warmth(|warmth| warmth.note_zone_return(harrierward_clock::now()));
        }
    }

    /// Its entry cannot be read, or can be again. Unlike one whose entry has vanished, which happens while the store is down,
    /// it is not used for a moment more.
    pub fn set_unlisted(&self, is_unlisted: bool) {
        self.is_unlisted.store(is_unlisted, Ordering::Relaxed);
    }

    /// It has ended: it gets nothing until its entry goes or another start of it is named. Where that does not come, it is
    /// tried again after a while.
    pub fn set_crashed(&self) {
        let until = self.now_ms() + millis(ENDED_FOR);
        self.ended_until_ms.store(until, Ordering::Relaxed);
    }

    /// True while it counts as ended.
    pub fn has_crashed(&self) -> bool {
        let until = self.ended_until_ms.load(Ordering::Relaxed);
        // Asked of every replica for every request; nearly all have not, and need no look at the clock for that.
        until > 0 && self.now_ms() < until
    }

    /// True while it may take new work: it is there, does not leave, and its zone is in service.
    pub fn accepts_work(&self) -> bool {
        let is_listed = !self.is_unlisted.load(Ordering::Relaxed);
        is_listed && !self.is_draining() && !self.is_zone_evacuated() && !self.has_crashed()
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
        self.change_warmth(|warmth| warmth.apply_row(left, seen));
    }

    /// The configuration tells how replicas of its service warm up.
    pub fn set_service_warmup(&self, warmup: Option<Warmup>) {
        self.change_warmth(|warmth| warmth.set_service(warmup));
    }

    /// How replicas of its service warm up.
    pub fn service_warmup(&self) -> Option<Warmup> {
        lock(&self.warmth).service()
    }

    /// How much longer it is taken for cold.
    pub fn remaining_warmup(&self, now: Instant) -> Duration {
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
    pub fn own_in_progress(&self, class: WorkClass) -> u32 {
        match class {
            WorkClass::Online => self.own_online.load(Ordering::Relaxed),
            WorkClass::Batch => self.own_batch.load(Ordering::Relaxed),
        }
    }

    fn own_total(&self) -> u32 {
        self.own_in_progress(WorkClass::Online) + self.own_in_progress(WorkClass::Batch)
    }

    /// Takes the other daemons' counts.
    pub fn set_peer_counts(&self, online: u32, batch: u32) {
        let now = self.now_ms().max(1);
        self.peers_told_at_ms.store(now, Ordering::Relaxed);
        self.peers_online.store(online, Ordering::Relaxed);
        self.peers_batch.store(batch, Ordering::Relaxed);
    }

    /// A peer was asked to end a batch item there.
    pub fn note_peer_preemption(&self) {
        let one_less = |batch: u32| batch.checked_sub(1);
        let _ = self
            .peers_batch
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less);
    }

    /// Online requests there, of all daemons.
    pub fn online(&self) -> u32 {
        self.own_in_progress(WorkClass::Online) + self.peers_online.load(Ordering::Relaxed)
    }

    /// Batch items there, of all daemons.
    pub fn batch(&self) -> u32 {
        self.own_in_progress(WorkClass::Batch) + self.peers_batch.load(Ordering::Relaxed)
    }

    /// Estimated requests running and waiting there.
    pub fn load(&self) -> u32 {
        let counted = self.online() + self.batch();
        let Some(report) = *lock(&self.report) else {
            return counted;
        };
        if harrierward_clock::age(report.at) > REPLICA_LOAD_LIFETIME {
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
        lock(&self.report).map(|report| millis(harrierward_clock::age(report.at)))
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
            at: harrierward_clock::now(),
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
        self.ended_until_ms.store(0, Ordering::Relaxed);
        self.suspicion.note_progress(self.listened_ms());
    }

    /// Time since bytes last came from the replica, as far as this daemon could hear them: suspensions are left out.
    pub fn time_since_progress(&self) -> Duration {
        Duration::from_millis(self.suspicion.ms_since_progress(self.listened_ms()))
    }

    /// Avoids the replica for a while: longer each time that nothing comes from it in between.
    pub fn suspect(&self) {
        self.suspicion.note_failure(self.now_ms());
    }

    /// True while the replica is avoided.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.was_raised() && self.suspicion.is_active(self.now_ms())
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
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress::new(self.clone(), class, place)
    }

    /// A request that was counted has ended.
    pub(crate) fn leave(&self, class: WorkClass) {
        self.count(class).fetch_sub(1, Ordering::Relaxed);
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }

    fn count(&self, class: WorkClass) -> &AtomicU32 {
        match class {
            WorkClass::Online => &self.own_online,
            WorkClass::Batch => &self.own_batch,
        }
    }
}
