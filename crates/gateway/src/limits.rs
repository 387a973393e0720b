//! Limits per tenant and endpoint: a lock-free token bucket for the request rate and a concurrency counter.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_config::{ConfigSnapshot, LimitsSpec};

/// Limits of tenants and endpoints without configured ones.
const DEFAULT_RATE: f64 = 5_000.0;
const DEFAULT_BURST: u32 = 5_000;
const DEFAULT_CONCURRENCY: u32 = 10_000;

const MILLITOKENS_PER_TOKEN: f64 = 1000.0;

/// Sent as `retry-after` when the concurrency limit is reached.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LimitKey {
    tenant: String,
    endpoint: String,
}

#[derive(Debug)]
struct Limiter {
    rate: f64,
    burst_millitokens: i64,
    concurrency: u32,
    millitokens: AtomicI64,
    refilled_at_micros: AtomicU64,
    in_progress: AtomicU32,
}

impl Limiter {
    fn new(spec: Option<&LimitsSpec>) -> Self {
        let rate = spec.map_or(DEFAULT_RATE, |spec| spec.requests_per_second);
        let burst = spec.map_or(DEFAULT_BURST, |spec| spec.burst);
        let burst_millitokens = (f64::from(burst) * MILLITOKENS_PER_TOKEN) as i64;
        Self {
            rate,
            burst_millitokens,
            concurrency: spec.map_or(DEFAULT_CONCURRENCY, |spec| spec.concurrent_requests),
            millitokens: AtomicI64::new(burst_millitokens),
            refilled_at_micros: AtomicU64::new(0),
            in_progress: AtomicU32::new(0),
        }
    }

    fn has_same_limits(&self, other: &Self) -> bool {
        self.rate == other.rate
            && self.burst_millitokens == other.burst_millitokens
            && self.concurrency == other.concurrency
    }

    fn refill(&self, now_micros: u64) {
        let last = self.refilled_at_micros.load(Ordering::Relaxed);
        let elapsed = now_micros.saturating_sub(last);
        let refill = (elapsed as f64 * self.rate * MILLITOKENS_PER_TOKEN / 1e6) as i64;
        if refill == 0 {
            return;
        }
        let is_updated = self
            .refilled_at_micros
            .compare_exchange(last, now_micros, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
        if is_updated {
            let refilled =
                |millitokens: i64| Some((millitokens + refill).min(self.burst_millitokens));
            let _ = self
                .millitokens
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, refilled);
        }
    }

    fn take_rate(&self, now_micros: u64) -> Result<(), Duration> {
        self.refill(now_micros);
        let cost = MILLITOKENS_PER_TOKEN as i64;
        let withdrawn = |millitokens: i64| (millitokens >= cost).then(|| millitokens - cost);
        self.millitokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdrawn)
            .map(|_| ())
            .map_err(|millitokens| {
                let missing = (cost - millitokens) as f64 / MILLITOKENS_PER_TOKEN;
                Duration::from_secs_f64(missing / self.rate)
            })
    }
}

/// Result of the check of a request against its limits.
#[derive(Debug)]
pub enum LimitDecision {
    /// Within the limits; the guard counts the request as in progress.
    Admitted(InProgress),
    /// Over a limit.
    Refused {
        /// Time after which to retry.
        retry_after: Duration,
        /// Name of the exceeded limit in the configuration.
        limit: &'static str,
    },
}

/// Guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress {
    limiter: Arc<Limiter>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.limiter.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits of all tenants at this daemon. Each daemon applies the configured limits to its own requests only.
#[derive(Debug, Default)]
pub struct TenantLimits {
    limiters: ArcSwap<HashMap<LimitKey, Arc<Limiter>>>,
}

impl TenantLimits {
    /// Applies a new configuration. Limiters with unchanged limits keep their state.
    pub fn configure(&self, config: &ConfigSnapshot) {
        let old = self.limiters.load();
        let mut limiters = HashMap::new();
        for tenant in config
            .objects()
            .filter(|object| object.spec.kind() == harrierward_config::ObjectKind::Tenant)
        {
            for endpoint in config.endpoints_of(&tenant.name) {
                let key = LimitKey {
                    tenant: tenant.name.clone(),
                    endpoint: endpoint.name.clone(),
                };
                let limits = config.limits(&tenant.name, &endpoint.name);
                let new_limiter = Arc::new(Limiter::new(limits));
                let existing = old
                    .get(&key)
                    .filter(|existing| existing.has_same_limits(&new_limiter))
                    .cloned();
                limiters.insert(key, existing.unwrap_or(new_limiter));
            }
        }
        self.limiters.store(Arc::new(limiters));
    }

    /// Checks a request against its limits and counts it. `None` if the tenant has no such endpoint.
    pub fn admit(&self, tenant: &str, endpoint: &str, now_micros: u64) -> Option<LimitDecision> {
        let key = LimitKey {
            tenant: tenant.to_owned(),
            endpoint: endpoint.to_owned(),
        };
        let limiter = self.limiters.load().get(&key)?.clone();
        if limiter.in_progress.fetch_add(1, Ordering::Relaxed) >= limiter.concurrency {
            limiter.in_progress.fetch_sub(1, Ordering::Relaxed);
            return Some(LimitDecision::Refused {
                retry_after: CONCURRENCY_RETRY_AFTER,
                limit: "concurrent_requests",
            });
        }
        let in_progress = InProgress {
            limiter: limiter.clone(),
        };
        Some(match limiter.take_rate(now_micros) {
            Ok(()) => LimitDecision::Admitted(in_progress),
            Err(retry_after) => LimitDecision::Refused {
                retry_after,
                limit: "requests_per_second",
            },
        })
    }
}
