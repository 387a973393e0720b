//! Transactions on jobs' rows, and what is done when their answers are lost.

mod reads;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use harrierward_external::{
    Backoff, Condition, ObjectStore, PlatformError, RequestClass, Row, Table, Transaction,
    TransactionOutcome, WatchedTable, Write,
};
use harrierward_wire::{
    ItemProgressRow, JobHeadRow, JobItemsRow, QuotaFenceRow, ResultPieceRow, decode, decode_head,
    encode, encode_head,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep, sleep_until};

use crate::keys::{self, RowKind};
use crate::view::KnownHead;

/// Largest content of a row, bytes; base64 makes it a third longer.
const ROW_BYTES: usize = 45_000;

/// Largest content of a transaction that is kept in rows, bytes.
const TRANSACTION_BYTES: usize = 600_000;

/// Most entries of a transaction, conditions included: what the users' store takes.
const TRANSACTION_ENTRIES: usize = 100;

/// Pause after which a last write is sent again beside the one that is not answered, whose answer may be lost; and tries at a time.
const BESIDE: Duration = Duration::from_millis(1_500);
const MOST_TRIES: usize = 4;

/// Pauses between tries of one transaction.
const FIRST_PAUSE: Duration = Duration::from_millis(15);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// How a conditional write of a head ended.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// It was done at this revision.
    Committed {
        /// Revision of the rows.
        revision: u64,
    },
    /// The head is another one; nothing was done by the last try.
    Conflict {
        /// The head as it stands; `None` if there is none.
        current: Option<Box<KnownHead>>,
    },
    /// The quota's fence is another one; nothing was done, and nothing will be.
    Fenced {
        /// The fence as it stands.
        current: Option<KnownFence>,
    },
    /// Nothing was done, and nothing will be.
    NotDone,
    /// It may have been done, or may yet be.
    InDoubt,
}

/// The fence of a route's quota, and the revision of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownFence {
    /// Life of the daemon that keeps the quota.
    pub coordinator: String,
    /// Revision.
    pub revision: u64,
}

/// How the write of a fence ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It was written at this revision.
    Written {
        /// Revision of its rows.
        revision: u64,
    },
    /// Another daemon's stands there.
    Other(KnownFence),
    /// It is not known whether it was written.
    NotDone,
}

/// The rows of jobs.
#[derive(Clone)]
pub struct JobStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    watched: Arc<dyn WatchedTable>,
}

/// A result to be listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult {
    /// Item, by its number in the job.
    pub item: u32,
    /// The item failed for good.
    pub failed: bool,
    /// Text.
    pub text: String,
}

/// A result as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadResult {
    /// The item failed for good.
    pub failed: bool,
    /// Text.
    pub text: String,
}

/// What the store says of a job's head.
#[derive(Debug, Clone, PartialEq)]
pub struct HeadReading {
    /// The head; `None` if there is none.
    pub head: Option<KnownHead>,
    /// Revision of the store that the reading reflects at least.
    pub revision: u64,
}

fn known(row: &Row) -> Option<KnownHead> {
    Some(KnownHead {
        head: decode_head(&row.value)?,
        revision: row.revision,
    })
}

fn known_fence(row: &Row) -> Option<KnownFence> {
    let fence: QuotaFenceRow = decode(&row.value)?;
    Some(KnownFence {
        coordinator: fence.coordinator,
        revision: row.revision,
    })
}

/// Splits a text at character boundaries.
fn pieces_of(text: &str) -> Vec<&str> {
    let mut rest = text;
    let mut pieces = Vec::new();
    while rest.len() > ROW_BYTES {
        let mut end = ROW_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, left) = rest.split_at(end);
        pieces.push(piece);
        rest = left;
    }
    pieces.push(rest);
    pieces
}

impl JobStore {
    /// Jobs in this table; items too large for rows in the object store.
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        watched: Arc<dyn WatchedTable>,
    ) -> Self {
        Self {
            table,
            objects,
            watched,
        }
    }

    /// Sends a transaction until its outcome is known or `until` has come. Repeating is harmless: the condition on
    /// the head lets it happen once.
    async fn settle(
        &self,
        class: RequestClass,
        transaction: Transaction,
        until: Instant,
    ) -> WriteOutcome {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        let mut in_doubt = false;
        loop {
            match self.table.transact(class, transaction.clone()).await {
                Ok(outcome) => return write_outcome(outcome),
                Err(error) => in_doubt |= error.may_have_happened(),
            }
            let pause = FIRST_PAUSE + backoff.wait(&mut random);
            if Instant::now() + pause >= until {
                return unsettled(in_doubt);
            }
            sleep(pause).await;
        }
    }

    /// The same for a daemon that stops, which has no time for a second patience: a try that is not answered yet goes on while
    /// others are sent beside it. A slow store does the first one, a lost answer is made up for by the second.
    async fn settle_side_by_side(&self, transaction: Transaction, until: Instant) -> WriteOutcome {
        let mut random = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        let mut tries = FuturesUnordered::new();
        let mut next = Instant::now();
        let mut in_doubt = false;
        loop {
            tokio::select! {
                () = sleep_until(next), if tries.len() < MOST_TRIES => {
                    tries.push(self.table.transact(RequestClass::Farewell, transaction.clone()));
                    next = Instant::now() + BESIDE;
                }
                Some(answer) = tries.next() => match answer {
                    Ok(outcome) => return write_outcome(outcome),
                    Err(error) => {
                        in_doubt |= error.may_have_happened();
                        next = Instant::now() + FIRST_PAUSE + backoff.wait(&mut random);
                    }
                },
                () = sleep_until(until) => return unsettled(in_doubt || !tries.is_empty()),
            }
        }
    }

    /// Keeps a new job: its head and all items in one transaction, unless there is a job of the id, and only under
    /// this revision of its route's fence, if the route has one.
    pub async fn create(
        &self,
        mut head: JobHeadRow,
        items: &JobItemsRow,
        fence: Option<u64>,
        until: Instant,
    ) -> WriteOutcome {
        let content = Bytes::from(encode(items));
        let head_key = keys::head(&head.job_id);
        // The head comes first: where both conditions fail, the job is kept already.
        let mut transaction = Transaction::default().require(Condition::Absent {
            key: head_key.clone(),
        });
        if let Some(revision) = fence {
            let key = keys::fence(&head.route, &head.job_id);
            transaction = transaction.require(Condition::AtRevision { key, revision });
        }
        if content.len() > TRANSACTION_BYTES {
            head.item_object = format!("jobitems-{}-{}", head.job_id, head.owner);
            let put = self
                .objects
                .put(RequestClass::Commit, &head.item_object, content);
            if put.await.is_err() {
                return WriteOutcome::NotDone;
            }
        } else {
            let mut number = 0;
            let mut rest = content;
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(ROW_BYTES));
                transaction = transaction.put(keys::items(&head.job_id, number), piece);
                number += 1;
            }
            head.item_rows = number;
        }
        transaction = transaction.put(head_key, encode_head(&head));
        self.settle(RequestClass::Urgent, transaction, until).await
    }

    /// Writes a route's fence in all partitions under its present revision.
    pub async fn write_fence(
        &self,
        present: Option<u64>,
        row: &QuotaFenceRow,
        until: Instant,
    ) -> FenceOutcome {
        let mut transaction = Transaction::default();
        for key in keys::fences(&row.route) {
            let condition = match present {
                None => Condition::Absent { key: key.clone() },
                Some(revision) => Condition::AtRevision {
                    key: key.clone(),
                    revision,
                },
            };
            transaction = transaction.require(condition).put(key, encode(row));
        }
        match self.settle(RequestClass::Urgent, transaction, until).await {
            WriteOutcome::Committed { revision } => FenceOutcome::Written { revision },
            // Own writes whose answers were lost are met again this way.
            WriteOutcome::Fenced {
                current: Some(current),
            } if current.coordinator == row.coordinator => FenceOutcome::Written {
                revision: current.revision,
            },
            WriteOutcome::Fenced {
                current: Some(current),
            } => FenceOutcome::Other(current),
            _ => FenceOutcome::NotDone,
        }
    }

    /// Replaces a head under its revision.
    pub async fn replace_head(
        &self,
        revision: u64,
        head: &JobHeadRow,
        until: Instant,
    ) -> WriteOutcome {
        let transaction = head_change(revision, head);
        self.settle(RequestClass::Urgent, transaction, until).await
    }

    /// Replaces a head, lists results from `position` on and keeps the progress of other items, in one transaction.
    pub async fn list(
        &self,
        revision: u64,
        head: &JobHeadRow,
        (position, results): (u32, &[ListedResult]),
        progress: &[(u32, ItemProgressRow)],
        until: Instant,
    ) -> WriteOutcome {
        let transaction = listing(revision, head, position, results);
        let transaction = add_progress(transaction, &head.job_id, progress);
        self.settle(RequestClass::Commit, transaction, until).await
    }

    /// Gives a job up for others: lists what is done, and keeps the progress of its unfinished items.
    pub async fn hand_over(
        &self,
        revision: u64,
        head: &JobHeadRow,
        (position, results): (u32, &[ListedResult]),
        progress: &[(u32, ItemProgressRow)],
        until: Instant,
    ) -> WriteOutcome {
        let transaction = listing(revision, head, position, results);
        let transaction = add_progress(transaction, &head.job_id, progress);
        self.settle_side_by_side(transaction, until).await
    }

    /// Saves the progress of items, once and under no condition.
    pub async fn save_progress(
        &self,
        job_id: &str,
        progress: &[(u32, ItemProgressRow)],
    ) -> Result<(), PlatformError> {
        let transaction = add_progress(Transaction::default(), job_id, progress);
        self.table
            .transact(RequestClass::Listing, transaction)
            .await?;
        Ok(())
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
fn unsettled(in_doubt: bool) -> WriteOutcome {
    if in_doubt {
        WriteOutcome::InDoubt
    } else {
        WriteOutcome::NotDone
    }
}

/// The change of a head that lists results from `position` on.
fn listing(
    revision: u64,
    head: &JobHeadRow,
    position: u32,
    results: &[ListedResult],
) -> Transaction {
    let mut transaction = head_change(revision, head);
    for (position, result) in (position..).zip(results) {
        let pieces = pieces_of(&result.text);
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        for (number, text) in (0..).zip(pieces) {
            let row = ResultPieceRow {
                failed: result.failed,
                pieces: count,
                text: text.to_owned(),
            };
            let key = keys::result(&head.job_id, position, number);
            transaction = transaction.put(key, encode(&row));
        }
    }
    transaction
}

/// Adds rows of progress within the bounds of one transaction.
fn add_progress(
    mut transaction: Transaction,
    job_id: &str,
    progress: &[(u32, ItemProgressRow)],
) -> Transaction {
    let puts = transaction.writes.iter().map(|write| match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    });
    let mut bytes: usize = puts.sum();
    let entries = transaction.conditions.len() + transaction.writes.len();
    let mut room = TRANSACTION_ENTRIES.saturating_sub(entries);
    for (item, row) in progress {
        let content = encode(row);
        let fits = content.len() <= ROW_BYTES && bytes + content.len() <= TRANSACTION_BYTES;
        if room == 0 || !fits {
            continue;
        }
        room -= 1;
        bytes += content.len();
        transaction = transaction.put(keys::progress(job_id, *item), content);
    }
    transaction
}

fn head_change(revision: u64, head: &JobHeadRow) -> Transaction {
    let key = keys::head(&head.job_id);
    Transaction::default()
        .require(Condition::AtRevision {
            key: key.clone(),
            revision,
        })
        .put(key, encode_head(head))
}
