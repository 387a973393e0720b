//! How urgent items are, and how fast they are started: as gently as their jobs' targets allow.
//!
//! Why: an online request that finds no slot takes one that an item holds (`serving::SlotLeases`), and an item that gave
//! its slot up goes on elsewhere for the price of reading its prompt again. So items fill what is free; starts are
//! spread, because an item's prompt holds up the tokens of all requests beside it while it is read.

use std::time::Duration;

/// How much of a job's time has passed, in the order in which items are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// There is time enough.
    Relaxed,
    /// Part of the time is gone.
    Pressing,
    /// The target is near, and can still be met.
    Late,
    /// The target cannot be met any more: others go first, so that not all of them are late.
    Missed,
}

/// What items have taken so far, to tell whether one can still be done in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunLength {
    seconds: f64,
    events: f64,
}

/// Weight of a new run in the means.
const RUN_WEIGHT: f64 = 0.1;

/// Means before any run has ended.
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
    /// Takes a whole run into account.
    pub fn observe(&mut self, took: Duration, events: usize) {
        self.seconds += (took.as_secs_f64() - self.seconds) * RUN_WEIGHT;
        #[allow(clippy::cast_precision_loss)]
        let events = events as f64;
        self.events += (events - self.events) * RUN_WEIGHT;
    }

    /// Expected time that an item with so many events still takes.
    pub fn remaining(&self, events: usize) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let remaining_share = 1.0 - events as f64 / self.events.max(1.0);
        Duration::from_secs_f64(self.seconds * remaining_share.clamp(MIN_REMAINING_SHARE, 1.0))
    }
}

/// Least part of a run that is expected to be left.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// Shares of the target after which a job presses and is late, in percent.
const PRESSING_PERCENT: u128 = 40;
const LATE_PERCENT: u128 = 65;

/// Urgency of an item whose job has this age, and that still takes `remaining`.
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

/// How long an item whose job has this age, and that still takes `remaining`, may rest and be in time.
pub fn slack(age: Duration, remaining: Duration, target: Duration) -> Duration {
    target.saturating_sub(age).saturating_sub(remaining)
}

impl Urgency {
    /// Least time between two starts of items this urgent at one daemon.
    pub fn start_interval(self) -> Duration {
        match self {
            Self::Relaxed | Self::Missed => Duration::from_millis(100),
            Self::Pressing => Duration::from_millis(40),
            Self::Late => Duration::ZERO,
        }
    }
}
