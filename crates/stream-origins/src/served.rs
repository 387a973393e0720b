//! Software versions at which streams of a service may have begun, as the store holds them.

use std::collections::BTreeSet;

use crate::origin::SoftwareVersion;

/// Maximum number of versions that are kept. A service with more counts as having had any version.
const MAX_VERSIONS: usize = 256;

/// The versions at which a stream of one service may have begun at any time. A version is added before a replica of it
/// passes on its first event, and none is ever removed, so that neither the age of a stream nor that of a daemon matters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServedVersions {
    versions: BTreeSet<SoftwareVersion>,
    /// True if a stream may have begun at any version.
    is_any: bool,
}

impl ServedVersions {
    /// Returns the set of these versions.
    pub fn of(versions: impl IntoIterator<Item = SoftwareVersion>) -> Self {
        let mut served = Self::default();
        for version in versions {
            served.add(version);
        }
        served
    }

    /// Returns the set of all versions, for what can't be read.
    pub fn any() -> Self {
        Self {
            versions: BTreeSet::new(),
            is_any: true,
        }
    }

    /// Adds all versions of another set.
    pub fn merge(&mut self, other: &Self) {
        self.is_any |= other.is_any;
        for version in other.iter() {
            self.add(version);
        }
    }

    /// Adds a version; returns false if a stream may have begun at it already.
    pub fn add(&mut self, version: SoftwareVersion) -> bool {
        if self.contains(version) {
            return false;
        }
        self.versions.insert(version);
        self.is_any |= self.versions.len() >= MAX_VERSIONS;
        true
    }

    /// True if a stream may have begun at this version.
    pub fn contains(&self, version: SoftwareVersion) -> bool {
        self.is_any || self.versions.contains(&version)
    }

    /// Returns the only version at which a stream can have begun; `None` if there are several, or none is known.
    pub fn sole(&self) -> Option<SoftwareVersion> {
        let mut versions = self.versions.iter();
        let first = versions.next().filter(|_| !self.is_any)?;
        versions.next().is_none().then_some(*first)
    }

    /// True if a stream may have begun at any version.
    pub fn is_any(&self) -> bool {
        self.is_any
    }

    /// Returns the versions, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = SoftwareVersion> + '_ {
        self.versions.iter().copied()
    }

    /// Returns the number of versions.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// True if a stream can't have begun at any version.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty() && !self.is_any
    }
}
