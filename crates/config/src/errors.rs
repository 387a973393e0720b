//! Errors of validating and applying configuration changes.

use harrierward_external::PlatformError;

use crate::ObjectId;

/// One invalid field of a change.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{object}: {field}: {detail}")]
pub struct ValidationError {
    /// Object that the field belongs to.
    pub object: ObjectId,
    /// Name of the invalid field.
    pub field: String,
    /// What is wrong, with the allowed range where there is one.
    pub detail: String,
}

/// Why a change was not confirmed as accepted.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The change failed validation; lists every error.
    #[error("{} problem(s): {}", .0.len(), .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<ValidationError>),
    /// An object was changed by another operator since it was read.
    #[error("{object} is at revision {current}, not {based_on}")]
    Conflict {
        /// Object that both changed.
        object: ObjectId,
        /// Revision that the change was based on; 0 if the object was not expected to exist.
        based_on: u64,
        /// Current revision of the object; 0 if it does not exist.
        current: u64,
    },
    /// The operator key belongs to another tenant than this object.
    #[error("{object} belongs to another tenant")]
    Forbidden {
        /// Object that must not be changed.
        object: ObjectId,
    },
    /// Gave up after too many conflicts with concurrent changes; nothing was changed.
    #[error("too many racing changes; nothing was changed")]
    Contended,
    /// The table failed and nothing is known to have changed.
    #[error("nothing was changed: {0}")]
    Store(PlatformError),
    /// The table's response was lost and the outcome is unknown; the change may be resent under its operation id.
    #[error("the change may have been accepted: {0}")]
    Indeterminate(PlatformError),
}
