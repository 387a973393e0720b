//! Quarantine of requests that crash replicas, as the request path uses it.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_quarantine::{Fingerprint, Status};

use crate::replica::{Replica, WorkClass};

/// Status of requests, and receiver of the results that it is derived from.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// True if any request is suspect or quarantined. Takes no lock.
    fn has_quarantined(&self) -> bool;

    /// Returns the status of a request. Takes no lock.
    fn status(&self, request: &Fingerprint) -> Status;

    /// Records that the connection broke while the request was in progress at the replica. Does not block.
    fn note_disconnect(&self, request: &Fingerprint, class: WorkClass, replica: &Arc<Replica>);

    /// Records a complete response to the request. Takes no lock unless some request is suspect.
    fn note_complete(&self, request: &Fingerprint);

    /// Records a response to the request that looked complete and ended with its connection, as one does whose replica
    /// crashes: it counts as complete once the replica is seen to live on. Does not block.
    fn note_closed(&self, request: &Fingerprint, class: WorkClass, replica: &Arc<Replica>);

    /// True if the replica has crashed. Waits briefly for a report if its connection has just broken.
    async fn has_crashed(&self, replica: &Arc<Replica>) -> bool;
}

/// Quarantine that ignores all results; every request is clear.
pub struct NoQuarantine;

#[async_trait]
impl Quarantine for NoQuarantine {
    fn has_quarantined(&self) -> bool {
        false
    }

    fn status(&self, _request: &Fingerprint) -> Status {
        Status::Clear
    }

    fn note_disconnect(&self, _: &Fingerprint, _: WorkClass, _: &Arc<Replica>) {}

    fn note_complete(&self, _request: &Fingerprint) {}

    fn note_closed(&self, _: &Fingerprint, _: WorkClass, _: &Arc<Replica>) {}

    async fn has_crashed(&self, _replica: &Arc<Replica>) -> bool {
        false
    }
}
