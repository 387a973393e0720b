//! Software versions of replicas.

use xxhash_rust::xxh3::xxh3_64;

/// Version of a replica's software, as its record states it, by its hash. Replicas of several versions may serve one
/// service; what two versions write for one request doesn't fit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(u64);

impl SoftwareVersion {
    /// Returns the version with this name. Replicas that publish none share the empty name, and so one version.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the version with this hash, as daemons refer to it in messages.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash of the name.
    pub fn hash(self) -> u64 {
        self.0
    }
}
