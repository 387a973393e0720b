//! How fast one daemon hands its rows to others that start.
//!
//! Bounded by bytes and not by answers: the rows of 3,000 replicas are a megabyte, and without a bound the first daemons
//! that knew them held 90 MB of answers; those of a small site are some kilobytes, and a daemon that was refused them
//! had to go on without.

use std::time::Duration;

use tokio::time::Instant;

/// Bytes a second that one daemon gives out: ten answers of 3,000 replicas.
const BYTES_A_SECOND: f64 = 10_000_000.0;

/// What one daemon may still give out.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    free_at: Option<Instant>,
}

impl AnswerBudget {
    /// True if the last answer is paid for.
    pub fn is_free(&self, now: Instant) -> bool {
        self.free_at.is_none_or(|free_at| free_at <= now)
    }

    /// An answer of so many bytes is given.
    pub fn spend(&mut self, bytes: usize, now: Instant) {
        #[allow(clippy::cast_precision_loss)]
        let seconds = bytes as f64 / BYTES_A_SECOND;
        self.free_at = Some(now + Duration::from_secs_f64(seconds));
    }
}
