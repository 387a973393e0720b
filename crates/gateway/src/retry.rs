//! A retry budget: retries may be only a share of successes, so that a failing fleet is not stormed.

use std::sync::atomic::{AtomicI64, Ordering};

/// Parts of a retry that one success earns; a retry costs [`RETRY_COST`].
const SUCCESS_EARNS: i64 = 1;
const RETRY_COST: i64 = 10;

/// Retries that may come at once.
const MOST_SAVED: i64 = 50 * RETRY_COST;

/// Shared by all requests of a gateway.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: AtomicI64::new(MOST_SAVED),
        }
    }
}

impl RetryBudget {
    /// A request succeeded.
    pub fn earn(&self) {
        let earned = |saved: i64| Some((saved + SUCCESS_EARNS).min(MOST_SAVED));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Takes one retry, if the budget allows it.
    pub fn take(&self) -> bool {
        let taken = |saved: i64| (saved >= RETRY_COST).then(|| saved - RETRY_COST);
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken)
            .is_ok()
    }
}
