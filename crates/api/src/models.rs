//! `/v1/models`: lists the endpoints that a tenant may call.

use axum::Json;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use harrierward_config::ConfigObject;
use harrierward_node::Node;
use serde_json::{Value, json};

use crate::auth::Caller;
use crate::errors::ApiError;

fn render(endpoint: &ConfigObject) -> Value {
    json!({
        "id": endpoint.name,
        "object": "model",
        "created": 0,
        "owned_by": endpoint.owner,
    })
}

pub(crate) async fn list(State(node): State<Node>, caller: Caller) -> Json<Value> {
    let config = node.config();
    let data: Vec<Value> = config.endpoints_of(&caller.tenant).map(render).collect();
    Json(json!({"object": "list", "data": data}))
}

pub(crate) async fn get(
    State(node): State<Node>,
    caller: Caller,
    Path(model): Path<String>,
) -> Result<Json<Value>, ApiError> {
    let config = node.config();
    let found = config.endpoint(&model).map(|(object, _)| object);
    found
        .filter(|_| config.may_call(&caller.tenant, &model))
        .map(|object| Json(render(object)))
        .ok_or_else(|| {
            let message = format!("model: no model named {model}");
            ApiError::new(StatusCode::NOT_FOUND, "model_not_found", message)
        })
}
