//! Whether an online request that would wait for a slot is better told to come back, and when.
//!
//! Why: in a group whose slots are all taken, a request that is let in although it must be late makes the next ones
//! late too. Callers that come back a retry_at later find slots, as peaks are short beside what callers wait.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new observation in the mean time for which requests hold a slot.
const HOLD_WEIGHT: f64 = 0.05;

/// Requests that must have ended before their mean time is believed.
const MIN_OBSERVATIONS: u32 = 16;

/// Time over which arrivals are averaged, seconds.
const ARRIVAL_WINDOW_SECONDS: f64 = 1.0;

/// Least part of the slots' throughput that is taken for free to callers who come back.
const MIN_SPARE_SHARE: f64 = 0.1;

/// Part of the longest time at which a caller that finds no earlier retry_at is told to come back, so that not all come
/// at the same one.
const MAX_DELAY_SHARE: std::ops::Range<f64> = 0.75..0.95;

/// How much earlier or later than told a caller may come and be taken for one that was told to.
const EARLY_TOLERANCE: Duration = Duration::from_millis(100);
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// A request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    /// Requests that must end at its replica before it can begin, itself counted.
    pub position: u32,
    /// Slots of the replica.
    pub replica_slots: u32,
    /// Slots of the group.
    pub group_slots: u32,
    /// Time within which its answer must begin.
    pub objective: Duration,
    /// Longest time delay which its caller still comes back.
    pub max_retry_after: Duration,
}

/// What a coordinator observed of one group.
#[derive(Debug, Clone)]
pub struct GroupAdmission {
    hold_seconds: f64,
    observations: u32,
    arrivals_per_second: f64,
    last_arrival: Instant,
    scheduled_until: Instant,
    /// Moments at which callers were told to come back, and have not yet.
    scheduled_retries: VecDeque<Instant>,
}

impl GroupAdmission {
    /// Nothing was observed yet.
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

    /// True if a caller that comes late is probably one that was told to come now: it has waited for its turn, and goes
    /// before others.
    pub fn claim_retry(&mut self, now: Instant) -> bool {
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

    /// An online request has given its slot back.
    pub fn observe_hold(&mut self, held: Duration) {
        let weight = HOLD_WEIGHT.max(1.0 / f64::from(self.observations + 1));
        self.hold_seconds += (held.as_secs_f64() - self.hold_seconds) * weight;
        self.observations = self.observations.saturating_add(1);
    }

    /// An online request asks for a slot.
    pub fn observe_arrival(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_arrival);
        let decay = (-elapsed.as_secs_f64() / ARRIVAL_WINDOW_SECONDS).exp();
        self.arrivals_per_second = self.arrivals_per_second * decay + 1.0 / ARRIVAL_WINDOW_SECONDS;
        self.last_arrival = now;
    }

    /// Expected time until a request begins; `None` while too little was observed.
    pub fn expected_wait(&self, request: &QueuedRequest) -> Option<Duration> {
        if self.observations < MIN_OBSERVATIONS {
            return None;
        }
        let completion_interval = self.hold_seconds / f64::from(request.replica_slots.max(1));
        Some(Duration::from_secs_f64(
            completion_interval * f64::from(request.position),
        ))
    }

    /// When the caller of a request that would be late is to come back; `None` if the request is let in. `draw` is a
    /// random number from 0 to 1.
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
