//! Client interface of the table service: rows with revisions, changed by conditional multi-row transactions.

use async_trait::async_trait;
use bytes::Bytes;

use crate::{PlatformError, RequestClass};

/// Row of the table. Each write sets a new `revision`, which never repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key; keys are ordered bytewise.
    pub key: String,
    /// Content, opaque to the table.
    pub value: Bytes,
    /// Revision set by the last write of the row.
    pub revision: u64,
}

/// Precondition of a transaction on one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// Key of the row.
        key: String,
    },
    /// The row exists and has this revision.
    AtRevision {
        /// Key of the row.
        key: String,
        /// Revision that the writer last read.
        revision: u64,
    },
}

impl Condition {
    /// Returns the key of the row that is checked.
    pub fn key(&self) -> &str {
        match self {
            Self::Absent { key } | Self::AtRevision { key, .. } => key,
        }
    }

    /// Requires that `key` is unchanged since `row` was read; `None` requires its absence.
    pub fn unchanged(key: &str, row: Option<&Row>) -> Self {
        match row {
            None => Self::Absent {
                key: key.to_owned(),
            },
            Some(row) => Self::AtRevision {
                key: key.to_owned(),
                revision: row.revision,
            },
        }
    }
}

/// Write of a transaction to one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: String,
        /// New content.
        value: Bytes,
    },
    /// Removes a row, if it exists.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Preconditions, checked at commit.
    pub conditions: Vec<Condition>,
    /// Writes, applied all together or not at all.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a precondition.
    pub fn require(mut self, condition: Condition) -> Self {
        self.conditions.push(condition);
        self
    }

    /// Adds a row write.
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a row removal.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// Result of a transaction that the table has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All writes were applied.
    Committed {
        /// New revision of each written row.
        revision: u64,
    },
    /// A condition failed; nothing was applied.
    Conflict {
        /// Key of the first condition that failed.
        key: String,
        /// Current row of that key; `None` if it is absent.
        current: Option<Row>,
        /// Newest revision of the table at the check; 0 if the service does not name it.
        table_revision: u64,
    },
}

impl TransactionOutcome {
    /// Returns the newest revision of the table when it decided the transaction; 0 if the service does not name it.
    pub fn table_revision(&self) -> u64 {
        match self {
            Self::Committed { revision } => *revision,
            Self::Conflict { table_revision, .. } => *table_revision,
        }
    }
}

/// Client of the table service; every call names its class for the rate budget.
#[async_trait]
pub trait Table: Send + Sync {
    /// Commits a transaction. After an `Unknown` error it may or may not have been applied.
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError>;

    /// Reads rows by key, in the order of `keys`; `None` for an absent row.
    async fn get(
        &self,
        class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError>;

    /// Reads up to `limit` rows in key order, whose keys start with `prefix` and are greater than `after`.
    async fn scan(
        &self,
        class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError>;
}
