//! Record of a replica in discovery, and how a daemon learned that one is leaving.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::replica::short_hash;

/// Record that a replica publishes in discovery, as a row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Id under which it is listed; stays the same over restarts.
    pub id: String,
    /// Start time of this instance by the replica's own clock, milliseconds since 1970; `None` if not published.
    pub born_ms: Option<u64>,
    /// Name of the service.
    pub service: String,
    /// Version of its software; empty if not published.
    pub version: String,
    /// Address and port.
    pub address: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Region of the zone; empty if unknown.
    pub region: String,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// True if it leaves and must get no new work.
    pub draining: bool,
    /// Remaining time for which it stays cold, from the moment at which the record was written.
    pub warmup: Duration,
}

impl ReplicaRecord {
    /// True if `reported` belongs to another instance, so that what is known of this one doesn't apply. A missing
    /// start time proves nothing; an earlier one is another instance whose clock was set back. A process never changes
    /// its software version.
    pub fn is_other_instance(&self, reported: &Self) -> bool {
        let is_other_start = reported.born_ms.is_some() && reported.born_ms != self.born_ms;
        is_other_start || reported.version != self.version
    }

    /// True if `listed` is this instance, with the same address, service, place and slots. An instance never changes
    /// these; a row that does corrects one that was wrong.
    pub fn is_placed_like(&self, listed: &Self) -> bool {
        !self.is_other_instance(listed) && self.placement() == listed.placement()
    }

    fn placement(&self) -> (&str, &str, &str, &str, u32) {
        let (address, service) = (&self.address, &self.service);
        (address, service, &self.zone, &self.region, self.slots)
    }

    /// Returns the hash of this instance, by which daemons refer to it in datagrams.
    pub fn instance_hash(&self) -> u32 {
        self.born_ms.map_or_else(
            || short_hash(&self.id),
            |born| short_hash(&format!("{}@{born}", self.id)),
        )
    }
}

/// How this daemon learned that a replica is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingNotice {
    /// `draining`, or `gone` if its record was removed.
    pub state: &'static str,
    /// `store`, the id of the peer that passed it on, or `replica`.
    pub source: Arc<str>,
    /// How it was read, as in the decision log.
    pub reading: &'static str,
    /// Age of the latest proof that it wasn't leaving; `None` if there was none.
    pub proof_age: Option<Duration>,
    /// When this daemon learned it.
    pub known_at: Instant,
}
