//! `/v1/batches`: create, get, list, cancel.

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use harrierward_batch::{CreateJob, JobView, new_batch_id};
use harrierward_gateway::EndpointKind;
use harrierward_node::{Node, now_ms};
use harrierward_wire::{FileRow, JobState};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::auth::{Caller, check_accepting_work, idempotency_key};
use crate::body::WholeBody;
use crate::errors::ApiError;
use crate::files::Page;

/// Prefix of output file ids; the job id follows.
const OUTPUT_PREFIX: &str = "file-output-";

/// Upper bound of `completion_window`.
const MAX_WINDOW_HOURS: u64 = 24 * 14;

/// Returns the job id in the id of an output file; `None` for an uploaded file.
pub(crate) fn output_job_id(file_id: &str) -> Option<&str> {
    file_id.strip_prefix(OUTPUT_PREFIX)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateBody {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<Value>,
}

fn window_ms(window: &str) -> Result<u64, ApiError> {
    let (number, unit_hours) = match window.strip_suffix('h') {
        Some(number) => (number, 1),
        None => (window.strip_suffix('d').unwrap_or_default(), 24),
    };
    number
        .parse::<u64>()
        .ok()
        .map(|number| number.saturating_mul(unit_hours))
        .filter(|hours| (1..=MAX_WINDOW_HOURS).contains(hours))
        .map(|hours| hours * 3600 * 1000)
        .ok_or_else(|| {
            let detail = format!("1h to {MAX_WINDOW_HOURS}h, or in days as 14d");
            ApiError::bad_field("completion_window", detail)
        })
}

fn status_name(state: i32) -> &'static str {
    match JobState::try_from(state) {
        Ok(JobState::InProgress) | Err(_) => "in_progress",
        Ok(JobState::Cancelling) => "cancelling",
        Ok(JobState::Cancelled) => "cancelled",
        Ok(JobState::Completed) => "completed",
    }
}

fn render(job: &JobView) -> Value {
    let row = &job.row;
    let status = status_name(row.state);
    let seconds = |millis: u64| (millis > 0).then_some(millis / 1000);
    let ended = |name: &str| (status == name).then_some(row.ended_at_ms / 1000);
    let output = (row.ended_at_ms > 0).then(|| format!("{OUTPUT_PREFIX}{}", row.job_id));
    let metadata: Value = serde_json::from_str(&row.metadata).unwrap_or_default();
    json!({
        "id": row.job_id,
        "object": "batch",
        "endpoint": row.url,
        "errors": null,
        "input_file_id": row.input_file_id,
        "completion_window": row.completion_window,
        "status": status,
        "output_file_id": output,
        "error_file_id": null,
        "created_at": row.created_at_ms / 1000,
        "in_progress_at": row.created_at_ms / 1000,
        "expires_at": row.deadline_at_ms / 1000,
        "finalizing_at": null,
        "completed_at": ended("completed"),
        "failed_at": null,
        "expired_at": null,
        "cancelling_at": seconds(row.cancelling_at_ms),
        "cancelled_at": ended("cancelled"),
        "request_counts": {
            "total": row.items,
            "completed": row.completed,
            "failed": row.failed,
        },
        "metadata": metadata,
    })
}

/// Returns the service that runs the file's items, if the tenant may call it.
fn service_of(node: &Node, tenant: &str, file: &FileRow) -> Result<String, ApiError> {
    let config = node.config();
    let model = file.models.first().map(String::as_str).unwrap_or_default();
    config
        .endpoint(model)
        .filter(|_| config.may_call(tenant, model))
        .map(|(_, spec)| spec.service.clone())
        .ok_or_else(|| {
            let message = format!("input_file_id: no model named {model}");
            ApiError::new(StatusCode::BAD_REQUEST, "model_not_found", message)
        })
}

pub(crate) async fn create(
    State(node): State<Node>,
    caller: Caller,
    headers: HeaderMap,
    body: Result<WholeBody, ApiError>,
) -> Result<Json<Value>, ApiError> {
    check_accepting_work(&node)?;
    let WholeBody(body) = body?;
    let body: CreateBody =
        serde_json::from_slice(&body).map_err(|error| ApiError::bad_field("body", error))?;
    if EndpointKind::from_path(&body.endpoint).is_none() {
        let detail = "must be /v1/chat/completions or /v1/completions";
        return Err(ApiError::bad_field("endpoint", detail));
    }
    let window_ms = window_ms(&body.completion_window)?;
    let file = node
        .files()
        .get(&caller.tenant, &body.input_file_id)
        .await?;
    if file.urls.iter().any(|url| *url != body.endpoint) {
        let detail = "differs from the url of the file's lines";
        return Err(ApiError::bad_field("endpoint", detail));
    }
    let service = service_of(&node, &caller.tenant, &file)?;
    let now_ms = now_ms();
    let create = CreateJob {
        job_id: new_batch_id(now_ms, node.random_id()),
        client_key: idempotency_key(&headers)?,
        url: body.endpoint,
        service,
        file,
        completion_window: body.completion_window,
        window_ms,
        metadata: body.metadata.unwrap_or_default().to_string(),
        now_ms,
        tenant: caller.tenant,
    };
    let job = node.jobs().create(create).await?;
    let row = &job.row;
    node.job_accepted(&row.tenant, &row.job_id, row.shard).await;
    Ok(Json(render(&job)))
}

pub(crate) async fn get(
    State(node): State<Node>,
    caller: Caller,
    Path(job_id): Path<String>,
) -> Result<Json<Value>, ApiError> {
    let job = node.jobs().get(&caller.tenant, &job_id).await?;
    Ok(Json(render(&job)))
}

pub(crate) async fn list(
    State(node): State<Node>,
    caller: Caller,
    Query(page): Query<Page>,
) -> Result<Json<Value>, ApiError> {
    let limit = page.limit()?;
    let jobs = node
        .jobs()
        .list(&caller.tenant, page.after(), limit)
        .await?;
    let data: Vec<Value> = jobs.iter().map(render).collect();
    let id = |job: Option<&JobView>| job.map(|job| job.row.job_id.clone());
    Ok(Json(json!({
        "object": "list",
        "data": data,
        "first_id": id(jobs.first()),
        "last_id": id(jobs.last()),
        "has_more": jobs.len() == limit,
    })))
}

pub(crate) async fn cancel(
    State(node): State<Node>,
    caller: Caller,
    Path(job_id): Path<String>,
) -> Result<Json<Value>, ApiError> {
    let job = node
        .jobs()
        .cancel(&caller.tenant, &job_id, now_ms())
        .await?;
    let row = &job.row;
    node.job_cancelled(&row.tenant, &row.job_id, row.shard)
        .await;
    Ok(Json(render(&job)))
}
