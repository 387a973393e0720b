//! Software versions, origins of streams, and the keys of streams.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Version of a replica's software, as its record states it, by its hash. Replicas of several versions may serve one
/// service; what two versions write for one request doesn't fit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
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

/// Service and software version that wrote the first event of a stream. What another one writes doesn't continue it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// Hash of the service's name.
    pub service: u32,
    /// Software version.
    pub version: SoftwareVersion,
}

/// Identifies a stream: its caller's tenant, and the caller attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that this attempt began. Equal ids of two tenants name two streams.
    pub fn of(tenant: Option<&str>, attempt: &str) -> Self {
        let seed = tenant.map_or(0, |tenant| xxh3_64(tenant.as_bytes()));
        Self(xxh3_64_with_seed(attempt.as_bytes(), seed))
    }

    /// Returns the key with this hash, as daemons refer to it in messages.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash.
    pub fn hash(self) -> u64 {
        self.0
    }
}
