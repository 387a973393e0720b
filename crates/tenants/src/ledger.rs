//! The coordinator's count of its tenants' tokens.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::bucket::{LONGEST_RETRY, TokenBucket};
use crate::rate::{RateBounds, RateLimit};

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
    buckets: HashMap<String, TokenBucket>,
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
            let starter = bounds.starter(limit) * share;
            self.buckets
                .insert(tenant.to_owned(), TokenBucket::new(starter, now));
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return RateDecision::Empty {
                retry_after: LONGEST_RETRY,
            };
        };
        bucket.fill(rate, capacity, now);
        let tokens = bucket.take(wanted);
        if tokens == 0 {
            return RateDecision::Empty {
                retry_after: bucket.book(rate, now),
            };
        }
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
