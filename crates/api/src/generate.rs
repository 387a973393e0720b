//! `/v1/chat/completions` and `/v1/completions`, with complete or streamed responses.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};
use axum::response::{IntoResponse, Response};
use futures::{StreamExt, stream};
use harrierward_claims::{ClaimKey, RequestDigest};
use harrierward_external::FinishReason;
use harrierward_gateway::{
    Call, EndpointKind, Execution, GatewayError, GenerationSpec, IdempotentCall, ResponseEvent,
    ResponseIdentity, ResponseStream, Usage, content_bytes, parse_request,
};
use harrierward_node::Node;
use serde::Serialize;
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::auth::{Caller, check_accepting_work, idempotency_key};
use crate::body::WholeBody;
use crate::errors::{ApiError, EXECUTION_HEADER};

/// Request header that selects at-most-once execution.
const EXECUTION_MODE_HEADER: &str = "harrierward-execution";
const AT_MOST_ONCE: &str = "at-most-once";

/// Response header, set when the stored response to an earlier request with the same key is replayed.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Request header with the maximum time until the request starts, in milliseconds.
const DEADLINE_HEADER: &str = "harrierward-deadline-ms";
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const MAX_DEADLINE_MS: u64 = 600_000;

/// Last event of a complete stream.
const DONE: &str = "data: [DONE]\n\n";

pub(crate) async fn chat(
    State(node): State<Node>,
    caller: Caller,
    headers: HeaderMap,
    body: Result<WholeBody, ApiError>,
) -> Result<Response, ApiError> {
    generate(node, caller, EndpointKind::Chat, headers, body?.0).await
}

pub(crate) async fn completion(
    State(node): State<Node>,
    caller: Caller,
    headers: HeaderMap,
    body: Result<WholeBody, ApiError>,
) -> Result<Response, ApiError> {
    generate(node, caller, EndpointKind::Completion, headers, body?.0).await
}

async fn generate(
    node: Node,
    caller: Caller,
    kind: EndpointKind,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    check_accepting_work(&node)?;
    let value = serde_json::from_slice(&body)
        .map_err(|error| ApiError::bad_field("body", format!("is not JSON: {error}")))?;
    let spec = parse_request(kind, &value)?;
    let digest = || RequestDigest::of(kind.path(), &body, &content_bytes(&value));
    let idempotency = at_most_once_call(&caller, &headers, digest)?;
    drop((value, body));
    let call = Call {
        tenant: caller.tenant,
        spec: spec.clone(),
        identity: new_identity(&node, kind),
        idempotency,
        deadline: Instant::now() + deadline(&headers)?,
    };
    let response_stream = node.gateway().call(call).await?;
    let is_stored = response_stream.is_stored();
    let metadata = ResponseMetadata::new(response_stream.identity().clone(), &spec);
    let mut response = if spec.stream {
        streamed_response(metadata, spec, response_stream)
    } else {
        complete_response(metadata, response_stream).await?
    };
    if is_stored {
        add_replay_headers(&mut response);
    }
    Ok(response)
}

/// Adds the headers of a replayed response.
fn add_replay_headers(response: &mut Response) {
    let stored = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, stored);
    let ran = HeaderValue::from_static(Execution::Ran.name());
    response.headers_mut().insert(EXECUTION_HEADER, ran);
}

fn at_most_once_call(
    caller: &Caller,
    headers: &HeaderMap,
    digest: impl FnOnce() -> RequestDigest,
) -> Result<Option<IdempotentCall>, ApiError> {
    let Some(mode) = headers.get(EXECUTION_MODE_HEADER) else {
        return Ok(None);
    };
    if mode.as_bytes() != AT_MOST_ONCE.as_bytes() {
        let detail = format!("only {AT_MOST_ONCE} is known");
        return Err(ApiError::bad_field("Harrierward-Execution", detail));
    }
    let key = idempotency_key(headers)?.ok_or_else(|| {
        ApiError::bad_field("Idempotency-Key", "is needed with an at-most-once request")
    })?;
    Ok(Some(IdempotentCall {
        key: ClaimKey {
            tenant: caller.tenant.clone(),
            key,
        },
        digest: digest(),
    }))
}

fn deadline(headers: &HeaderMap) -> Result<Duration, ApiError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(DEFAULT_DEADLINE);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis))
        .map(Duration::from_millis)
        .ok_or_else(|| {
            let detail = format!("1 to {MAX_DEADLINE_MS}");
            ApiError::bad_field("Harrierward-Deadline-Ms", detail)
        })
}

fn new_identity(node: &Node, kind: EndpointKind) -> ResponseIdentity {
    let prefix = match kind {
        EndpointKind::Chat => "chatcmpl",
        EndpointKind::Completion => "cmpl",
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    ResponseIdentity {
        id: format!("{prefix}-{:016x}", node.random_id()),
        created: now.unwrap_or_default().as_secs(),
    }
}

/// Fields that all chunks of a response share.
#[derive(Debug, Clone)]
struct ResponseMetadata {
    identity: ResponseIdentity,
    model: String,
    kind: EndpointKind,
}

impl ResponseMetadata {
    fn new(identity: ResponseIdentity, spec: &GenerationSpec) -> Self {
        Self {
            identity,
            model: spec.endpoint.clone(),
            kind: spec.kind,
        }
    }

    fn chunk<'a>(&'a self, object: &'static str, choices: Vec<Choice<'a>>) -> ResponseBody<'a> {
        ResponseBody {
            id: &self.identity.id,
            object,
            created: self.identity.created,
            model: &self.model,
            choices,
            usage: None,
        }
    }
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

#[derive(Debug, Serialize)]
struct ResponseBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}

async fn complete_response(
    metadata: ResponseMetadata,
    response_stream: ResponseStream,
) -> Result<Response, ApiError> {
    let collected = response_stream.collect_response().await?;
    let finish_reason = Some(collected.reason.name());
    let (object, choice) = match metadata.kind {
        EndpointKind::Chat => (
            "chat.completion",
            Choice {
                message: Some(Message {
                    role: Some("assistant"),
                    content: Some(&collected.text),
                }),
                finish_reason,
                ..Choice::default()
            },
        ),
        EndpointKind::Completion => (
            "text_completion",
            Choice {
                text: Some(&collected.text),
                finish_reason,
                ..Choice::default()
            },
        ),
    };
    let mut body = metadata.chunk(object, vec![choice]);
    body.usage = Some(collected.usage.into());
    let mut response = Json(body).into_response();
    let ran = HeaderValue::from_static(Execution::Ran.name());
    response.headers_mut().insert(EXECUTION_HEADER, ran);
    Ok(response)
}

fn encode_event(body: &impl Serialize) -> String {
    let json = serde_json::to_string(body).unwrap_or_default();
    format!("data: {json}\n\n")
}

/// Encodes response events as server-sent events.
struct EventEncoder {
    metadata: ResponseMetadata,
    include_usage: bool,
    first: bool,
}

impl EventEncoder {
    fn object(&self) -> &'static str {
        match self.metadata.kind {
            EndpointKind::Chat => "chat.completion.chunk",
            EndpointKind::Completion => "text_completion",
        }
    }

    fn text(&mut self, text: &str) -> String {
        let choice = match self.metadata.kind {
            EndpointKind::Chat => Choice {
                delta: Some(Message {
                    role: std::mem::take(&mut self.first).then_some("assistant"),
                    content: Some(text),
                }),
                ..Choice::default()
            },
            EndpointKind::Completion => Choice {
                text: Some(text),
                ..Choice::default()
            },
        };
        encode_event(&self.metadata.chunk(self.object(), vec![choice]))
    }

    fn finish(&self, reason: FinishReason, usage: Usage) -> String {
        let empty = Message {
            role: None,
            content: None,
        };
        let choice = Choice {
            delta: (self.metadata.kind == EndpointKind::Chat).then_some(empty),
            text: (self.metadata.kind == EndpointKind::Completion).then_some(""),
            finish_reason: Some(reason.name()),
            ..Choice::default()
        };
        let mut frames = encode_event(&self.metadata.chunk(self.object(), vec![choice]));
        if self.include_usage {
            let mut chunk = self.metadata.chunk(self.object(), Vec::new());
            chunk.usage = Some(usage.into());
            frames.push_str(&encode_event(&chunk));
        }
        frames.push_str(DONE);
        frames
    }
}

/// How far a streamed response has come.
enum Progress {
    Running,
    /// The last event was sent.
    Complete,
    /// The error event was sent; the body must not end as if it were complete.
    BrokenOff(GatewayError),
}

/// Body of a streamed response. It ends without an error only after the last event of a complete response.
struct StreamedBody {
    response_stream: ResponseStream,
    encoder: EventEncoder,
    progress: Progress,
}

impl StreamedBody {
    async fn next(&mut self) -> Option<Result<String, GatewayError>> {
        match &self.progress {
            Progress::Running => Some(self.next_frame().await),
            Progress::Complete => None,
            Progress::BrokenOff(error) => {
                let error = error.clone();
                // The connection writes the error event while the body is pending, and then is closed.
                yield_now().await;
                Some(Err(error))
            }
        }
    }

    async fn next_frame(&mut self) -> Result<String, GatewayError> {
        match self.response_stream.next().await {
            Some(Ok(ResponseEvent::Text(text))) => Ok(self.encoder.text(&text)),
            Some(Ok(ResponseEvent::Finished { reason, usage })) => {
                self.progress = Progress::Complete;
                Ok(self.encoder.finish(reason, usage))
            }
            Some(Err(error)) => {
                let frame = encode_event(ApiError::from(error.clone()).body());
                self.progress = Progress::BrokenOff(error);
                Ok(frame)
            }
            None => {
                let message = "the answer ended without its last part";
                Err(GatewayError::unknown("answer.stream", 502, "cut", message))
            }
        }
    }
}

fn streamed_response(
    metadata: ResponseMetadata,
    spec: GenerationSpec,
    response_stream: ResponseStream,
) -> Response {
    let body = StreamedBody {
        response_stream,
        encoder: EventEncoder {
            metadata,
            include_usage: spec.include_usage,
            first: true,
        },
        progress: Progress::Running,
    };
    let frames = stream::unfold(body, |mut body| async move {
        let frame = body.next().await?;
        Some((frame, body))
    });
    let mut response = Response::new(Body::from_stream(frames));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}
