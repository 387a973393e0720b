//! Rate limit, in bytes, on the rows that a daemon serves to starting peers. It doesn't count responses, because their
//! size grows with the fleet: a limit for large ones would refuse small ones without need, and a refused daemon may
//! have to start without the rows.

use std::time::Duration;

use tokio::time::Instant;

const BYTES_PER_SECOND: f64 = 10_000_000.0;

/// Byte budget for responses to peers; bounds the memory that concurrent responses take.
#[derive(Debug, Default)]
pub struct ResponseBudget {
    free_at: Option<Instant>,
}

impl ResponseBudget {
    /// True if the time charged for the last response has passed.
    pub fn is_free(&self, now: Instant) -> bool {
        self.free_at.is_none_or(|free_at| free_at <= now)
    }

    /// Charges a response of `bytes`.
    pub fn spend(&mut self, bytes: usize, now: Instant) {
        #[allow(clippy::cast_precision_loss)]
        let seconds = bytes as f64 / BYTES_PER_SECOND;
        self.free_at = Some(now + Duration::from_secs_f64(seconds));
    }
}
