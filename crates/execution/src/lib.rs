//! What is known of a request's execution, and which final answer that knowledge allows.
//!
//! Why a crate of its own: two interfaces answer callers, and callers trust the status alone. Ordinary clients send a request
//! again after a 503 or where `Retry-After` stands, whatever the body says, so neither may be built for a request that a
//! replica may have begun.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known of a request's execution. It travels with the request and only moves towards `Ran`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of it can have reached a replica, or each replica that was reached said that it did not run it.
    #[default]
    NotRun,
    /// A replica may have begun it.
    Unknown,
    /// A replica ran it, wholly or in part.
    Ran,
}

impl Execution {
    /// Name as used in bodies and headers.
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

    /// Adds what one more attempt has shown. What was learnt before is never taken back.
    pub fn learn(&mut self, more: Self) {
        *self = (*self).max(more);
    }
}

/// True for the statuses by which a caller learns that its request has not run and never will.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Status in place of one that promises too much: an upstream failure, of which clients conclude nothing.
const NO_PROMISE: u16 = 502;

/// Status and pause of a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalAnswer {
    status: u16,
    retry_after: Option<Duration>,
}

impl FinalAnswer {
    /// The answer to a request of which this is known. A status that promises "not run", and the invitation to come back, need
    /// a request that certainly has not run.
    pub fn of(execution: Execution, status: u16, retry_after: Option<Duration>) -> Self {
        if execution.is_not_run() {
            return Self {
                status,
                retry_after,
            };
        }
        Self {
            status: if promises_not_run(status) {
                NO_PROMISE
            } else {
                status
            },
            retry_after: None,
        }
    }

    /// The answer to a resend that came under a key: sending it again under that key runs nothing twice, so its caller may be
    /// invited to, whatever is known of the execution.
    pub fn under_key(execution: Execution, status: u16, retry_after: Option<Duration>) -> Self {
        Self {
            retry_after,
            ..Self::of(execution, status, None)
        }
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        self.status
    }

    /// When to come back.
    pub fn retry_after(self) -> Option<Duration> {
        self.retry_after
    }
}
