//! HTTP servers of the emulated platform and engines, for daemons in other processes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use futures::StreamExt;
use harrierward_external::http::messages::{
    CancelMessage, EngineRefusal, GetMessage, OutcomeMessage, RowMessage, ScanMessage,
    TransactionMessage,
};
use harrierward_external::{
    Engine, EngineCommand, EngineError, GenerateRequest, MachineList, ObjectStore, PlatformError,
    PlatformErrorKind, ReplicaId, RequestClass, Table, WeightStore,
};
use serde::{Deserialize, Serialize};

use crate::{EngineHandle, MemoryPlatform, StoreFaults};

/// Maximum size of a request body, bytes.
const BODY_LIMIT: usize = 64 << 20;

/// Class for all calls over HTTP: the requests carry none, since callers apply the classes themselves.
const SERVED_CLASS: RequestClass = RequestClass::Urgent;

struct PlatformErrorResponse(PlatformError);

impl IntoResponse for PlatformErrorResponse {
    fn into_response(self) -> Response {
        let status = match self.0.kind {
            PlatformErrorKind::NotDone => StatusCode::SERVICE_UNAVAILABLE,
            PlatformErrorKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
            PlatformErrorKind::RateLimited { .. } => StatusCode::TOO_MANY_REQUESTS,
            PlatformErrorKind::NotFound => StatusCode::NOT_FOUND,
            PlatformErrorKind::HistoryLost => StatusCode::GONE,
            PlatformErrorKind::Malformed => StatusCode::BAD_REQUEST,
        };
        let mut response = (status, self.0.detail).into_response();
        if let PlatformErrorKind::RateLimited { retry_after } = self.0.kind {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert("retry-after", value);
            }
        }
        response
    }
}

impl From<PlatformError> for PlatformErrorResponse {
    fn from(error: PlatformError) -> Self {
        Self(error)
    }
}

/// Returns the routes of the emulated platform.
pub fn platform_router(platform: MemoryPlatform) -> Router {
    Router::new()
        .route("/table/transact", post(transact))
        .route("/table/get", post(get_rows))
        .route("/table/scan", post(scan_rows))
        .route(
            "/objects/{*name}",
            put(put_object).get(get_object).delete(delete_object),
        )
        .route("/machines", get(list_machines))
        .route("/machines/{replica}/leave", post(leave_machine))
        .route("/weights/{model}", post(reserve_weights))
        .route("/faults", put(set_faults).get(get_faults))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(Arc::new(platform))
}

type SharedPlatform = State<Arc<MemoryPlatform>>;

async fn transact(
    State(platform): SharedPlatform,
    Json(message): Json<TransactionMessage>,
) -> Result<Response, PlatformErrorResponse> {
    let Some(transaction) = message.into_transaction() else {
        return Ok((StatusCode::BAD_REQUEST, "value is not base64").into_response());
    };
    let outcome = platform.transact(SERVED_CLASS, transaction).await?;
    Ok(Json(OutcomeMessage::from(&outcome)).into_response())
}

async fn get_rows(
    State(platform): SharedPlatform,
    Json(message): Json<GetMessage>,
) -> Result<Json<Vec<Option<RowMessage>>>, PlatformErrorResponse> {
    let rows = Table::get(platform.as_ref(), SERVED_CLASS, &message.keys).await?;
    let rows = rows.iter().map(|row| row.as_ref().map(RowMessage::from));
    Ok(Json(rows.collect()))
}

async fn scan_rows(
    State(platform): SharedPlatform,
    Json(message): Json<ScanMessage>,
) -> Result<Json<Vec<RowMessage>>, PlatformErrorResponse> {
    let rows = platform
        .scan(SERVED_CLASS, &message.prefix, &message.after, message.limit)
        .await?;
    Ok(Json(rows.iter().map(RowMessage::from).collect()))
}

async fn put_object(
    State(platform): SharedPlatform,
    Path(name): Path<String>,
    body: Bytes,
) -> Result<(), PlatformErrorResponse> {
    Ok(platform.put(SERVED_CLASS, &name, body).await?)
}

async fn get_object(
    State(platform): SharedPlatform,
    Path(name): Path<String>,
) -> Result<Bytes, PlatformErrorResponse> {
    Ok(ObjectStore::get(platform.as_ref(), SERVED_CLASS, &name).await?)
}

async fn delete_object(
    State(platform): SharedPlatform,
    Path(name): Path<String>,
) -> Result<(), PlatformErrorResponse> {
    Ok(platform.delete(SERVED_CLASS, &name).await?)
}

async fn list_machines(State(platform): SharedPlatform) -> Result<Response, PlatformErrorResponse> {
    Ok(Json(platform.list().await?).into_response())
}

async fn leave_machine(State(platform): SharedPlatform, Path(replica): Path<String>) {
    platform.mark_leaving(&ReplicaId(replica));
}

async fn reserve_weights(
    State(platform): SharedPlatform,
    Path(model): Path<String>,
) -> Result<Response, PlatformErrorResponse> {
    Ok(Json(platform.reserve(&model).await?).into_response())
}

async fn set_faults(State(platform): SharedPlatform, Json(faults): Json<StoreFaults>) {
    platform.faults().set(faults);
}

async fn get_faults(State(platform): SharedPlatform) -> Json<StoreFaults> {
    Json(platform.faults().get())
}

/// Body of a request that replaces the injected faults of an engine.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaultsMessage {
    /// Whether calls fail as if the connection were refused.
    pub down: bool,
    /// Whether the engine runs no steps.
    pub frozen: bool,
    /// Crashes the engine once: breaks all streams and discards all requests.
    pub crash: bool,
    /// Number of next events that are also sent to another reader.
    pub cross_events: u32,
    /// Number of next events that are sent twice.
    pub repeat_events: u32,
    /// Number of streams to cut after their next event.
    pub cut_streams: u32,
    /// Makes the engine refuse new requests, irrevocably.
    pub leave: bool,
}

/// Returns the routes of one emulated engine.
pub fn engine_router(engine: EngineHandle) -> Router {
    Router::new()
        .route("/engine/generate", post(generate))
        .route("/engine/cancel", post(cancel))
        .route("/engine/load", post(load))
        .route("/engine/cache-events", post(cache_events))
        .route("/engine/order", post(execute_command))
        .route("/engine/export", post(export_prefix))
        .route("/engine/import", post(import_prefix))
        .route("/faults", put(set_engine_faults))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(engine)
}

struct EngineErrorResponse(EngineError);

impl IntoResponse for EngineErrorResponse {
    fn into_response(self) -> Response {
        let seen_epoch = match &self.0 {
            EngineError::Unknown { .. } => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return (status, self.0.to_string()).into_response();
            }
            EngineError::NotRun { .. } => None,
            EngineError::Fenced { seen, .. } => Some(*seen),
        };
        let refusal = EngineRefusal {
            detail: self.0.to_string(),
            seen_epoch,
        };
        (StatusCode::CONFLICT, Json(refusal)).into_response()
    }
}

impl From<EngineError> for EngineErrorResponse {
    fn from(error: EngineError) -> Self {
        Self(error)
    }
}

async fn generate(
    State(engine): State<EngineHandle>,
    Json(request): Json<GenerateRequest>,
) -> Result<Response, EngineErrorResponse> {
    let events = engine.generate(request).await?;
    let lines = events.map(|event| {
        let event = event.map_err(std::io::Error::other)?;
        let mut line = serde_json::to_vec(&event).map_err(std::io::Error::other)?;
        line.push(b'\n');
        Ok::<Bytes, std::io::Error>(Bytes::from(line))
    });
    Ok(Response::new(Body::from_stream(lines)))
}

async fn cancel(
    State(engine): State<EngineHandle>,
    Json(message): Json<CancelMessage>,
) -> Result<Response, EngineErrorResponse> {
    engine.cancel(&message.request_id).await?;
    Ok(Json(()).into_response())
}

async fn load(State(engine): State<EngineHandle>) -> Result<Response, EngineErrorResponse> {
    Ok(Json(engine.load().await?).into_response())
}

async fn cache_events(
    State(engine): State<EngineHandle>,
    Json(after): Json<u64>,
) -> Result<Response, EngineErrorResponse> {
    Ok(Json(engine.cache_events(after).await?).into_response())
}

async fn execute_command(
    State(engine): State<EngineHandle>,
    Json(command): Json<EngineCommand>,
) -> Result<Response, EngineErrorResponse> {
    engine.execute(command).await?;
    Ok(Json(()).into_response())
}

async fn export_prefix(
    State(engine): State<EngineHandle>,
    Json(block): Json<u64>,
) -> Result<Response, EngineErrorResponse> {
    Ok(Json(engine.export_prefix(block).await?).into_response())
}

async fn import_prefix(
    State(engine): State<EngineHandle>,
    Json(blocks): Json<Vec<u64>>,
) -> Result<Response, EngineErrorResponse> {
    engine.import_prefix(blocks).await?;
    Ok(Json(()).into_response())
}

async fn set_engine_faults(
    State(engine): State<EngineHandle>,
    Json(message): Json<EngineFaultsMessage>,
) {
    let faults = engine.faults();
    faults.down.store(message.down, Ordering::Relaxed);
    faults.frozen.store(message.frozen, Ordering::Relaxed);
    faults
        .cross_events
        .store(message.cross_events, Ordering::Relaxed);
    faults
        .repeat_events
        .store(message.repeat_events, Ordering::Relaxed);
    faults
        .cut_streams
        .store(message.cut_streams, Ordering::Relaxed);
    if message.crash {
        engine.crash();
    }
    if message.leave {
        engine.leave();
    }
}
