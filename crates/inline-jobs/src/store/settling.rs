//! Sending a transaction until its outcome is known.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use harrierward_external::{Backoff, RequestClass, Transaction, TransactionOutcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep, sleep_until};

use super::{JobStore, WriteOutcome, known, known_fence};
use crate::keys::{self, RowKind};

/// Pause after which a last write is sent again beside the one that is not answered, whose answer may be lost; and tries at a time.
const RESEND_DELAY: Duration = Duration::from_millis(1_500);
const MAX_ATTEMPTS: usize = 4;

/// Pauses between tries of one transaction.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(15);
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(250);

impl JobStore {
    /// Sends a transaction until its outcome is known or `until` has come. Repeating is harmless: the condition on
    /// the head lets it happen once.
    pub(super) async fn settle(
        &self,
        class: RequestClass,
        transaction: Transaction,
        until: Instant,
    ) -> WriteOutcome {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let mut is_indeterminate = false;
        loop {
            match self.table.transact(class, transaction.clone()).await {
                Ok(outcome) => return write_outcome(outcome),
                Err(error) => is_indeterminate |= error.may_have_happened(),
            }
            let pause = FIRST_PAUSE + backoff.wait(&mut random);
            if Instant::now() + pause >= until {
                return unsettled(is_indeterminate);
            }
            sleep(pause).await;
        }
    }

    /// The same for a daemon that stops, which has no time for a second patience: a try that is not answered yet goes on while
    /// others are sent beside it. A slow store does the first one, a lost answer is made up for by the second.
    pub(super) async fn settle_concurrently(
        &self,
        transaction: Transaction,
        until: Instant,
    ) -> WriteOutcome {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let mut attempts = FuturesUnordered::new();
        let mut next = Instant::now();
        let mut is_indeterminate = false;
        loop {
            tokio::select! {
                () = sleep_until(next), if attempts.len() < MAX_ATTEMPTS => {
                    attempts.push(self.table.transact(RequestClass::Handover, transaction.clone()));
                    next = Instant::now() + RESEND_DELAY;
                }
                Some(answer) = attempts.next() => match answer {
                    Ok(outcome) => return write_outcome(outcome),
                    Err(error) => {
                        is_indeterminate |= error.may_have_happened();
                        next = Instant::now() + FIRST_PAUSE + backoff.wait(&mut random);
                    }
                },
                () = sleep_until(until) => return unsettled(is_indeterminate || !attempts.is_empty()),
            }
        }
    }
}

/// What a transaction's end says of the write of a head.
fn write_outcome(outcome: TransactionOutcome) -> WriteOutcome {
    match outcome {
        TransactionOutcome::Committed { revision } => WriteOutcome::Committed { revision },
        TransactionOutcome::Conflict { key, current } if keys::row_kind(&key) == RowKind::Fence => {
            let current = current.as_ref().and_then(known_fence);
            WriteOutcome::Fenced { current }
        }
        TransactionOutcome::Conflict { current, .. } => {
            let current = current.as_ref().and_then(known).map(Box::new);
            WriteOutcome::Conflict { current }
        }
    }
}

/// A write whose end is not known in time.
fn unsettled(is_indeterminate: bool) -> WriteOutcome {
    if is_indeterminate {
        WriteOutcome::Indeterminate
    } else {
        WriteOutcome::NotCommitted
    }
}
