//! What the request path needs of a replica's protocol.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::Stream;
use harrierward_tenants::{AllowedRegions, ApiKey};
use http::{HeaderMap, Method};

use crate::prompt::Prompt;

/// A caller's request, its body opaque.
#[derive(Debug, Clone)]
pub struct ServingRequest {
    /// Id of this caller attempt.
    pub id: String,
    /// Host named by the caller.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers that travel along unread.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Last event that the caller has.
    pub resume_after: Option<u64>,
    /// The prompt.
    pub prompt: Prompt,
    /// The caller's key, if it sent one; it goes no further than this daemon.
    pub key: Option<ApiKey>,
    /// The tenant for which the replica runs it: found by the key, or that of an item's job.
    pub tenant: Option<Arc<str>>,
    /// Regions in which it may be served: those that its route and its tenant allow.
    pub regions: AllowedRegions,
}

/// A request to one replica.
#[derive(Debug, Clone)]
pub struct ReplicaRequest<'a> {
    /// The request.
    pub request: &'a ServingRequest,
    /// Address of the replica.
    pub address: &'a str,
    /// Incarnation that must answer; any other refuses.
    pub replica: &'a str,
    /// Time left to the replica.
    pub time_left: Option<Duration>,
    /// Last event that is already there.
    pub resume_after: Option<u64>,
    /// Use a connection that carried nothing before.
    pub fresh_connection: bool,
    /// Address of a replica from which it shall copy what that one keeps of the prompt.
    pub copy_from: Option<&'a str>,
}

/// Load as a replica tells it with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it works on at once.
    pub slots: u32,
}

/// Why an answer's body did not come whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("replica.body at {peer}: {detail}")]
pub struct BodyError {
    /// Replica's address.
    pub peer: String,
    /// Cause in words.
    pub detail: String,
}

/// Bytes of an answer. Ends without an error only if the answer is whole; dropping it closes the connection.
pub type ReplicaBody = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>;

/// A replica's answer.
pub struct ReplicaResponse {
    /// Status.
    pub status: u16,
    /// Request that it answers, as the replica says.
    pub request_id: Option<String>,
    /// The connection carried nothing before, so that no late answer to another request can come on it.
    pub is_first_on_connection: bool,
    /// The replica says that it did not run the request.
    pub not_run: bool,
    /// Another replica has the address.
    pub other_replica: bool,
    /// Load of the replica.
    pub load: Option<ReplicaLoad>,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReplicaBody,
}

/// Why no answer came.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request can have reached the replica.
    #[error("{step} at {peer}: not sent: {detail}")]
    NotSent {
        /// What was being done.
        step: &'static str,
        /// Replica's address.
        peer: String,
        /// Cause in words.
        detail: String,
    },
    /// The request may have run.
    #[error("{step} at {peer}: perhaps run: {detail}")]
    Lost {
        /// What was being done.
        step: &'static str,
        /// Replica's address.
        peer: String,
        /// Cause in words.
        detail: String,
    },
}

impl ExchangeError {
    /// True if the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// Client of the replicas.
#[async_trait]
pub trait ReplicaClient: Send + Sync {
    /// Sends a request and waits for the head of its answer. Dropping the future closes the connection.
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError>;
}
