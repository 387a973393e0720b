//! Which tenant a key belongs to.

use std::collections::HashMap;
use std::sync::Arc;

use crate::key::{ApiKey, KeyDigest};
use crate::rate::RateLimit;
use crate::regions::AllowedRegions;

/// A tenant as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantSpec {
    /// Name; unique.
    pub name: String,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, in place of the route's; 0 is the highest. `None` leaves the route's.
    pub priority: Option<u32>,
    /// Limit on the rate of its requests.
    pub rate: RateLimit,
    /// Regions in which its requests may be served and kept.
    pub allowed_regions: AllowedRegions,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name.
    pub name: Arc<str>,
    /// Rank of its requests, in place of the route's; 0 is the highest. `None` leaves the route's.
    pub priority: Option<u32>,
    /// Limit on the rate of its requests.
    pub rate: RateLimit,
    /// Regions in which its requests may be served and kept.
    pub allowed_regions: AllowedRegions,
}

/// A directory that cannot be meant. Keys are not named.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// Two tenants have the same name.
    #[error("tenants: {name} is there twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// Two tenants have the same key.
    #[error("tenants: {first} and {second} have the same key")]
    SharedKey {
        /// One tenant.
        first: String,
        /// The other one.
        second: String,
    },
}

/// All tenants and their keys. Replaced as a whole with each configuration, so a look-up takes no lock.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TenantDirectory {
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl TenantDirectory {
    /// A directory of these tenants.
    ///
    /// # Errors
    /// A name or a key is there twice.
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
                // A tenant that lists a key twice still has it once.
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

    /// The tenant that holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(&key.digest())
    }

    /// A tenant by name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}
