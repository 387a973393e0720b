//! At-most-once execution claims: a request with an idempotency key is dispatched only after its claim is committed.
//!
//! The claim is a row because it must outlive its daemon. A claim whose holder crashed stays open, and resends get
//! the outcome "unknown", because the request may have run.

mod claim;
mod group;
mod service;
mod watch;

pub use claim::{
    Claim, ClaimError, ClaimKey, ClaimOutcome, Holder, RequestDigest, existing_outcome,
};
pub use group::{ClaimGroup, PendingClaim, Resolution};
pub use service::{ClaimSettings, Claims};
pub use watch::{MAX_WAITERS, WaitOutcome};
