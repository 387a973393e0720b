//! Operator API: lists quarantined contents and releases them.

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

/// Path of the list; with a content's digest (hexadecimal) appended, of that content.
pub const PATH: &str = "/internal/held";

/// A quarantined content, as listed in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedContent {
    /// Digest of path, caller and body, as in the decision log.
    content: String,
    /// Replicas that crashed under it.
    ends: usize,
    /// Time since the first of these crashes, in milliseconds.
    since_ms: u64,
    /// Time since the last of these crashes, in milliseconds.
    last_end_ms: u64,
    /// Remaining time in quarantine, in milliseconds.
    hold_ms: u64,
}

impl QuarantineService {
    /// Returns the contents in quarantine now.
    pub fn quarantined(&self) -> Vec<QuarantinedContent> {
        let now = harrierward_clock::now();
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let statuses = self.inner.statuses.load();
        let quarantined = statuses
            .quarantined()
            .map(|(content, quarantine)| QuarantinedContent {
                content: content.to_string(),
                ends: quarantine.crashes,
                since_ms: age(quarantine.since),
                last_end_ms: age(quarantine.last_crash),
                hold_ms: millis(quarantine.until.saturating_duration_since(now)),
            });
        quarantined.collect()
    }

    /// Releases a content from quarantine at all daemons; returns false if there are no crash reports against it.
    pub fn release(&self, content: ContentId) -> bool {
        let quarantine = self
            .inner
            .statuses
            .load()
            .quarantined()
            .find(|(id, _)| *id == content);
        if !self
            .ledger()
            .clear(content, rand::random(), harrierward_clock::now())
        {
            return false;
        }
        self.update_statuses("operator");
        self.publish();
        self.inner.log.record(&Record::ContentHeld {
            content: &content.to_string(),
            outcome: "released",
            source: "operator",
            ends: quarantine.map_or(0, |(_, quarantine)| quarantine.crashes),
            since_ms: quarantine.map_or(0, |(_, quarantine)| {
                millis(harrierward_clock::age(quarantine.since))
            }),
            hold_ms: 0,
            held: self.inner.statuses.load().quarantined().count(),
        });
        true
    }
}

/// Serves the quarantine's list and releases on the control address.
pub struct QuarantinedContents<S> {
    quarantine: QuarantineService,
    /// Serves all other paths.
    others: Arc<S>,
}

impl<S> QuarantinedContents<S> {
    /// Serves [`PATH`] from `quarantine`, and all other paths from `others`.
    pub fn new(quarantine: QuarantineService, others: Arc<S>) -> Self {
        Self { quarantine, others }
    }

    fn respond(&self, method: &Method, name: &str) -> (StatusCode, Bytes) {
        let content = u64::from_str_radix(name, 16).ok().map(ContentId);
        match (method, content) {
            (&Method::GET, None) if name.is_empty() => {
                let list = serde_json::to_vec(&self.quarantine.quarantined());
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
impl<S: HttpService> HttpService for QuarantinedContents<S> {
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(name) = request.uri().path().strip_prefix(PATH) else {
            return self.others.call(request).await;
        };
        let (status, body) = self.respond(request.method(), name.trim_start_matches('/'));
        let body = Full::new(body).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = status;
        response
    }
}
