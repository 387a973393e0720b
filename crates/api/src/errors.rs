//! Error answers in the shape of the OpenAI API, with what is known of the execution.

use std::time::Duration;

use axum::Json;
use axum::extract::rejection::BytesRejection;
use axum::http::{HeaderValue, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use harrierward_batch::BatchError;
use harrierward_execution::{Execution, FinalResponse};
use harrierward_external::{PlatformError, PlatformErrorKind};
use harrierward_gateway::{GatewayError, SpecError};
use serde::Serialize;

/// Header that says what is known of the execution.
pub(crate) const EXECUTION_HEADER: &str = "harrierward-execution";

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ErrorDetail {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<String>,
    code: &'static str,
}

/// The body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorDetail,
    execution: Execution,
}

/// An error answer: its status and pause have been derived from what is known of the execution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ApiError {
    answer: FinalResponse,
    body: ErrorBody,
}

fn kind_of(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

impl ApiError {
    /// An error of a request that certainly did not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let execution = Execution::NotRun;
        let answer = FinalResponse::of(execution, status.as_u16(), None);
        Self::with(answer, execution, code, message)
    }

    fn with(
        answer: FinalResponse,
        execution: Execution,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let detail = ErrorDetail {
            message: message.into(),
            kind: kind_of(status_of(answer)),
            param: None,
            code,
        };
        let body = ErrorBody {
            error: detail,
            execution,
        };
        Self { answer, body }
    }

    /// A field is wrong.
    pub fn bad_field(field: impl Into<String>, detail: impl std::fmt::Display) -> Self {
        let field = field.into();
        let message = format!("{field}: {detail}");
        let mut error = Self::new(StatusCode::BAD_REQUEST, "invalid_request", message);
        error.body.error.param = Some(field);
        error
    }

    /// The body, for an error within a stream.
    pub fn body(&self) -> &ErrorBody {
        &self.body
    }

    /// What was asked for may have been done, or may yet be.
    pub fn in_doubt(code: &'static str, message: impl Into<String>) -> Self {
        let execution = Execution::Unknown;
        let answer = FinalResponse::of(execution, StatusCode::GATEWAY_TIMEOUT.as_u16(), None);
        Self::with(answer, execution, code, message)
    }

    /// A call of the store failed: "not run" is said only if it certainly did nothing.
    fn of_store(error: &PlatformError) -> Self {
        let message = error.to_string();
        if error.may_have_happened() {
            return Self::in_doubt("store_in_doubt", message);
        }
        let execution = Execution::NotRun;
        let wait = match error.kind {
            PlatformErrorKind::RateLimited { retry_after } => retry_after,
            _ => STORE_RETRY,
        };
        let status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
        let answer = FinalResponse::of(execution, status, Some(wait));
        Self::with(answer, execution, "store_unavailable", message)
    }
}

/// When a caller whose call the store did not take may come back.
const STORE_RETRY: Duration = Duration::from_secs(1);

fn status_of(answer: FinalResponse) -> StatusCode {
    StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::BAD_GATEWAY)
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let execution = HeaderValue::from_static(self.body.execution.name());
        let mut response = (status_of(self.answer), Json(self.body)).into_response();
        response.headers_mut().insert(EXECUTION_HEADER, execution);
        if let Some(wait) = self.answer.retry_after() {
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
        Self::of_store(&error)
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
            // An earlier try may have been done, whatever the last one came to.
            BatchError::Indeterminate(_) => Self::in_doubt("store_in_doubt", message),
        }
    }
}

impl From<BytesRejection> for ApiError {
    fn from(rejection: BytesRejection) -> Self {
        let code = if rejection.status() == StatusCode::PAYLOAD_TOO_LARGE {
            "body_too_large"
        } else {
            "bad_body"
        };
        Self::new(rejection.status(), code, format!("body: {rejection}"))
    }
}

/// Answer for paths that do not exist.
pub(crate) async fn no_such_route(uri: Uri) -> ApiError {
    let message = format!("no such path: {}", uri.path());
    ApiError::new(StatusCode::NOT_FOUND, "no_such_path", message)
}
