//! Retry budget, which limits retries to a share of the successful requests to prevent retry storms.

use std::sync::atomic::{AtomicI64, Ordering};

/// Added to the balance by each success; a retry costs [`WITHDRAWAL`].
const DEPOSIT: i64 = 1;
const WITHDRAWAL: i64 = 10;

/// Upper bound of the balance, and its initial value: a burst of 50 retries.
const MAX_BALANCE: i64 = 50 * WITHDRAWAL;

/// Retry budget shared by all requests of a gateway.
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
    /// Records a successful request.
    pub fn deposit(&self) {
        let deposited = |balance: i64| Some((balance + DEPOSIT).min(MAX_BALANCE));
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposited);
    }

    /// Takes one retry from the budget; false if it is exhausted.
    pub fn withdraw(&self) -> bool {
        let withdrawn = |balance: i64| (balance >= WITHDRAWAL).then(|| balance - WITHDRAWAL);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdrawn)
            .is_ok()
    }
}
