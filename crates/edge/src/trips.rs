//! Round trips to peers by zone, as their answers measured them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_serving::Location;

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
    by_place: Mutex<HashMap<Location, Trip>>,
}

impl RoundTrips {
    fn lock(&self) -> MutexGuard<'_, HashMap<Location, Trip>> {
        self.by_place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An answer from the place came so long after its question.
    pub fn note(&self, place: Location, measured: Duration) {
        let mut by_place = self.lock();
        by_place
            .entry(place)
            .and_modify(|trip| trip.take(measured))
            .or_insert_with(|| Trip::first(measured));
    }

    /// Time within which nearly all answers from the place come; `None` if nobody in its region has answered yet.
    pub fn longest(&self, place: Location) -> Option<Duration> {
        self.find(place).map(Trip::longest)
    }

    /// Mean round trip to the place; `None` if nobody in its region has answered yet.
    pub fn mean(&self, place: Location) -> Option<Duration> {
        self.find(place).map(|trip| trip.mean)
    }

    /// The way to a zone, or to the farthest zone measured of the same region.
    fn find(&self, place: Location) -> Option<Trip> {
        let by_place = self.lock();
        let in_region = || {
            let alike = by_place.iter();
            let alike = alike.filter(|(known, _)| known.region == place.region);
            alike.map(|(_, trip)| *trip).max_by_key(|trip| trip.mean)
        };
        by_place.get(&place).copied().or_else(in_region)
    }
}
