//! A shared rate budget for a rate-limited store, by classes: when the budget runs short, claims and cancels
//! still pass, completions next, listings last.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Importance of a store call. Lower classes leave a part of the budget to higher ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// The last writes of a daemon that stops: what it knows is lost with it, so an answer is waited for as long as the stop lasts.
    Handover,
    /// Claims, cancels and lease changes: a caller waits, or safety does.
    Urgent,
    /// Commits of results and accepted jobs.
    Commit,
    /// Listings and discovery.
    Listing,
}

/// Share of the bucket that a class must leave untouched.
const COMMIT_RESERVE: f64 = 0.2;
const LISTING_RESERVE: f64 = 0.5;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

/// A token bucket over virtual or real time.
#[derive(Debug)]
pub struct RateBudget {
    rate: f64,
    burst: f64,
    bucket: Mutex<Bucket>,
}

impl RateBudget {
    /// Allows `rate` calls a second and bursts of `burst`.
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

    /// Takes one call's worth for `class`, or tells how long to wait before asking again.
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
