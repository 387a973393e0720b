//! Client of the relay: requests a peer's copy of a space.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_external::{ChangePage, FreshnessProof};
use harrierward_relay::{PeerCopies, RelayPeer, RelayReply, SourceFailure, SpaceRequest};
use harrierward_wire::{SpaceQuestion, SpaceReply, decode, encode};
use http::{Request, StatusCode};
use tokio::time::{Instant, timeout};

use crate::pool::ConnectionPool;

use super::content::Content;
use super::server::{FORMAT, PATH};

/// Time added to the hold time of a long poll to get its timeout.
const HOLD_MARGIN: Duration = Duration::from_millis(400);

/// Timeout of reading a response's body: all rows of a large fleet over a slow link.
const CONTENT_TIMEOUT: Duration = Duration::from_secs(6);

/// Requests copies from peers by HTTP.
pub struct HttpPeers {
    pool: ConnectionPool,
}

impl HttpPeers {
    /// Sends requests over the connections of this pool.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }
}

fn unresponsive(cause: impl Into<String>) -> RelayReply {
    RelayReply::Failed(SourceFailure::Unresponsive, cause.into())
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[async_trait]
impl PeerCopies for HttpPeers {
    async fn request(&self, peer: &RelayPeer, request: SpaceRequest) -> RelayReply {
        let sent_at = harrierward_clock::now();
        let query = SpaceQuestion {
            space: request.space,
            after: request.after,
            wait_ms: millis(request.hold),
            known_age_ms: request.known_age.map_or(u32::MAX, millis),
        };
        let http_request = Request::builder()
            .method("POST")
            .uri(PATH)
            .header("host", &peer.address)
            .body(Bytes::from(encode(&query)));
        let http_request = match http_request {
            Ok(http_request) => http_request,
            Err(error) => return unresponsive(error.to_string()),
        };
        let exchange = self.pool.send(&peer.address, http_request, false);
        let response = match timeout(request.hold + HOLD_MARGIN, exchange).await {
            Err(_) => return unresponsive("no answer in time"),
            Ok(Err(error)) => return unresponsive(error.to_string()),
            Ok(Ok(response)) => response,
        };
        match response.head.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return RelayReply::NotReady,
            status => return unresponsive(format!("status {status}")),
        }
        let body = match timeout(CONTENT_TIMEOUT, response.collect()).await {
            Err(_) => return unresponsive("the answer's body did not arrive in time"),
            Ok(Err(error)) => return unresponsive(error.to_string()),
            Ok(Ok(body)) => body,
        };
        match body.into_framed() {
            Ok(bytes) => parse_reply(&bytes, &peer.id, sent_at),
            Err(error) => unresponsive(error.to_string()),
        }
    }
}

/// Reads a reply of `peer` to a request sent at `sent_at`. The proof's time is derived from the earliest possible moment of
/// the reply, which is `sent_at` plus the time the request was held.
fn parse_reply(bytes: &[u8], peer: &str, sent_at: Instant) -> RelayReply {
    let Some(reply) = decode::<SpaceReply>(bytes).filter(|reply| reply.format == FORMAT) else {
        let cause = "the answer is of another kind".to_owned();
        return RelayReply::Failed(SourceFailure::Unsupported, cause);
    };
    if reply.is_history_lost {
        return RelayReply::HistoryLost;
    }
    let content = Content {
        bytes: reply.content,
        is_compressed: reply.is_compressed,
    };
    let Some(changes) = content.rows() else {
        return unresponsive("the answer's rows cannot be read");
    };
    let held = Duration::from_millis(u64::from(reply.held_ms));
    let age = Duration::from_millis(u64::from(reply.proof_age_ms));
    let proof = (sent_at + held)
        .checked_sub(age)
        .map(|as_of| FreshnessProof {
            peer: peer.into(),
            as_of,
            digest: reply.digest,
        });
    let Some(proof) = proof else {
        return unresponsive("the answer's proof is older than this machine's clock");
    };
    RelayReply::Page(ChangePage {
        changes,
        revision: reply.revision,
        store_time_ms: reply.store_time_ms,
        proof: Some(proof),
    })
}
