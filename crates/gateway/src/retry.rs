//! A retry budget: retries may be only a share of successes, so that a failing fleet is not stormed.

use std::sync::atomic::{AtomicI64, Ordering};

/// Parts of a retry that one success earns; a retry costs [`WITHDRAWAL`].
const DEPOSIT: i64 = 1;
const WITHDRAWAL: i64 = 10;

/// Retries that may come at once.
const MAX_BALANCE: i64 = 50 * WITHDRAWAL;

/// Shared by all requests of a gateway.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(MAX_BALANCE),
        }
    }
}

impl RetryBudget {
    /// A request succeeded.
    pub fn deposit(&self) {
        let earned = |balance: i64| Some((balance + DEPOSIT).min(MAX_BALANCE));
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Takes one retry, if the budget allows it.
    pub fn withdraw(&self) -> bool {
        let taken = |balance: i64| (balance >= WITHDRAWAL).then(|| balance - WITHDRAWAL);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken)
            .is_ok()
    }
}
