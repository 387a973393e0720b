//! Waits for another attempt's claim to be settled: one task reads the claims that anybody waits for, together.
//!
//! Why reads and not messages: the attempt may run at any daemon, and the row is what outlives it. Why one task: the
//! number of reads follows the time, not the number of resends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_external::{RequestClass, Row, Table};
use harrierward_wire::{ClaimRow, ClaimState, decode};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::claim::ClaimKey;

const PREFIX: &str = "claims:";

/// Resends that wait at one daemon at most: as many rows as one read asks for.
pub const MAX_WAITERS: usize = 64;

/// Pause before the first look after somebody began to wait. Most resends of a finished request meet the moment in
/// which its answer is being stored.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between looks.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);

/// How a wait for another attempt's claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The claim is not open any more: it holds an answer, or it is gone.
    Settled,
    /// It was open to the end.
    StillOpen,
    /// Too many wait here already; this one did not.
    TooManyWaiters,
}

struct Watched {
    row_key: String,
    settled: oneshot::Sender<()>,
}

/// The watch of one daemon; cheap to clone.
#[derive(Clone)]
pub(crate) struct ClaimWatch {
    queue: mpsc::UnboundedSender<Watched>,
    places: Arc<Semaphore>,
}

impl ClaimWatch {
    /// Starts the watch on the current tokio runtime.
    pub fn start(table: Arc<dyn Table>) -> Self {
        // As many entries as there are places, and those whose waiter has gone until the next look.
        let (queue, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run_looks(table, receiver));
        Self {
            queue,
            places: Arc::new(Semaphore::new(MAX_WAITERS)),
        }
    }

    /// Waits while the claim is open, until `deadline` at the longest.
    pub async fn wait_while_open(&self, key: &ClaimKey, deadline: Instant) -> WaitOutcome {
        let Ok(_place) = self.places.try_acquire() else {
            return WaitOutcome::TooManyWaiters;
        };
        let (settled, receiver) = oneshot::channel();
        let watched = Watched {
            row_key: key.row_key(),
            settled,
        };
        if self.queue.send(watched).is_err() {
            return WaitOutcome::StillOpen;
        }
        match timeout_at(deadline, receiver).await {
            Ok(Ok(())) => WaitOutcome::Settled,
            Ok(Err(_)) | Err(_) => WaitOutcome::StillOpen,
        }
    }
}

/// Those who wait, by the row they wait for.
type Watchers = BTreeMap<String, Vec<oneshot::Sender<()>>>;

async fn run_looks(table: Arc<dyn Table>, mut queue: mpsc::UnboundedReceiver<Watched>) {
    let mut watchers = Watchers::new();
    let mut pause = FIRST_PAUSE;
    loop {
        if watchers.is_empty() {
            match queue.recv().await {
                Some(watched) => add(&mut watchers, watched),
                None => return,
            }
            pause = FIRST_PAUSE;
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        while let Ok(watched) = queue.try_recv() {
            add(&mut watchers, watched);
            pause = FIRST_PAUSE;
        }
        drop_gone(&mut watchers);
        look(table.as_ref(), &mut watchers).await;
    }
}

fn add(watchers: &mut Watchers, watched: Watched) {
    let waiting = watchers.entry(watched.row_key).or_default();
    waiting.push(watched.settled);
}

fn drop_gone(watchers: &mut Watchers) {
    for waiting in watchers.values_mut() {
        waiting.retain(|settled| !settled.is_closed());
    }
    watchers.retain(|_, waiting| !waiting.is_empty());
}

/// Reads the rows and tells those whose claim is settled.
async fn look(table: &dyn Table, watchers: &mut Watchers) {
    let keys: Vec<String> = watchers.keys().take(MAX_WAITERS).cloned().collect();
    if keys.is_empty() {
        return;
    }
    // Claims and stored answers come first: a look that finds no budget is made up for by the next.
    let rows = match table.get(RequestClass::Listing, &keys).await {
        Ok(rows) => rows,
        Err(error) => {
            log::debug!("{PREFIX} open claims not read: {error}");
            return;
        }
    };
    for (key, row) in keys.iter().zip(&rows) {
        if row.as_ref().is_some_and(is_open) {
            continue;
        }
        for settled in watchers.remove(key).unwrap_or_default() {
            // One that has just gone needs no news.
            let _ = settled.send(());
        }
    }
}

/// True for a row of which nothing but that it stands is known, too: its attempt may run.
fn is_open(row: &Row) -> bool {
    decode::<ClaimRow>(&row.value).is_none_or(|claim| claim.state != ClaimState::Done as i32)
}
