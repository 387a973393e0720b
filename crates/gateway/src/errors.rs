//! Error of the request path, which states whether the request may have run.

use std::time::Duration;

use harrierward_execution::{Execution, FinalResponse};

/// Failure of a request before or during its response. HTTP status and `retry-after` depend on whether it may have run.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{step} at {peer}: {message} (execution: {})", execution.name())]
pub struct GatewayError {
    /// Operation that failed, e.g. `gateway.claim`.
    pub step: &'static str,
    /// System at which the operation failed: `gateway`, or the name given to [`Self::with_peer`].
    pub peer: String,
    /// Machine-readable code, part of the API.
    pub code: &'static str,
    /// Message for the caller.
    pub message: String,
    status: u16,
    execution: Execution,
    retry_after: Option<Duration>,
    has_idempotency_key: bool,
}

impl GatewayError {
    /// Builds an error of a request that certainly did not run.
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

    /// Builds an error of a request that may have run.
    pub fn unknown(
        step: &'static str,
        status: u16,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self::not_run(step, status, code, message).merge_execution(Execution::Unknown)
    }

    /// Sets the system at which the operation failed.
    pub fn with_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Merges `more` into what is known of the execution.
    pub fn merge_execution(mut self, more: Execution) -> Self {
        self.execution.merge(more);
        self
    }

    /// Sets the time after which to retry; it is sent only if the request did not run.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the time after which to retry, for a request whose idempotency key makes a retry safe.
    pub fn with_idempotent_retry_after(mut self, retry_after: Duration) -> Self {
        self.has_idempotency_key = true;
        self.with_retry_after(retry_after)
    }

    /// Returns what is known of the execution.
    pub fn execution(&self) -> Execution {
        self.execution
    }

    /// Returns the HTTP status and `retry-after` to send.
    pub fn response(&self) -> FinalResponse {
        let response = if self.has_idempotency_key {
            FinalResponse::for_idempotent_retry
        } else {
            FinalResponse::of
        };
        response(self.execution, self.status, self.retry_after)
    }
}
