//! Interface of the network between daemons.

use async_trait::async_trait;
use harrierward_wire::{PeerReply, PeerRequest};

/// A failed call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer cannot have received the request.
    #[error("{step} at {peer}: not sent: {detail}")]
    NotSent {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Description of the cause.
        detail: String,
    },
    /// The peer may have acted on the request.
    #[error("{step} at {peer}: reply lost: {detail}")]
    Lost {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Description of the cause.
        detail: String,
    },
}

/// Calls and datagrams between daemons.
#[async_trait]
pub trait PeerNetwork: Send + Sync {
    /// Sends a request to the peer at `address` and waits for the reply; the caller sets the timeout.
    async fn call(&self, address: &str, request: PeerRequest) -> Result<PeerReply, PeerError>;

    /// Sends a datagram without a delivery guarantee; errors are ignored.
    async fn send(&self, address: &str, datagram: Vec<u8>);
}

/// Network of a standalone daemon: calls fail and datagrams are dropped.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

#[async_trait]
impl PeerNetwork for NoPeers {
    async fn call(&self, address: &str, _request: PeerRequest) -> Result<PeerReply, PeerError> {
        Err(PeerError::NotSent {
            step: "peer.call",
            peer: address.to_owned(),
            detail: "a standalone daemon has no peers".to_owned(),
        })
    }

    async fn send(&self, _address: &str, _datagram: Vec<u8>) {}
}
