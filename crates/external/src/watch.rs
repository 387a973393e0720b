//! Client interface for watching a space of the table: one full read, then long polls for changes after its revision.
//! A space is the first segment of the row keys (`space/partition/key`).

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::Instant;

use crate::full_read::{FullRead, PageStart};
use crate::{PlatformError, Row};

/// Freshness of a space that was read from a peer's copy instead of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Id of the peer.
    pub peer: Arc<str>,
    /// The copy includes every change that the store had acknowledged by then.
    pub as_of: Instant,
    /// Digest of the keys and revisions of all rows of the copy.
    pub digest: u64,
}

/// All rows of a space; changes after `revision` may be missing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpaceSnapshot {
    /// Rows of all partitions that were read.
    pub rows: Vec<Row>,
    /// Revision of the table up to which all changes are included.
    pub revision: u64,
    /// Time of the store's monotonic clock, in milliseconds.
    pub store_time_ms: u64,
    /// Set if a peer sent the reply; `None` if the store did.
    pub proof: Option<FreshnessProof>,
}

/// Page of a partition of a space, in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpacePage {
    /// Rows of the page.
    pub rows: Vec<Row>,
    /// Key at which the next page starts; `None` on the last page of the partition.
    pub next: Option<String>,
    /// Revision of the table up to which all changes are included.
    pub revision: u64,
    /// Time of the store's monotonic clock, in milliseconds.
    pub store_time_ms: u64,
    /// Set if a peer sent the reply, which then holds the full space; `None` if the store did.
    pub proof: Option<FreshnessProof>,
}

/// Result of reading one row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowRead {
    /// The row; `None` if it is absent.
    pub row: Option<Row>,
    /// Revision of the table up to which the read is current; a reader that knows a higher one discards the read.
    pub revision: u64,
}

/// Write or removal of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// Revision set by the change.
    pub revision: u64,
    /// New content; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// Changes of a space after a given revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// Changes in ascending order of revision.
    pub changes: Vec<RowChange>,
    /// Revision from which the next long poll continues.
    pub revision: u64,
    /// Time of the store's monotonic clock, in milliseconds.
    pub store_time_ms: u64,
    /// Set if a peer sent the reply; `None` if the store did.
    pub proof: Option<FreshnessProof>,
}

/// A row as a copy holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowVersion {
    /// Key of the row.
    pub key: String,
    /// Revision of the row; 0 if the copy has none.
    pub revision: u64,
}

/// Result of a check of rows against the current state of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowCheck {
    /// The checked rows that are not as in the copy, in their current state. The revision of a row that is gone is that
    /// of the table at the check.
    pub changes: Vec<RowChange>,
    /// Revision of the table at the check, or at its first step if it took several.
    pub revision: u64,
}

/// Client of a table whose spaces can be watched.
#[async_trait]
pub trait WatchedTable: Send + Sync {
    /// Reads a page of a partition of `space`.
    async fn read_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError>;

    /// Reads a row by key.
    async fn read_row(&self, key: &str) -> Result<RowRead, PlatformError>;

    /// Reads all rows of the given partitions. The caller lists them, because a stored list may be older than the rows.
    async fn read_space(
        &self,
        space: &str,
        partitions: &[String],
    ) -> Result<SpaceSnapshot, PlatformError> {
        let mut read = FullRead::new(partitions);
        while let Some(start) = read.next_page() {
            let page = self.read_page(space, start).await?;
            read.take(page);
        }
        Ok(read.into_snapshot())
    }

    /// Compares rows with the current state of the table. Unlike reads and long polls, which may reflect an earlier state
    /// or omit changes, the result holds everything that was acknowledged before the call.
    async fn check_rows(&self, _rows: &[RowVersion]) -> Result<RowCheck, PlatformError> {
        Err(PlatformError::new(
            "table.check",
            "",
            crate::PlatformErrorKind::NotDone,
            "not supported",
        ))
    }

    /// Long-polls up to `wait` for changes after revision `after`; the page is empty if there are none.
    /// Fails with [`crate::PlatformErrorKind::HistoryLost`] if the store no longer keeps the changes.
    async fn wait_changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError>;
}
