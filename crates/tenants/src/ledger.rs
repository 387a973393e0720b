//! The coordinator's count of its tenants' tokens.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::bucket::{MAX_RETRY_AFTER, TokenBucket};
use crate::initial_allowance::InitialAllowance;
use crate::rate::{RateBounds, RateLimit};

/// Most tenants for which this daemon remembers what it gave out without being their coordinator; 48 bytes and a name
/// each. Beyond it stands in for no further ones.
const MAX_ALLOWANCES: usize = 1_024;

/// A daemon that did not run for so long stood still. Longer than its ticks are apart on a busy machine, and shorter
/// than the time after which members take one for dead.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// What becomes of a question for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateDecision {
    /// So many requests may run, one at least.
    Granted {
        /// Tokens.
        tokens: u32,
    },
    /// The tenant is at its limit.
    Exhausted {
        /// When a token will be there for this caller.
        retry_after: Duration,
    },
}

/// Tokens of the tenants that this daemon coordinates, or stands in for the coordinator of.
#[derive(Debug, Default)]
pub struct RateLedger {
    buckets: HashMap<String, TokenBucket>,
    /// Of tenants without a bucket here: what is left to begin with, or to stand in with.
    allowances: HashMap<String, InitialAllowance>,
    /// When this daemon was last seen running.
    ran_at: Option<Instant>,
}

impl RateLedger {
    /// This daemon runs; to be called ten times a second at least, and before tokens are given out. Returns for how
    /// long it stood still, if it did.
    ///
    /// Why: another member may have given out what accrued in that time, and the buckets would give it out once more.
    pub fn detect_stall(&mut self, now: Instant) -> Option<Duration> {
        let ran_at = self.ran_at.replace(now)?;
        let gap = now.saturating_duration_since(ran_at);
        if gap < STALL_THRESHOLD {
            return None;
        }
        for bucket in self.buckets.values_mut() {
            bucket.skip_to(now);
        }
        Some(gap)
    }

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
            let whole = bounds.initial_allowance(limit) * share;
            let allowance = self.allowances.remove(tenant);
            let tokens = allowance.map_or(whole, |allowance| allowance.left(whole, now));
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

    /// Gives out one token of a tenant whose coordinator does not answer the asker, and which this daemon would
    /// coordinate next. It comes from the stock that a new coordinator begins with, and nothing accrues. Returns false
    /// if that is used up.
    ///
    /// Why bounded: the coordinator may be silent to this asker alone, and give out the whole limit to all others.
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
        let whole = bounds.initial_allowance(limit) * share;
        let allowance = self.allowances.get(tenant);
        let left = allowance.map_or(whole, |allowance| allowance.left(whole, now));
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

    /// Forgets the counts of tenants that this daemon does not coordinate any more: should it coordinate them again,
    /// another one may have given out their tokens meanwhile. It then begins anew, with no more than was left.
    /// Returns how many those are.
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
