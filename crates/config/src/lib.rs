//! Configuration: typed objects with owners and revisions, validated changes, and a replica on every daemon.
//!
//! Replicas only move forward: a stale peer, a restart or a store outage must never revert an accepted change.

mod apply_file;
mod check;
mod errors;
mod gossip;
mod objects;
mod replica;
mod snapshot;
mod store;

pub use apply_file::{ApplyFile, render_objects};
pub use check::{ChangeSet, ProgramCheck, check_changes};
pub use errors::{ConfigError, ValidationError};
pub use gossip::{CONFIG_FAN_OUT, POLLER_QUERY_INTERVAL, POLLERS_PER_ZONE, QUERY_POLLER_AFTER};
pub use objects::{
    ConfigObject, EndpointSpec, KeyDigest, LimitsSpec, ObjectId, ObjectKind, PolicySpec,
    ServiceSpec, Spec, TenantSpec,
};
pub use replica::{Adoption, ConfigReplica, FreshnessBounds, Observation};
pub use snapshot::{ConfigSnapshot, Principal, Role};
pub use store::{Applied, ApplyRequest, ConfigStore, RequestedChange};
