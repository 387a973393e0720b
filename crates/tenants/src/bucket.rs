//! Token bucket for the rate of a tenant or of a cold replica.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum retry delay of a refused caller.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Token bucket whose rate and capacity are passed with each call, since they depend on configuration and fleet.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
    /// Latest retry scheduled for a refused caller.
    scheduled_until: Instant,
}

impl TokenBucket {
    /// Creates a bucket with this number of tokens.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            filled_at: now,
            scheduled_until: now,
        }
    }

    /// Adds the tokens accrued since the last call at `rate` per second, up to the capacity.
    pub fn fill(&mut self, rate: f64, capacity: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(capacity);
    }

    /// Discards what would accrue for the time before `now`.
    pub fn skip_to(&mut self, now: Instant) {
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns when the bucket was last filled.
    pub fn filled_at(&self) -> Instant {
        self.filled_at
    }

    /// Returns the number of tokens, including fractions.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let tokens = whole(self.tokens).min(wanted);
        self.tokens -= f64::from(tokens);
        tokens
    }

    /// Returns the delay after which the next refused caller should retry. Each caller gets a different time, so that
    /// retries don't compete for one token.
    pub fn schedule_retry(&mut self, rate: f64, now: Instant) -> Duration {
        if rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        let missing = (1.0 - self.tokens).max(0.0) / rate;
        let missing = Duration::try_from_secs_f64(missing).unwrap_or(MAX_RETRY_AFTER);
        let next = (self.scheduled_until + interval).max(now + missing);
        self.scheduled_until = next.min(now + MAX_RETRY_AFTER);
        next.saturating_duration_since(now).min(MAX_RETRY_AFTER)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0).floor() as u32
}
