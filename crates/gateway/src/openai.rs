//! Parser of OpenAI-compatible request bodies. Errors name the invalid field; unknown fields are ignored.

use serde::Deserialize;
use serde_json::Value;

/// Limit on generated tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Upper bound of the limit on generated tokens.
const MAX_TOKENS_LIMIT: u32 = 8192;

/// Upper bound of the rendered prompt.
const MAX_PROMPT_BYTES: usize = 512 * 1024;

/// Kind of generation endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl EndpointKind {
    /// Returns the URL path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }

    /// Returns the kind for a URL path; `None` for other paths.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Chat, Self::Completion]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// Parsed generation request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSpec {
    /// Kind of the called endpoint.
    pub kind: EndpointKind,
    /// Name of the configured endpoint, from the field `model`.
    pub endpoint: String,
    /// Prompt text, with chat messages rendered.
    pub prompt: String,
    /// Upper bound on generated tokens, from `max_completion_tokens` or `max_tokens`.
    pub maximum_tokens: u32,
    /// True if the response is to be streamed.
    pub stream: bool,
    /// True if the stream is to end with token counts.
    pub include_usage: bool,
}

/// Invalid field of a request body.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {detail}")]
pub struct SpecError {
    /// Path of the field, e.g. `messages[0].role`.
    pub field: String,
    /// What the field must be.
    pub detail: String,
}

fn invalid(field: impl Into<String>, detail: impl Into<String>) -> SpecError {
    SpecError {
        field: field.into(),
        detail: detail.into(),
    }
}

/// Message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ChatMessage {
    /// Author: `system`, `developer`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Message text.
    pub content: String,
}

const ROLES: [&str; 5] = ["system", "developer", "user", "assistant", "tool"];

/// Parses and validates a request body.
pub fn parse_request(kind: EndpointKind, body: &Value) -> Result<GenerationSpec, SpecError> {
    let body = body
        .as_object()
        .ok_or_else(|| invalid("body", "must be a JSON object"))?;
    let endpoint = body
        .get("model")
        .and_then(Value::as_str)
        .filter(|model| !model.is_empty())
        .ok_or_else(|| invalid("model", "must be a string that names a model"))?;
    let prompt = match kind {
        EndpointKind::Chat => render_messages(body.get("messages"))?,
        EndpointKind::Completion => parse_prompt(body.get("prompt"))?,
    };
    if prompt.len() > MAX_PROMPT_BYTES {
        return Err(invalid(
            "prompt",
            format!("at most {MAX_PROMPT_BYTES} bytes"),
        ));
    }
    if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(invalid("n", "only 1 is supported"));
    }
    let stream = parse_flag(body.get("stream"), "stream")?;
    let include_usage = body
        .get("stream_options")
        .and_then(|options| options.get("include_usage"));
    Ok(GenerationSpec {
        kind,
        endpoint: endpoint.to_owned(),
        prompt,
        maximum_tokens: parse_token_limit(body)?,
        stream,
        include_usage: parse_flag(include_usage, "stream_options.include_usage")?,
    })
}

/// Fields that affect how the response is sent, but not its content.
const DELIVERY_FIELDS: [&str; 2] = ["stream", "stream_options"];

/// Returns the request body without its delivery fields, for comparing a resend with the original request.
pub fn content_bytes(body: &Value) -> Vec<u8> {
    let mut content = body.clone();
    if let Some(fields) = content.as_object_mut() {
        for field in DELIVERY_FIELDS {
            fields.remove(field);
        }
    }
    content.to_string().into_bytes()
}

fn parse_flag(value: Option<&Value>, field: &str) -> Result<bool, SpecError> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(field, "must be true or false")),
    }
}

fn parse_token_limit(body: &serde_json::Map<String, Value>) -> Result<u32, SpecError> {
    for field in ["max_completion_tokens", "max_tokens"] {
        let value = match body.get(field) {
            None | Some(Value::Null) => continue,
            Some(value) => value,
        };
        let limit = value.as_u64().and_then(|limit| u32::try_from(limit).ok());
        return limit
            .filter(|limit| (1..=MAX_TOKENS_LIMIT).contains(limit))
            .ok_or_else(|| invalid(field, format!("1 to {MAX_TOKENS_LIMIT}")));
    }
    Ok(DEFAULT_MAX_TOKENS)
}

fn parse_prompt(prompt: Option<&Value>) -> Result<String, SpecError> {
    prompt
        .and_then(Value::as_str)
        .map(ToOwned::to_owned)
        .ok_or_else(|| invalid("prompt", "must be a string"))
}

fn render_messages(messages: Option<&Value>) -> Result<String, SpecError> {
    let messages = messages
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| invalid("messages", "must be a non-empty array"))?;
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let field = |name: &str| format!("messages[{index}].{name}");
        let role = message
            .get("role")
            .and_then(Value::as_str)
            .filter(|role| ROLES.contains(role))
            .ok_or_else(|| invalid(field("role"), format!("one of {}", ROLES.join(", "))))?;
        let content = parse_content(message.get("content"))
            .ok_or_else(|| invalid(field("content"), "must be a string or text parts"))?;
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(&content);
        prompt.push('\n');
    }
    Ok(prompt)
}

fn parse_content(content: Option<&Value>) -> Option<String> {
    match content? {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => parts
            .iter()
            .map(|part| part.get("text").and_then(Value::as_str))
            .collect::<Option<Vec<_>>>()
            .map(|texts| texts.concat()),
        _ => None,
    }
}
