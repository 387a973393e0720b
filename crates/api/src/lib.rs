//! HTTP towards callers and operators: the OpenAI-compatible API, health, metrics and administration.

mod admin;
mod auth;
mod batches;
mod errors;
mod files;
mod generate;
mod health;
mod models;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use harrierward_node::Node;

/// Largest body of a request that is not an upload, bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Largest upload, bytes.
const UPLOAD_LIMIT: usize = 2 << 30;

/// All routes of one daemon's caller interface.
pub fn router(node: Node) -> Router {
    let uploads = Router::new()
        .route("/v1/files", post(files::upload))
        .layer(DefaultBodyLimit::max(UPLOAD_LIMIT));
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
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .merge(uploads)
        .fallback(errors::no_such_route)
        .with_state(node)
}
