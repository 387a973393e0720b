//! Transactions on jobs' rows, with retries when their responses are lost.

mod reads;
mod settling;
mod transactions;

use std::sync::Arc;

use bytes::Bytes;
use harrierward_external::{
    Condition, ObjectStore, PlatformError, PlatformErrorKind, RequestClass, Row, Table,
    Transaction, TransactionOutcome, WatchedTable,
};
use harrierward_wire::{
    ItemProgressRow, JobHeadRow, JobItemsRow, QuotaFenceRow, decode, decode_job_header, encode,
    encode_job_header,
};
use tokio::time::Instant;

use crate::keys;
use crate::recency::{RecencyEvidence, RevisionPoint};
use crate::view::KnownHeader;

pub(crate) use transactions::MAX_ROW_BYTES;
use transactions::{MAX_TRANSACTION_BYTES, add_progress, header_change, listing};

/// Outcome of a conditional write of a header.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write was committed.
    Committed {
        /// Store revision of the written rows.
        revision: u64,
    },
    /// The header has changed; the last attempt wrote nothing.
    Conflict {
        /// The present header; `None` if there is none or it cannot be decoded.
        current: Option<Box<KnownHeader>>,
    },
    /// The quota's fence has changed; nothing was written, and nothing will be.
    Fenced {
        /// The present fence; `None` if there is none or it cannot be decoded.
        current: Option<KnownFence>,
    },
    /// Nothing was written, and nothing will be.
    NotCommitted,
    /// The write may have been committed, or may still be.
    Indeterminate,
}

/// The fence of a route's quota and the revision of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownFence {
    /// Instance id of the daemon that coordinates the quota.
    pub coordinator: String,
    /// Store revision of the row; identifies the fence.
    pub revision: u64,
}

/// Outcome of the write of a fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The fence was written.
    Written {
        /// Store revision of its rows.
        revision: u64,
    },
    /// Another daemon has written the fence.
    Superseded(KnownFence),
    /// The fence was not written, or it is unknown whether it was.
    Unconfirmed,
}

/// Access to jobs' rows in the store.
#[derive(Clone)]
pub struct JobStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    watched: Arc<dyn WatchedTable>,
    recency: Arc<RecencyEvidence>,
}

/// A result to be listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult {
    /// Number of the item in its job, from 0.
    pub item: u32,
    /// True if the item has used up its attempts or cannot be run.
    pub failed: bool,
    /// The item's output; empty if it failed.
    pub text: String,
}

/// A listed result, assembled from its pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadResult {
    /// True if the item has used up its attempts or cannot be run.
    pub failed: bool,
    /// The item's output; empty if it failed.
    pub text: String,
}

/// Result of reading a job's header from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct HeaderReading {
    /// The header; `None` if there is none.
    pub header: Option<KnownHeader>,
    /// Lower bound of the store revision that the reading reflects.
    pub revision: u64,
}

impl HeaderReading {
    /// Decodes the header's row; `None` is an absent row.
    ///
    /// # Errors
    /// The row exists and cannot be decoded.
    fn of(step: &'static str, row: Option<&Row>, revision: u64) -> Result<Self, PlatformError> {
        let header = row.map(|row| {
            let kind = PlatformErrorKind::Malformed;
            let detail = "the header cannot be read";
            known(row).ok_or_else(|| PlatformError::new(step, "store", kind, detail))
        });
        Ok(Self {
            header: header.transpose()?,
            revision,
        })
    }
}

/// Headers of this epoch and later ones are malformed: no job is adopted so often.
const EPOCH_LIMIT: u64 = 1 << 48;

/// Returns the header in a row; `None` if the row is malformed.
pub(crate) fn parse_header(value: &[u8]) -> Option<JobHeadRow> {
    decode_job_header(value).filter(|header| header.epoch < EPOCH_LIMIT)
}

fn known(row: &Row) -> Option<KnownHeader> {
    Some(KnownHeader {
        header: parse_header(&row.value)?,
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
    /// Creates the access; items too large for rows go to `objects`.
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        watched: Arc<dyn WatchedTable>,
    ) -> Self {
        Self {
            table,
            objects,
            watched,
            recency: Arc::default(),
        }
    }

    /// Returns the evidence of how recent readings are.
    pub(crate) fn recency(&self) -> &RecencyEvidence {
        &self.recency
    }

    /// Sends a transaction once. Each outcome is evidence for later readings.
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let sent_at = harrierward_clock::now();
        let outcome = self.table.transact(class, transaction).await?;
        self.recency.note(RevisionPoint {
            revision: outcome.table_revision(),
            sent_at,
        });
        Ok(outcome)
    }

    /// Creates a job: its header, which is completed with where its items are, and all items in one transaction. Requires
    /// that the id is unused and, if the route has a fence, that `fence` is its present revision.
    pub async fn create(
        &self,
        header: &mut JobHeadRow,
        items: &JobItemsRow,
        fence: Option<u64>,
        until: Instant,
    ) -> WriteOutcome {
        let content = Bytes::from(encode(items));
        let header_key = keys::header(&header.job_id);
        // The header's condition comes first, so that a conflict of both conditions reports the existing job.
        let mut transaction = Transaction::default().require(Condition::Absent {
            key: header_key.clone(),
        });
        if let Some(revision) = fence {
            let key = keys::fence(&header.route, &header.job_id);
            transaction = transaction.require(Condition::AtRevision { key, revision });
        }
        if content.len() > MAX_TRANSACTION_BYTES {
            header.item_object = keys::item_object(&header.job_id, &header.owner);
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
        transaction = transaction.put(header_key, encode_job_header(header));
        self.settle(RequestClass::Urgent, transaction, until).await
    }

    /// Writes a route's fence in all partitions if `present` is still its revision.
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
            // The conflicting fence may be an own write whose response was lost.
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

    /// Replaces a header if `revision` is still its revision.
    pub async fn replace_header(
        &self,
        revision: u64,
        header: &JobHeadRow,
        until: Instant,
    ) -> WriteOutcome {
        let transaction = header_change(revision, header);
        self.settle(RequestClass::Urgent, transaction, until).await
    }

    /// Replaces a header, lists results from `position` on and stores the progress of other items, in one
    /// transaction.
    pub async fn list(
        &self,
        revision: u64,
        header: &JobHeadRow,
        (position, results): (u32, &[ListedResult]),
        progress: &[(u32, ItemProgressRow)],
        until: Instant,
    ) -> WriteOutcome {
        let transaction = listing(revision, header, position, results);
        let transaction = add_progress(transaction, &header.job_id, progress);
        self.settle(RequestClass::Commit, transaction, until).await
    }

    /// Releases a job: lists its results and stores the progress of its unfinished items, in one transaction.
    pub async fn hand_over(
        &self,
        revision: u64,
        header: &JobHeadRow,
        (position, results): (u32, &[ListedResult]),
        progress: &[(u32, ItemProgressRow)],
        until: Instant,
    ) -> WriteOutcome {
        let transaction = listing(revision, header, position, results);
        let transaction = add_progress(transaction, &header.job_id, progress);
        self.settle_concurrently(transaction, until).await
    }

    /// Saves the progress of items unconditionally, in one attempt.
    pub async fn save_progress(
        &self,
        job_id: &str,
        progress: &[(u32, ItemProgressRow)],
    ) -> Result<(), PlatformError> {
        let transaction = add_progress(Transaction::default(), job_id, progress);
        self.transact(RequestClass::Listing, transaction).await?;
        Ok(())
    }
}
