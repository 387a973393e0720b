//! Authentication: a bearer key identifies the tenant and its role.

use axum::extract::FromRequestParts;
use axum::http::request::Parts;
use axum::http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use harrierward_config::Role;
use harrierward_node::Node;

use crate::errors::ApiError;

const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Extractor for requests that need a key with the role `Caller`.
pub(crate) struct Caller {
    pub tenant: String,
}

/// Extractor for requests that need a key with the role `Operator`.
pub(crate) struct Operator {
    pub tenant: String,
}

fn bearer(headers: &HeaderMap) -> Result<&str, ApiError> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    value
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
        .filter(|key| !key.is_empty())
        .ok_or_else(|| {
            let message = "Authorization: a key is needed, as `Bearer KEY`";
            ApiError::new(StatusCode::UNAUTHORIZED, "missing_key", message)
        })
}

fn authenticate(parts: &Parts, node: &Node, role: Role) -> Result<String, ApiError> {
    let key = bearer(&parts.headers)?;
    let config = node.config();
    if config.revision() == 0 {
        let message = "the daemon has not learned its configuration yet";
        return Err(ApiError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            message,
        ));
    }
    let principal = config.principal(key).ok_or_else(|| {
        let message = "Authorization: unknown key";
        ApiError::new(StatusCode::UNAUTHORIZED, "unknown_key", message)
    })?;
    if principal.role != role {
        let message = match role {
            Role::Caller => "Authorization: this is an operator key; a caller key is needed",
            Role::Operator => "Authorization: this is a caller key; an operator key is needed",
        };
        return Err(ApiError::new(StatusCode::FORBIDDEN, "wrong_role", message));
    }
    Ok(principal.tenant.clone())
}

impl FromRequestParts<Node> for Caller {
    type Rejection = ApiError;

    async fn from_request_parts(parts: &mut Parts, node: &Node) -> Result<Self, ApiError> {
        let tenant = authenticate(parts, node, Role::Caller)?;
        Ok(Self { tenant })
    }
}

impl FromRequestParts<Node> for Operator {
    type Rejection = ApiError;

    async fn from_request_parts(parts: &mut Parts, node: &Node) -> Result<Self, ApiError> {
        let tenant = authenticate(parts, node, Role::Operator)?;
        Ok(Self { tenant })
    }
}

/// Rejects new work while the daemon drains.
pub(crate) fn check_accepting_work(node: &Node) -> Result<(), ApiError> {
    if node.is_draining() {
        let message = "this daemon is leaving; ask another";
        return Err(ApiError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            message,
        ));
    }
    Ok(())
}

/// Returns the idempotency key of the request, if it has one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let detail = format!("1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible characters");
        return Err(ApiError::bad_field("Idempotency-Key", detail));
    }
    Ok(Some(key.to_owned()))
}
