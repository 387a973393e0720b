//! Rate limits of tenants, and bounds for exceeding them.

use std::time::Duration;

/// How long a daemon may use a token after requesting it. Short, since unused tokens at one daemon are missing at the
/// others and reduce the tenant's burst.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Maximum rate (requests per second) and burst (requests) that are accepted as valid.
const MAX_VALUE: f64 = 1e9;

/// Share of the permitted excess for a coordinator's burst. The rest covers [`INITIAL_ALLOWANCE_SHARE`] for
/// coordinators that follow each other within one window.
const BURST_SHARE: f64 = 0.5;

/// Share of the permitted excess that a new coordinator starts with.
const INITIAL_ALLOWANCE_SHARE: f64 = 0.25;

/// Rate limit of a tenant. Both values are finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
}

// Sound since `new` rejects NaN.
impl Eq for RateLimit {}

/// A rate or burst that is out of range.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{field}: {value} is not between 0 and 1e9")]
pub struct InvalidRate {
    /// Name of the setting, `rate` or `burst`.
    pub field: &'static str,
    /// The rejected value.
    pub value: f64,
}

impl RateLimit {
    /// No limit; the default.
    pub const UNLIMITED: Self = Self {
        per_second: 0.0,
        burst: 0.0,
    };

    /// Creates a limit of requests per second, with a burst in requests; a rate of 0 means no limit.
    ///
    /// # Errors
    /// A value is negative, not a number or above 1e9.
    pub fn new(per_second: f64, burst: f64) -> Result<Self, InvalidRate> {
        for (field, value) in [("rate", per_second), ("burst", burst)] {
            if !(0.0..=MAX_VALUE).contains(&value) {
                return Err(InvalidRate { field, value });
            }
        }
        Ok(Self { per_second, burst })
    }

    /// True if requests aren't limited.
    pub fn is_unlimited(&self) -> bool {
        self.per_second == 0.0
    }

    /// Returns the rate, requests per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// How far the fleet may exceed limits in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Permitted excess, as a share of what the limit allows in a window.
    pub excess: f64,
    /// Permitted excess in addition to that, requests.
    pub slack: f64,
}

impl RateBounds {
    /// Returns the maximum number of requests that may run in any window.
    pub fn max_in_window(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) + self.permitted_excess(limit)
    }

    fn allowed(&self, limit: RateLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    fn permitted_excess(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) * self.excess + self.slack
    }

    /// Returns for how long granted tokens count: their lifetime, and a window after it.
    pub fn accounting_period(&self) -> Duration {
        self.window + TOKEN_LIFETIME
    }

    /// Returns the bucket capacity of a coordinator. A window may contain tokens granted up to [`TOKEN_LIFETIME`]
    /// before it, so what accrues in that time is deducted from the burst.
    pub(crate) fn capacity(&self, limit: RateLimit) -> f64 {
        let outstanding = limit.per_second * TOKEN_LIFETIME.as_secs_f64();
        let excess = self.permitted_excess(limit) * BURST_SHARE;
        (limit.burst + excess - outstanding).max(1.0)
    }

    /// Returns the tokens that a new coordinator starts with; a former one may have granted all others.
    pub(crate) fn initial_allowance(&self, limit: RateLimit) -> f64 {
        let excess = self.permitted_excess(limit) * INITIAL_ALLOWANCE_SHARE;
        excess.min(self.capacity(limit))
    }
}
