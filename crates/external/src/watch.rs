//! Watching a space of the table: a whole read, then the changes after it.
//!
//! A space is the first segment of the row keys (`space/partition/key`). A watcher reads the space whole once,
//! then asks for the changes after the revision it has seen.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::Instant;

use crate::full_read::{FullRead, PageStart};
use crate::{PlatformError, Row};

/// What a peer's copy of a space, which answers in the store's place, says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The copy holds all that the store had acknowledged by then.
    pub as_of: Instant,
    /// Digest of the keys and revisions of all its rows.
    pub digest: u64,
}

/// All rows of a space as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpaceSnapshot {
    /// The rows.
    pub rows: Vec<Row>,
    /// Revision of the table that the read reflects at least.
    pub revision: u64,
    /// The store's steady clock, milliseconds.
    pub store_time_ms: u64,
    /// The answer is a peer's; `None` for the store's own.
    pub proof: Option<FreshnessProof>,
}

/// Some rows of a partition of a space, in the order of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpacePage {
    /// The rows.
    pub rows: Vec<Row>,
    /// Where the next page begins; `None` if this is the partition's last.
    pub next: Option<String>,
    /// Revision of the table that the page reflects at least.
    pub revision: u64,
    /// The store's steady clock, milliseconds.
    pub store_time_ms: u64,
    /// The answer is a peer's, and holds the whole space; `None` for the store's own.
    pub proof: Option<FreshnessProof>,
}

/// What the store says of one row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowRead {
    /// The row; `None` if it is not there.
    pub row: Option<Row>,
    /// Revision of the table that the reading reflects at least. One below a revision that is known is out of date.
    pub revision: u64,
}

/// One change of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Row key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// New content; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// Changes of a space, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// The changes.
    pub changes: Vec<RowChange>,
    /// Revision to go on from.
    pub revision: u64,
    /// The store's steady clock, milliseconds.
    pub store_time_ms: u64,
    /// The answer is a peer's; `None` for the store's own.
    pub proof: Option<FreshnessProof>,
}

/// Client of a table whose spaces can be watched.
#[async_trait]
pub trait WatchedTable: Send + Sync {
    /// Reads rows of a space's partition.
    async fn read_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError>;

    /// Reads one row.
    async fn read_row(&self, key: &str) -> Result<RowRead, PlatformError>;

    /// Reads the whole of a space's partitions. They are named by the caller, because a list of them may be older
    /// than the rows.
    async fn read_space(
        &self,
        space: &str,
        partitions: &[String],
    ) -> Result<SpaceSnapshot, PlatformError> {
        let mut whole = FullRead::new(partitions);
        while let Some(start) = whole.next_page() {
            let page = self.read_page(space, start).await?;
            whole.take(page);
        }
        Ok(whole.into_snapshot())
    }

    /// Waits up to `wait` for changes after `revision`; an empty page if there are none.
    /// Fails with [`crate::PlatformErrorKind::HistoryLost`] if the store no longer knows the changes.
    async fn wait_changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError>;
}
