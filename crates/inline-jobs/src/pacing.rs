//! Urgency of items and the rate at which they are started, as low as their jobs' targets allow.
//!
//! An online request without a free slot preempts an item, which resumes elsewhere at the cost of reading its prompt
//! again. Starts are spread because the prefill of an item delays the tokens of all other requests at its replica.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Bound of the placement requests in flight under one name.
const MAX_PLACEMENTS: usize = 3;

/// Time after the last start from which it needn't be remembered; more than any start interval.
const STARTS_TTL: Duration = Duration::from_secs(1);

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

#[derive(Debug, Default)]
struct Starts {
    last: Option<Instant>,
    before_last: Option<Instant>,
    placements: usize,
}

impl Starts {
    fn is_needed(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STARTS_TTL;
        self.placements > 0 || self.last.is_some_and(is_recent)
    }
}

/// Starts of items, by the name of what they share: items that wait for one service take no start from those of another.
#[derive(Debug, Default)]
pub struct StartPacer {
    by_name: BTreeMap<String, Starts>,
}

impl StartPacer {
    /// True if the start interval of this urgency has passed.
    pub fn is_due(&self, name: &str, urgency: Urgency, now: Instant) -> bool {
        let last = self.by_name.get(name).and_then(|starts| starts.last);
        last.is_none_or(|last| now.saturating_duration_since(last) >= urgency.start_interval())
    }

    /// True if another placement may be in flight.
    pub fn may_place(&self, name: &str) -> bool {
        let starts = self.by_name.get(name);
        starts.is_none_or(|starts| starts.placements < MAX_PLACEMENTS)
    }

    /// Records a start. A trial doesn't delay other starts.
    pub fn begin(&mut self, name: &str, is_trial: bool, now: Instant) {
        self.by_name.retain(|_, starts| starts.is_needed(now));
        let starts = self.by_name.entry(name.to_owned()).or_default();
        starts.placements += 1;
        if !is_trial {
            starts.before_last = starts.last;
            starts.last = Some(now);
        }
    }

    /// Records that a placement is no longer in flight.
    pub fn end_placement(&mut self, name: &str) {
        if let Some(starts) = self.by_name.get_mut(name) {
            starts.placements = starts.placements.saturating_sub(1);
        }
    }

    /// Takes the start at `started_at` back, since a replica refused the item: nothing ran, so that the next item needn't
    /// wait. Has no effect after a later start.
    pub fn take_back(&mut self, name: &str, started_at: Instant) {
        let starts = self.by_name.get_mut(name);
        if let Some(starts) = starts.filter(|starts| starts.last == Some(started_at)) {
            starts.last = starts.before_last;
        }
    }
}
