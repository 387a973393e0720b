//! Requests to peers for their copies of a space.

use std::time::Duration;

use async_trait::async_trait;
use harrierward_external::ChangePage;

use crate::sources::SourceFailure;
use crate::tree::RelayPeer;

/// A long poll for the changes of a space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpaceRequest {
    /// Name of the space in the store.
    pub space: String,
    /// Revision of the requester's copy; 0 requests all rows.
    pub after: u64,
    /// How long the peer may hold the request until it has updates.
    pub hold: Duration,
    /// Age of the freshness proof of the requester's copy; `None` if it has none.
    pub known_age: Option<Duration>,
}

/// Outcome of a request to a peer.
#[derive(Debug)]
pub enum RelayReply {
    /// Changes, or all rows for a requester without a copy.
    Page(ChangePage),
    /// The peer has no copy yet.
    NotReady,
    /// The peer's history no longer covers the requested changes.
    HistoryLost,
    /// No usable reply: the kind of failure, and its cause for the decision log.
    Failed(SourceFailure, String),
}

/// Transport of requests to peers.
#[async_trait]
pub trait PeerCopies: Send + Sync {
    /// Requests a peer's copy. The implementation must time out shortly after the request's hold time.
    async fn request(&self, peer: &RelayPeer, request: SpaceRequest) -> RelayReply;
}
