//! The answer stream: events checked, cuts resumed, and never a clean end where the answer was not whole.

use std::pin::Pin;

use futures::stream::BoxStream;
use futures::{Stream, StreamExt, stream};
use harrierward_claims::{Claim, Claims};
use harrierward_execution::Execution;
use harrierward_external::{EngineEvent, FinishReason};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::admission::AdmissionPermit;
use crate::call::{Call, ResponseIdentity};
use crate::errors::GatewayError;
use crate::gateway::{Attempt, Gateway};
use crate::limits::InProgress;

/// Tokens used by a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseEvent {
    /// The next token's text.
    Text(String),
    /// The answer is whole.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// Tokens used.
        usage: Usage,
    },
}

/// A whole answer as kept for resends of a marked request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// What it is known by; absent in answers stored by daemons that kept none.
    #[serde(default)]
    pub identity: Option<ResponseIdentity>,
    /// The text.
    pub text: String,
    /// Why it ended.
    pub reason: FinishReason,
    /// Tokens used.
    pub usage: Usage,
}

/// Parts of an answer. The last item is `Finished` or an error; dropping the stream cancels an unmarked request.
pub struct ResponseStream {
    identity: ResponseIdentity,
    is_stored: bool,
    inner: BoxStream<'static, Result<ResponseEvent, GatewayError>>,
}

impl Stream for ResponseStream {
    type Item = Result<ResponseEvent, GatewayError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.inner.poll_next_unpin(context)
    }
}

impl ResponseStream {
    pub(crate) fn new(
        identity: ResponseIdentity,
        inner: impl Stream<Item = Result<ResponseEvent, GatewayError>> + Send + 'static,
    ) -> Self {
        Self {
            identity,
            is_stored: false,
            inner: inner.boxed(),
        }
    }

    /// What the answer is known by.
    pub fn identity(&self) -> &ResponseIdentity {
        &self.identity
    }

    /// True if it is the answer to an earlier send of the request: nothing ran for this one.
    pub fn is_stored(&self) -> bool {
        self.is_stored
    }

    /// A stored answer as a stream, under `fallback` if it was stored without an identity.
    pub(crate) fn replay(stored: StoredResponse, fallback: ResponseIdentity) -> Self {
        let finished = ResponseEvent::Finished {
            reason: stored.reason,
            usage: stored.usage,
        };
        let events = [ResponseEvent::Text(stored.text), finished];
        let identity = stored.identity.unwrap_or(fallback);
        Self {
            is_stored: true,
            ..Self::new(identity, stream::iter(events.map(Ok)))
        }
    }

    /// Reads the whole answer.
    pub async fn collect_response(mut self) -> Result<StoredResponse, GatewayError> {
        let mut text = String::new();
        while let Some(event) = self.inner.next().await {
            match event? {
                ResponseEvent::Text(part) => text.push_str(&part),
                ResponseEvent::Finished { reason, usage } => {
                    return Ok(StoredResponse {
                        identity: Some(self.identity),
                        text,
                        reason,
                        usage,
                    });
                }
            }
        }
        let message = "the answer ended without its last part";
        Err(GatewayError::unknown("answer.collect", 502, "cut", message))
    }
}

/// Most times a stream is resumed.
const MAX_RESUMES: u32 = 4;

/// What an event means for the stream.
enum Checked {
    Deliver(ResponseEvent),
    Drop,
    Cut(&'static str),
}

/// State of one answer in progress.
pub(crate) struct ResponseState {
    pub gateway: Gateway,
    pub call: Call,
    pub attempt: Attempt,
    pub delivered: u32,
    pub resumes: u32,
    pub started: Instant,
    pub ended: bool,
    pub _permit: AdmissionPermit,
    pub _in_progress: InProgress,
}

impl ResponseState {
    /// The answer as a stream.
    pub fn into_stream(self) -> impl Stream<Item = Result<ResponseEvent, GatewayError>> + Send {
        stream::unfold(self, |mut state| async move {
            let event = state.next().await?;
            Some((event, state))
        })
    }

    async fn next(&mut self) -> Option<Result<ResponseEvent, GatewayError>> {
        if self.ended {
            return None;
        }
        loop {
            let stall = self.gateway.settings().stall_timeout;
            let cause = match timeout(stall, self.attempt.events.next()).await {
                Ok(Some(Ok(event))) => match self.check(event) {
                    Checked::Deliver(event) => return Some(Ok(self.deliver(event))),
                    Checked::Drop => {
                        self.gateway.metrics().dropped_events.inc();
                        continue;
                    }
                    Checked::Cut(cause) => cause.to_owned(),
                },
                Ok(Some(Err(error))) => error.to_string(),
                Ok(None) => "the stream ended early".to_owned(),
                Err(_) => "no event in time".to_owned(),
            };
            if let Err(error) = self.resume(&cause).await {
                self.ended = true;
                self.gateway.count_outcome(error.code);
                return Some(Err(error));
            }
        }
    }

    fn check(&self, event: EngineEvent) -> Checked {
        if event.request_id != self.attempt.request_id || event.sequence < self.delivered {
            return Checked::Drop;
        }
        if event.sequence > self.delivered {
            return Checked::Cut("an event is missing");
        }
        match event.finish {
            None => Checked::Deliver(ResponseEvent::Text(event.text)),
            Some(FinishReason::Cancelled) => Checked::Cut("the engine cancelled the request"),
            Some(reason) => Checked::Deliver(ResponseEvent::Finished {
                reason,
                usage: Usage {
                    prompt_tokens: event.prompt_tokens.unwrap_or_default(),
                    completion_tokens: self.delivered,
                },
            }),
        }
    }

    fn deliver(&mut self, event: ResponseEvent) -> ResponseEvent {
        self.attempt.note_prefilled();
        match &event {
            ResponseEvent::Text(_) => {
                if self.delivered == 0 {
                    let waited = self.started.elapsed().as_secs_f64();
                    self.gateway.metrics().first_token.observe(waited);
                }
                self.delivered += 1;
                self.gateway.metrics().tokens.inc();
            }
            ResponseEvent::Finished { .. } => {
                self.ended = true;
                self.attempt.note_ended();
                self.gateway.note_success();
            }
        }
        event
    }

    /// Goes on at another replica from where the stream was cut, if that is allowed.
    async fn resume(&mut self, cause: &str) -> Result<(), GatewayError> {
        const STEP: &str = "answer.resume";
        let peer = self.attempt.replica_name();
        self.attempt.note_ended();
        let give_up = |code: &'static str, message: String| {
            GatewayError::unknown(STEP, 502, code, message).with_peer(peer.clone())
        };
        if self.call.idempotency.is_some() {
            let message = format!("{cause}; the request must not run again");
            return Err(give_up("cut", message));
        }
        if self.resumes >= MAX_RESUMES || Instant::now() >= self.call.deadline {
            return Err(give_up("cut", cause.to_owned()));
        }
        if !self.gateway.take_retry() {
            return Err(give_up("retry_budget", format!("{cause}; no retry left")));
        }
        self.resumes += 1;
        self.gateway.metrics().resumed.inc();
        let excluded = vec![self.attempt.replica_id()];
        let attempt = self
            .gateway
            .connect(&self.call, excluded, self.delivered)
            .await;
        self.attempt = attempt.map_err(|error| error.merge_execution(Execution::Unknown))?;
        Ok(())
    }
}

/// Runs a marked request to its end, whether or not the caller stays, and stores its answer for resends.
pub(crate) fn run_idempotent(state: ResponseState, claims: Claims, claim: Claim) -> ResponseStream {
    let (sender, receiver) = mpsc::unbounded_channel();
    let identity = state.call.identity.clone();
    let stored_identity = identity.clone();
    tokio::spawn(async move {
        let mut text = String::new();
        let mut events = Box::pin(state.into_stream());
        while let Some(event) = events.next().await {
            let stored = match &event {
                Ok(ResponseEvent::Text(part)) => {
                    text.push_str(part);
                    None
                }
                Ok(ResponseEvent::Finished { reason, usage }) => Some(StoredResponse {
                    identity: Some(stored_identity.clone()),
                    text: std::mem::take(&mut text),
                    reason: *reason,
                    usage: *usage,
                }),
                Err(_) => None,
            };
            let _ = sender.send(event);
            if let Some(stored) = stored {
                let bytes = serde_json::to_vec(&stored).unwrap_or_default();
                claims.finish(&claim, &bytes).await;
            }
        }
    });
    let events = tokio_stream::wrappers::UnboundedReceiverStream::new(receiver);
    ResponseStream::new(identity, events)
}
