//! Per-tenant limits at an endpoint: a token bucket for the rate and a count for concurrency, both of atomics.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_config::{ConfigSnapshot, LimitsSpec};

/// Limits where none are configured.
const DEFAULT_RATE: f64 = 5_000.0;
const DEFAULT_BURST: u32 = 5_000;
const DEFAULT_CONCURRENCY: u32 = 10_000;

/// Parts that a token is counted in.
const PARTS: f64 = 1000.0;

/// When to come back if too many requests are in progress.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LimitKey {
    tenant: String,
    endpoint: String,
}

#[derive(Debug)]
struct Limiter {
    rate: f64,
    burst_parts: i64,
    concurrency: u32,
    parts: AtomicI64,
    filled_micros: AtomicU64,
    in_progress: AtomicU32,
}

impl Limiter {
    fn new(spec: Option<&LimitsSpec>) -> Self {
        let rate = spec.map_or(DEFAULT_RATE, |spec| spec.requests_per_second);
        let burst = spec.map_or(DEFAULT_BURST, |spec| spec.burst);
        let burst_parts = (f64::from(burst) * PARTS) as i64;
        Self {
            rate,
            burst_parts,
            concurrency: spec.map_or(DEFAULT_CONCURRENCY, |spec| spec.concurrent_requests),
            parts: AtomicI64::new(burst_parts),
            filled_micros: AtomicU64::new(0),
            in_progress: AtomicU32::new(0),
        }
    }

    fn same(&self, other: &Self) -> bool {
        self.rate == other.rate
            && self.burst_parts == other.burst_parts
            && self.concurrency == other.concurrency
    }

    fn fill(&self, now_micros: u64) {
        let last = self.filled_micros.load(Ordering::Relaxed);
        let elapsed = now_micros.saturating_sub(last);
        let earned = (elapsed as f64 * self.rate * PARTS / 1e6) as i64;
        if earned == 0 {
            return;
        }
        let won = self
            .filled_micros
            .compare_exchange(last, now_micros, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
        if won {
            let filled = |parts: i64| Some((parts + earned).min(self.burst_parts));
            let _ = self
                .parts
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, filled);
        }
    }

    fn take_rate(&self, now_micros: u64) -> Result<(), Duration> {
        self.fill(now_micros);
        let cost = PARTS as i64;
        let taken = |parts: i64| (parts >= cost).then(|| parts - cost);
        self.parts
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken)
            .map(|_| ())
            .map_err(|parts| {
                let missing = (cost - parts) as f64 / PARTS;
                Duration::from_secs_f64(missing / self.rate)
            })
    }
}

/// What the limits say to a request.
#[derive(Debug)]
pub enum LimitDecision {
    /// It may pass; the guard counts it as in progress.
    Pass(InProgress),
    /// It must not pass before this time has gone by.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// Which limit it met.
        limit: &'static str,
    },
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct InProgress {
    limiter: Arc<Limiter>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.limiter.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits of all tenants at this daemon. Each daemon applies the configured limits to what it sees itself.
#[derive(Debug, Default)]
pub struct TenantLimits {
    limiters: ArcSwap<HashMap<LimitKey, Arc<Limiter>>>,
}

impl TenantLimits {
    /// Takes over a new configuration; limiters that did not change keep their state.
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
                let fresh = Arc::new(Limiter::new(limits));
                let kept = old.get(&key).filter(|kept| kept.same(&fresh)).cloned();
                limiters.insert(key, kept.unwrap_or(fresh));
            }
        }
        self.limiters.store(Arc::new(limiters));
    }

    /// Asks leave for one request. `None` if the tenant has no such endpoint.
    pub fn enter(&self, tenant: &str, endpoint: &str, now_micros: u64) -> Option<LimitDecision> {
        let key = LimitKey {
            tenant: tenant.to_owned(),
            endpoint: endpoint.to_owned(),
        };
        let limiter = self.limiters.load().get(&key)?.clone();
        if limiter.in_progress.fetch_add(1, Ordering::Relaxed) >= limiter.concurrency {
            limiter.in_progress.fetch_sub(1, Ordering::Relaxed);
            return Some(LimitDecision::Refused {
                retry_after: CONCURRENCY_RETRY,
                limit: "concurrent_requests",
            });
        }
        let in_progress = InProgress {
            limiter: limiter.clone(),
        };
        Some(match limiter.take_rate(now_micros) {
            Ok(()) => LimitDecision::Pass(in_progress),
            Err(retry_after) => LimitDecision::Refused {
                retry_after,
                limit: "requests_per_second",
            },
        })
    }
}
