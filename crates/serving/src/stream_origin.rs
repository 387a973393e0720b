//! Where streams began: what must stay the same over all runs of a stream.

use tokio::time::Instant;

use crate::replica::{Replica, short_hash};
use crate::software_version::SoftwareVersion;

/// Service and software version that wrote the first event of a stream. What another one writes doesn't continue it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Hash of the service's name.
    pub service: u32,
    /// Software version.
    pub version: SoftwareVersion,
}

impl StreamOrigin {
    /// Returns the origin of streams that begin at a replica.
    pub fn of(replica: &Replica) -> Self {
        Self {
            service: short_hash(&replica.record.service),
            version: replica.version,
        }
    }
}

/// How this daemon learned where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginSource {
    /// It received the first event itself, in the response or the item's run that goes on.
    Response,
    /// An earlier owner stored it with the item's events.
    Store,
}

impl OriginSource {
    /// Returns the name in the decision log.
    pub fn name(&self) -> &str {
        match self {
            Self::Response => "response",
            Self::Store => "store",
        }
    }
}

/// Where a stream began, as far as this daemon knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrigin {
    /// Service and software version.
    pub origin: StreamOrigin,
    /// From whom this is known.
    pub source: OriginSource,
    /// When it was learned.
    pub known_at: Instant,
}

impl KnownOrigin {
    /// Returns the origin of a stream whose first event this daemon has just received from a replica.
    pub fn received_from(replica: &Replica) -> Self {
        Self {
            origin: StreamOrigin::of(replica),
            source: OriginSource::Response,
            known_at: harrierward_clock::now(),
        }
    }
}
