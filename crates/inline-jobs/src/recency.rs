//! Evidence of how recent a reading of the store is.
//!
//! Reads and watches may reflect an earlier state of the store, with the revision of that state. Transactions are
//! decided on the current state, and name its revision. So a reading at the revision that a transaction named, or at a
//! later one, reflects everything that was acknowledged before the transaction was sent.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// A revision named by a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionPoint {
    /// Newest revision of the store when it decided the transaction.
    pub revision: u64,
    /// When the transaction was sent, on the clock that counts suspensions.
    pub sent_at: Instant,
}

/// The point of the transaction that was sent last.
#[derive(Debug, Default)]
pub struct RecencyEvidence {
    latest: Mutex<Option<RevisionPoint>>,
}

impl RecencyEvidence {
    fn lock(&self) -> MutexGuard<'_, Option<RevisionPoint>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the point of a transaction; a revision of 0 is unknown and ignored.
    pub fn note(&self, point: RevisionPoint) {
        let mut latest = self.lock();
        let is_later = latest.is_none_or(|known| known.sent_at < point.sent_at);
        if point.revision > 0 && is_later {
            *latest = Some(point);
        }
    }

    /// Returns the latest point if its transaction was sent less than `max_age` ago. A reading at its revision or a
    /// later one is at most that old.
    pub fn point_within(&self, max_age: Duration) -> Option<RevisionPoint> {
        let latest = *self.lock();
        latest.filter(|point| harrierward_clock::age(point.sent_at) < max_age)
    }
}
