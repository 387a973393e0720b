//! Errors of the batch services.

use harrierward_external::PlatformError;

/// What is wrong with a line of an uploaded file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {detail}")]
pub struct LineError {
    /// Number of the line, from 1.
    pub line: u32,
    /// What is wrong, naming the field.
    pub detail: String,
}

/// Why a batch call failed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum BatchError {
    /// A line of the file is wrong; nothing of the file was kept.
    #[error(transparent)]
    BadLine(#[from] LineError),
    /// A field of the call is wrong.
    #[error("{field}: {detail}")]
    BadField {
        /// The field.
        field: &'static str,
        /// What is wrong.
        detail: String,
    },
    /// No such object of this tenant.
    #[error("no {kind} with id {id}")]
    NotFound {
        /// Kind of object.
        kind: &'static str,
        /// Id asked for.
        id: String,
    },
    /// The client key was used for another body.
    #[error("the idempotency key was used with another body")]
    KeyReused,
    /// The job has ended, so that it cannot be cancelled.
    #[error("the job is {state} and cannot be cancelled")]
    NotCancellable {
        /// The job's state.
        state: String,
    },
    /// The store failed and nothing was accepted.
    #[error("nothing was accepted: {0}")]
    Store(PlatformError),
    /// The store's answer was lost; the call may be sent again with its client key.
    #[error("the call may have been accepted: {0}")]
    Indeterminate(PlatformError),
}

impl From<PlatformError> for BatchError {
    fn from(error: PlatformError) -> Self {
        Self::Store(error)
    }
}
