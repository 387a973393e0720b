//! The gate before a replica: asked when a replica is chosen and again just before a request leaves for it, so that what
//! was granted, queued or resumed earlier does not pass on an old belief.

use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

use crate::replica::Replica;

/// Why a request must not go to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDenial {
    /// The replica leaves.
    Leaving,
    /// It has ended.
    Ended,
    /// Its zone is evacuated.
    ZoneEvacuated,
    /// Its region is not among those that the request's route and tenant allow.
    RegionNotAllowed,
    /// It is cold, and nobody who counts its requests has let this one pass lately.
    ColdWithoutGrant,
}

impl GateDenial {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Ended => "ended",
            Self::ZoneEvacuated => "zone_evacuated",
            Self::RegionNotAllowed => "region_not_allowed",
            Self::ColdWithoutGrant => "cold_without_grant",
        }
    }
}

/// What a request brings to the gate.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest<'a> {
    /// Regions in which it may be served.
    pub regions: &'a AllowedRegions,
    /// Until when it may be sent to a replica that is cold; `None` if it was not counted there.
    pub cold_until: Option<Instant>,
}

/// Why the request must not go to the replica now; `None` if it may.
pub fn check_gate(
    replica: &Replica,
    passage: &GateRequest<'_>,
    now: Instant,
) -> Option<GateDenial> {
    if replica.is_draining() {
        Some(GateDenial::Leaving)
    } else if replica.has_crashed() {
        Some(GateDenial::Ended)
    } else if replica.is_zone_evacuated() {
        Some(GateDenial::ZoneEvacuated)
    } else if !passage.regions.allows(&replica.record.region) {
        Some(GateDenial::RegionNotAllowed)
    } else if replica.is_cold(now) && passage.cold_until.is_none_or(|until| now >= until) {
        Some(GateDenial::ColdWithoutGrant)
    } else {
        None
    }
}

/// True if what a replica keeps of a prompt may be copied from there now: it takes work, and lies where the request's own
/// prompt may be kept. Asked just before the request leaves, like the gate itself.
pub fn may_give_copy(source: &Replica, regions: &AllowedRegions) -> bool {
    source.accepts_work() && regions.allows(&source.record.region)
}
