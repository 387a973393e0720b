//! Configuration: typed objects with owners and revisions, checked apply, and a replica on every daemon.
//!
//! Why a replica that only moves forward: an accepted change must be in force everywhere within seconds and
//! must never revert, whatever a stale peer, a restart or a store outage brings.

mod apply_file;
mod check;
mod errors;
mod objects;
mod replica;
mod snapshot;
mod spread;
mod store;

pub use apply_file::{ApplyFile, render_objects};
pub use check::{ChangeSet, ProgramCheck, check_changes};
pub use errors::{ConfigError, Problem};
pub use objects::{
    ConfigObject, EndpointSpec, KeyDigest, LimitsSpec, ObjectId, ObjectKind, PolicySpec,
    ServiceSpec, Spec, TenantSpec,
};
pub use replica::{Adoption, ConfigReplica, FreshnessBounds, Observation};
pub use snapshot::{ConfigSnapshot, Principal, Role};
pub use spread::{ASK_POLLER_AFTER, ASK_POLLER_EVERY, CONFIG_FAN_OUT, POLLERS_A_ZONE};
pub use store::{Applied, ApplyRequest, ConfigStore, RequestedChange};
