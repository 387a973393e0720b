//! The transactional table service: rows with revisions, changed by conditional multi-row transactions.

use async_trait::async_trait;
use bytes::Bytes;

use crate::{PlatformError, RequestClass};

/// One row. `revision` changes with each write of the row and never repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Row key; keys are ordered by bytes.
    pub key: String,
    /// Row content, opaque to the table.
    pub value: Bytes,
    /// Revision of the row's last write.
    pub revision: u64,
}

/// What must hold for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// Row key.
        key: String,
    },
    /// The row exists at exactly this revision.
    AtRevision {
        /// Row key.
        key: String,
        /// Revision the writer last read.
        revision: u64,
    },
}

impl Condition {
    /// The key this condition speaks of.
    pub fn key(&self) -> &str {
        match self {
            Self::Absent { key } | Self::AtRevision { key, .. } => key,
        }
    }

    /// The condition that `key` is still as `row` shows it.
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

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Row key.
        key: String,
        /// New content.
        value: Bytes,
    },
    /// Removes a row; removing an absent row is no error.
    Delete {
        /// Row key.
        key: String,
    },
}

/// Writes that commit together, only if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes, all or none applied.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
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

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All writes were applied; written rows now have this revision.
    Committed {
        /// Revision given to each written row.
        revision: u64,
    },
    /// A condition failed; nothing was applied.
    Conflict {
        /// Key of the first condition that failed.
        key: String,
        /// The row as it stands, if it exists.
        current: Option<Row>,
    },
}

/// Client of the table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Applies a transaction. An `Unknown` error means that it may have been applied.
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError>;

    /// Reads rows by key, in the order asked.
    async fn get(
        &self,
        class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`.
    async fn scan(
        &self,
        class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError>;
}
