//! Token accounting of a coordinator.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::bucket::{MAX_RETRY_AFTER, TokenBucket};
use crate::initial_allowance::InitialAllowance;
use crate::rate::{RateBounds, RateLimit};

/// Number of partly used allowances from which on nothing is granted as the fallback for further tenants. Bounds the
/// memory that they take, 48 bytes and the name for each tenant.
const MAX_ALLOWANCES: usize = 1_024;

/// Time between two calls after which this daemon is considered stalled. Longer than ticks on a busy machine, shorter
/// than the time after which members consider a daemon dead.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// Result of a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateDecision {
    /// This number of requests may run, at least one.
    Granted {
        /// Number of granted tokens.
        tokens: u32,
    },
    /// The tenant is at its limit.
    Exhausted {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Tokens of the tenants that this daemon coordinates or has acted for as fallback coordinator.
#[derive(Debug, Default)]
pub struct RateLedger {
    buckets: HashMap<String, TokenBucket>,
    /// Partly used allowances of tenants without a bucket.
    allowances: HashMap<String, InitialAllowance>,
    /// Last call of [`Self::detect_stall`].
    last_run_at: Option<Instant>,
}

impl RateLedger {
    /// Detects whether this daemon has stalled since the last call, and for how long; to be called at least ten times
    /// a second, and before tokens are granted.
    ///
    /// Nothing accrues for the time of a stall, since another member may have granted it.
    pub fn detect_stall(&mut self, now: Instant) -> Option<Duration> {
        let last_run_at = self.last_run_at.replace(now)?;
        let stall = now.saturating_duration_since(last_run_at);
        if stall < STALL_THRESHOLD {
            return None;
        }
        for bucket in self.buckets.values_mut() {
            bucket.skip_to(now);
        }
        Some(stall)
    }

    /// Grants up to `wanted` tokens of a tenant. `share`, 0 to 1, is the part of the limit that this coordinator may
    /// grant; members that may be partitioned from it have the rest.
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
            let full = bounds.initial_allowance(limit) * share;
            let allowance = self.allowances.remove(tenant);
            let tokens = allowance.map_or(full, |allowance| allowance.left(full, now));
            self.buckets
                .insert(tenant.to_owned(), TokenBucket::new(tokens, now));
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return RateDecision::Exhausted {
                retry_after: MAX_RETRY_AFTER,
            };
        };
        bucket.fill(rate, capacity, now);
        let tokens = bucket.take(wanted);
        if tokens == 0 {
            return RateDecision::Exhausted {
                retry_after: bucket.schedule_retry(rate, now),
            };
        }
        RateDecision::Granted { tokens }
    }

    /// Grants one token as the fallback for a coordinator that doesn't reply to the requester. False if the initial
    /// allowance is used up; it is refilled an accounting period after the last grant.
    ///
    /// Bounded, since the coordinator may be unresponsive to this requester only and grant the full limit to others.
    pub fn take_as_fallback(
        &mut self,
        tenant: &str,
        limit: RateLimit,
        bounds: &RateBounds,
        share: f64,
        now: Instant,
    ) -> bool {
        if !self.allowances.contains_key(tenant) && !self.has_capacity(now) {
            return false;
        }
        let full = bounds.initial_allowance(limit) * share;
        let allowance = self.allowances.get(tenant);
        let left = allowance.map_or(full, |allowance| allowance.left(full, now));
        if left < 1.0 {
            return false;
        }
        let allowance = InitialAllowance::new(left - 1.0, bounds, now);
        self.allowances.insert(tenant.to_owned(), allowance);
        true
    }

    fn has_capacity(&mut self, now: Instant) -> bool {
        if self.allowances.len() >= MAX_ALLOWANCES {
            self.allowances
                .retain(|_, allowance| !allowance.is_full(now));
        }
        self.allowances.len() < MAX_ALLOWANCES
    }

    /// Removes the buckets of tenants that this daemon doesn't coordinate any more and returns their number. What is
    /// left is carried over to their allowances, as another coordinator may grant tokens in the meantime.
    pub fn retain(
        &mut self,
        bounds: &RateBounds,
        now: Instant,
        coordinates: impl Fn(&str) -> bool,
    ) -> usize {
        let before = self.buckets.len();
        let allowances = &mut self.allowances;
        allowances.retain(|_, allowance| !allowance.is_full(now));
        self.buckets.retain(|tenant, bucket| {
            let is_kept = coordinates(tenant);
            if !is_kept {
                let left = InitialAllowance::new(bucket.tokens(), bounds, now);
                allowances.insert(tenant.clone(), left);
            }
            is_kept
        });
        before - self.buckets.len()
    }
}
