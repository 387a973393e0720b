//! The error of the request path, which always says what is known of the request's execution.

use std::time::Duration;

use harrierward_execution::{Execution, FinalResponse};

/// Why a request was refused or its answer broke off. Status and pause follow from what is known of the execution.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{step} at {peer}: {message} (execution: {})", execution.name())]
pub struct GatewayError {
    /// Step at which it arose.
    pub step: &'static str,
    /// Party at which it arose.
    pub peer: String,
    /// Short code for programs.
    pub code: &'static str,
    /// Words for people.
    pub message: String,
    status: u16,
    execution: Execution,
    retry_after: Option<Duration>,
    has_idempotency_key: bool,
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
            has_idempotency_key: false,
        }
    }

    /// The request may have run.
    pub fn unknown(
        step: &'static str,
        status: u16,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self::not_run(step, status, code, message).merge_execution(Execution::Unknown)
    }

    /// Names the other party.
    pub fn with_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Adds what is known of the execution.
    pub fn merge_execution(mut self, more: Execution) -> Self {
        self.execution.merge(more);
        self
    }

    /// Says when to come back, if it turns out that the request has not run.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Says when to come back to a caller whose key lets the request run once only.
    pub fn with_idempotent_retry_after(mut self, retry_after: Duration) -> Self {
        self.has_idempotency_key = true;
        self.with_retry_after(retry_after)
    }

    /// What is known of the execution.
    pub fn execution(&self) -> Execution {
        self.execution
    }

    /// Status and pause for the caller.
    pub fn response(&self) -> FinalResponse {
        let response = if self.has_idempotency_key {
            FinalResponse::for_idempotent_retry
        } else {
            FinalResponse::of
        };
        response(self.execution, self.status, self.retry_after)
    }
}
