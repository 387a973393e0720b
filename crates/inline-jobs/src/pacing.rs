//! Urgency of items and the rate at which they are started, as low as their jobs' targets allow.
//!
//! An online request without a free slot preempts an item, which resumes elsewhere at the cost of reading its prompt
//! again. Starts are spread because the prefill of an item delays the tokens of all other requests at its replica.

use std::time::Duration;

/// Urgency of an item by its job's age, in start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Well before the target.
    Relaxed,
    /// A considerable part of the time has passed.
    Pressing,
    /// Close to the target, which can still be met.
    Late,
    /// The target can no longer be met; other items go first, so that they are not late as well.
    Missed,
}

/// Moving averages of the duration and event count of full runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunLength {
    seconds: f64,
    events: f64,
}

/// Weight of a new run in the averages.
const RUN_WEIGHT: f64 = 0.1;

/// Averages before the first full run.
const INITIAL_SECONDS: f64 = 5.0;
const INITIAL_EVENTS: f64 = 200.0;

impl Default for RunLength {
    fn default() -> Self {
        Self {
            seconds: INITIAL_SECONDS,
            events: INITIAL_EVENTS,
        }
    }
}

impl RunLength {
    /// Adds a full run to the averages.
    pub fn observe(&mut self, duration: Duration, events: usize) {
        self.seconds += (duration.as_secs_f64() - self.seconds) * RUN_WEIGHT;
        #[allow(clippy::cast_precision_loss)]
        let events = events as f64;
        self.events += (events - self.events) * RUN_WEIGHT;
    }

    /// Returns the expected remaining time of an item that has `events` events.
    pub fn remaining(&self, events: usize) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let remaining_share = 1.0 - events as f64 / self.events.max(1.0);
        Duration::from_secs_f64(self.seconds * remaining_share.clamp(MIN_REMAINING_SHARE, 1.0))
    }
}

/// Lower bound of the share of a run that is expected to remain.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// Shares of the target after which a job is pressing and late, in percent.
const PRESSING_PERCENT: u128 = 40;
const LATE_PERCENT: u128 = 65;

/// Returns the urgency of an item whose job has this age, and that is expected to take `remaining`.
pub fn urgency(age: Duration, remaining: Duration, target: Duration) -> Urgency {
    if age.saturating_add(remaining) > target {
        return Urgency::Missed;
    }
    let passed = age.as_millis() * 100;
    let target = target.as_millis();
    if passed >= target.saturating_mul(LATE_PERCENT) {
        Urgency::Late
    } else if passed >= target.saturating_mul(PRESSING_PERCENT) {
        Urgency::Pressing
    } else {
        Urgency::Relaxed
    }
}

/// Returns how long an item may wait and still meet its target.
pub fn slack(age: Duration, remaining: Duration, target: Duration) -> Duration {
    target.saturating_sub(age).saturating_sub(remaining)
}

impl Urgency {
    /// Returns the minimum time between two starts of items of this urgency at one daemon.
    pub fn start_interval(self) -> Duration {
        match self {
            Self::Relaxed | Self::Missed => Duration::from_millis(100),
            Self::Pressing => Duration::from_millis(40),
            Self::Late => Duration::ZERO,
        }
    }
}
