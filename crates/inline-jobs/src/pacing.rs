//! How fast items are started, and how many slots they leave free: as gently as their jobs' targets allow.
//!
//! Why: an online request that finds no slot takes one that an item holds (`serving::Places`), and an item that gave
//! its slot up goes on elsewhere for the price of reading its prompt again. So items fill what is free between bursts;
//! a part of what online took at its last peak stays free, and starts are spread, because the asking takes a moment
//! and an item's prompt holds up the tokens of all requests beside it while it is read.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

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
const FIRST_SECONDS: f64 = 5.0;
const FIRST_EVENTS: f64 = 200.0;

impl Default for RunLength {
    fn default() -> Self {
        Self {
            seconds: FIRST_SECONDS,
            events: FIRST_EVENTS,
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
        let left = 1.0 - events as f64 / self.events.max(1.0);
        Duration::from_secs_f64(self.seconds * left.clamp(LEAST_LEFT, 1.0))
    }
}

/// Least part of a run that is expected to be left.
const LEAST_LEFT: f64 = 0.1;

/// Shares of the target after which a job presses and is late, in percent.
const PRESSING_PERCENT: u128 = 40;
const LATE_PERCENT: u128 = 65;

/// What a start of an item must respect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Share of online's last peak that is left free.
    pub peak_share: f64,
    /// Least time between two starts of this daemon.
    pub interval: Duration,
}

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
    /// The pace of items this urgent.
    pub fn pace(self) -> Pace {
        match self {
            Self::Relaxed | Self::Missed => Pace {
                peak_share: 0.3,
                interval: Duration::from_millis(100),
            },
            Self::Pressing => Pace {
                peak_share: 0.2,
                interval: Duration::from_millis(40),
            },
            Self::Late => Pace {
                peak_share: 0.1,
                interval: Duration::ZERO,
            },
        }
    }
}

/// Time in which a peak loses half of its weight.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(12);

/// Slots left free beside online's peak.
const SPARE_SLOTS: f64 = 1.0;

#[derive(Debug, Clone, Copy)]
struct Peak {
    online: f64,
    at: Instant,
}

/// The last peaks of online requests a replica, by service.
#[derive(Debug, Default)]
pub struct OnlinePeaks {
    peaks: HashMap<String, Peak>,
}

impl OnlinePeaks {
    /// Takes the mean of online requests in progress at a replica of the service.
    pub fn observe(&mut self, service: &str, online: f64, now: Instant) {
        let held = self.at(service, now);
        let peak = Peak {
            online: online.max(held),
            at: now,
        };
        self.peaks.insert(service.to_owned(), peak);
    }

    fn at(&self, service: &str, now: Instant) -> f64 {
        self.peaks.get(service).map_or(0.0, |peak| {
            let age = now.saturating_duration_since(peak.at).as_secs_f64();
            peak.online * 0.5_f64.powf(age / PEAK_HALF_LIFE.as_secs_f64())
        })
    }

    /// Slots that an item which leaves this share of the peak free must not take at a replica of the service.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn free_slots(&self, service: &str, peak_share: f64, now: Instant) -> u32 {
        let peak = self.at(service, now) * peak_share;
        (peak + SPARE_SLOTS).ceil().min(f64::from(u32::MAX)) as u32
    }
}
