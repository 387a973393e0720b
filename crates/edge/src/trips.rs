//! Round trips to peers by zone, as their answers measured them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Parts of a new measurement that go into the mean and into the deviation, and deviations that a patience allows for:
/// the weights of TCP's retransmission timer (RFC 6298), which answers the same question.
const MEAN_PART: u32 = 8;
const DEVIATION_PART: u32 = 4;
const DEVIATIONS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct Trip {
    mean: Duration,
    deviation: Duration,
}

impl Trip {
    fn first(measured: Duration) -> Self {
        Self {
            mean: measured,
            deviation: measured / 2,
        }
    }

    fn take(&mut self, measured: Duration) {
        let off = self.mean.abs_diff(measured);
        self.deviation = self.deviation * (DEVIATION_PART - 1) / DEVIATION_PART;
        self.deviation += off / DEVIATION_PART;
        self.mean = self.mean * (MEAN_PART - 1) / MEAN_PART + measured / MEAN_PART;
    }

    fn longest(self) -> Duration {
        self.mean + self.deviation * DEVIATIONS
    }
}

/// What answers told of the way to each zone. Grows with the zones of the fleet.
#[derive(Debug, Default)]
pub struct RoundTrips {
    by_zone: Mutex<HashMap<u32, Trip>>,
}

impl RoundTrips {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, Trip>> {
        self.by_zone.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An answer from the zone came so long after its question.
    pub fn note(&self, zone: u32, measured: Duration) {
        let mut by_zone = self.lock();
        by_zone
            .entry(zone)
            .and_modify(|trip| trip.take(measured))
            .or_insert_with(|| Trip::first(measured));
    }

    /// Time within which nearly all answers from the zone come. For a zone that has not answered yet: that of the
    /// farthest zone that has; zero if none has.
    pub fn longest(&self, zone: u32) -> Duration {
        let by_zone = self.lock();
        if let Some(known) = by_zone.get(&zone) {
            return known.longest();
        }
        let others = by_zone.values().map(|trip| trip.longest());
        others.max().unwrap_or_default()
    }

    /// Mean round trip to the zone; `None` if nobody there has answered yet.
    pub fn mean(&self, zone: u32) -> Option<Duration> {
        self.lock().get(&zone).map(|trip| trip.mean)
    }
}
