//! One call as it enters the request path.

use harrierward_claims::{ClaimKey, RequestDigest};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::openai::GenerationSpec;

/// The mark of an at-most-once request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentCall {
    /// Tenant and idempotency key.
    pub key: ClaimKey,
    /// Digests of the request.
    pub digest: RequestDigest,
}

/// What an answer is known by to its caller. It stays with a stored answer, so that a resend is seen to be one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseIdentity {
    /// Id.
    pub id: String,
    /// When the request came, seconds since 1970.
    pub created: u64,
}

/// A call to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Tenant of the caller.
    pub tenant: String,
    /// What to generate.
    pub spec: GenerationSpec,
    /// Identity of the answer, unless one is stored.
    pub identity: ResponseIdentity,
    /// Set if the request must run at most once.
    pub idempotency: Option<IdempotentCall>,
    /// Time after which the request is no longer started or retried.
    pub deadline: Instant,
}
