//! The directory of tenants and their API keys.

use std::collections::HashMap;
use std::sync::Arc;

use crate::key::{ApiKey, KeyDigest};
use crate::rate::RateLimit;
use crate::regions::AllowedRegions;

/// A tenant as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantSpec {
    /// Unique among all tenants.
    pub name: String,
    /// API keys that authenticate the tenant; may be empty.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which overrides the route's; 0 is the highest. `None` keeps the route's.
    pub priority: Option<u32>,
    /// Rate limit over the whole fleet.
    pub rate: RateLimit,
    /// Regions in which its requests may run and its data may be stored.
    pub allowed_regions: AllowedRegions,
}

/// A tenant as the request path uses it; without its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Unique among all tenants.
    pub name: Arc<str>,
    /// Priority of its requests, which overrides the route's; 0 is the highest. `None` keeps the route's.
    pub priority: Option<u32>,
    /// Rate limit over the whole fleet.
    pub rate: RateLimit,
    /// Regions in which its requests may run and its data may be stored.
    pub allowed_regions: AllowedRegions,
}

/// Why a configuration of tenants is invalid. Messages don't contain keys.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// Two tenants have the same name.
    #[error("tenants: {name} is there twice")]
    DuplicateName {
        /// Name that occurs twice.
        name: String,
    },
    /// Two tenants have the same key.
    #[error("tenants: {first} and {second} have the same key")]
    SharedKey {
        /// Name of the tenant that is listed first.
        first: String,
        /// Name of the other tenant.
        second: String,
    },
}

/// All tenants, by name and by key. Immutable and replaced with each configuration, so that look-ups need no lock.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TenantDirectory {
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl TenantDirectory {
    /// Builds the directory.
    ///
    /// # Errors
    /// A name occurs twice, or two tenants share a key.
    pub fn new(specs: &[TenantSpec]) -> Result<Self, DirectoryError> {
        let mut directory = Self::default();
        for spec in specs {
            let tenant = Arc::new(Tenant {
                name: Arc::from(spec.name.as_str()),
                priority: spec.priority,
                rate: spec.rate,
                allowed_regions: spec.allowed_regions.clone(),
            });
            let name = tenant.name.clone();
            if directory.by_name.insert(name, tenant.clone()).is_some() {
                return Err(DirectoryError::DuplicateName {
                    name: spec.name.clone(),
                });
            }
            for key in &spec.keys {
                let other = directory.by_key.insert(key.digest(), tenant.clone());
                // A key that one tenant lists twice is accepted.
                if let Some(other) = other.filter(|other| other.name != tenant.name) {
                    return Err(DirectoryError::SharedKey {
                        first: other.name.to_string(),
                        second: spec.name.clone(),
                    });
                }
            }
        }
        Ok(directory)
    }

    /// Returns the tenant that a key belongs to; `None` if the key is unknown.
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(&key.digest())
    }

    /// Returns a tenant by name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}
