//! Response stream: validates engine events, resumes interrupted streams, and reports incomplete responses as errors.

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

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens, as counted by the engine.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

/// Part of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseEvent {
    /// Text of the next token.
    Text(String),
    /// The response is complete.
    Finished {
        /// Why the generation ended.
        reason: FinishReason,
        /// Token counts.
        usage: Usage,
    },
}

/// Complete response, stored with the claim for resends of an idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Identity under which it was first sent; `None` in rows stored without one.
    #[serde(default)]
    pub identity: Option<ResponseIdentity>,
    /// Generated text.
    pub text: String,
    /// Why the generation ended.
    pub reason: FinishReason,
    /// Token counts.
    pub usage: Usage,
}

/// Parts of a response. The last item is `Finished` or an error. Dropping the stream cancels the request unless it is
/// idempotent.
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

    /// Returns the id and creation time to send to the caller.
    pub fn identity(&self) -> &ResponseIdentity {
        &self.identity
    }

    /// True if the response is a stored one, so that nothing ran for this request.
    pub fn is_stored(&self) -> bool {
        self.is_stored
    }

    /// Replays a stored response, with the identity `fallback` if none is stored.
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

    /// Reads the stream to its end and returns the complete response.
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

/// Maximum number of resumptions of a stream.
const MAX_RESUMES: u32 = 4;

/// Action that an engine event requires.
enum EventAction {
    Deliver(ResponseEvent),
    Drop,
    Interrupt(&'static str),
}

/// State of a response in progress.
pub(crate) struct ResponseState {
    pub gateway: Gateway,
    pub call: Call,
    pub attempt: Attempt,
    pub delivered: u32,
    pub resumes: u32,
    pub started: Instant,
    pub has_ended: bool,
    pub _permit: AdmissionPermit,
    pub _in_progress: InProgress,
}

impl ResponseState {
    /// Returns the response as a stream.
    pub fn into_stream(self) -> impl Stream<Item = Result<ResponseEvent, GatewayError>> + Send {
        stream::unfold(self, |mut state| async move {
            let event = state.next().await?;
            Some((event, state))
        })
    }

    async fn next(&mut self) -> Option<Result<ResponseEvent, GatewayError>> {
        if self.has_ended {
            return None;
        }
        loop {
            let stall_timeout = self.gateway.settings().stall_timeout;
            let cause = match timeout(stall_timeout, self.attempt.events.next()).await {
                Ok(Some(Ok(event))) => match self.classify(event) {
                    EventAction::Deliver(event) => return Some(Ok(self.deliver(event))),
                    EventAction::Drop => {
                        self.gateway.metrics().dropped_events.inc();
                        continue;
                    }
                    EventAction::Interrupt(cause) => cause.to_owned(),
                },
                Ok(Some(Err(error))) => error.to_string(),
                Ok(None) => "the stream ended early".to_owned(),
                Err(_) => "no event in time".to_owned(),
            };
            if let Err(error) = self.resume(&cause).await {
                self.has_ended = true;
                self.gateway.count_outcome(error.code);
                return Some(Err(error));
            }
        }
    }

    fn classify(&self, event: EngineEvent) -> EventAction {
        if event.request_id != self.attempt.request_id || event.sequence < self.delivered {
            return EventAction::Drop;
        }
        if event.sequence > self.delivered {
            return EventAction::Interrupt("an event is missing");
        }
        match event.finish {
            None => EventAction::Deliver(ResponseEvent::Text(event.text)),
            Some(FinishReason::Cancelled) => {
                EventAction::Interrupt("the engine cancelled the request")
            }
            Some(reason) => EventAction::Deliver(ResponseEvent::Finished {
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
                self.has_ended = true;
                self.attempt.note_completed();
                self.gateway.note_success();
            }
        }
        event
    }

    /// Resumes an interrupted stream at another replica, unless the request must not run again.
    async fn resume(&mut self, cause: &str) -> Result<(), GatewayError> {
        const STEP: &str = "answer.resume";
        let peer = self.attempt.replica_name();
        log::info!(
            "{STEP} {} was interrupted at {peer} after {} events: {cause}",
            self.attempt.request_id,
            self.delivered
        );
        self.attempt.note_completed();
        let failure = |code: &'static str, message: String| {
            GatewayError::unknown(STEP, 502, code, message).with_peer(peer.clone())
        };
        if self.call.idempotency.is_some() {
            let message = format!("{cause}; the request must not run again");
            return Err(failure("cut", message));
        }
        if self.resumes >= MAX_RESUMES || Instant::now() >= self.call.deadline {
            return Err(failure("cut", cause.to_owned()));
        }
        if !self.gateway.take_retry() {
            return Err(failure("retry_budget", format!("{cause}; no retry left")));
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

/// Runs an idempotent request to completion even if the caller disconnects, and stores the response for resends.
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
