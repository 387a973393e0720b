//! Bodies of requests that are read whole, within the node's memory for requests.

use axum::body::Bytes;
use axum::extract::{FromRequest, Request};
use axum::http::StatusCode;
use harrierward_memory::{BodyError, collect};
use harrierward_node::Node;

use crate::MAX_BODY_BYTES;
use crate::errors::ApiError;

/// Extractor of a whole body; its bytes stay taken until it is dropped.
pub(crate) struct WholeBody(pub Bytes);

impl FromRequest<Node> for WholeBody {
    type Rejection = ApiError;

    async fn from_request(request: Request, node: &Node) -> Result<Self, ApiError> {
        let body = collect(request.into_body(), MAX_BODY_BYTES, node.request_memory()).await;
        body.map(Self).map_err(refuse)
    }
}

/// Returns the error for a body that is not read to its end; its request did not run.
fn refuse(error: BodyError) -> ApiError {
    let (status, code) = match error {
        BodyError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        BodyError::Unreadable => (StatusCode::BAD_REQUEST, "bad_body"),
        BodyError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
        BodyError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no_memory"),
    };
    log::warn!("api: a body is refused: {error}");
    ApiError::new(status, code, format!("body: {error}"))
}
