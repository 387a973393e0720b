//! State of a replica as this daemon knows it: load, warmth, refusals and cached prompts.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Warmup;
use crate::exchange::ReplicaLoad;
use crate::in_progress::InProgress;
use crate::leases::SlotLease;
use crate::prompt::{PrefixCacheEstimate, Prompt};
use crate::recent_maximum::RecentMaximum;
use crate::refusals::{RecentRefusals, RefusalEvidence, RefusalScope};
use crate::replica_record::{LeavingNotice, ReplicaRecord};
use crate::suspicion::Suspicion;
use crate::topology::Location;
use crate::warmth::Warmth;
use harrierward_stream_origins::SoftwareVersion;

/// Time for which a load report of the replica is used in addition to the daemons' counts.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(400);

/// Time after an admission for which a replica counts as admitting requests.
const ADMITTING_TTL: Duration = Duration::from_secs(2);

/// Share of a replica's KV cache that shared prompt parts are assumed to occupy, in percent.
const CACHE_SHARE_PERCENT: u64 = 70;

/// Time for which a replica with a closed port counts as crashed. Its record is removed after three missed heartbeats;
/// one that restarts earlier under the same id is detected by the next request.
const CRASHED_TTL: Duration = Duration::from_millis(4_000);

/// Maximum of each count that comes from outside this process: a replica's slots, the requests in its load reports, and
/// those of the peers. Sums over all replicas of a service fit in 32 bits.
const MAX_COUNT: u32 = u16::MAX as u32;

/// Class of a request in the load counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// Request whose caller waits.
    Online,
    /// Item of a batch job.
    Batch,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    /// Requests running and waiting.
    requests: u32,
    received_at: Instant,
    own_at_report: u32,
}

/// Returns the short hash of a name, as used in datagrams between daemons.
pub fn short_hash(name: &str) -> u32 {
    let bytes = xxh3_64(name.as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Replica with the state that the request path needs; updated without replacing the value.
#[derive(Debug)]
pub struct Replica {
    /// Record from discovery; immutable for one instance.
    pub record: ReplicaRecord,
    /// Hash of the instance.
    pub hash: u32,
    /// Zone and region.
    pub location: Location,
    /// Version of its software.
    pub version: SoftwareVersion,
    draining: AtomicBool,
    leaving: ArcSwapOption<LeavingNotice>,
    zone_evacuated: AtomicBool,
    is_unlisted: AtomicBool,
    /// Milliseconds after `started` until which it counts as crashed; 0 if it doesn't.
    crashed_until_ms: AtomicU64,
    /// End of the warmup, milliseconds after `started`; a copy of `warmth` for the request path, which takes no lock.
    cold_until_ms: AtomicU64,
    warmth: Mutex<Warmth>,
    own_online: AtomicU32,
    own_batch: AtomicU32,
    /// Requests of this daemon in progress, summed over all replicas.
    in_progress: Arc<AtomicUsize>,
    peers_online: AtomicU32,
    peers_batch: AtomicU32,
    peers_reported_at_ms: AtomicU64,
    /// Origin of all times but those of progress, on the clock that includes suspensions.
    started: Instant,
    /// Origin of progress times, on the clock that excludes suspensions, during which no data can be received.
    receiving_since: Instant,
    suspicion: Suspicion,
    report: Mutex<Option<LoadReport>>,
    refusals: RecentRefusals,
    admitted_sizes: RecentMaximum,
    /// When it last admitted a request of this daemon, milliseconds after `started`; 0 before the first.
    admitted_at_ms: AtomicU64,
    prefix_cache: Mutex<PrefixCacheEstimate>,
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
        let remaining = record.warmup;
        let cache_tokens = memory_tokens.saturating_mul(CACHE_SHARE_PERCENT) / 100;
        let replica = Self {
            hash: record.instance_hash(),
            location: Location::new(&record.zone, &record.region),
            version: SoftwareVersion::of(&record.version),
            record,
            draining: AtomicBool::new(draining),
            leaving: ArcSwapOption::empty(),
            zone_evacuated: AtomicBool::new(false),
            is_unlisted: AtomicBool::new(false),
            crashed_until_ms: AtomicU64::new(0),
            cold_until_ms: AtomicU64::new(0),
            warmth: Mutex::default(),
            own_online: AtomicU32::new(0),
            own_batch: AtomicU32::new(0),
            in_progress,
            peers_online: AtomicU32::new(0),
            peers_batch: AtomicU32::new(0),
            peers_reported_at_ms: AtomicU64::new(0),
            started: harrierward_clock::now(),
            receiving_since: Instant::now(),
            suspicion: Suspicion::default(),
            report: Mutex::new(None),
            refusals: RecentRefusals::default(),
            admitted_sizes: RecentMaximum::default(),
            admitted_at_ms: AtomicU64::new(0),
            prefix_cache: Mutex::new(PrefixCacheEstimate::new(cache_tokens)),
        };
        replica.note_row_warmup(remaining, replica.started);
        replica
    }

    fn now_ms(&self) -> u64 {
        millis(harrierward_clock::age(self.started))
    }

    fn receiving_ms(&self) -> u64 {
        millis(self.receiving_since.elapsed())
    }

    /// Returns the number of requests that the replica serves concurrently, from 1 to a maximum that no replica reaches.
    pub fn slots(&self) -> u32 {
        self.record.slots.clamp(1, MAX_COUNT)
    }

    /// True if it is leaving, as its record or a response showed, and gets no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Excludes it from new work at once.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Records how this daemon learned that it is leaving; an earlier notice stays.
    pub fn note_leaving(&self, notice: LeavingNotice) {
        if self.leaving.load().is_none() {
            self.leaving.store(Some(Arc::new(notice)));
        }
    }

    /// Records that it is listed again, not leaving.
    pub(crate) fn note_listed(&self) {
        self.leaving.store(None);
    }

    /// Returns how this daemon learned that it is leaving; `None` if it isn't known to be, or was when it was first read.
    pub fn leaving_notice(&self) -> Option<Arc<LeavingNotice>> {
        self.leaving.load_full()
    }

    /// True if its zone is evacuated, so that it gets no work.
    pub fn is_zone_evacuated(&self) -> bool {
        self.zone_evacuated.load(Ordering::Relaxed)
    }

    /// Sets whether its zone is evacuated. After an evacuation it is assumed cold, whatever its last row states.
    pub fn set_zone_evacuated(&self, evacuated: bool) {
        if self.zone_evacuated.swap(evacuated, Ordering::Relaxed) && !evacuated {
            self.change_warmth(|warmth| warmth.note_zone_return(harrierward_clock::now()));
        }
    }

    /// Sets whether its record is unreadable, so that it isn't listed. Unlike a replica whose record vanished, which
    /// happens while the store is down, it is excluded at once.
    pub fn set_unlisted(&self, is_unlisted: bool) {
        self.is_unlisted.store(is_unlisted, Ordering::Relaxed);
    }

    /// Marks it as crashed until bytes arrive from it, its record is removed, another instance is listed, or a timeout
    /// expires.
    pub fn set_crashed(&self) {
        let until = self.now_ms() + millis(CRASHED_TTL);
        self.crashed_until_ms.store(until, Ordering::Relaxed);
    }

    /// True while it counts as crashed.
    pub fn has_crashed(&self) -> bool {
        let until = self.crashed_until_ms.load(Ordering::Relaxed);
        // Checked for every replica and request; the clock is read only where needed.
        until > 0 && self.now_ms() < until
    }

    /// True if it may receive new work: listed, not draining or crashed, and in a zone that is in service.
    pub fn accepts_work(&self) -> bool {
        let is_listed = !self.is_unlisted.load(Ordering::Relaxed);
        is_listed && !self.is_draining() && !self.is_zone_evacuated() && !self.has_crashed()
    }

    /// True while it is cold, so that its coordinator limits its request rate.
    pub fn is_cold(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.started);
        millis(since) < self.cold_until_ms.load(Ordering::Relaxed)
    }

    /// Extends the warmup to `until`, if it doesn't last longer already.
    pub fn set_cold_until(&self, until: Instant) {
        self.change_warmth(|warmth| warmth.extend(until));
    }

    /// Applies a row, seen at `seen_at`, that states the `remaining` warmup; zero if the replica is warm.
    pub fn note_row_warmup(&self, remaining: Duration, seen_at: Instant) {
        self.change_warmth(|warmth| warmth.apply_row(remaining, seen_at));
    }

    /// Sets the warmup that the configuration defines for its service.
    pub fn set_service_warmup(&self, warmup: Option<Warmup>) {
        self.change_warmth(|warmth| warmth.set_service(warmup));
    }

    /// Returns the warmup of its service.
    pub fn service_warmup(&self) -> Option<Warmup> {
        lock(&self.warmth).service()
    }

    /// Returns the remaining time for which it is considered cold.
    pub fn remaining_warmup(&self, now: Instant) -> Duration {
        let until = lock(&self.warmth).cold_until();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn change_warmth(&self, change: impl FnOnce(&mut Warmth)) {
        let mut warmth = lock(&self.warmth);
        change(&mut warmth);
        let until = warmth.cold_until();
        let since = until.map(|until| until.saturating_duration_since(self.started));
        // Rounded up, so that the warmup doesn't end early.
        let until_ms = since.map_or(0, |since| millis(since).saturating_add(1));
        self.cold_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Returns this daemon's requests of one class in progress at the replica.
    pub fn own_in_progress(&self, class: WorkClass) -> u32 {
        match class {
            WorkClass::Online => self.own_online.load(Ordering::Relaxed),
            WorkClass::Batch => self.own_batch.load(Ordering::Relaxed),
        }
    }

    /// Returns this daemon's requests in progress at the replica.
    pub fn own_total(&self) -> u32 {
        self.own_in_progress(WorkClass::Online) + self.own_in_progress(WorkClass::Batch)
    }

    /// Sets the peers' counts of requests in progress there.
    pub fn set_peer_counts(&self, online: u32, batch: u32) {
        let now = self.now_ms().max(1);
        self.peers_reported_at_ms.store(now, Ordering::Relaxed);
        self.peers_online
            .store(online.min(MAX_COUNT), Ordering::Relaxed);
        self.peers_batch
            .store(batch.min(MAX_COUNT), Ordering::Relaxed);
    }

    /// Decrements the peers' batch items after a peer was requested to preempt one.
    pub fn note_peer_preemption(&self) {
        let one_less = |batch: u32| batch.checked_sub(1);
        let _ = self
            .peers_batch
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less);
    }

    /// Returns the online requests of all daemons there.
    pub fn online(&self) -> u32 {
        self.own_in_progress(WorkClass::Online) + self.peers_online.load(Ordering::Relaxed)
    }

    /// Returns the batch items of all daemons there.
    pub fn batch(&self) -> u32 {
        self.own_in_progress(WorkClass::Batch) + self.peers_batch.load(Ordering::Relaxed)
    }

    /// Returns the estimated number of requests running and waiting there.
    pub fn load(&self) -> u32 {
        let counted = self.online() + self.batch();
        let Some(report) = *lock(&self.report) else {
            return counted;
        };
        if harrierward_clock::age(report.received_at) > LOAD_REPORT_TTL {
            return counted;
        }
        let estimated = (report.requests + self.own_total()).saturating_sub(report.own_at_report);
        counted.max(estimated)
    }

    /// Returns the estimated number of requests running and waiting there, as it concerns a request of `tokens`: a
    /// replica without room for it counts as full.
    pub fn load_for(&self, tokens: u64) -> u32 {
        let load = self.load();
        if self.lacks_room(tokens) {
            load.max(self.slots())
        } else {
            load
        }
    }

    /// True if it refuses requests of this size, whether or not it has free slots.
    pub fn lacks_room(&self, tokens: u64) -> bool {
        self.refusals.lacks_room(tokens, harrierward_clock::now())
    }

    /// True if some requests have no slot while batch items hold some.
    pub fn is_crowded_by_batch(&self) -> bool {
        self.batch() > 0 && self.load() > self.slots()
    }

    /// Returns the age of the last load report, milliseconds; `None` before the first.
    pub fn report_age_ms(&self) -> Option<u64> {
        lock(&self.report).map(|report| millis(harrierward_clock::age(report.received_at)))
    }

    /// Returns the age of the peers' counts, milliseconds; `None` before the first.
    pub fn peers_age_ms(&self) -> Option<u64> {
        let received_at = self.peers_reported_at_ms.load(Ordering::Relaxed);
        (received_at > 0).then(|| self.now_ms().saturating_sub(received_at))
    }

    /// Applies a load report of the replica.
    pub fn note_load(&self, load: ReplicaLoad) {
        let report = LoadReport {
            requests: load.running.min(MAX_COUNT) + load.waiting.min(MAX_COUNT),
            received_at: harrierward_clock::now(),
            own_at_report: self.own_total(),
        };
        *lock(&self.report) = Some(report);
    }

    /// Records a refusal for lack of capacity. Returns what it proves.
    pub fn note_refused(&self, evidence: &RefusalEvidence) -> RefusalScope {
        let scope = self.refusals.note(evidence, harrierward_clock::now());
        if evidence.proves_full() {
            self.note_full();
        }
        scope
    }

    /// Records that another replica admitted a request which this one refused: it has no room for this size.
    pub fn note_admitted_elsewhere(&self, tokens: u64) {
        self.refusals
            .note_admitted_elsewhere(tokens, harrierward_clock::now());
    }

    /// Records that it admitted a request of this daemon.
    pub fn note_admitted(&self, tokens: u64) {
        let now_ms = self.now_ms();
        self.admitted_at_ms.store(now_ms.max(1), Ordering::Relaxed);
        self.admitted_sizes.note(tokens, now_ms);
        self.refusals.note_admitted(tokens);
    }

    /// Returns the largest size of a request of this daemon that it admitted recently; 0 if it admitted none.
    pub fn largest_admitted(&self) -> u64 {
        self.admitted_sizes.largest(self.now_ms())
    }

    /// True if it has admitted a request of this daemon a moment ago.
    pub fn is_admitting(&self) -> bool {
        let admitted_at = self.admitted_at_ms.load(Ordering::Relaxed);
        admitted_at > 0 && self.now_ms().saturating_sub(admitted_at) < millis(ADMITTING_TTL)
    }

    /// True if it has admitted a request of this daemon since `at`.
    pub fn has_admitted_since(&self, at: Instant) -> bool {
        let admitted_at = self.admitted_at_ms.load(Ordering::Relaxed);
        admitted_at > 0 && admitted_at > millis(at.saturating_duration_since(self.started))
    }

    /// Records as a load report that all slots are taken.
    fn note_full(&self) {
        let load = ReplicaLoad {
            running: self.slots(),
            waiting: self.slots(),
            slots: self.slots(),
        };
        self.note_load(load);
    }

    /// Records that bytes arrived from the replica.
    pub fn note_progress(&self) {
        self.crashed_until_ms.store(0, Ordering::Relaxed);
        self.suspicion.note_progress(self.receiving_ms());
    }

    /// Returns the time since bytes last arrived from the replica, excluding suspensions of this machine.
    pub fn time_since_progress(&self) -> Duration {
        Duration::from_millis(self.suspicion.ms_since_progress(self.receiving_ms()))
    }

    /// Avoids the replica for a while, longer after each failure without progress in between.
    pub fn suspect(&self) {
        self.suspicion.note_failure(self.now_ms());
    }

    /// True while the replica is avoided.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.was_raised() && self.suspicion.is_active(self.now_ms())
    }

    /// Returns the length of the prompt's prefix that the replica probably caches.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        lock(&self.prefix_cache).cached_tokens(prompt)
    }

    /// Records that the prompt was sent to the replica.
    pub fn note_prompt(&self, prompt: &Prompt) {
        lock(&self.prefix_cache).note(prompt);
    }

    /// Counts a request, and keeps its lease, until the guard is dropped.
    pub fn enter(self: &Arc<Self>, class: WorkClass, lease: Option<SlotLease>) -> InProgress {
        self.counter(class).fetch_add(1, Ordering::Relaxed);
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress::new(self.clone(), class, lease)
    }

    /// Removes a request from the counts.
    pub(crate) fn leave(&self, class: WorkClass) {
        self.counter(class).fetch_sub(1, Ordering::Relaxed);
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }

    fn counter(&self, class: WorkClass) -> &AtomicU32 {
        match class {
            WorkClass::Online => &self.own_online,
            WorkClass::Batch => &self.own_batch,
        }
    }
}
