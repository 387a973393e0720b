//! Waits until another attempt settles its claim, by polling the claim's row.
//!
//! The attempt may run at any daemon, and only the row outlives it. One task polls for all waiters, so the number of
//! reads doesn't grow with the number of resends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_external::{RequestClass, Row, Table};
use harrierward_wire::{ClaimRow, ClaimState, decode};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::claim::ClaimKey;

const PREFIX: &str = "claims:";

/// Maximum number of resends that wait at one daemon, and of rows in one read.
pub const MAX_WAITERS: usize = 64;

/// Interval before the first poll after a waiter was added: short, because a resend often arrives while the response
/// is being stored.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

const MAX_POLL_INTERVAL: Duration = Duration::from_millis(160);

/// Outcome of a wait for another attempt's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The claim is no longer open: its row holds a response, or was removed.
    Settled,
    /// The claim was open, or could not be read, until the deadline.
    StillOpen,
    /// [`MAX_WAITERS`] resends wait at this daemon already; returned without waiting.
    TooManyWaiters,
}

struct Waiter {
    row_key: String,
    notify: oneshot::Sender<()>,
}

/// Polls the claims that resends at one daemon wait for; cheap to clone.
#[derive(Clone)]
pub(crate) struct ClaimWatch {
    queue: mpsc::UnboundedSender<Waiter>,
    permits: Arc<Semaphore>,
}

impl ClaimWatch {
    /// Starts the polling task on the current tokio runtime.
    pub fn start(table: Arc<dyn Table>) -> Self {
        // Bounded by the permits, apart from waiters that timed out since the last poll.
        let (queue, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run_polls(table, receiver));
        Self {
            queue,
            permits: Arc::new(Semaphore::new(MAX_WAITERS)),
        }
    }

    /// Waits until the claim is settled, at most until `deadline`.
    pub async fn wait_while_open(&self, key: &ClaimKey, deadline: Instant) -> WaitOutcome {
        let Ok(_permit) = self.permits.try_acquire() else {
            return WaitOutcome::TooManyWaiters;
        };
        let (notify, receiver) = oneshot::channel();
        let waiter = Waiter {
            row_key: key.row_key(),
            notify,
        };
        if self.queue.send(waiter).is_err() {
            return WaitOutcome::StillOpen;
        }
        match timeout_at(deadline, receiver).await {
            Ok(Ok(())) => WaitOutcome::Settled,
            Ok(Err(_)) | Err(_) => WaitOutcome::StillOpen,
        }
    }
}

/// Senders that notify the waiters, by the key of the row that they wait for.
type Waiters = BTreeMap<String, Vec<oneshot::Sender<()>>>;

async fn run_polls(table: Arc<dyn Table>, mut queue: mpsc::UnboundedReceiver<Waiter>) {
    let mut waiters = Waiters::new();
    let mut interval = MIN_POLL_INTERVAL;
    loop {
        if waiters.is_empty() {
            match queue.recv().await {
                Some(waiter) => add(&mut waiters, waiter),
                None => return,
            }
            interval = MIN_POLL_INTERVAL;
        }
        sleep(interval).await;
        interval = (interval * 2).min(MAX_POLL_INTERVAL);
        while let Ok(waiter) = queue.try_recv() {
            add(&mut waiters, waiter);
            interval = MIN_POLL_INTERVAL;
        }
        remove_closed(&mut waiters);
        poll(table.as_ref(), &mut waiters).await;
    }
}

fn add(waiters: &mut Waiters, waiter: Waiter) {
    let senders = waiters.entry(waiter.row_key).or_default();
    senders.push(waiter.notify);
}

fn remove_closed(waiters: &mut Waiters) {
    for senders in waiters.values_mut() {
        senders.retain(|sender| !sender.is_closed());
    }
    waiters.retain(|_, senders| !senders.is_empty());
}

/// Reads the rows and notifies the waiters whose claim is settled.
async fn poll(table: &dyn Table, waiters: &mut Waiters) {
    let keys: Vec<String> = waiters.keys().take(MAX_WAITERS).cloned().collect();
    if keys.is_empty() {
        return;
    }
    // New claims and stored responses take precedence over this class; the next poll makes up for a refused read.
    let rows = match table.get(RequestClass::Listing, &keys).await {
        Ok(rows) => rows,
        Err(error) => {
            log::debug!("{PREFIX} cannot read open claims, will retry: {error}");
            return;
        }
    };
    for (key, row) in keys.iter().zip(&rows) {
        if row.as_ref().is_some_and(is_open) {
            continue;
        }
        for sender in waiters.remove(key).unwrap_or_default() {
            // The waiter may have timed out.
            let _ = sender.send(());
        }
    }
}

/// A row that cannot be decoded counts as open, because its attempt may be running.
fn is_open(row: &Row) -> bool {
    decode::<ClaimRow>(&row.value).is_none_or(|claim| claim.state != ClaimState::Done as i32)
}
