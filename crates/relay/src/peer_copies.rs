//! Questions to peers for their copies of a space.

use std::time::Duration;

use async_trait::async_trait;
use harrierward_external::ChangePage;

use crate::sources::SourceFailure;
use crate::tree::RelayPeer;

/// A question for what is new of a space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpaceAsk {
    /// Space.
    pub space: String,
    /// Revision of the asker's copy; 0 if it has none, and wants all rows.
    pub after: u64,
    /// How long the peer may hold the question until it has something new.
    pub hold: Duration,
    /// Age of the proof of the asker's copy; `None` if it has none.
    pub known_age: Option<Duration>,
}

/// What came of a question.
#[derive(Debug)]
pub enum PeerAnswer {
    /// Changes, or all rows for an asker that has none.
    Page(ChangePage),
    /// The peer has no copy yet.
    NotReady,
    /// The peer no longer knows the changes that were asked for.
    HistoryLost,
    /// No answer that can be used, and its cause.
    Failed(SourceFailure, String),
}

/// The way to peers.
#[async_trait]
pub trait PeerCopies: Send + Sync {
    /// Asks a peer. The wait is bounded by the implementation, a little longer than the question may be held.
    async fn ask(&self, peer: &RelayPeer, ask: SpaceAsk) -> PeerAnswer;
}
