//! What the request path asks and tells of contents under which replicas end.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_quarantine::{ContentId, ContentStatus};

use crate::replica::Replica;

/// Knows which contents are held back, and learns from how requests end.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// True if any content is held back. Takes no lock.
    fn has_quarantined(&self) -> bool;

    /// What is thought of a content. Takes no lock.
    fn status(&self, content: ContentId) -> ContentStatus;

    /// The connection to the replica broke while the content was in progress there. Does not wait.
    fn note_disconnect(&self, content: ContentId, replica: &Arc<Replica>);

    /// The content came to a whole answer. Takes no lock while nothing is known against any.
    fn note_complete(&self, content: ContentId);

    /// True if the replica has ended by now. Waits a moment for the word on one whose connection has just broken.
    async fn has_crashed(&self, replica: &Arc<Replica>) -> bool;
}

/// Holds nothing back, and learns nothing.
pub struct NoQuarantine;

#[async_trait]
impl Quarantine for NoQuarantine {
    fn has_quarantined(&self) -> bool {
        false
    }

    fn status(&self, _content: ContentId) -> ContentStatus {
        ContentStatus::Clear
    }

    fn note_disconnect(&self, _content: ContentId, _replica: &Arc<Replica>) {}

    fn note_complete(&self, _content: ContentId) {}

    async fn has_crashed(&self, _replica: &Arc<Replica>) -> bool {
        false
    }
}
