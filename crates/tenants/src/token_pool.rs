//! Tokens that a daemon holds for one tenant's next requests.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::rate::TOKEN_LIFETIME;

/// Time ahead for which tokens are asked. Half of their lifetime, so that few of them lapse unused.
const LOOKAHEAD: Duration = Duration::from_millis(250);

/// Most tokens asked for at once.
const MAX_WANTED: u32 = 64;

/// Time over which the rate of requests is averaged.
const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// Longest time for which a daemon refuses by itself after its coordinator had nothing: bounds the questions of a
/// tenant far above its limit.
const MAX_REFUSAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Batch {
    tokens: u32,
    expires_at: Instant,
}

/// The stock.
#[derive(Debug, Default)]
pub struct TokenPool {
    batches: VecDeque<Batch>,
    /// Requests a second, averaged.
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
    /// Counts a request of the tenant.
    pub fn note_request(&mut self, now: Instant) {
        let averaged = AVERAGING_WINDOW.as_secs_f64();
        let since = self.last_request.map_or(averaged, |last| {
            now.saturating_duration_since(last).as_secs_f64()
        });
        self.demand = self.demand * (-since / averaged).exp() + 1.0 / averaged;
        self.last_request = Some(now);
    }

    /// Takes a token, if one is there.
    pub fn take(&mut self, now: Instant) -> bool {
        self.batches.retain(|batch| batch.expires_at > now);
        let Some(batch) = self.batches.front_mut() else {
            return false;
        };
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.pop_front();
        }
        true
    }

    /// True if it holds nothing that a request could need.
    pub fn is_idle(&self, now: Instant) -> bool {
        let lapsed = self.batches.iter().all(|batch| batch.expires_at <= now);
        lapsed && self.refusal(now).is_none()
    }

    /// Tokens to ask for: those of the next requests, one at least.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn wanted(&self) -> u32 {
        let expected = (self.demand * LOOKAHEAD.as_secs_f64()).floor();
        (expected as u32).clamp(1, MAX_WANTED)
    }

    /// Keeps tokens that were asked for at `asked_at`; they lapse a fixed time after that, however late they come.
    pub fn keep(&mut self, tokens: u32, asked_at: Instant) {
        if tokens > 0 {
            self.batches.push_back(Batch {
                tokens,
                expires_at: asked_at + TOKEN_LIFETIME,
            });
        }
    }

    /// The coordinator had nothing; a caller may come back after `retry_after`.
    pub fn note_refusal(&mut self, retry_after: Duration, now: Instant) {
        self.refusal = Some(Refusal {
            until: now + retry_after.min(MAX_REFUSAL),
            retry_at: now + retry_after,
        });
    }

    /// When a caller may come back, while this daemon need not ask to know that there is nothing.
    pub fn refusal(&self, now: Instant) -> Option<Duration> {
        let refusal = self.refusal.filter(|refusal| now < refusal.until)?;
        Some(refusal.retry_at.saturating_duration_since(now))
    }
}
