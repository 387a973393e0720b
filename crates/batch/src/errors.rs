//! Errors of the batch services.

use harrierward_external::PlatformError;

/// An invalid line of an uploaded file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {detail}")]
pub struct LineError {
    /// Line number, from 1; empty lines are not counted.
    pub line: u32,
    /// Name of the invalid field, if any, and what is wrong with it.
    pub detail: String,
}

/// Error of a call to the file or job service.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum BatchError {
    /// A line of the file is invalid; the file is not stored.
    #[error(transparent)]
    BadLine(#[from] LineError),
    /// A field of the call is invalid.
    #[error("{field}: {detail}")]
    BadField {
        /// Name of the field, as the caller sent it.
        field: &'static str,
        /// What is wrong with its value.
        detail: String,
    },
    /// The tenant has no such object.
    #[error("no {kind} with id {id}")]
    NotFound {
        /// Kind of object: `file` or `batch`.
        kind: &'static str,
        /// Requested id.
        id: String,
    },
    /// The idempotency key was used with another body.
    #[error("the idempotency key was used with another body")]
    KeyReused,
    /// The job is completed, so it cannot be cancelled.
    #[error("the job is {state} and cannot be cancelled")]
    NotCancellable {
        /// State of the job.
        state: String,
    },
    /// The store failed, and nothing was committed.
    #[error("nothing was accepted: {0}")]
    Store(PlatformError),
    /// The store's response was lost; the call may be resent with its idempotency key.
    #[error("the call may have been accepted: {0}")]
    Indeterminate(PlatformError),
}

impl From<PlatformError> for BatchError {
    fn from(error: PlatformError) -> Self {
        Self::Store(error)
    }
}
