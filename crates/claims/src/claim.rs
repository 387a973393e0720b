//! What a claim row means to somebody who wants to run the same request.

use harrierward_external::{PlatformError, Row};
use harrierward_wire::{ClaimRow, ClaimState, decode};
use sha2::{Digest, Sha256};

/// Identity of a marked request: the tenant and the key it sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Tenant of the caller.
    pub tenant: String,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

impl ClaimKey {
    /// Key of the claim's row. The caller's key is hashed, so that no character of it matters.
    pub fn row_key(&self) -> String {
        let digest = Sha256::digest(self.key.as_bytes());
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("claim/{}/{hex}", self.tenant)
    }
}

/// Digests by which a resend is told from another request: it is one if either is equal.
///
/// Why two: daemons of an earlier version compare the digest of the body's bytes only, and claims outlive an upgrade.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestDigest {
    /// Of the path and the body's bytes.
    pub body: Vec<u8>,
    /// Of the path and what is asked for, whichever way the answer is to be sent.
    pub content: Vec<u8>,
}

impl RequestDigest {
    /// The digests of a request whose body asks for `content`.
    pub fn of(path: &str, body: &[u8], content: &[u8]) -> Self {
        Self {
            body: digest_of(path, body),
            content: digest_of(path, content),
        }
    }
}

fn digest_of(path: &str, body: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().to_vec()
}

/// A claim held by this attempt: the request may be dispatched, once.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Whose request.
    pub key: ClaimKey,
    /// The row as committed.
    pub row: ClaimRow,
    /// Revision of the row.
    pub revision: u64,
}

/// Who holds a claim that is open.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holder {
    /// Attempt, whose name begins with its daemon's member id; empty if the row cannot be read.
    pub attempt: String,
    /// When it claimed, milliseconds since 1970 by its daemon's clock.
    pub created_at_ms: u64,
}

/// Answer to an attempt to claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOutcome {
    /// The claim is this attempt's: dispatch.
    Granted(Claim),
    /// The request has run; this is its stored answer.
    Completed(Vec<u8>),
    /// Another attempt holds the claim: the request may be running, or may have run.
    Held(Holder),
    /// The key was used with another body.
    Mismatch,
}

/// The claim could not be made, so the request was certainly not dispatched by this attempt.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("claim not made: {0}")]
pub struct ClaimError(pub PlatformError);

fn is_same_request(present: &ClaimRow, wanted: &ClaimRow) -> bool {
    let has_content = !present.content_digest.is_empty();
    present.digest == wanted.digest
        || (has_content && present.content_digest == wanted.content_digest)
}

/// Judges the row that stands where `wanted` should go.
pub fn existing_outcome(key: &ClaimKey, wanted: &ClaimRow, current: &Row) -> ClaimOutcome {
    let Some(present) = decode::<ClaimRow>(&current.value) else {
        return ClaimOutcome::Held(Holder::default());
    };
    if !is_same_request(&present, wanted) {
        return ClaimOutcome::Mismatch;
    }
    if present.state == ClaimState::Done as i32 {
        return ClaimOutcome::Completed(present.answer);
    }
    if present.attempt == wanted.attempt {
        return ClaimOutcome::Granted(Claim {
            key: key.clone(),
            row: present,
            revision: current.revision,
        });
    }
    ClaimOutcome::Held(Holder {
        attempt: present.attempt,
        created_at_ms: present.created_at_ms,
    })
}
