//! `/admin/v1`: operators read and change the configuration objects of their tenant.

use std::collections::BTreeMap;
use std::time::Duration;

use axum::Json;
use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode};
use harrierward_capacity::check_program;
use harrierward_config::{ApplyFile, ApplyRequest, ConfigError, ConfigObject, render_objects};
use harrierward_node::{Node, NodeStatus, now_ms};
use harrierward_wire::ConfigDeltaReply;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::auth::Operator;
use crate::body::WholeBody;
use crate::errors::ApiError;

/// Request header with the idempotency key of a configuration change.
const OPERATION_HEADER: &str = "operation-id";

/// Upper bound of the `wait` parameter.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Poll interval of the revisions in force at the members.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Serialize)]
pub(crate) struct ConfigBody {
    revision: u64,
    objects: Vec<ConfigObject>,
    /// The same objects in the format of `config apply`.
    file: String,
}

pub(crate) async fn get(State(node): State<Node>, operator: Operator) -> Json<ConfigBody> {
    let config = node.config();
    let own = config
        .objects()
        .filter(|object| object.owner == operator.tenant);
    let objects: Vec<ConfigObject> = own.cloned().collect();
    Json(ConfigBody {
        revision: config.revision(),
        file: render_objects(&objects),
        objects,
    })
}

#[derive(Debug, Deserialize)]
pub(crate) struct ApplyQuery {
    /// Seconds to wait until the change is in force at every member.
    wait: Option<f64>,
}

#[derive(Debug, Serialize)]
pub(crate) struct ApplyResult {
    revision: u64,
    /// Revision at each member; `None` if it did not reply. Empty unless `wait` was given.
    in_force: BTreeMap<String, Option<u64>>,
    /// True if every member in view has reached the revision.
    everywhere: bool,
}

pub(crate) async fn apply(
    State(node): State<Node>,
    operator: Operator,
    Query(query): Query<ApplyQuery>,
    headers: HeaderMap,
    body: Result<WholeBody, ApiError>,
) -> Result<Json<ApplyResult>, ApiError> {
    // All of the request is checked before the commit: a refusal says that nothing was done.
    let wait = Duration::try_from_secs_f64(query.wait.unwrap_or(0.0))
        .map_err(|error| ApiError::bad_field("wait", error))?;
    let WholeBody(body) = body?;
    let text = std::str::from_utf8(&body).map_err(|error| ApiError::bad_field("body", error))?;
    let file = ApplyFile::parse(text).map_err(|error| ApiError::bad_field("body", error))?;
    let changes = file
        .changes()
        .map_err(|error| ApiError::bad_field("body", error))?;
    let operation = match headers.get(OPERATION_HEADER).map(|value| value.to_str()) {
        None => format!("{:016x}", node.random_id()),
        Some(Ok(operation)) if !operation.is_empty() => {
            format!("{}-{operation}", operator.tenant)
        }
        Some(_) => return Err(ApiError::bad_field("Operation-Id", "must be visible text")),
    };
    let request = ApplyRequest {
        operation,
        operator: Some(operator.tenant),
        at_ms: now_ms(),
        changes,
    };
    let check = |program: &str| check_program(program).map(drop).map_err(|e| e.to_string());
    let applied = node.config_store().apply(&request, &check).await?;
    if let Some(entry) = applied.entry {
        node.adopt_config(&ConfigDeltaReply {
            entries: vec![entry],
            revision: applied.revision,
            ..ConfigDeltaReply::default()
        });
    }
    let in_force = wait_in_force(&node, applied.revision, wait.min(MAX_WAIT)).await;
    let has = |revision: &Option<u64>| revision.is_some_and(|held| held >= applied.revision);
    Ok(Json(ApplyResult {
        revision: applied.revision,
        everywhere: !in_force.is_empty() && in_force.values().all(has),
        in_force,
    }))
}

async fn wait_in_force(
    node: &Node,
    revision: u64,
    wait: Duration,
) -> BTreeMap<String, Option<u64>> {
    if wait.is_zero() {
        return BTreeMap::new();
    }
    let deadline = Instant::now() + wait;
    loop {
        let in_force = node.config_in_force().await;
        let everywhere = in_force
            .values()
            .all(|held| held.is_some_and(|held| held >= revision));
        if everywhere || Instant::now() >= deadline {
            return in_force;
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl From<ConfigError> for ApiError {
    fn from(error: ConfigError) -> Self {
        let message = error.to_string();
        match error {
            ConfigError::Invalid(_) => {
                Self::new(StatusCode::BAD_REQUEST, "invalid_config", message)
            }
            ConfigError::Conflict { .. } => Self::new(StatusCode::CONFLICT, "conflict", message),
            ConfigError::Forbidden { .. } => Self::new(StatusCode::FORBIDDEN, "forbidden", message),
            ConfigError::Contended => {
                Self::new(StatusCode::SERVICE_UNAVAILABLE, "contended", message)
            }
            ConfigError::Store(error) => error.into(),
            ConfigError::Indeterminate(_) => {
                let message = format!("{message}; send it again with the same Operation-Id");
                Self::indeterminate("unsettled", message)
            }
        }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct HistoryQuery {
    #[serde(default)]
    after: u64,
}

pub(crate) async fn history(
    State(node): State<Node>,
    operator: Operator,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Value>, ApiError> {
    let entries = node.config_store().history(query.after).await?;
    let own = entries
        .iter()
        .filter(|entry| entry.operator == operator.tenant);
    let data: Vec<Value> = own
        .map(|entry| {
            let changes: Vec<Value> = entry
                .changes
                .iter()
                .map(|change| {
                    json!({
                        "object": change.id,
                        "removed": change.object.is_empty(),
                        "value": serde_json::from_str::<Value>(&change.object).ok(),
                    })
                })
                .collect();
            json!({
                "revision": entry.revision,
                "operator": entry.operator,
                "at_ms": entry.at_ms,
                "operation": entry.operation,
                "changes": changes,
            })
        })
        .collect();
    Ok(Json(json!({"data": data})))
}

pub(crate) async fn status(State(node): State<Node>, _operator: Operator) -> Json<NodeStatus> {
    Json(node.status())
}
