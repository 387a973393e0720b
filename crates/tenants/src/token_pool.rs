//! Tokens that a daemon holds for the next requests of one tenant.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::rate::TOKEN_LIFETIME;

/// Time ahead for which tokens are requested; half of their lifetime, so that few expire unused.
const LOOKAHEAD: Duration = Duration::from_millis(250);

/// Maximum number of tokens per request to the coordinator.
const MAX_WANTED: u32 = 64;

/// Averaging window of the request rate.
const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// How long a daemon refuses without querying the coordinator again; bounds the queries for a tenant far above its
/// limit.
const MAX_REFUSAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Grant {
    tokens: u32,
    expires_at: Instant,
}

/// Tokens of one tenant, its request rate, and the last refusal by the coordinator.
#[derive(Debug, Default)]
pub struct TokenPool {
    grants: VecDeque<Grant>,
    /// Mean request rate, per second.
    demand: f64,
    last_request: Option<Instant>,
    refusal: Option<Refusal>,
}

#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: Instant,
    retry_at: Instant,
}

impl TokenPool {
    /// Records a request of the tenant in its rate.
    pub fn note_request(&mut self, now: Instant) {
        let window = AVERAGING_WINDOW.as_secs_f64();
        let elapsed = self.last_request.map_or(window, |last| {
            now.saturating_duration_since(last).as_secs_f64()
        });
        self.demand = self.demand * (-elapsed / window).exp() + 1.0 / window;
        self.last_request = Some(now);
    }

    /// Takes a token; false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        self.grants.retain(|grant| grant.expires_at > now);
        let Some(grant) = self.grants.front_mut() else {
            return false;
        };
        grant.tokens -= 1;
        if grant.tokens == 0 {
            self.grants.pop_front();
        }
        true
    }

    /// True if the pool has neither tokens nor a refusal in force and can be dropped.
    pub fn is_idle(&self, now: Instant) -> bool {
        let expired = self.grants.iter().all(|grant| grant.expires_at <= now);
        expired && self.refusal(now).is_none()
    }

    /// Returns the number of tokens to request: those expected to be needed soon, at least one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn wanted(&self) -> u32 {
        let expected = (self.demand * LOOKAHEAD.as_secs_f64()).floor();
        (expected as u32).clamp(1, MAX_WANTED)
    }

    /// Adds tokens that were requested at `requested_at`; their lifetime starts then, however late they arrive.
    pub fn add(&mut self, tokens: u32, requested_at: Instant) {
        if tokens > 0 {
            self.grants.push_back(Grant {
                tokens,
                expires_at: requested_at + TOKEN_LIFETIME,
            });
        }
    }

    /// Records that the coordinator had no tokens; callers may retry after `retry_after`.
    pub fn note_refusal(&mut self, retry_after: Duration, now: Instant) {
        self.refusal = Some(Refusal {
            until: now + retry_after.min(MAX_REFUSAL),
            retry_at: now + retry_after,
        });
    }

    /// Returns the retry delay while callers are refused without a query to the coordinator; otherwise `None`.
    pub fn refusal(&self, now: Instant) -> Option<Duration> {
        let refusal = self.refusal.filter(|refusal| now < refusal.until)?;
        Some(refusal.retry_at.saturating_duration_since(now))
    }
}
