//! Exponential backoff with full jitter, which spreads the retries of many clients after an outage.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff state of one client.
#[derive(Debug, Clone)]
pub struct Backoff {
    max: Duration,
    next: Duration,
    min: Duration,
}

impl Backoff {
    /// The bound of the wait starts at `min` and doubles with each wait up to `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            max,
            next: min,
            min,
        }
    }

    /// Returns the wait before the next attempt, uniform between zero and the current bound, and doubles the bound.
    pub fn wait(&mut self, random: &mut impl Rng) -> Duration {
        let wait = full_jitter(self.next, random);
        self.next = (self.next * 2).min(self.max);
        wait
    }

    /// Resets the bound to its first value, after a success.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}

/// Returns a duration drawn uniformly between zero and `bound`.
pub fn full_jitter(bound: Duration, random: &mut impl Rng) -> Duration {
    bound.mul_f64(random.random::<f64>())
}
