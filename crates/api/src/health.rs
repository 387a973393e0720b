//! Health, readiness and metrics routes; they need no API key.

use axum::extract::State;
use axum::http::StatusCode;
use harrierward_node::Node;
use prometheus::TextEncoder;

pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

pub(crate) async fn readyz(State(node): State<Node>) -> (StatusCode, &'static str) {
    if node.is_ready() {
        (StatusCode::OK, "ready\n")
    } else if node.is_draining() {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
    }
}

pub(crate) async fn metrics(State(node): State<Node>) -> Result<String, StatusCode> {
    TextEncoder::new()
        .encode_to_string(&node.registry().gather())
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
