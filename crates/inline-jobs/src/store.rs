//! Transactions on jobs' rows, and what is done when their answers are lost.

mod reads;
mod settling;
mod transactions;

use std::sync::Arc;

use bytes::Bytes;
use harrierward_external::{
    Condition, ObjectStore, PlatformError, RequestClass, Row, Table, Transaction, WatchedTable,
};
use harrierward_wire::{
    ItemProgressRow, JobHeaderRow, JobItemsRow, QuotaFenceRow, decode, decode_job_header, encode,
    encode_job_header,
};
use tokio::time::Instant;

use crate::keys;
use crate::view::KnownHeader;

use transactions::{MAX_ROW_BYTES, MAX_TRANSACTION_BYTES, add_progress, header_change, listing};

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
        current: Option<Box<KnownHeader>>,
    },
    /// The quota's fence is another one; nothing was done, and nothing will be.
    Fenced {
        /// The fence as it stands.
        current: Option<KnownFence>,
    },
    /// Nothing was done, and nothing will be.
    NotCommitted,
    /// It may have been done, or may yet be.
    Indeterminate,
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
    Superseded(KnownFence),
    /// It is not known whether it was written.
    Unconfirmed,
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
pub struct HeaderReading {
    /// The head; `None` if there is none.
    pub header: Option<KnownHeader>,
    /// Revision of the store that the reading reflects at least.
    pub revision: u64,
}

fn known(row: &Row) -> Option<KnownHeader> {
    Some(KnownHeader {
        header: decode_job_header(&row.value)?,
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

    /// Keeps a new job: its head and all items in one transaction, unless there is a job of the id, and only under
    /// this revision of its route's fence, if the route has one.
    pub async fn create(
        &self,
        mut header: JobHeaderRow,
        items: &JobItemsRow,
        fence: Option<u64>,
        until: Instant,
    ) -> WriteOutcome {
        let content = Bytes::from(encode(items));
        let header_key = keys::header(&header.job_id);
        // The head comes first: where both conditions fail, the job is kept already.
        let mut transaction = Transaction::default().require(Condition::Absent {
            key: header_key.clone(),
        });
        if let Some(revision) = fence {
            let key = keys::fence(&header.route, &header.job_id);
            transaction = transaction.require(Condition::AtRevision { key, revision });
        }
        if content.len() > MAX_TRANSACTION_BYTES {
            header.item_object = format!("jobitems-{}-{}", header.job_id, header.owner);
            let put = self
                .objects
                .put(RequestClass::Commit, &header.item_object, content);
            if put.await.is_err() {
                return WriteOutcome::NotCommitted;
            }
        } else {
            let mut number = 0;
            let mut rest = content;
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(MAX_ROW_BYTES));
                transaction = transaction.put(keys::items(&header.job_id, number), piece);
                number += 1;
            }
            header.item_rows = number;
        }
        transaction = transaction.put(header_key, encode_job_header(&header));
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
            } => FenceOutcome::Superseded(current),
            _ => FenceOutcome::Unconfirmed,
        }
    }

    /// Replaces a head under its revision.
    pub async fn replace_header(
        &self,
        revision: u64,
        header: &JobHeaderRow,
        until: Instant,
    ) -> WriteOutcome {
        let transaction = header_change(revision, header);
        self.settle(RequestClass::Urgent, transaction, until).await
    }

    /// Replaces a head, lists results from `position` on and keeps the progress of other items, in one transaction.
    pub async fn list(
        &self,
        revision: u64,
        header: &JobHeaderRow,
        (position, results): (u32, &[ListedResult]),
        progress: &[(u32, ItemProgressRow)],
        until: Instant,
    ) -> WriteOutcome {
        let transaction = listing(revision, header, position, results);
        let transaction = add_progress(transaction, &header.job_id, progress);
        self.settle(RequestClass::Commit, transaction, until).await
    }

    /// Gives a job up for others: lists what is done, and keeps the progress of its unfinished items.
    pub async fn hand_over(
        &self,
        revision: u64,
        header: &JobHeaderRow,
        (position, results): (u32, &[ListedResult]),
        progress: &[(u32, ItemProgressRow)],
        until: Instant,
    ) -> WriteOutcome {
        let transaction = listing(revision, header, position, results);
        let transaction = add_progress(transaction, &header.job_id, progress);
        self.settle_concurrently(transaction, until).await
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
