//! HTTP interface for callers and operators: OpenAI-compatible API, health, metrics and administration.

mod admin;
mod auth;
mod batches;
mod body;
mod errors;
mod files;
mod generate;
mod health;
mod models;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use harrierward_node::Node;

/// Maximum body of a request that is not an upload, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum body of an upload, in bytes.
const MAX_UPLOAD_BYTES: usize = 2 << 30;

/// Returns the routes served to callers and operators.
pub fn router(node: Node) -> Router {
    let uploads = Router::new()
        .route("/v1/files", post(files::upload))
        .layer(DefaultBodyLimit::max(MAX_UPLOAD_BYTES));
    Router::new()
        .route("/v1/models", get(models::list))
        .route("/v1/models/{model}", get(models::get))
        .route("/v1/chat/completions", post(generate::chat))
        .route("/v1/completions", post(generate::completion))
        .route("/v1/files", get(files::list))
        .route("/v1/files/{file}", get(files::get).delete(files::delete))
        .route("/v1/files/{file}/content", get(files::content))
        .route("/v1/batches", post(batches::create).get(batches::list))
        .route("/v1/batches/{batch}", get(batches::get))
        .route("/v1/batches/{batch}/cancel", post(batches::cancel))
        .route("/healthz", get(health::healthz))
        .route("/readyz", get(health::readyz))
        .route("/metrics", get(health::metrics))
        .route("/admin/v1/config", get(admin::get).post(admin::apply))
        .route("/admin/v1/history", get(admin::history))
        .route("/admin/v1/status", get(admin::status))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .merge(uploads)
        .fallback(errors::unknown_path)
        .with_state(node)
}
