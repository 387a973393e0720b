//! The parts of the OpenAI-compatible request bodies that matter here, with errors that name the field.

use serde::Deserialize;
use serde_json::Value;

/// Tokens generated if the caller sets no limit.
const DEFAULT_MAXIMUM_TOKENS: u32 = 256;

/// Greatest token limit.
const MAX_TOKENS_LIMIT: u32 = 8192;

/// Longest prompt, bytes.
const MAX_PROMPT_BYTES: usize = 512 * 1024;

/// Which of the generating URLs was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl EndpointKind {
    /// Path of the URL.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }

    /// The kind for a path.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Chat, Self::Completion]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// What a request asks to generate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSpec {
    /// URL called.
    pub kind: EndpointKind,
    /// Endpoint, called "model" by callers.
    pub endpoint: String,
    /// The rendered prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub maximum_tokens: u32,
    /// Stream the answer.
    pub stream: bool,
    /// Send usage in the last part of a stream.
    pub include_usage: bool,
}

/// A field of a request is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {detail}")]
pub struct SpecError {
    /// The field.
    pub field: String,
    /// What is wrong.
    pub detail: String,
}

fn wrong(field: impl Into<String>, detail: impl Into<String>) -> SpecError {
    SpecError {
        field: field.into(),
        detail: detail.into(),
    }
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ChatMessage {
    /// `system`, `developer`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text.
    pub content: String,
}

const ROLES: [&str; 5] = ["system", "developer", "user", "assistant", "tool"];

/// Reads a request body.
pub fn parse_request(kind: EndpointKind, body: &Value) -> Result<GenerationSpec, SpecError> {
    let body = body
        .as_object()
        .ok_or_else(|| wrong("body", "must be a JSON object"))?;
    let endpoint = body
        .get("model")
        .and_then(Value::as_str)
        .filter(|model| !model.is_empty())
        .ok_or_else(|| wrong("model", "must be a string that names a model"))?;
    let prompt = match kind {
        EndpointKind::Chat => render_messages(body.get("messages"))?,
        EndpointKind::Completion => read_prompt(body.get("prompt"))?,
    };
    if prompt.len() > MAX_PROMPT_BYTES {
        return Err(wrong("prompt", format!("at most {MAX_PROMPT_BYTES} bytes")));
    }
    if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(wrong("n", "only 1 is supported"));
    }
    let stream = read_flag(body.get("stream"), "stream")?;
    let include_usage = body
        .get("stream_options")
        .and_then(|options| options.get("include_usage"));
    Ok(GenerationSpec {
        kind,
        endpoint: endpoint.to_owned(),
        prompt,
        maximum_tokens: read_limit(body)?,
        stream,
        include_usage: read_flag(include_usage, "stream_options.include_usage")?,
    })
}

/// Fields that say how an answer is sent and not what it is.
const DELIVERY_FIELDS: [&str; 2] = ["stream", "stream_options"];

/// What a request body asks for, whichever way its answer is to be sent: by this a resend is told from another request.
pub fn content_bytes(body: &Value) -> Vec<u8> {
    let mut content = body.clone();
    if let Some(fields) = content.as_object_mut() {
        for field in DELIVERY_FIELDS {
            fields.remove(field);
        }
    }
    content.to_string().into_bytes()
}

fn read_flag(value: Option<&Value>, field: &str) -> Result<bool, SpecError> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(wrong(field, "must be true or false")),
    }
}

fn read_limit(body: &serde_json::Map<String, Value>) -> Result<u32, SpecError> {
    for field in ["max_completion_tokens", "max_tokens"] {
        let value = match body.get(field) {
            None | Some(Value::Null) => continue,
            Some(value) => value,
        };
        let limit = value.as_u64().and_then(|limit| u32::try_from(limit).ok());
        return limit
            .filter(|limit| (1..=MAX_TOKENS_LIMIT).contains(limit))
            .ok_or_else(|| wrong(field, format!("1 to {MAX_TOKENS_LIMIT}")));
    }
    Ok(DEFAULT_MAXIMUM_TOKENS)
}

fn read_prompt(prompt: Option<&Value>) -> Result<String, SpecError> {
    prompt
        .and_then(Value::as_str)
        .map(ToOwned::to_owned)
        .ok_or_else(|| wrong("prompt", "must be a string"))
}

fn render_messages(messages: Option<&Value>) -> Result<String, SpecError> {
    let messages = messages
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| wrong("messages", "must be a non-empty array"))?;
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let field = |name: &str| format!("messages[{index}].{name}");
        let role = message
            .get("role")
            .and_then(Value::as_str)
            .filter(|role| ROLES.contains(role))
            .ok_or_else(|| wrong(field("role"), format!("one of {}", ROLES.join(", "))))?;
        let content = read_content(message.get("content"))
            .ok_or_else(|| wrong(field("content"), "must be a string or text parts"))?;
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(&content);
        prompt.push('\n');
    }
    Ok(prompt)
}

fn read_content(content: Option<&Value>) -> Option<String> {
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
