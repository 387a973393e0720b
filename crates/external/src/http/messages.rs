//! JSON messages between the HTTP clients and the platform (here: its stand-in).

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Condition, Row, Transaction, TransactionOutcome, Write};

/// Wire form of a row; the value is base64.
#[derive(Debug, Serialize, Deserialize)]
pub struct RowMessage {
    /// Row key.
    pub key: String,
    /// Row value in base64.
    pub value: String,
    /// Revision of the last write.
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
    /// The row, or `None` if the value is not base64.
    pub fn into_row(self) -> Option<Row> {
        let value = Bytes::from(STANDARD.decode(&self.value).ok()?);
        Some(Row {
            key: self.key,
            value,
            revision: self.revision,
        })
    }
}

/// Wire form of a condition: no revision means "absent".
#[derive(Debug, Serialize, Deserialize)]
pub struct ConditionMessage {
    /// Row key.
    pub key: String,
    /// Revision required, or absence.
    pub revision: Option<u64>,
}

/// Wire form of a write: no value means "delete".
#[derive(Debug, Serialize, Deserialize)]
pub struct WriteMessage {
    /// Row key.
    pub key: String,
    /// New value in base64, or removal.
    pub value: Option<String>,
}

/// Wire form of a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionMessage {
    /// All must hold.
    pub conditions: Vec<ConditionMessage>,
    /// All are applied.
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
    /// The transaction, or `None` if a value is not base64.
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

/// Wire form of a transaction's outcome.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OutcomeMessage {
    /// Applied.
    Committed {
        /// New revision of the rows.
        revision: u64,
    },
    /// Not applied.
    Conflict {
        /// Key whose condition failed.
        key: String,
        /// The row as it stands.
        current: Option<RowMessage>,
    },
}

impl From<&TransactionOutcome> for OutcomeMessage {
    fn from(outcome: &TransactionOutcome) -> Self {
        match outcome {
            TransactionOutcome::Committed { revision } => Self::Committed {
                revision: *revision,
            },
            TransactionOutcome::Conflict { key, current } => Self::Conflict {
                key: key.clone(),
                current: current.as_ref().map(RowMessage::from),
            },
        }
    }
}

impl OutcomeMessage {
    /// The outcome, or `None` if a value is not base64.
    pub fn into_outcome(self) -> Option<TransactionOutcome> {
        Some(match self {
            Self::Committed { revision } => TransactionOutcome::Committed { revision },
            Self::Conflict { key, current } => TransactionOutcome::Conflict {
                key,
                current: match current {
                    None => None,
                    Some(row) => Some(row.into_row()?),
                },
            },
        })
    }
}

/// Reads rows by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct GetMessage {
    /// Keys wanted.
    pub keys: Vec<String>,
}

/// Reads rows by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanMessage {
    /// Prefix of the keys wanted.
    pub prefix: String,
    /// Only keys greater than this.
    pub after: String,
    /// Most rows wanted.
    pub limit: usize,
}

/// Cancels a generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Request to cancel.
    pub request_id: String,
}

/// An engine's refusal.
#[derive(Debug, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Cause in words.
    pub detail: String,
    /// Newest epoch seen, if the refusal is for an old epoch.
    pub seen_epoch: Option<u64>,
}
