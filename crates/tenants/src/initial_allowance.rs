//! Tokens that a member may grant without knowing what others granted recently: as a new coordinator, or as the
//! fallback for an unresponsive one.
//!
//! The permitted excess covers two allowances in a window. Both uses share one, so that a fallback which becomes the
//! coordinator doesn't grant a second one.

use tokio::time::Instant;

use crate::rate::RateBounds;

/// What remains of one tenant's allowance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InitialAllowance {
    left: f64,
    /// When all grants from the allowance have left the accounting period.
    full_at: Instant,
}

impl InitialAllowance {
    /// Creates an allowance with this number of tokens left at `now`.
    pub(crate) fn new(left: f64, bounds: &RateBounds, now: Instant) -> Self {
        Self {
            left,
            full_at: now + bounds.accounting_period(),
        }
    }

    /// Returns the tokens left of an allowance of at most `full`.
    pub(crate) fn left(&self, full: f64, now: Instant) -> f64 {
        if self.is_full(now) {
            return full;
        }
        self.left.min(full)
    }

    /// True if the allowance is full again and needs no state.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        now >= self.full_at
    }
}
