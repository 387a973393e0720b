//! Smoothed round-trip times to peers, by zone.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_serving::Location;

/// Weights (one over each) of a new sample in the mean and the deviation, and the deviations in a timeout: RFC 6298.
const MEAN_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;
const TIMEOUT_DEVIATIONS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct RttEstimate {
    mean: Duration,
    deviation: Duration,
}

impl RttEstimate {
    fn first(measured: Duration) -> Self {
        Self {
            mean: measured,
            deviation: measured / 2,
        }
    }

    fn update(&mut self, measured: Duration) {
        let error = self.mean.abs_diff(measured);
        self.deviation = self.deviation * (DEVIATION_DIVISOR - 1) / DEVIATION_DIVISOR;
        self.deviation += error / DEVIATION_DIVISOR;
        self.mean = self.mean * (MEAN_DIVISOR - 1) / MEAN_DIVISOR + measured / MEAN_DIVISOR;
    }

    fn upper_bound(self) -> Duration {
        self.mean + self.deviation * TIMEOUT_DEVIATIONS
    }
}

/// Round-trip time estimates by location; one entry for each zone of the fleet.
#[derive(Debug, Default)]
pub struct RoundTrips {
    by_location: Mutex<HashMap<Location, RttEstimate>>,
}

impl RoundTrips {
    fn lock(&self) -> MutexGuard<'_, HashMap<Location, RttEstimate>> {
        self.by_location
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the time between a request to the location and its reply.
    pub fn note(&self, location: Location, measured: Duration) {
        let mut by_location = self.lock();
        by_location
            .entry(location)
            .and_modify(|estimate| estimate.update(measured))
            .or_insert_with(|| RttEstimate::first(measured));
    }

    /// Returns the time within which nearly all replies arrive; `None` if no member of the region has replied yet.
    pub fn upper_bound(&self, location: Location) -> Option<Duration> {
        self.find(location).map(RttEstimate::upper_bound)
    }

    /// Returns the mean round-trip time; `None` if no member of the region has replied yet.
    pub fn mean(&self, location: Location) -> Option<Duration> {
        self.find(location).map(|estimate| estimate.mean)
    }

    /// Returns the estimate of the zone, or else the slowest one of its region.
    fn find(&self, location: Location) -> Option<RttEstimate> {
        let by_location = self.lock();
        let in_region = || {
            let estimates = by_location.iter();
            let estimates = estimates.filter(|(known, _)| known.region == location.region);
            estimates
                .map(|(_, estimate)| *estimate)
                .max_by_key(|estimate| estimate.mean)
        };
        by_location.get(&location).copied().or_else(in_region)
    }
}
