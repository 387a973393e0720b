//! Admission control of one group: refuses online requests that would miss their objective and schedules their
//! retries.
//!
//! A request admitted to a saturated group although it must be late delays those behind it. Peaks are short, so a
//! retry a little later usually finds a slot.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Smoothing factor of the mean slot holding time.
const HOLD_WEIGHT: f64 = 0.05;

/// Observations below which no wait is estimated.
const MIN_OBSERVATIONS: u32 = 16;

const ARRIVAL_WINDOW_SECONDS: f64 = 1.0;

/// Minimum share of the slots' throughput that is assumed to be available to retries.
const MIN_SPARE_SHARE: f64 = 0.1;

/// Range of the random share of `max_retry_after` to which a later retry is capped, so that retries don't
/// synchronize.
const MAX_DELAY_SHARE: std::ops::Range<f64> = 0.75..0.95;

/// How much earlier or later than scheduled a retry is still recognized.
const EARLY_TOLERANCE: Duration = Duration::from_millis(100);
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// An online request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    /// Queue position at its replica, counted from 1: completions until it can begin.
    pub position: u32,
    /// Number of slots of its replica.
    pub replica_slots: u32,
    /// Number of slots of the group's replicas together.
    pub group_slots: u32,
    /// Time within which its response must begin.
    pub objective: Duration,
    /// Longest retry delay that its caller accepts.
    pub max_retry_after: Duration,
}

/// Slot holding time and arrival rate of one group, and the retries scheduled for refused callers.
#[derive(Debug, Clone)]
pub struct GroupAdmission {
    hold_seconds: f64,
    observations: u32,
    arrivals_per_second: f64,
    last_arrival: Instant,
    scheduled_until: Instant,
    /// Times of the scheduled retries that haven't arrived.
    scheduled_retries: VecDeque<Instant>,
}

impl GroupAdmission {
    /// Creates the state without any observation; requests are admitted until there are enough of them.
    pub fn new(now: Instant) -> Self {
        Self {
            hold_seconds: 0.0,
            observations: 0,
            arrivals_per_second: 0.0,
            last_arrival: now,
            scheduled_until: now,
            scheduled_retries: VecDeque::new(),
        }
    }

    /// Takes the scheduled retry that is due now. True if there was one: the request has already waited and is
    /// given priority.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.scheduled_retries
            .retain(|retry_at| *retry_at + LATE_TOLERANCE >= now);
        let matching = self
            .scheduled_retries
            .iter()
            .position(|retry_at| *retry_at <= now + EARLY_TOLERANCE);
        matching
            .and_then(|position| self.scheduled_retries.remove(position))
            .is_some()
    }

    /// Records for how long an online request held its slot.
    pub fn observe_hold(&mut self, held: Duration) {
        let weight = HOLD_WEIGHT.max(1.0 / f64::from(self.observations + 1));
        self.hold_seconds += (held.as_secs_f64() - self.hold_seconds) * weight;
        self.observations = self.observations.saturating_add(1);
    }

    /// Records the arrival of an online request.
    pub fn observe_arrival(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_arrival);
        let decay = (-elapsed.as_secs_f64() / ARRIVAL_WINDOW_SECONDS).exp();
        self.arrivals_per_second = self.arrivals_per_second * decay + 1.0 / ARRIVAL_WINDOW_SECONDS;
        self.last_arrival = now;
    }

    /// Returns the expected time until the request begins; `None` with too few observations.
    pub fn expected_wait(&self, request: &QueuedRequest) -> Option<Duration> {
        if self.observations < MIN_OBSERVATIONS {
            return None;
        }
        let completion_interval = self.hold_seconds / f64::from(request.replica_slots.max(1));
        Some(Duration::from_secs_f64(
            completion_interval * f64::from(request.position),
        ))
    }

    /// Returns the delay after which the caller of a request that would miss its objective must retry; `None` admits
    /// the request. `draw` is a random number from 0 to 1.
    pub fn schedule_retry(
        &mut self,
        request: &QueuedRequest,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        let wait = self.expected_wait(request)?;
        if wait <= request.objective {
            return None;
        }
        let throughput = f64::from(request.group_slots) / self.hold_seconds.max(1e-3);
        let spare = (throughput - self.arrivals_per_second).max(throughput * MIN_SPARE_SHARE);
        let interval = Duration::from_secs_f64(1.0 / spare.max(1e-3));
        let retry_at = (self.scheduled_until + interval).max(now + wait);
        let max_delay =
            MAX_DELAY_SHARE.start + (MAX_DELAY_SHARE.end - MAX_DELAY_SHARE.start) * draw;
        let max_delay = request.max_retry_after.mul_f64(max_delay);
        let delay = retry_at.saturating_duration_since(now);
        if delay <= max_delay {
            self.scheduled_until = retry_at;
        }
        let delay = delay.min(max_delay);
        self.scheduled_retries
            .retain(|retry_at| *retry_at + LATE_TOLERANCE >= now);
        self.scheduled_retries.push_back(now + delay);
        Some(delay)
    }
}
