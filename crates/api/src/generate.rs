//! `/v1/chat/completions` and `/v1/completions`, plain and streamed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};
use axum::response::{IntoResponse, Response};
use futures::{StreamExt, stream};
use harrierward_claims::{ClaimKey, RequestDigest};
use harrierward_external::FinishReason;
use harrierward_gateway::{
    Call, EndpointKind, Execution, GenerationSpec, IdempotentCall, ResponseEvent, ResponseIdentity,
    ResponseStream, Usage, content_bytes, parse_request,
};
use harrierward_node::Node;
use serde::Serialize;
use tokio::time::Instant;

use crate::auth::{Caller, check_taking_work, idempotency_key};
use crate::errors::{ApiError, EXECUTION_HEADER};

/// Header by which a caller marks a request as at most once.
const MARK_HEADER: &str = "harrierward-execution";
const AT_MOST_ONCE: &str = "at-most-once";

/// Header of an answer that is the stored one of an earlier send.
const STORED_HEADER: &str = "idempotent-replayed";

/// Header by which a caller bounds the time for its request to start, milliseconds.
const DEADLINE_HEADER: &str = "harrierward-deadline-ms";
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const LONGEST_DEADLINE_MS: u64 = 600_000;

/// End of a whole stream.
const DONE: &str = "data: [DONE]\n\n";

pub(crate) async fn chat(
    State(node): State<Node>,
    caller: Caller,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, ApiError> {
    generate(node, caller, EndpointKind::Chat, headers, body?).await
}

pub(crate) async fn completion(
    State(node): State<Node>,
    caller: Caller,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, ApiError> {
    generate(node, caller, EndpointKind::Completion, headers, body?).await
}

async fn generate(
    node: Node,
    caller: Caller,
    kind: EndpointKind,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    check_taking_work(&node)?;
    let value = serde_json::from_slice(&body)
        .map_err(|error| ApiError::bad_field("body", format!("is not JSON: {error}")))?;
    let spec = parse_request(kind, &value)?;
    let digest = || RequestDigest::of(kind.path(), &body, &content_bytes(&value));
    let marked = mark(&caller, &headers, digest)?;
    let call = Call {
        tenant: caller.tenant,
        spec: spec.clone(),
        identity: new_identity(&node, kind),
        idempotency: marked,
        deadline: Instant::now() + deadline(&headers)?,
    };
    let answer = node.gateway().call(call).await?;
    let is_stored = answer.is_stored();
    let head = AnswerHead::new(answer.identity().clone(), &spec);
    let mut response = if spec.stream {
        streamed(head, spec, answer)
    } else {
        whole(head, answer).await?
    };
    if is_stored {
        mark_stored(&mut response);
    }
    Ok(response)
}

/// Tells the caller that the answer is that of an earlier send.
fn mark_stored(response: &mut Response) {
    let stored = HeaderValue::from_static("true");
    response.headers_mut().insert(STORED_HEADER, stored);
    let ran = HeaderValue::from_static(Execution::Ran.name());
    response.headers_mut().insert(EXECUTION_HEADER, ran);
}

fn mark(
    caller: &Caller,
    headers: &HeaderMap,
    digest: impl FnOnce() -> RequestDigest,
) -> Result<Option<IdempotentCall>, ApiError> {
    let Some(mark) = headers.get(MARK_HEADER) else {
        return Ok(None);
    };
    if mark.as_bytes() != AT_MOST_ONCE.as_bytes() {
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
        .filter(|millis| (1..=LONGEST_DEADLINE_MS).contains(millis))
        .map(Duration::from_millis)
        .ok_or_else(|| {
            let detail = format!("1 to {LONGEST_DEADLINE_MS}");
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

/// What all parts of an answer have in common.
#[derive(Debug, Clone)]
struct AnswerHead {
    identity: ResponseIdentity,
    model: String,
    kind: EndpointKind,
}

impl AnswerHead {
    fn new(identity: ResponseIdentity, spec: &GenerationSpec) -> Self {
        Self {
            identity,
            model: spec.endpoint.clone(),
            kind: spec.kind,
        }
    }

    fn part<'a>(&'a self, object: &'static str, choices: Vec<Choice<'a>>) -> Answer<'a> {
        Answer {
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
struct Answer<'a> {
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

async fn whole(head: AnswerHead, answer: ResponseStream) -> Result<Response, ApiError> {
    let answer = answer.collect_response().await?;
    let finish_reason = Some(answer.reason.name());
    let (object, choice) = match head.kind {
        EndpointKind::Chat => (
            "chat.completion",
            Choice {
                message: Some(Message {
                    role: Some("assistant"),
                    content: Some(&answer.text),
                }),
                finish_reason,
                ..Choice::default()
            },
        ),
        EndpointKind::Completion => (
            "text_completion",
            Choice {
                text: Some(&answer.text),
                finish_reason,
                ..Choice::default()
            },
        ),
    };
    let mut body = head.part(object, vec![choice]);
    body.usage = Some(answer.usage.into());
    let mut response = Json(body).into_response();
    let ran = HeaderValue::from_static(Execution::Ran.name());
    response.headers_mut().insert(EXECUTION_HEADER, ran);
    Ok(response)
}

fn frame(body: &impl Serialize) -> String {
    let json = serde_json::to_string(body).unwrap_or_default();
    format!("data: {json}\n\n")
}

/// Turns answer events into the lines of a streamed answer.
struct Framer {
    head: AnswerHead,
    include_usage: bool,
    first: bool,
}

impl Framer {
    fn object(&self) -> &'static str {
        match self.head.kind {
            EndpointKind::Chat => "chat.completion.chunk",
            EndpointKind::Completion => "text_completion",
        }
    }

    fn text(&mut self, text: &str) -> String {
        let choice = match self.head.kind {
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
        frame(&self.head.part(self.object(), vec![choice]))
    }

    fn finish(&self, reason: FinishReason, usage: Usage) -> String {
        let empty = Message {
            role: None,
            content: None,
        };
        let choice = Choice {
            delta: (self.head.kind == EndpointKind::Chat).then_some(empty),
            text: (self.head.kind == EndpointKind::Completion).then_some(""),
            finish_reason: Some(reason.name()),
            ..Choice::default()
        };
        let mut frames = frame(&self.head.part(self.object(), vec![choice]));
        if self.include_usage {
            let mut part = self.head.part(self.object(), Vec::new());
            part.usage = Some(usage.into());
            frames.push_str(&frame(&part));
        }
        frames.push_str(DONE);
        frames
    }
}

fn streamed(head: AnswerHead, spec: GenerationSpec, answer: ResponseStream) -> Response {
    let framer = Framer {
        head,
        include_usage: spec.include_usage,
        first: true,
    };
    let lines = stream::unfold((answer, framer), |(mut answer, mut framer)| async move {
        let line = match answer.next().await? {
            Ok(ResponseEvent::Text(text)) => framer.text(&text),
            Ok(ResponseEvent::Finished { reason, usage }) => framer.finish(reason, usage),
            // An error event and no [DONE]: the caller must not take the answer for whole.
            Err(error) => frame(ApiError::from(error).body()),
        };
        Some((Ok::<_, std::convert::Infallible>(line), (answer, framer)))
    });
    let mut response = Response::new(Body::from_stream(lines));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}
