//! The coordinator's count of its tenants' tokens.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::rate::{RateBounds, RateLimit};

/// Longest time after which a caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
    /// Callers that were refused have been told to come back at moments up to this one.
    booked_until: Instant,
}

/// What becomes of a question for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateDecision {
    /// So many requests may run, one at least.
    Granted {
        /// Tokens.
        tokens: u32,
    },
    /// The tenant is at its limit.
    Empty {
        /// When a token will be there for this caller.
        retry_after: Duration,
    },
}

/// Tokens of the tenants that this daemon coordinates.
#[derive(Debug, Default)]
pub struct RateLedger {
    buckets: HashMap<String, Bucket>,
}

impl RateLedger {
    /// Gives out up to `wanted` tokens of a tenant. `share` is the part of the limit that this coordinator may give
    /// out, 0 to 1: members that may be cut off from it have the rest.
    pub fn take(
        &mut self,
        tenant: &str,
        limit: RateLimit,
        bounds: &RateBounds,
        share: f64,
        wanted: u32,
        now: Instant,
    ) -> RateDecision {
        let rate = limit.per_second() * share;
        let capacity = bounds.capacity(limit) * share;
        if !self.buckets.contains_key(tenant) {
            let bucket = Bucket {
                tokens: bounds.starter(limit) * share,
                filled_at: now,
                booked_until: now,
            };
            self.buckets.insert(tenant.to_owned(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return RateDecision::Empty {
                retry_after: LONGEST_RETRY,
            };
        };
        bucket.fill(rate, capacity, now);
        let tokens = whole(bucket.tokens).min(wanted);
        if tokens == 0 {
            return RateDecision::Empty {
                retry_after: bucket.book(rate, now),
            };
        }
        bucket.tokens -= f64::from(tokens);
        RateDecision::Granted { tokens }
    }

    /// Forgets the tenants that this daemon does not coordinate any more: should it coordinate them again, another
    /// one may have given out their tokens meanwhile.
    /// Returns how many those are.
    pub fn retain(&mut self, coordinates: impl Fn(&str) -> bool) -> usize {
        let before = self.buckets.len();
        self.buckets.retain(|tenant, _| coordinates(tenant));
        before - self.buckets.len()
    }
}

impl Bucket {
    fn fill(&mut self, rate: f64, capacity: f64, now: Instant) {
        let since = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + since.as_secs_f64() * rate).min(capacity);
    }

    /// The moment at which the next refused caller finds a token. Each one is told another moment, so that those who
    /// come back do not meet at one token.
    fn book(&mut self, rate: f64, now: Instant) -> Duration {
        if rate <= 0.0 {
            return LONGEST_RETRY;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST_RETRY);
        let missing = (1.0 - self.tokens).max(0.0) / rate;
        let missing = Duration::try_from_secs_f64(missing).unwrap_or(LONGEST_RETRY);
        let next = (self.booked_until + interval).max(now + missing);
        self.booked_until = next.min(now + LONGEST_RETRY);
        next.saturating_duration_since(now).min(LONGEST_RETRY)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0).floor() as u32
}
