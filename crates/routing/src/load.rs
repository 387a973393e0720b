//! Load estimate of one replica: the last report, aged, plus this gateway's own requests in flight.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// Engine timings that convert load into an expected wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    /// Fixed time of an engine step, microseconds.
    pub step_base_micros: f64,
    /// Additional time of a step per running sequence, microseconds.
    pub step_sequence_micros: f64,
    /// Time to prefill one token, microseconds.
    pub prefill_token_micros: f64,
    /// Network cost per unit of zone distance (see [`crate::ReplicaEntry::distance`]), microseconds.
    pub zone_rank_micros: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            step_base_micros: 12_000.0,
            step_sequence_micros: 60.0,
            prefill_token_micros: 40.0,
            zone_rank_micros: 2_000.0,
        }
    }
}

/// Load of a replica as its engine states it, read directly or received from the replica's owner.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Sequences of online requests that the engine runs.
    pub running_online: u32,
    /// Sequences of batch items that the engine runs.
    pub running_batch: u32,
    /// Prompt tokens of online sequences not yet prefilled.
    pub waiting_prompt_tokens: u32,
    /// Online sequences queued at the engine.
    pub waiting_online: u32,
}

/// Load of one replica, shared without locks between the request path and the task that applies reports.
#[derive(Debug, Default)]
pub struct ReplicaLoad {
    in_flight: AtomicU32,
    prefill_tokens: AtomicU64,
    in_flight_at_report: AtomicU32,
    reported_at_micros: AtomicU64,
    running_online: AtomicU32,
    running_batch: AtomicU32,
    waiting_prompt_tokens: AtomicU32,
    waiting_online: AtomicU32,
    unavailable: AtomicBool,
    penalty_until_micros: AtomicU64,
    confirmed_at_micros: AtomicU64,
}

/// Maximum age of an availability report; a replica without a newer one receives no new requests.
pub const CONFIRMATION_TTL_MICROS: u64 = 2_500_000;

impl ReplicaLoad {
    /// Counts a request that was sent with `uncached_tokens` left to prefill.
    pub fn note_sent(&self, uncached_tokens: u32) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.prefill_tokens
            .fetch_add(u64::from(uncached_tokens), Ordering::Relaxed);
    }

    /// Removes a request's prefill from the estimate: its first token arrived, or never will.
    pub fn note_prefilled(&self, uncached_tokens: u32) {
        self.prefill_tokens
            .fetch_sub(u64::from(uncached_tokens), Ordering::Relaxed);
    }

    /// Counts a request out of flight.
    pub fn note_completed(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of this gateway's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Applies a report that describes the replica at `as_of_micros`.
    pub fn apply_report(&self, report: LoadReport, as_of_micros: u64) {
        let set = |field: &AtomicU32, value| field.store(value, Ordering::Relaxed);
        set(&self.running_online, report.running_online);
        set(&self.running_batch, report.running_batch);
        set(&self.waiting_prompt_tokens, report.waiting_prompt_tokens);
        set(&self.waiting_online, report.waiting_online);
        set(&self.in_flight_at_report, self.in_flight());
        self.reported_at_micros
            .store(as_of_micros, Ordering::Relaxed);
    }

    /// Sets whether the replica is draining or failed, as observed at `as_of_micros`. Older observations are ignored.
    pub fn set_unavailable(&self, unavailable: bool, as_of_micros: u64) {
        let newest = self
            .confirmed_at_micros
            .fetch_max(as_of_micros, Ordering::Relaxed);
        if as_of_micros >= newest {
            self.unavailable.store(unavailable, Ordering::Relaxed);
        }
    }

    /// Excludes the replica until `until_micros`, after it refused a request or failed one.
    pub fn penalize(&self, until_micros: u64) {
        self.penalty_until_micros
            .fetch_max(until_micros, Ordering::Relaxed);
    }

    /// Returns the age of the newest availability report, microseconds; `u64::MAX` if there is none.
    pub fn confirmation_age(&self, now_micros: u64) -> u64 {
        match self.confirmed_at_micros.load(Ordering::Relaxed) {
            0 => u64::MAX,
            confirmed_at => now_micros.saturating_sub(confirmed_at),
        }
    }

    /// True if the replica may receive new requests.
    pub fn is_usable(&self, now_micros: u64) -> bool {
        !self.unavailable.load(Ordering::Relaxed)
            && self.penalty_until_micros.load(Ordering::Relaxed) <= now_micros
            && self.confirmation_age(now_micros) <= CONFIRMATION_TTL_MICROS
    }

    /// Estimated online sequences: the reported number, corrected by the change of this gateway's own since the
    /// report.
    fn estimated_online(&self) -> f64 {
        let reported = f64::from(self.running_online.load(Ordering::Relaxed))
            + f64::from(self.waiting_online.load(Ordering::Relaxed));
        let own = f64::from(self.in_flight());
        let own_at_report = f64::from(self.in_flight_at_report.load(Ordering::Relaxed));
        (reported + own - own_at_report).max(own)
    }

    /// Returns the expected time until a new request's first token, microseconds.
    pub fn expected_wait(&self, uncached_tokens: f64, now_micros: u64, cost: &CostModel) -> f64 {
        let sequences =
            self.estimated_online() + f64::from(self.running_batch.load(Ordering::Relaxed));
        let step = cost.step_base_micros + sequences * cost.step_sequence_micros;
        let age = now_micros.saturating_sub(self.reported_at_micros.load(Ordering::Relaxed));
        let reported_wait = f64::from(self.waiting_prompt_tokens.load(Ordering::Relaxed))
            * cost.prefill_token_micros;
        let reported_remaining = (reported_wait - age as f64).max(0.0);
        let own_tokens = self.prefill_tokens.load(Ordering::Relaxed) as f64;
        let own_wait = own_tokens * cost.prefill_token_micros;
        reported_remaining.max(own_wait) + step * 1.5 + uncached_tokens * cost.prefill_token_micros
    }
}
