//! Typed errors of platform calls: each names the step, the peer, and whether the change may have happened.

use std::time::Duration;

/// What is known about the call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformErrorKind {
    /// The platform certainly did not act on the call.
    NotDone,
    /// The answer was lost: the change may have taken effect.
    Unknown,
    /// The platform or our own budget refused the call for its rate; it did not act.
    RateLimited {
        /// How long to wait before the next try.
        retry_after: Duration,
    },
    /// The thing asked for does not exist.
    NotFound,
    /// The store no longer knows the changes that were asked for; the space must be read whole.
    HistoryLost,
    /// The platform answered something this client cannot read.
    Malformed,
}

/// A failed platform call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at {peer}: {detail} ({kind:?})")]
pub struct PlatformError {
    /// What was being done, e.g. `table.transact`.
    pub step: &'static str,
    /// Address or name of the party called.
    pub peer: String,
    /// What is known about the call's effect.
    pub kind: PlatformErrorKind,
    /// The cause, in words.
    pub detail: String,
}

impl PlatformError {
    /// Builds an error of `kind` arisen at `step` with `peer`.
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

    /// True if the change may have taken effect and must be settled by reading back.
    pub fn may_have_happened(&self) -> bool {
        matches!(
            self.kind,
            PlatformErrorKind::Unknown | PlatformErrorKind::Malformed
        )
    }
}
