//! What an operator sees of contents that are held back, and how one is released.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::Record;
use harrierward_quarantine::ContentId;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::server::{HttpService, ResponseBody};

use super::{QuarantineService, millis};

/// Path of the list; a content's digest behind it names one.
pub const PATH: &str = "/internal/held";

/// A content that is held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HeldContent {
    /// Digest of path, caller and body, as in the log's lines.
    content: String,
    /// Replicas that ended under it.
    ends: usize,
    /// Time since the first and the last of these ends, milliseconds.
    since_ms: u64,
    /// See `since_ms`.
    last_end_ms: u64,
    /// How much longer it is held back, milliseconds.
    hold_ms: u64,
}

impl QuarantineService {
    /// What is held back now.
    pub fn held(&self) -> Vec<HeldContent> {
        let now = harrierward_clock::now();
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let standings = self.inner.standings.load();
        let held = standings.quarantined().map(|(content, hold)| HeldContent {
            content: content.to_string(),
            ends: hold.crashes,
            since_ms: age(hold.since),
            last_end_ms: age(hold.last_crash),
            hold_ms: millis(hold.until.saturating_duration_since(now)),
        });
        held.collect()
    }

    /// Lets a content run again, at all daemons; false if nothing is known against it.
    pub fn release(&self, content: ContentId) -> bool {
        let hold = self
            .inner
            .standings
            .load()
            .quarantined()
            .find(|(one, _)| *one == content);
        if !self
            .ledger()
            .clear(content, rand::random(), harrierward_clock::now())
        {
            return false;
        }
        self.judge();
        self.make_known();
        self.inner.log.record(&Record::ContentHeld {
            content: &content.to_string(),
            outcome: "released",
            ends: hold.map_or(0, |(_, hold)| hold.crashes),
            since_ms: hold.map_or(0, |(_, hold)| millis(harrierward_clock::age(hold.since))),
            hold_ms: 0,
            held: self.inner.standings.load().quarantined().count(),
        });
        true
    }
}

/// Answers operators on the control address.
pub struct HeldContents<S> {
    quarantine: QuarantineService,
    /// Answers all other paths.
    others: Arc<S>,
}

impl<S> HeldContents<S> {
    /// The list of this quarantine, before another service.
    pub fn new(quarantine: QuarantineService, others: Arc<S>) -> Self {
        Self { quarantine, others }
    }

    fn answer(&self, method: &Method, name: &str) -> (StatusCode, Bytes) {
        let content = u64::from_str_radix(name, 16).ok().map(ContentId);
        match (method, content) {
            (&Method::GET, None) if name.is_empty() => {
                let list = serde_json::to_vec(&self.quarantine.held());
                list.map_or_else(
                    |error| {
                        (
                            StatusCode::INTERNAL_SERVER_ERROR,
                            Bytes::from(error.to_string()),
                        )
                    },
                    |list| (StatusCode::OK, Bytes::from(list)),
                )
            }
            (&Method::DELETE, Some(content)) if self.quarantine.release(content) => {
                (StatusCode::OK, Bytes::new())
            }
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}

#[async_trait]
impl<S: HttpService> HttpService for HeldContents<S> {
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(name) = request.uri().path().strip_prefix(PATH) else {
            return self.others.call(request).await;
        };
        let (status, body) = self.answer(request.method(), name.trim_start_matches('/'));
        let body = Full::new(body).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = status;
        response
    }
}
