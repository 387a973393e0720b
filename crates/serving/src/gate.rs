//! Final check before a request goes to a replica, made at selection and again right before sending, so that a lease
//! or choice based on outdated state is not used.

use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

use crate::replica::Replica;
use harrierward_stream_origins::SoftwareVersion;

/// Reason why a request must not be sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDenial {
    /// The replica is draining.
    Leaving,
    /// The replica has crashed.
    Crashed,
    /// The replica's zone is evacuated.
    ZoneEvacuated,
    /// The request's route or tenant doesn't allow the replica's region.
    RegionNotAllowed,
    /// Another software version began the response.
    OtherVersion,
    /// The replica is cold, and no coordinator has recently counted this request there.
    ColdWithoutGrant,
}

impl GateDenial {
    /// Returns the name in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Crashed => "ended",
            Self::ZoneEvacuated => "zone_evacuated",
            Self::RegionNotAllowed => "region_not_allowed",
            Self::OtherVersion => "other_version",
            Self::ColdWithoutGrant => "cold_without_grant",
        }
    }
}

/// Properties of a request that the gate checks.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest<'a> {
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
    /// The only software version that may serve it; `None` if any may.
    pub version: Option<SoftwareVersion>,
    /// End of the permission to send to a cold replica; `None` if the request wasn't counted there.
    pub cold_until: Option<Instant>,
}

/// Returns why the request must not go to the replica now; `None` if it may.
pub fn check_gate(
    replica: &Replica,
    request: &GateRequest<'_>,
    now: Instant,
) -> Option<GateDenial> {
    if replica.is_draining() {
        Some(GateDenial::Leaving)
    } else if replica.has_crashed() {
        Some(GateDenial::Crashed)
    } else if replica.is_zone_evacuated() {
        Some(GateDenial::ZoneEvacuated)
    } else if !request.regions.allows(&replica.record.region) {
        Some(GateDenial::RegionNotAllowed)
    } else if !admits_version(request.version, replica) {
        Some(GateDenial::OtherVersion)
    } else if replica.is_cold(now) && request.cold_until.is_none_or(|until| now >= until) {
        Some(GateDenial::ColdWithoutGrant)
    } else {
        None
    }
}

/// True unless another software version than the replica's is required.
pub fn admits_version(required: Option<SoftwareVersion>, replica: &Replica) -> bool {
    required.is_none_or(|version| version == replica.version)
}

/// True if the prefix cache may be copied from `source` to `replica` now: the source accepts work, lies in an allowed
/// region, and keeps the cache as the same software version does. Checked right before the request is sent.
pub fn may_copy_from(source: &Replica, replica: &Replica, regions: &AllowedRegions) -> bool {
    source.accepts_work()
        && regions.allows(&source.record.region)
        && source.version == replica.version
}
