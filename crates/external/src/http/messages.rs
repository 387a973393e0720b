//! JSON messages between the HTTP clients and the external systems.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Condition, Row, Transaction, TransactionOutcome, Write};

/// Wire form of a [`Row`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RowMessage {
    /// Key of the row.
    pub key: String,
    /// Content in base64.
    pub value: String,
    /// Revision set by the last write.
    pub revision: u64,
}

impl From<&Row> for RowMessage {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            value: STANDARD.encode(&row.value),
            revision: row.revision,
        }
    }
}

impl RowMessage {
    /// Decodes the row; `None` if the value is not valid base64.
    pub fn into_row(self) -> Option<Row> {
        let value = Bytes::from(STANDARD.decode(&self.value).ok()?);
        Some(Row {
            key: self.key,
            value,
            revision: self.revision,
        })
    }
}

/// Wire form of a [`Condition`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ConditionMessage {
    /// Key of the row.
    pub key: String,
    /// Required revision; `None` requires that the row is absent.
    pub revision: Option<u64>,
}

/// Wire form of a [`Write`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WriteMessage {
    /// Key of the row.
    pub key: String,
    /// New content in base64; `None` removes the row.
    pub value: Option<String>,
}

/// Wire form of a [`Transaction`].
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionMessage {
    /// Preconditions; all must hold.
    pub conditions: Vec<ConditionMessage>,
    /// Writes, applied atomically.
    pub writes: Vec<WriteMessage>,
}

impl From<&Transaction> for TransactionMessage {
    fn from(transaction: &Transaction) -> Self {
        let conditions = transaction
            .conditions
            .iter()
            .map(|condition| match condition {
                Condition::Absent { key } => ConditionMessage {
                    key: key.clone(),
                    revision: None,
                },
                Condition::AtRevision { key, revision } => ConditionMessage {
                    key: key.clone(),
                    revision: Some(*revision),
                },
            })
            .collect();
        let writes = transaction
            .writes
            .iter()
            .map(|write| match write {
                Write::Put { key, value } => WriteMessage {
                    key: key.clone(),
                    value: Some(STANDARD.encode(value)),
                },
                Write::Delete { key } => WriteMessage {
                    key: key.clone(),
                    value: None,
                },
            })
            .collect();
        Self { conditions, writes }
    }
}

impl TransactionMessage {
    /// Decodes the transaction; `None` if a value is not valid base64.
    pub fn into_transaction(self) -> Option<Transaction> {
        let conditions = self
            .conditions
            .into_iter()
            .map(|message| match message.revision {
                None => Condition::Absent { key: message.key },
                Some(revision) => Condition::AtRevision {
                    key: message.key,
                    revision,
                },
            })
            .collect();
        let writes = self
            .writes
            .into_iter()
            .map(|message| match message.value {
                None => Some(Write::Delete { key: message.key }),
                Some(value) => Some(Write::Put {
                    key: message.key,
                    value: Bytes::from(STANDARD.decode(value).ok()?),
                }),
            })
            .collect::<Option<Vec<_>>>()?;
        Some(Transaction { conditions, writes })
    }
}

/// Wire form of a [`TransactionOutcome`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OutcomeMessage {
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
        current: Option<RowMessage>,
        /// Newest revision of the table at the check; 0 if the service does not name it.
        #[serde(default)]
        table_revision: u64,
    },
}

impl From<&TransactionOutcome> for OutcomeMessage {
    fn from(outcome: &TransactionOutcome) -> Self {
        match outcome {
            TransactionOutcome::Committed { revision } => Self::Committed {
                revision: *revision,
            },
            TransactionOutcome::Conflict {
                key,
                current,
                table_revision,
            } => Self::Conflict {
                key: key.clone(),
                current: current.as_ref().map(RowMessage::from),
                table_revision: *table_revision,
            },
        }
    }
}

impl OutcomeMessage {
    /// Decodes the outcome; `None` if a value is not valid base64.
    pub fn into_outcome(self) -> Option<TransactionOutcome> {
        Some(match self {
            Self::Committed { revision } => TransactionOutcome::Committed { revision },
            Self::Conflict {
                key,
                current,
                table_revision,
            } => TransactionOutcome::Conflict {
                key,
                table_revision,
                current: match current {
                    None => None,
                    Some(row) => Some(row.into_row()?),
                },
            },
        })
    }
}

/// Request body of a read by keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct GetMessage {
    /// Keys to read, in the order of the response.
    pub keys: Vec<String>,
}

/// Request body of a scan by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanMessage {
    /// Common prefix of the keys.
    pub prefix: String,
    /// Exclusive lower bound of the keys.
    pub after: String,
    /// Upper bound on the returned rows.
    pub limit: usize,
}

/// Request body of a cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Id of the attempt to cancel.
    pub request_id: String,
}

/// Response body of an engine that did not run a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Cause, for an operator.
    pub detail: String,
    /// Newest epoch seen by the engine, if the request had an older one; else `None`.
    pub seen_epoch: Option<u64>,
}
