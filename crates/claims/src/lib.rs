//! At-most-once execution claims: a marked request is dispatched only under a claim that is committed first.
//!
//! Why a row and not a lock: the claim must outlive the machine that took it. A claim whose holder vanished
//! stays open for good, and a resend is told "unknown", because the request may have run.

mod group;
mod service;
mod verdict;
mod watch;

pub use group::{ClaimGroup, PendingClaim, Resolution};
pub use service::{ClaimSettings, Claims};
pub use verdict::{Claim, ClaimKey, ClaimRefused, Holder, RequestDigest, Verdict, judge};
pub use watch::{MOST_WATCHED, Waited};
