//! Retries of a transaction until its outcome is known.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use harrierward_external::{Backoff, RequestClass, Transaction, TransactionOutcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep, sleep_until};

use super::{JobStore, WriteOutcome, known, known_fence};
use crate::keys::{self, RowKind};

/// Time after which an attempt without a response is resent concurrently, and the bound of concurrent attempts.
const RESEND_DELAY: Duration = Duration::from_millis(1_500);
const MAX_ATTEMPTS: usize = 4;

/// Bounds of the backoff between attempts.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(15);
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(250);

impl JobStore {
    /// Sends a transaction until its outcome is known or `until` has passed. Attempts are idempotent: its conditions
    /// allow only one to commit.
    pub(super) async fn settle(
        &self,
        class: RequestClass,
        transaction: Transaction,
        until: Instant,
    ) -> WriteOutcome {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut is_indeterminate = false;
        loop {
            match self.transact(class, transaction.clone()).await {
                Ok(outcome) => return write_outcome(outcome),
                Err(error) => is_indeterminate |= error.may_have_happened(),
            }
            let pause = MIN_BACKOFF + backoff.wait(&mut random);
            if Instant::now() + pause >= until {
                return unsettled(is_indeterminate);
            }
            sleep(pause).await;
        }
    }

    /// Sends the transaction of a handover like [`Self::settle`], but an attempt without a response continues while
    /// others are sent. The first one covers a slow store, the later ones a lost response.
    pub(super) async fn settle_concurrently(
        &self,
        transaction: Transaction,
        until: Instant,
    ) -> WriteOutcome {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut attempts = FuturesUnordered::new();
        let mut next = Instant::now();
        let mut is_indeterminate = false;
        loop {
            tokio::select! {
                () = sleep_until(next), if attempts.len() < MAX_ATTEMPTS => {
                    attempts.push(self.transact(RequestClass::Handover, transaction.clone()));
                    next = Instant::now() + RESEND_DELAY;
                }
                Some(result) = attempts.next() => match result {
                    Ok(outcome) => return write_outcome(outcome),
                    Err(error) => {
                        is_indeterminate |= error.may_have_happened();
                        next = Instant::now() + MIN_BACKOFF + backoff.wait(&mut random);
                    }
                },
                () = sleep_until(until) => return unsettled(is_indeterminate || !attempts.is_empty()),
            }
        }
    }
}

/// Translates the outcome of a transaction into that of a header's write.
fn write_outcome(outcome: TransactionOutcome) -> WriteOutcome {
    match outcome {
        TransactionOutcome::Committed { revision } => WriteOutcome::Committed { revision },
        TransactionOutcome::Conflict { key, current, .. }
            if keys::row_kind(&key) == RowKind::Fence =>
        {
            let current = current.as_ref().and_then(known_fence);
            WriteOutcome::Fenced { current }
        }
        TransactionOutcome::Conflict { current, .. } => {
            let current = current.as_ref().and_then(known).map(Box::new);
            WriteOutcome::Conflict { current }
        }
    }
}

/// Returns the outcome of a write without a definite response until its deadline.
fn unsettled(is_indeterminate: bool) -> WriteOutcome {
    if is_indeterminate {
        WriteOutcome::Indeterminate
    } else {
        WriteOutcome::NotCommitted
    }
}
