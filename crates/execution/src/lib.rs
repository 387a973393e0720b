//! What is known of a request's execution, and which final response that knowledge allows.
//!
//! Clients retry after a 503 or a `Retry-After` header whatever the body says, so neither may be sent for a request
//! that a replica may have begun. Both HTTP interfaces build their final responses here.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known of a request's execution, over all its attempts. Ordered by certainty that it ran.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of it can have reached a replica, or each replica that it reached reported that it did not run it.
    #[default]
    NotRun,
    /// A replica may have begun it.
    Unknown,
    /// A replica ran it, fully or in part.
    Ran,
}

impl Execution {
    /// Returns the name used in bodies and headers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }

    /// True if the request certainly has not run.
    pub fn is_not_run(self) -> bool {
        self == Self::NotRun
    }

    /// Merges the outcome of another attempt; the value never moves back towards [`Execution::NotRun`].
    pub fn merge(&mut self, attempt: Self) {
        *self = (*self).max(attempt);
    }
}

/// True for the statuses that clients take as a guarantee that the request has not run and never will.
pub fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Bad Gateway: replaces a status that implies "not run", and implies nothing about the execution.
const NEUTRAL_STATUS: u16 = 502;

/// Status and `Retry-After` of the last response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalResponse {
    status: u16,
    retry_after: Option<Duration>,
}

impl FinalResponse {
    /// Returns the response for a request with this execution. A status that implies "not run", and `Retry-After`, are
    /// kept only if the request certainly has not run.
    pub fn of(execution: Execution, status: u16, retry_after: Option<Duration>) -> Self {
        if execution.is_not_run() {
            return Self {
                status,
                retry_after,
            };
        }
        Self {
            status: if implies_not_run(status) {
                NEUTRAL_STATUS
            } else {
                status
            },
            retry_after: None,
        }
    }

    /// Returns the response to a resend under an idempotency key. Another resend runs nothing twice, so `Retry-After`
    /// is kept whatever is known of the execution.
    pub fn for_idempotent_retry(
        execution: Execution,
        status: u16,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            retry_after,
            ..Self::of(execution, status, None)
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        self.status
    }

    /// Returns the time after which the caller may retry; `None` if it is not invited to.
    pub fn retry_after(self) -> Option<Duration> {
        self.retry_after
    }
}
