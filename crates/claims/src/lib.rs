//! At-most-once execution claims: a marked request is dispatched only under a claim that is committed first.
//!
//! Why a row and not a lock: the claim must outlive the machine that took it. A claim whose holder vanished
//! stays open for good, and a resend is told "unknown", because the request may have run.

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
