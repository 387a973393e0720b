//! Whether an online request that would wait for a slot is better told to come back, and when.
//!
//! Why: in a group whose slots are all taken, a request that is let in although it must be late makes the next ones
//! late too. Callers that come back a moment later find slots, as peaks are short beside what callers wait.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new observation in the mean time for which requests hold a slot.
const HOLD_WEIGHT: f64 = 0.05;

/// Requests that must have ended before their mean time is believed.
const LEAST_OBSERVED: u32 = 16;

/// Time over which arrivals are averaged, seconds.
const ARRIVALS_OVER: f64 = 1.0;

/// Least part of the slots' throughput that is taken for free to callers who come back.
const LEAST_SPARE: f64 = 0.1;

/// Part of the longest time at which a caller that finds no earlier moment is told to come back, so that not all come
/// at the same one.
const LATEST_PART: std::ops::Range<f64> = 0.75..0.95;

/// How much earlier or later than told a caller may come and be taken for one that was told to.
const EARLY: Duration = Duration::from_millis(100);
const LATE: Duration = Duration::from_millis(500);

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
    /// Longest time after which its caller still comes back.
    pub max_retry_after: Duration,
}

/// What a coordinator observed of one group.
#[derive(Debug, Clone)]
pub struct GroupAdmission {
    hold_seconds: f64,
    observed: u32,
    arrivals_per_second: f64,
    last_arrival: Instant,
    booked_until: Instant,
    /// Moments at which callers were told to come back, and have not yet.
    expected: VecDeque<Instant>,
}

impl GroupAdmission {
    /// Nothing was observed yet.
    pub fn new(now: Instant) -> Self {
        Self {
            hold_seconds: 0.0,
            observed: 0,
            arrivals_per_second: 0.0,
            last_arrival: now,
            booked_until: now,
            expected: VecDeque::new(),
        }
    }

    /// True if a caller that comes late is probably one that was told to come now: it has waited for its turn, and goes
    /// before others.
    pub fn claim_retry(&mut self, now: Instant) -> bool {
        self.expected.retain(|moment| *moment + LATE >= now);
        let due = self
            .expected
            .iter()
            .position(|moment| *moment <= now + EARLY);
        due.and_then(|position| self.expected.remove(position))
            .is_some()
    }

    /// An online request has given its slot back.
    pub fn observe_hold(&mut self, held: Duration) {
        let weight = HOLD_WEIGHT.max(1.0 / f64::from(self.observed + 1));
        self.hold_seconds += (held.as_secs_f64() - self.hold_seconds) * weight;
        self.observed = self.observed.saturating_add(1);
    }

    /// An online request asks for a slot.
    pub fn observe_arrival(&mut self, now: Instant) {
        let since = now.saturating_duration_since(self.last_arrival);
        let kept = (-since.as_secs_f64() / ARRIVALS_OVER).exp();
        self.arrivals_per_second = self.arrivals_per_second * kept + 1.0 / ARRIVALS_OVER;
        self.last_arrival = now;
    }

    /// Expected time until a request begins; `None` while too little was observed.
    pub fn expected_wait(&self, newcomer: &QueuedRequest) -> Option<Duration> {
        if self.observed < LEAST_OBSERVED {
            return None;
        }
        let between_ends = self.hold_seconds / f64::from(newcomer.replica_slots.max(1));
        Some(Duration::from_secs_f64(
            between_ends * f64::from(newcomer.position),
        ))
    }

    /// When the caller of a request that would be late is to come back; `None` if the request is let in. `draw` is a
    /// random number from 0 to 1.
    pub fn schedule_retry(
        &mut self,
        newcomer: &QueuedRequest,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        let wait = self.expected_wait(newcomer)?;
        if wait <= newcomer.objective {
            return None;
        }
        let throughput = f64::from(newcomer.group_slots) / self.hold_seconds.max(1e-3);
        let spare = (throughput - self.arrivals_per_second).max(throughput * LEAST_SPARE);
        let interval = Duration::from_secs_f64(1.0 / spare.max(1e-3));
        let moment = (self.booked_until + interval).max(now + wait);
        let latest = LATEST_PART.start + (LATEST_PART.end - LATEST_PART.start) * draw;
        let latest = newcomer.max_retry_after.mul_f64(latest);
        let after = moment.saturating_duration_since(now);
        if after <= latest {
            self.booked_until = moment;
        }
        let after = after.min(latest);
        self.expected.retain(|moment| *moment + LATE >= now);
        self.expected.push_back(now + after);
        Some(after)
    }
}
