//! Shared rate budget for a rate-limited store. Commits and listings leave a reserve for more important calls.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Priority of a store call. Commits leave a part of the budget to the classes above, listings a larger part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Last writes of a stopping daemon, whose state is lost otherwise; they may wait as long as the shutdown lasts.
    Handover,
    /// Claims, cancellations and lease changes: a caller is waiting, or safety depends on them.
    Urgent,
    /// Commits of results and accepted jobs.
    Commit,
    /// Listings and discovery.
    Listing,
}

/// Share of the burst that a class leaves to higher classes.
const COMMIT_RESERVE: f64 = 0.2;
const LISTING_RESERVE: f64 = 0.5;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

/// Token bucket that refills by tokio time, so that it follows a paused test clock.
#[derive(Debug)]
pub struct RateBudget {
    rate: f64,
    burst: f64,
    bucket: Mutex<Bucket>,
}

impl RateBudget {
    /// Builds a full bucket that allows `rate` calls per second and bursts of up to `burst` calls.
    pub fn new(rate: f64, burst: f64) -> Self {
        let bucket = Bucket {
            tokens: burst,
            filled_at: Instant::now(),
        };
        Self {
            rate,
            burst,
            bucket: Mutex::new(bucket),
        }
    }

    /// Takes one token for a call of `class`, or returns the time until enough tokens have been refilled.
    pub fn try_take(&self, class: RequestClass) -> Result<(), Duration> {
        let now = Instant::now();
        let mut bucket = self
            .bucket
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let elapsed = now.saturating_duration_since(bucket.filled_at);
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        bucket.filled_at = now;
        let floor = self.reserve(class) + 1.0;
        if bucket.tokens >= floor {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = floor - bucket.tokens;
        Err(Duration::from_secs_f64(missing / self.rate))
    }

    fn reserve(&self, class: RequestClass) -> f64 {
        match class {
            RequestClass::Handover | RequestClass::Urgent => 0.0,
            RequestClass::Commit => self.burst * COMMIT_RESERVE,
            RequestClass::Listing => self.burst * LISTING_RESERVE,
        }
    }
}
