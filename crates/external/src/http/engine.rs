//! HTTP client of an engine. The response to a generation is a stream of JSON events, one per line.

use async_trait::async_trait;
use bytes::{Buf, Bytes, BytesMut};
use futures::StreamExt;
use futures::stream;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::messages::{CancelMessage, EngineRefusal};
use super::{CallError, HttpCaller};
use crate::{
    CacheEventPage, Engine, EngineCommand, EngineError, EngineEvent, EngineLoad, EventStream,
    GenerateRequest,
};

/// Engine client with JSON over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    caller: HttpCaller,
    address: String,
}

/// Decoder of a streamed response body.
struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    peer: String,
    has_failed: bool,
}

impl HttpEngine {
    /// Builds a client of the engine at `address` (`ip:port`).
    pub fn new(caller: HttpCaller, address: impl Into<String>) -> Self {
        Self {
            caller,
            address: address.into(),
        }
    }

    fn call_error(&self, step: &'static str, error: CallError) -> EngineError {
        let peer = self.address.clone();
        let detail = error.to_string();
        match error {
            CallError::NotSent(_) => EngineError::NotRun { step, peer, detail },
            CallError::Lost(_) => EngineError::Unknown { step, peer, detail },
        }
    }

    fn unknown(&self, step: &'static str, detail: impl ToString) -> EngineError {
        EngineError::Unknown {
            step,
            peer: self.address.clone(),
            detail: detail.to_string(),
        }
    }

    /// Decodes a refusal, by which the engine confirms that the request did not run.
    fn refusal(&self, step: &'static str, sent: u64, body: &[u8]) -> EngineError {
        let peer = self.address.clone();
        let Ok(refusal) = serde_json::from_slice::<EngineRefusal>(body) else {
            return self.unknown(step, "unreadable refusal");
        };
        match refusal.seen_epoch {
            Some(seen) => EngineError::Fenced {
                step,
                peer,
                sent,
                seen,
            },
            None => EngineError::NotRun {
                step,
                peer,
                detail: refusal.detail,
            },
        }
    }

    async fn send_request<M: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        epoch: u64,
        message: &M,
    ) -> Result<R, EngineError> {
        let body = serde_json::to_vec(message).map_err(|error| self.unknown(step, error))?;
        let response = self
            .caller
            .call(Method::POST, &self.address, path, &[], Bytes::from(body))
            .await
            .map_err(|error| self.call_error(step, error))?;
        if response.status == StatusCode::CONFLICT {
            return Err(self.refusal(step, epoch, &response.body));
        }
        if !response.status.is_success() {
            return Err(self.unknown(step, response.status));
        }
        serde_json::from_slice(&response.body).map_err(|error| self.unknown(step, error))
    }
}

impl LineReader {
    fn error(&self, detail: impl ToString) -> EngineError {
        EngineError::Unknown {
            step: "engine.stream",
            peer: self.peer.clone(),
            detail: detail.to_string(),
        }
    }

    fn take_line(&mut self) -> Option<Result<EngineEvent, EngineError>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        let event = serde_json::from_slice(&line).map_err(|error| self.error(error));
        Some(event)
    }

    async fn next_event(&mut self) -> Option<Result<EngineEvent, EngineError>> {
        loop {
            if let Some(event) = self.take_line() {
                return Some(event);
            }
            if self.has_failed {
                return None;
            }
            match self.body.frame().await {
                None => return None,
                Some(Err(error)) => {
                    self.has_failed = true;
                    return Some(Err(self.error(error)));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn generate(&self, request: GenerateRequest) -> Result<EventStream, EngineError> {
        const STEP: &str = "engine.generate";
        let body = serde_json::to_vec(&request).map_err(|error| self.unknown(STEP, error))?;
        let path = "/engine/generate";
        let response = self
            .caller
            .open(Method::POST, &self.address, path, &[], Bytes::from(body))
            .await
            .map_err(|error| self.call_error(STEP, error))?;
        if response.status() == StatusCode::CONFLICT {
            let collected = response.into_body().collect().await;
            let body = collected
                .map_err(|error| self.unknown(STEP, error))?
                .to_bytes();
            return Err(self.refusal(STEP, request.epoch.unwrap_or_default(), &body));
        }
        if !response.status().is_success() {
            return Err(self.unknown(STEP, response.status()));
        }
        let reader = LineReader {
            body: response.into_body(),
            buffer: BytesMut::new(),
            peer: self.address.clone(),
            has_failed: false,
        };
        let events = stream::unfold(reader, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        });
        Ok(events.boxed())
    }

    async fn cancel(&self, request_id: &str) -> Result<(), EngineError> {
        let message = CancelMessage {
            request_id: request_id.to_owned(),
        };
        self.send_request("engine.cancel", "/engine/cancel", 0, &message)
            .await
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.send_request("engine.load", "/engine/load", 0, &())
            .await
    }

    async fn cache_events(&self, after: u64) -> Result<CacheEventPage, EngineError> {
        self.send_request("engine.cache_events", "/engine/cache-events", 0, &after)
            .await
    }

    async fn execute(&self, command: EngineCommand) -> Result<(), EngineError> {
        self.send_request("engine.order", "/engine/order", command.epoch, &command)
            .await
    }

    async fn export_prefix(&self, block: u64) -> Result<Option<Vec<u64>>, EngineError> {
        self.send_request("engine.export_prefix", "/engine/export", 0, &block)
            .await
    }

    async fn import_prefix(&self, blocks: Vec<u64>) -> Result<(), EngineError> {
        self.send_request("engine.import_prefix", "/engine/import", 0, &blocks)
            .await
    }
}
