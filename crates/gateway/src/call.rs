//! One call as it enters the request path.

use harrierward_claims::ClaimKey;
use tokio::time::Instant;

use crate::openai::GenerationSpec;

/// The mark of an at-most-once request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MarkedCall {
    /// Tenant and idempotency key.
    pub key: ClaimKey,
    /// Digest of the request body.
    pub digest: Vec<u8>,
}

/// A call to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Tenant of the caller.
    pub tenant: String,
    /// What to generate.
    pub spec: GenerationSpec,
    /// Set if the request must run at most once.
    pub marked: Option<MarkedCall>,
    /// Time after which the request is no longer started or retried.
    pub deadline: Instant,
}
