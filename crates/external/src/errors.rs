//! Errors of platform calls: operation, peer, and whether the change may have taken effect.

use std::time::Duration;

/// What is known about the effect of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformErrorKind {
    /// The call certainly had no effect.
    NotDone,
    /// The response was lost: the change may have taken effect.
    Unknown,
    /// The platform's rate limit or the daemon's own budget refused the call; it had no effect.
    RateLimited {
        /// Minimum wait before the next attempt.
        retry_after: Duration,
    },
    /// The requested resource does not exist.
    NotFound,
    /// The store no longer keeps the requested changes; the space needs a full read.
    HistoryLost,
    /// The response could not be decoded; the change may have taken effect.
    Malformed,
}

/// A failed platform call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at {peer}: {detail} ({kind:?})")]
pub struct PlatformError {
    /// Operation that failed, e.g. `table.transact`.
    pub step: &'static str,
    /// Address or name of the called system.
    pub peer: String,
    /// Whether the call may have taken effect, and whether to retry.
    pub kind: PlatformErrorKind,
    /// Cause, for an operator.
    pub detail: String,
}

impl PlatformError {
    /// Builds an error of operation `step` at `peer`.
    pub fn new(
        step: &'static str,
        peer: impl Into<String>,
        kind: PlatformErrorKind,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            step,
            peer: peer.into(),
            kind,
            detail: detail.into(),
        }
    }

    /// True if the change may have taken effect, so that the caller has to read back the result.
    pub fn may_have_happened(&self) -> bool {
        matches!(
            self.kind,
            PlatformErrorKind::Unknown | PlatformErrorKind::Malformed
        )
    }
}
