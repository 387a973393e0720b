//! The error of the request path, which always says what is known of the request's execution.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known of a request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It certainly did not run.
    NotRun,
    /// It may have run, wholly or in part.
    Unknown,
    /// It ran.
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
}

/// Why a request was refused or its answer broke off.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{step} at {peer}: {message} (execution: {})", execution.name())]
pub struct GatewayError {
    /// Step at which it arose.
    pub step: &'static str,
    /// Party at which it arose.
    pub peer: String,
    /// HTTP status.
    pub status: u16,
    /// Short code for programs.
    pub code: &'static str,
    /// Words for people.
    pub message: String,
    /// What is known of the execution.
    pub execution: Execution,
    /// When to come back, if that makes sense.
    pub retry_after: Option<Duration>,
}

impl GatewayError {
    /// A refusal: the request certainly did not run.
    pub fn not_run(
        step: &'static str,
        status: u16,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            step,
            peer: "gateway".to_owned(),
            status,
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// The request may have run.
    pub fn unknown(
        step: &'static str,
        status: u16,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(step, status, code, message)
        }
    }

    /// Names the other party.
    pub fn at(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Says when to come back.
    pub fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
