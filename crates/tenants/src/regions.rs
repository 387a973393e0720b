//! Regions in which requests may run and their data may be stored.

use std::sync::Arc;

/// Regions allowed by a route or a tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// No restriction.
    #[default]
    Any,
    /// Only these, sorted and distinct; an empty list allows none.
    Only(Arc<[String]>),
}

impl AllowedRegions {
    /// Creates a restriction to these regions, in any order.
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        let mut regions: Vec<String> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        Self::Only(regions.into())
    }

    /// True if the region is allowed. An unknown region (empty name) is only allowed without restriction.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.iter().any(|allowed| allowed == region),
        }
    }

    /// Returns the intersection: the regions allowed by both a route and a tenant.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, other) => other.clone(),
            (own, Self::Any) => own.clone(),
            (Self::Only(own), other) => {
                Self::only(own.iter().filter(|region| other.allows(region)).cloned())
            }
        }
    }
}
