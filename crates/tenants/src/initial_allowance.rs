//! The stock from which a member gives out a tenant's tokens where it does not know what others gave out lately: as a
//! new coordinator, and in the place of a coordinator that does not answer.
//!
//! Why one stock for both: a coordinator's burst leaves room in the permitted excess for two such stocks in a window. A
//! member that stood in for a silent coordinator and then follows it must not begin with a second one.

use tokio::time::Instant;

use crate::rate::RateBounds;

/// What is left of the stock of one tenant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InitialAllowance {
    left: f64,
    /// From then on no window holds what was taken and what is taken next, so the stock is whole again.
    full_at: Instant,
}

impl InitialAllowance {
    /// One of which so many tokens are left at `now`.
    pub(crate) fn new(left: f64, bounds: &RateBounds, now: Instant) -> Self {
        Self {
            left,
            full_at: now + bounds.accounting_period(),
        }
    }

    /// Tokens left of a stock that has `whole` at most.
    pub(crate) fn left(&self, whole: f64, now: Instant) -> f64 {
        if self.is_full(now) {
            return whole;
        }
        self.left.min(whole)
    }

    /// True if it need not be remembered.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        now >= self.full_at
    }
}
