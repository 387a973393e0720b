//! Errors of checking and applying configuration.

use harrierward_external::PlatformError;

use crate::ObjectId;

/// One thing wrong with a change, at one object.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{object}: {field}: {detail}")]
pub struct Problem {
    /// Object at fault.
    pub object: ObjectId,
    /// Field at fault.
    pub field: String,
    /// What is wrong, with the allowed range where there is one.
    pub detail: String,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The change is wrong in itself; all problems are listed.
    #[error("{} problem(s): {}", .0.len(), .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<Problem>),
    /// Another operator changed an object since it was read.
    #[error("{object} is at revision {current}, not {based_on}")]
    Conflict {
        /// Object that both changed.
        object: ObjectId,
        /// Revision that the change was based on; 0 means "does not exist".
        based_on: u64,
        /// Revision that the object has now; 0 means "does not exist".
        current: u64,
    },
    /// The operator key does not reach this object.
    #[error("{object} belongs to another tenant")]
    Forbidden {
        /// Object out of reach.
        object: ObjectId,
    },
    /// Too many racing operators; nothing was changed.
    #[error("too many racing changes; nothing was changed")]
    Contended,
    /// The table failed and nothing is known to have changed.
    #[error("nothing was changed: {0}")]
    Store(PlatformError),
    /// The table's answer was lost and could not be settled; the same operation id may be sent again.
    #[error("the change may have been accepted: {0}")]
    Unsettled(PlatformError),
}
