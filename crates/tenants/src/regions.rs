//! Regions in which requests may be served, and what is kept of them may lie.

use std::sync::Arc;

/// The regions that a route or a tenant allows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All of them: nothing is said.
    #[default]
    Any,
    /// These only, in order, each once. An empty list allows none.
    Only(Arc<[String]>),
}

impl AllowedRegions {
    /// Only these regions.
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        let mut regions: Vec<String> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        Self::Only(regions.into())
    }

    /// True if the region is allowed. A region that nobody knows (an empty name) is allowed only where all are.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.iter().any(|allowed| allowed == region),
        }
    }

    /// What both allow: those of a request whose route and whose tenant both say something.
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
