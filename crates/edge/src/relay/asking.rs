//! A question to a peer for its copy of a space.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_external::{ChangePage, CopyProof};
use harrierward_relay::{PeerAnswer, PeerCopies, RelayPeer, SourceFailure, SpaceAsk};
use harrierward_wire::{SpaceQuestion, SpaceReply, decode, encode};
use http::{Request, StatusCode};
use tokio::time::{Instant, timeout};

use crate::pool::ConnectionPool;

use super::content::Content;
use super::replies::{FORMAT, PATH};

/// How much longer than it may be held a question waits for its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(400);

/// Longest wait for the bytes of an answer: all rows of a large fleet over a small machine's link.
const CONTENT_TIMEOUT: Duration = Duration::from_secs(6);

/// Asks peers by HTTP.
pub struct HttpPeers {
    pool: ConnectionPool,
}

impl HttpPeers {
    /// Asks over the connections of this pool.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }
}

fn silent(cause: impl Into<String>) -> PeerAnswer {
    PeerAnswer::Failed(SourceFailure::Silent, cause.into())
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[async_trait]
impl PeerCopies for HttpPeers {
    async fn ask(&self, peer: &RelayPeer, ask: SpaceAsk) -> PeerAnswer {
        let asked_at = harrierward_clock::now();
        let question = SpaceQuestion {
            space: ask.space,
            after: ask.after,
            wait_ms: millis(ask.hold),
            known_age_ms: ask.known_age.map_or(u32::MAX, millis),
        };
        let request = Request::builder()
            .method("POST")
            .uri(PATH)
            .header("host", &peer.address)
            .body(Bytes::from(encode(&question)));
        let request = match request {
            Ok(request) => request,
            Err(error) => return silent(error.to_string()),
        };
        let sending = self.pool.send(&peer.address, request, false);
        let mut response = match timeout(ask.hold + ANSWER_SLACK, sending).await {
            Err(_) => return silent("no answer in time"),
            Ok(Err(error)) => return silent(error.to_string()),
            Ok(Ok(response)) => response,
        };
        match response.head.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return PeerAnswer::NotReady,
            status => return silent(format!("status {status}")),
        }
        let reading = async {
            let mut bytes = Vec::new();
            while let Some(part) = response.body.next().await {
                bytes.extend_from_slice(&part.ok()?);
            }
            Some(bytes)
        };
        let Ok(Some(bytes)) = timeout(CONTENT_TIMEOUT, reading).await else {
            return silent("the answer broke off");
        };
        read(&bytes, asked_at)
    }
}

/// Reads a reply to a question that was asked at `asked_at`. The proof lies its age before the moment of the answer, which lies at
/// least as long after the question as this was held.
fn read(bytes: &[u8], asked_at: Instant) -> PeerAnswer {
    let Some(reply) = decode::<SpaceReply>(bytes).filter(|reply| reply.format == FORMAT) else {
        let cause = "the answer is of another kind".to_owned();
        return PeerAnswer::Failed(SourceFailure::Unknowing, cause);
    };
    if reply.is_history_lost {
        return PeerAnswer::HistoryLost;
    }
    let content = Content {
        bytes: reply.content,
        is_compressed: reply.is_compressed,
    };
    let Some(changes) = content.rows() else {
        return silent("the answer's rows cannot be read");
    };
    let held = Duration::from_millis(u64::from(reply.held_ms));
    let age = Duration::from_millis(u64::from(reply.proof_age_ms));
    let proof = (asked_at + held).checked_sub(age).map(|as_of| CopyProof {
        as_of,
        digest: reply.digest,
    });
    let Some(proof) = proof else {
        return silent("the answer's proof is older than this machine's clock");
    };
    PeerAnswer::Page(ChangePage {
        changes,
        revision: reply.revision,
        store_time_ms: reply.store_time_ms,
        proof: Some(proof),
    })
}
