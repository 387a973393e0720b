//! Limits on the rate of a tenant's requests, and what a fleet may exceed them by.

use std::time::Duration;

/// How long a daemon may use a token after it asked for it. Short, since tokens that rest at one daemon are missing at
/// the others: a tenant's burst is reduced by what it may use in this time.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Highest rate and burst that are taken for meant, requests a second and requests.
const MAX_VALUE: f64 = 1e9;

/// Part of the permitted excess that a coordinator uses for its burst. The rest is kept for coordinators that follow
/// each other within one window, each of which begins with [`INITIAL_ALLOWANCE_SHARE`] of it.
const BURST_SHARE: f64 = 0.5;

/// Part of the permitted excess with which a new coordinator begins.
const INITIAL_ALLOWANCE_SHARE: f64 = 0.25;

/// A tenant's limit. Both values are finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
}

// The values are finite, which `new` checks.
impl Eq for RateLimit {}

/// A limit that cannot be meant.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{field}: {value} is not between 0 and 1e9")]
pub struct InvalidRate {
    /// The field.
    pub field: &'static str,
    /// Its value.
    pub value: f64,
}

impl RateLimit {
    /// No limit.
    pub const UNLIMITED: Self = Self {
        per_second: 0.0,
        burst: 0.0,
    };

    /// So many requests a second, and so many above that at once; a rate of 0 means no limit.
    ///
    /// # Errors
    /// A value is negative, not a number, or absurdly high.
    pub fn new(per_second: f64, burst: f64) -> Result<Self, InvalidRate> {
        for (field, value) in [("rate", per_second), ("burst", burst)] {
            if !(0.0..=MAX_VALUE).contains(&value) {
                return Err(InvalidRate { field, value });
            }
        }
        Ok(Self { per_second, burst })
    }

    /// True if requests are not limited.
    pub fn is_unlimited(&self) -> bool {
        self.per_second == 0.0
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// What a fleet may exceed limits by, in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Length of the window.
    pub window: Duration,
    /// Permitted excess, as a share of what the limit allows in a window.
    pub excess: f64,
    /// Permitted excess besides, requests.
    pub slack: f64,
}

impl RateBounds {
    /// Most requests that may run in any window.
    pub fn max_in_window(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) + self.permitted_excess(limit)
    }

    fn allowed(&self, limit: RateLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    fn permitted_excess(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) * self.excess + self.slack
    }

    /// How long tokens that were given out count: they are used within their lifetime, and a window after that is over.
    pub fn accounting_period(&self) -> Duration {
        self.window + TOKEN_LIFETIME
    }

    /// Tokens that a coordinator may have saved up. In a window, tokens can be used that were given out in the window
    /// or in [`TOKEN_LIFETIME`] before it, so what accrues in that time is taken off the burst.
    pub(crate) fn capacity(&self, limit: RateLimit) -> f64 {
        let resting = limit.per_second * TOKEN_LIFETIME.as_secs_f64();
        let excess = self.permitted_excess(limit) * BURST_SHARE;
        (limit.burst + excess - resting).max(1.0)
    }

    /// Tokens with which a new coordinator begins: an earlier one may have given out all others.
    pub(crate) fn initial_allowance(&self, limit: RateLimit) -> f64 {
        let excess = self.permitted_excess(limit) * INITIAL_ALLOWANCE_SHARE;
        excess.min(self.capacity(limit))
    }
}
