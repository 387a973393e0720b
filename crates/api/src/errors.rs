//! Error responses in the format of the OpenAI API, extended with the execution state of the request.

use std::time::Duration;

use axum::Json;
use axum::http::{HeaderValue, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use harrierward_batch::BatchError;
use harrierward_execution::{Execution, FinalResponse};
use harrierward_external::{PlatformError, PlatformErrorKind};
use harrierward_gateway::{GatewayError, SpecError};
use serde::Serialize;

/// Response header with the execution state of the request.
pub(crate) const EXECUTION_HEADER: &str = "harrierward-execution";

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ErrorDetail {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<String>,
    code: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorDetail,
    execution: Execution,
}

/// An error response whose status and `retry-after` follow from the execution state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ApiError {
    response: FinalResponse,
    body: ErrorBody,
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

impl ApiError {
    /// Builds an error of a request that certainly did not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let execution = Execution::NotRun;
        let response = FinalResponse::of(execution, status.as_u16(), None);
        Self::with(response, execution, code, message)
    }

    fn with(
        response: FinalResponse,
        execution: Execution,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let detail = ErrorDetail {
            message: message.into(),
            kind: error_type(status_of(response)),
            param: None,
            code,
        };
        let body = ErrorBody {
            error: detail,
            execution,
        };
        Self { response, body }
    }

    /// Builds a 400 response that names the invalid field in `param`.
    pub fn bad_field(field: impl Into<String>, detail: impl std::fmt::Display) -> Self {
        let field = field.into();
        let message = format!("{field}: {detail}");
        let mut error = Self::new(StatusCode::BAD_REQUEST, "invalid_request", message);
        error.body.error.param = Some(field);
        error
    }

    /// Returns the body, which is sent as an event when a response stream fails.
    pub fn body(&self) -> &ErrorBody {
        &self.body
    }

    /// Builds a 504 response: the operation may have been done, or may still be done.
    pub fn indeterminate(code: &'static str, message: impl Into<String>) -> Self {
        let execution = Execution::Unknown;
        let response = FinalResponse::of(execution, StatusCode::GATEWAY_TIMEOUT.as_u16(), None);
        Self::with(response, execution, code, message)
    }

    /// Builds the error of a failed store call, which is reported as "not run" only if it certainly had no effect.
    fn from_store(error: &PlatformError) -> Self {
        let message = error.to_string();
        if error.may_have_happened() {
            return Self::indeterminate("store_in_doubt", message);
        }
        let execution = Execution::NotRun;
        let wait = match error.kind {
            PlatformErrorKind::RateLimited { retry_after } => retry_after,
            _ => STORE_RETRY_AFTER,
        };
        let status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
        let response = FinalResponse::of(execution, status, Some(wait));
        Self::with(response, execution, "store_unavailable", message)
    }
}

/// `retry-after` for a store call that was not executed and names no delay of its own.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

fn status_of(response: FinalResponse) -> StatusCode {
    StatusCode::from_u16(response.status()).unwrap_or(StatusCode::BAD_GATEWAY)
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let execution = HeaderValue::from_static(self.body.execution.name());
        let mut response = (status_of(self.response), Json(self.body)).into_response();
        response.headers_mut().insert(EXECUTION_HEADER, execution);
        if let Some(wait) = self.response.retry_after() {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            response
                .headers_mut()
                .insert("retry-after", HeaderValue::from(seconds));
        }
        response
    }
}

impl From<GatewayError> for ApiError {
    fn from(error: GatewayError) -> Self {
        let message = format!("{} ({} at {})", error.message, error.step, error.peer);
        Self::with(error.response(), error.execution(), error.code, message)
    }
}

impl From<SpecError> for ApiError {
    fn from(error: SpecError) -> Self {
        Self::bad_field(error.field, error.detail)
    }
}

impl From<PlatformError> for ApiError {
    fn from(error: PlatformError) -> Self {
        Self::from_store(&error)
    }
}

impl From<BatchError> for ApiError {
    fn from(error: BatchError) -> Self {
        let message = error.to_string();
        match error {
            BatchError::BadLine(problem) => {
                Self::bad_field(format!("file line {}", problem.line), problem.detail)
            }
            BatchError::BadField { field, detail } => Self::bad_field(field, detail),
            BatchError::NotFound { .. } => Self::new(StatusCode::NOT_FOUND, "not_found", message),
            BatchError::KeyReused => {
                Self::new(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message)
            }
            BatchError::NotCancellable { .. } => Self::new(StatusCode::CONFLICT, "ended", message),
            BatchError::Store(error) => error.into(),
            // An earlier attempt may have been applied, whatever the result of the last one.
            BatchError::Indeterminate(_) => Self::indeterminate("store_in_doubt", message),
        }
    }
}

/// Returns the error for unknown paths.
pub(crate) async fn unknown_path(uri: Uri) -> ApiError {
    let message = format!("no such path: {}", uri.path());
    ApiError::new(StatusCode::NOT_FOUND, "no_such_path", message)
}
