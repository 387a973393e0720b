//! Quarantine of requests that crash replicas, as the request path uses it.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_quarantine::{ContentId, ContentStatus, Fingerprint};

use crate::replica::Replica;

/// Status of contents, and receiver of the results that it is derived from.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// True if any content is quarantined. Takes no lock.
    fn has_quarantined(&self) -> bool;

    /// Returns the status of a content. Takes no lock.
    fn status(&self, content: ContentId) -> ContentStatus;

    /// Records that the connection broke while the request was in progress at the replica. Does not block.
    fn note_disconnect(&self, request: &Fingerprint, replica: &Arc<Replica>);

    /// Records a complete response to the request. Takes no lock unless some content is suspect.
    fn note_complete(&self, request: &Fingerprint);

    /// True if the replica has crashed. Waits briefly for a report if its connection has just broken.
    async fn has_crashed(&self, replica: &Arc<Replica>) -> bool;
}

/// Quarantine that ignores all results; every content is clear.
pub struct NoQuarantine;

#[async_trait]
impl Quarantine for NoQuarantine {
    fn has_quarantined(&self) -> bool {
        false
    }

    fn status(&self, _content: ContentId) -> ContentStatus {
        ContentStatus::Clear
    }

    fn note_disconnect(&self, _request: &Fingerprint, _replica: &Arc<Replica>) {}

    fn note_complete(&self, _request: &Fingerprint) {}

    async fn has_crashed(&self, _replica: &Arc<Replica>) -> bool {
        false
    }
}
