//! Admission of callers by API key and by their tenant's rate limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_tenants::{ApiKey, Tenant};
use tokio::time::Instant;

use crate::configuration::Route;
use crate::response::RefusalCause;
use crate::routes::RouteTable;

/// Age from which the local configuration may be outdated: two timeouts of the configuration watch.
const STALE_AFTER: Duration = Duration::from_millis(4_500);

/// Result of a rate limit check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateStatus {
    /// The request is within the tenant's rate.
    Within,
    /// The tenant has reached its limit.
    Over {
        /// Time after which a retry of this caller will be within the limit.
        retry_after: Duration,
    },
    /// Neither the coordinator of the tenant's rate nor its fallback gives a decision.
    Unknown,
}

/// Fleet-wide rate limits of tenants.
#[async_trait]
pub trait RateLimits: Send + Sync {
    /// Counts one request against the tenant's rate unless it exceeds the limit. `request` is its id, for the log.
    async fn admit(&self, tenant: &Tenant, request: &str) -> RateStatus;
}

/// Time at which the configuration in force was last known to be the newest.
#[derive(Debug)]
pub struct ConfigurationProof {
    started: Instant,
    /// Milliseconds after `started`, plus one; 0 without a proof.
    proven_ms: AtomicU64,
}

impl Default for ConfigurationProof {
    fn default() -> Self {
        Self {
            started: harrierward_clock::now(),
            proven_ms: AtomicU64::new(0),
        }
    }
}

impl ConfigurationProof {
    /// Records that the configuration in force was the newest at `moment`.
    pub fn prove(&self, moment: Instant) {
        let since = moment.saturating_duration_since(self.started).as_millis();
        let proven = u64::try_from(since).unwrap_or(u64::MAX).saturating_add(1);
        self.proven_ms.fetch_max(proven, Ordering::Relaxed);
    }

    /// Returns the time since the last proof; `None` if there was none.
    pub fn age(&self) -> Option<Duration> {
        let proven = self.proven_ms.load(Ordering::Relaxed).checked_sub(1)?;
        let since_start = harrierward_clock::age(self.started);
        Some(since_start.saturating_sub(Duration::from_millis(proven)))
    }

    /// True if a newer configuration may exist.
    pub fn is_stale(&self) -> bool {
        self.age().is_none_or(|age| age > STALE_AFTER)
    }
}

/// How long a daemon that receives no configuration updates accepts known keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyTrust {
    /// Without limit; keys that were revoked in the meantime stay accepted.
    Unbounded,
    /// For this long after the configuration was last known to be the newest.
    For(Duration),
}

/// Returns the tenant of a request; `None` on a public route without a known key, or if no tenants are configured.
pub fn caller_of(
    routes: &RouteTable,
    route: &Route,
    key: Option<&ApiKey>,
    proof: &ConfigurationProof,
    trust: KeyTrust,
) -> Result<Option<Arc<Tenant>>, RefusalCause> {
    let Some(directory) = &routes.configuration.tenants else {
        return Ok(None);
    };
    let holder = key.and_then(|key| directory.holder(key)).cloned();
    if route.is_public {
        return Ok(holder);
    }
    authenticate(holder, key.is_some(), proof, trust).map(Some)
}

/// Returns the tenant of a call that requires a key; `None` if no tenants are configured.
pub fn tenant_of(
    routes: &RouteTable,
    key: Option<&ApiKey>,
    proof: &ConfigurationProof,
    trust: KeyTrust,
) -> Result<Option<Arc<Tenant>>, RefusalCause> {
    let Some(directory) = &routes.configuration.tenants else {
        return Ok(None);
    };
    let holder = key.and_then(|key| directory.holder(key)).cloned();
    authenticate(holder, key.is_some(), proof, trust).map(Some)
}

fn authenticate(
    holder: Option<Arc<Tenant>>,
    has_key: bool,
    proof: &ConfigurationProof,
    trust: KeyTrust,
) -> Result<Arc<Tenant>, RefusalCause> {
    if !has_key {
        return Err(RefusalCause::NoKey);
    }
    let Some(tenant) = holder else {
        return Err(if proof.is_stale() {
            RefusalCause::StaleConfiguration
        } else {
            RefusalCause::UnknownKey
        });
    };
    match trust {
        KeyTrust::For(bound) if proof.age().is_none_or(|age| age > bound) => {
            Err(RefusalCause::StaleConfiguration)
        }
        _ => Ok(tenant),
    }
}
