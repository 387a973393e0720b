//! A bucket of tokens: what a coordinator gives out of a rate, be it that of a tenant or that which a cold replica bears.

use std::time::Duration;

use tokio::time::Instant;

/// Longest time after which a caller is told to come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The bucket. Its rate and capacity come with each call, as they follow the configuration and the fleet.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
    /// Callers that were refusal have been told to come back at moments up to this one.
    scheduled_until: Instant,
}

impl TokenBucket {
    /// One that holds so many tokens.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            filled_at: now,
            scheduled_until: now,
        }
    }

    /// Adds what has accrued since the last call at `rate` tokens a second, up to the capacity.
    pub fn fill(&mut self, rate: f64, capacity: f64, now: Instant) {
        let since = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + since.as_secs_f64() * rate).min(capacity);
    }

    /// Nothing accrues for the time before `now`.
    pub fn skip_to(&mut self, now: Instant) {
        self.filled_at = self.filled_at.max(now);
    }

    /// When it was last brought up to date.
    pub fn filled_at(&self) -> Instant {
        self.filled_at
    }

    /// Tokens that it holds.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes up to `wanted` whole tokens. Returns how many.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let tokens = whole(self.tokens).min(wanted);
        self.tokens -= f64::from(tokens);
        tokens
    }

    /// The moment at which the next refusal caller finds a token. Each one is told another moment, so that those who
    /// come back do not meet at one token.
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
