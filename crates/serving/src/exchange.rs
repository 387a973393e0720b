//! Interface between the request path and the protocol of the replicas.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::Stream;
use harrierward_tenants::{AllowedRegions, ApiKey};
use http::{HeaderMap, Method, StatusCode};

use crate::prompt::Prompt;
use harrierward_stream_origins::SoftwareVersion;

/// Request of a caller; the body is opaque.
#[derive(Debug, Clone)]
pub struct ServingRequest {
    /// Id of this caller attempt.
    pub id: String,
    /// Host header, which selects the route.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers passed through to the replica.
    pub headers: HeaderMap,
    /// Body, passed through.
    pub body: Bytes,
    /// Time that the caller waits, from the request's arrival; `None` if not stated.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// Id of the caller attempt that brought the first event of the stream which this request takes up; `None` if it
    /// names none.
    pub resumes: Option<String>,
    /// Metadata of the prompt.
    pub prompt: Prompt,
    /// The caller's key, if any; never sent to a replica.
    pub key: Option<ApiKey>,
    /// Tenant on whose behalf the replica runs the request: the owner of the key, or of the item's job.
    pub tenant: Option<Arc<str>>,
    /// Regions allowed by both the route and the tenant.
    pub regions: AllowedRegions,
    /// Software version that wrote the events received so far, the only one that may continue them; `None` if any may
    /// serve it.
    pub version: Option<SoftwareVersion>,
}

/// Request as sent to one replica.
#[derive(Debug, Clone)]
pub struct ReplicaRequest<'a> {
    /// The caller's request.
    pub request: &'a ServingRequest,
    /// Address of the replica.
    pub address: &'a str,
    /// Id of the replica that must respond; any other refuses.
    pub replica: &'a str,
    /// Start time of the instance that must respond, milliseconds since 1970: before the request is sent, the replica is
    /// asked for it over the same connection. `None` if the id suffices.
    pub confirmed_start_ms: Option<u64>,
    /// Time left for the replica to complete the request.
    pub time_left: Option<Duration>,
    /// Id of the last event already delivered.
    pub resume_after: Option<u64>,
    /// Requires a connection that has carried no other request.
    pub fresh_connection: bool,
    /// Address of a replica from which to copy the prefix cache of the prompt.
    pub copy_from: Option<&'a str>,
}

/// Load that a replica reports with a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Requests served concurrently.
    pub slots: u32,
}

/// Failure to read a response body to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("replica.body at {peer}: {detail}")]
pub struct BodyError {
    /// Address of the replica.
    pub peer: String,
    /// Cause, for the log.
    pub detail: String,
}

/// How the sender of a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDelimiter {
    /// The header section: it states a length, or excludes a body.
    Length,
    /// A last chunk.
    Chunks,
    /// The close of the connection. A sender that fails closes it too, so that this end proves nothing.
    Close,
}

impl BodyDelimiter {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// True if a response to this method with this status has no body, whatever its headers state (RFC 9112, section 6.3).
pub fn excludes_body(method: &Method, status: u16) -> bool {
    let statuses = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    method == Method::HEAD || statuses.iter().any(|one| *one == status)
}

/// Bytes of a response body. Ends without an error once its delimiter has arrived; dropping it closes the connection.
pub type ReplicaBody = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>;

/// Why a replica responds that a request was not meant for it. In either case it did not run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misdirected {
    /// Another replica has taken over the address.
    OtherReplica,
    /// The replica is the one that was addressed, and doesn't meet an expectation of the caller's.
    UnmetExpectation,
}

/// Response of a replica, with its body still to be read.
pub struct ReplicaResponse {
    /// HTTP status.
    pub status: u16,
    /// Id of the request to which the replica responds; `None` if it names none.
    pub request_id: Option<String>,
    /// True if the connection carried no other request before, so that no late response to one can arrive on it.
    pub is_first_on_connection: bool,
    /// True if the replica states that it did not run the request.
    pub not_run: bool,
    /// Why the request was misdirected; `None` if it wasn't.
    pub misdirected: Option<Misdirected>,
    /// Load reported with the response.
    pub load: Option<ReplicaLoad>,
    /// Headers passed through to the caller.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub delimiter: BodyDelimiter,
    /// Body still to be read.
    pub body: ReplicaBody,
}

/// Reason why no response was received.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request can have reached the replica.
    #[error("{step} at {peer}: not sent: {detail}")]
    NotSent {
        /// Failed step.
        step: &'static str,
        /// Address of the replica.
        peer: String,
        /// Cause, for the log.
        detail: String,
    },
    /// The replica states that it is another instance than the one that must respond; the request was not sent.
    #[error("{step} at {peer}: not sent: an instance that started at {started_ms}")]
    OtherInstance {
        /// Failed step.
        step: &'static str,
        /// Address of the replica.
        peer: String,
        /// Start time that it states, milliseconds since 1970.
        started_ms: u64,
    },
    /// The request may have run.
    #[error("{step} at {peer}: perhaps run: {detail}")]
    Lost {
        /// Failed step.
        step: &'static str,
        /// Address of the replica.
        peer: String,
        /// Cause, for the log.
        detail: String,
    },
}

impl ExchangeError {
    /// True if the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::OtherInstance { .. } => true,
            Self::Lost { .. } => false,
        }
    }
}

/// HTTP client of the replicas.
#[async_trait]
pub trait ReplicaClient: Send + Sync {
    /// Sends a request and waits for the response header. Dropping the future closes the connection.
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError>;
}
