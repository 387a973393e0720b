//! Exponential back-off with full jitter, so that clients of a store that returns do not arrive together.

use std::time::Duration;

use rand::Rng;

/// A growing bound on the wait before the next try.
#[derive(Debug, Clone)]
pub struct Backoff {
    ceiling: Duration,
    next: Duration,
    first: Duration,
}

impl Backoff {
    /// Starts at `first` and doubles with each failure up to `ceiling`.
    pub fn new(first: Duration, ceiling: Duration) -> Self {
        Self {
            ceiling,
            next: first,
            first,
        }
    }

    /// The wait before the next try: uniform between zero and the present bound, which then doubles.
    pub fn wait(&mut self, random: &mut impl Rng) -> Duration {
        let wait = full_jitter(self.next, random);
        self.next = (self.next * 2).min(self.ceiling);
        wait
    }

    /// Forgets past failures.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// A time chosen uniformly from zero to `bound`.
pub fn full_jitter(bound: Duration, random: &mut impl Rng) -> Duration {
    bound.mul_f64(random.random::<f64>())
}
