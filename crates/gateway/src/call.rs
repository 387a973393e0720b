//! Input of the request path.

use harrierward_claims::{ClaimKey, RequestDigest};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::openai::GenerationSpec;

/// Idempotency data of a request that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentCall {
    /// Tenant and value of the `Idempotency-Key` header.
    pub key: ClaimKey,
    /// Digests of the request content, which detect reuse of the key for another request.
    pub digest: RequestDigest,
}

/// Id and creation time of a response, as sent to the caller. A stored response keeps them when it is replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseIdentity {
    /// Unique id.
    pub id: String,
    /// Time of arrival of the request, in seconds since the Unix epoch.
    pub created: u64,
}

/// Request of a tenant to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Name of the authenticated tenant.
    pub tenant: String,
    /// Parsed request body.
    pub spec: GenerationSpec,
    /// Identity of a new response; a stored response keeps its own.
    pub identity: ResponseIdentity,
    /// Set if the request must run at most once; `None` allows it to run again.
    pub idempotency: Option<IdempotentCall>,
    /// Time after which the request is no longer started or retried.
    pub deadline: Instant,
}
