//! What identifies a request for the quarantine.

use std::fmt;
use std::sync::Arc;

use crate::content::ContentId;

/// Id of a part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// All of a request that may crash replicas: the request as a whole, or a part that it shares with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fingerprint {
    /// Digest of the whole request.
    pub content: ContentId,
    /// Shared parts of its prompt, without the last one, which is its own.
    pub parts: Arc<[PartId]>,
}

impl From<ContentId> for Fingerprint {
    /// A request whose prompt has no shared parts.
    fn from(content: ContentId) -> Self {
        Self {
            content,
            parts: Arc::default(),
        }
    }
}
