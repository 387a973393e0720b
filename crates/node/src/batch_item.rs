//! Runs one batch item at an engine and renders its result line.

use futures::StreamExt;
use harrierward_external::{
    EngineError, EngineEvent, EventStream, FinishReason, GenerateRequest, Priority,
};
use harrierward_gateway::{EndpointKind, GenerationSpec, parse_request};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::runner::ItemTask;

/// Outcome of running an item.
#[derive(Debug)]
pub(crate) enum ItemOutcome {
    /// The item completed with a result line, which may report an error.
    Done {
        /// Line of the output file.
        line: String,
        /// True if the item is invalid, so that a retry can't succeed.
        failed: bool,
    },
    /// The item must be retried; if it must run at most once and may have run, it is indeterminate instead.
    Returned {
        /// True if an engine may have run a part of it.
        may_have_run: bool,
    },
    /// The engine rejected the epoch of this owner; the item did not run.
    Fenced,
    /// The runner stopped the item.
    Stopped,
}

const PREFIX: &str = "batch:";

/// Timeout for the next event of an item.
const STALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

struct ItemRequest {
    custom_id: Value,
    spec: GenerationSpec,
}

fn parse_item(line: &str) -> Result<ItemRequest, String> {
    let value: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
    let kind = value
        .get("url")
        .and_then(Value::as_str)
        .and_then(EndpointKind::from_path)
        .ok_or("url: cannot be run as a batch")?;
    let body = value.get("body").unwrap_or(&Value::Null);
    let spec = parse_request(kind, body).map_err(|error| error.to_string())?;
    let custom_id = value.get("custom_id").cloned().unwrap_or_default();
    Ok(ItemRequest { custom_id, spec })
}

/// Runs an item until it completes or the runner stops it.
pub(crate) async fn run_item(task: &ItemTask) -> ItemOutcome {
    let item = match parse_item(&task.grant.line) {
        Ok(item) => item,
        Err(detail) => {
            return ItemOutcome::Done {
                line: error_line(&Value::Null, "invalid_request", &detail),
                failed: true,
            };
        }
    };
    let request = GenerateRequest {
        request_id: task.request_id.clone(),
        model: task.model.clone(),
        prompt: item.spec.prompt.clone(),
        maximum_tokens: item.spec.maximum_tokens,
        priority: Priority::Batch,
        resume_from: 0,
        epoch: Some(task.epoch),
    };
    let generation = timeout(STALL_TIMEOUT, task.replica.engine.generate(request));
    let opened = tokio::select! {
        biased;
        () = task.stop.notified() => return ItemOutcome::Stopped,
        opened = generation => opened,
    };
    match opened {
        Ok(Ok(events)) => read_response(task, &item, events).await,
        Ok(Err(EngineError::NotRun { .. })) => ItemOutcome::Returned {
            may_have_run: false,
        },
        Ok(Err(EngineError::Fenced { .. })) => ItemOutcome::Fenced,
        Ok(Err(EngineError::Unknown { .. })) | Err(_) => {
            ItemOutcome::Returned { may_have_run: true }
        }
    }
}

async fn read_response(
    task: &ItemTask,
    item: &ItemRequest,
    mut events: EventStream,
) -> ItemOutcome {
    let mut text = String::new();
    let mut next_sequence = 0;
    loop {
        let event = tokio::select! {
            biased;
            () = task.stop.notified() => return ItemOutcome::Stopped,
            event = timeout(STALL_TIMEOUT, events.next()) => event,
        };
        let event = match event {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(error))) => return interrupted(task, &error.to_string()),
            Ok(None) => return interrupted(task, "the stream ended early"),
            Err(_) => return interrupted(task, "no event in time"),
        };
        if event.request_id != task.request_id || event.sequence < next_sequence {
            continue;
        }
        if event.sequence > next_sequence {
            return interrupted(task, "an event is missing");
        }
        match event.finish {
            None => {
                text.push_str(&event.text);
                next_sequence += 1;
                task.progress.add_token();
            }
            Some(FinishReason::Cancelled) => {
                return interrupted(task, "the engine cancelled the request");
            }
            Some(reason) => {
                return ItemOutcome::Done {
                    line: result_line(task, item, &text, reason, &event),
                    failed: false,
                };
            }
        }
    }
}

/// Logs why a run ended early; the item must run again.
fn interrupted(task: &ItemTask, cause: &str) -> ItemOutcome {
    log::info!(
        "{PREFIX} item {} of job {} was interrupted at {}: {cause}",
        task.grant.item,
        task.grant.job_id,
        task.replica.machine.replica
    );
    ItemOutcome::Returned { may_have_run: true }
}

fn result_line(
    task: &ItemTask,
    item: &ItemRequest,
    text: &str,
    reason: FinishReason,
    last: &EngineEvent,
) -> String {
    let prompt_tokens = last.prompt_tokens.unwrap_or_default();
    let finish_reason = reason.name();
    let choice = match item.spec.kind {
        EndpointKind::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason,
        }),
        EndpointKind::Completion => json!({
            "index": 0,
            "text": text,
            "finish_reason": finish_reason,
        }),
    };
    let object = match item.spec.kind {
        EndpointKind::Chat => "chat.completion",
        EndpointKind::Completion => "text_completion",
    };
    json!({
        "id": format!("batch_req_{}", task.grant.attempt),
        "custom_id": item.custom_id,
        "response": {
            "status_code": 200,
            "request_id": task.request_id,
            "body": {
                "id": task.request_id,
                "object": object,
                "model": item.spec.endpoint,
                "choices": [choice],
                "usage": {
                    "prompt_tokens": prompt_tokens,
                    "completion_tokens": last.sequence,
                    "total_tokens": prompt_tokens + last.sequence,
                },
            },
        },
        "error": null,
    })
    .to_string()
}

fn error_line(custom_id: &Value, code: &str, message: &str) -> String {
    json!({
        "custom_id": custom_id,
        "response": null,
        "error": {"code": code, "message": message, "execution": "not_run"},
    })
    .to_string()
}
