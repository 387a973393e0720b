//! Claims of requests: their keys, digests and outcomes.

use harrierward_external::{PlatformError, Row};
use harrierward_wire::{ClaimRow, ClaimState, decode};
use sha2::{Digest, Sha256};

/// Identity of a request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Tenant of the caller.
    pub tenant: String,
    /// Value of the request's `Idempotency-Key` header.
    pub key: String,
}

impl ClaimKey {
    /// Returns the key of the claim's row. The idempotency key is hashed, so it may contain any character.
    pub fn row_key(&self) -> String {
        let digest = Sha256::digest(self.key.as_bytes());
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("claim/{}/{hex}", self.tenant)
    }
}

/// Digests of a request: a resend matches the claimed request if either digest is equal.
///
/// Older daemons store and compare only `body`, and claims outlive an upgrade.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestDigest {
    /// SHA-256 of the path and the body's bytes.
    pub body: Vec<u8>,
    /// SHA-256 of the path and the requested content, which is the same for streamed and full responses.
    pub content: Vec<u8>,
}

impl RequestDigest {
    /// Computes the digests of a request whose body requests `content`.
    pub fn of(path: &str, body: &[u8], content: &[u8]) -> Self {
        Self {
            body: hash_request(path, body),
            content: hash_request(path, content),
        }
    }
}

fn hash_request(path: &str, body: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().to_vec()
}

/// A claim granted to an attempt: permits dispatching the request once.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Tenant and idempotency key of the request.
    pub key: ClaimKey,
    /// Row as committed.
    pub row: ClaimRow,
    /// Revision of the committed row; fences later writes to it.
    pub revision: u64,
}

/// The attempt that holds an open claim.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holder {
    /// Attempt id, which begins with its daemon's member id; empty if the row cannot be decoded.
    pub attempt: String,
    /// Time of the claim by its daemon's clock, milliseconds since 1970; 0 if the row cannot be decoded.
    pub created_at_ms: u64,
}

/// Outcome of an attempt to claim a request.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOutcome {
    /// This attempt holds the claim and may dispatch the request.
    Granted(Claim),
    /// The request has run. Holds the stored response; empty if that was too large to store.
    Completed(Vec<u8>),
    /// Another attempt holds the claim: the request may be running, or may have run.
    Held(Holder),
    /// The idempotency key was used with another request.
    Mismatch,
}

/// The claim could not be committed or read, so this attempt did not dispatch the request.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("claim not made: {0}")]
pub struct ClaimError(pub PlatformError);

fn is_same_request(existing: &ClaimRow, requested: &ClaimRow) -> bool {
    let has_content = !existing.content_digest.is_empty();
    existing.digest == requested.digest
        || (has_content && existing.content_digest == requested.content_digest)
}

/// Returns the outcome of inserting `requested` where the row `current` exists already.
pub fn existing_outcome(key: &ClaimKey, requested: &ClaimRow, current: &Row) -> ClaimOutcome {
    let Some(existing) = decode::<ClaimRow>(&current.value) else {
        return ClaimOutcome::Held(Holder::default());
    };
    if !is_same_request(&existing, requested) {
        return ClaimOutcome::Mismatch;
    }
    if existing.state == ClaimState::Done as i32 {
        return ClaimOutcome::Completed(existing.answer);
    }
    if existing.attempt == requested.attempt {
        return ClaimOutcome::Granted(Claim {
            key: key.clone(),
            row: existing,
            revision: current.revision,
        });
    }
    ClaimOutcome::Held(Holder {
        attempt: existing.attempt,
        created_at_ms: existing.created_at_ms,
    })
}
