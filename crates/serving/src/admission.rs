//! Whether a caller may call: its key's tenant, and the tenant's rate.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_tenants::{ApiKey, Tenant};
use tokio::time::Instant;

use crate::configuration::Route;
use crate::response::RefusalCause;
use crate::routes::RouteTable;

/// Age of the configuration from which on a daemon does not take its own copy for the newest: what it does not know may
/// exist. Above the age that a watch in good order reaches, two of its waits.
const STALE_AFTER: Duration = Duration::from_millis(4_500);

/// Whether a tenant's next request lies within its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateStatus {
    /// It does.
    Within,
    /// The tenant is at its limit.
    Over {
        /// When a request of this caller will be within it.
        retry_after: Duration,
    },
    /// Nobody who counts the tenant's requests can be asked.
    Unknown,
}

/// Counts the requests of tenants over all daemons.
#[async_trait]
pub trait RateLimits: Send + Sync {
    /// Counts one request of a tenant, if it may run.
    async fn admit(&self, tenant: &Tenant, request: &str) -> RateStatus;
}

/// When the configuration in force was last known to be the newest.
#[derive(Debug)]
pub struct ConfigurationProof {
    started: Instant,
    /// Milliseconds after `started`, plus one; 0 while there is no proof.
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
    /// The configuration in force was the newest at `moment`.
    pub fn prove(&self, moment: Instant) {
        let since = moment.saturating_duration_since(self.started).as_millis();
        let proven = u64::try_from(since).unwrap_or(u64::MAX).saturating_add(1);
        self.proven_ms.fetch_max(proven, Ordering::Relaxed);
    }

    /// Time since the last proof; `None` if there was none.
    pub fn age(&self) -> Option<Duration> {
        let proven = self.proven_ms.load(Ordering::Relaxed).checked_sub(1)?;
        let since_start = harrierward_clock::age(self.started);
        Some(since_start.saturating_sub(Duration::from_millis(proven)))
    }

    /// True if there may be a newer configuration.
    pub fn is_stale(&self) -> bool {
        self.age().is_none_or(|age| age > STALE_AFTER)
    }
}

/// How long a daemon that does not learn of new configurations serves the keys that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyTrust {
    /// For as long as it takes: keys that were taken away meanwhile are still served there.
    Unbounded,
    /// So long after it last knew its configuration to be the newest.
    For(Duration),
}

/// The tenant that a request is for; `None` if its route asks for no key.
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
    known_caller(holder, key.is_some(), proof, trust).map(Some)
}

/// The tenant of a call that needs a key; `None` if the configuration knows no tenants.
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
    known_caller(holder, key.is_some(), proof, trust).map(Some)
}

fn known_caller(
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
