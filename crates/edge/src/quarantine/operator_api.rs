//! Operator API: lists quarantined contents and prompt parts, and releases them.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_quarantine::{ContentId, PartId, Subject};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::server::{HttpService, ResponseBody};

use super::{QuarantineService, millis};

/// Path of the list; with a content's digest (hexadecimal) appended, of that content.
pub const PATH: &str = "/internal/held";

/// Precedes the id of a part (hexadecimal) in the place of a content's digest.
const PART_PREFIX: &str = "part-";

/// A quarantined content or part, as listed in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ListedSubject {
    /// Digest of path, caller and body, as in the decision log.
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
    /// Id of a part of prompts, in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<String>,
    /// Only requests that have these parts too are held.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    companions: Vec<String>,
    /// Replicas that crashed under it.
    ends: usize,
    /// Number of these crashes that this daemon observed.
    own_ends: usize,
    /// Time since the first of these crashes, in milliseconds.
    since_ms: u64,
    /// Time since the last of these crashes, in milliseconds.
    last_end_ms: u64,
    /// Remaining time in quarantine, in milliseconds.
    hold_ms: u64,
}

impl QuarantineService {
    /// Returns the contents and parts in quarantine now.
    pub fn quarantined(&self) -> Vec<ListedSubject> {
        let now = harrierward_clock::now();
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let statuses = self.inner.statuses.load();
        let listed = statuses.quarantined().map(|quarantined| {
            let period = quarantined.period;
            let (content, part) = match quarantined.subject {
                Subject::Content(content) => (Some(content.to_string()), None),
                Subject::Part(part) => (None, Some(part.to_string())),
            };
            ListedSubject {
                content,
                part,
                companions: quarantined
                    .companions
                    .iter()
                    .map(PartId::to_string)
                    .collect(),
                ends: period.crashes,
                own_ends: period.own_crashes,
                since_ms: age(period.since),
                last_end_ms: age(period.last_crash),
                hold_ms: millis(period.until.saturating_duration_since(now)),
            }
        });
        listed.collect()
    }

    /// Releases a content or part from quarantine at all daemons; returns false if there are no crash reports against it.
    pub fn release(&self, subject: impl Into<Subject>) -> bool {
        let subject = subject.into();
        let statuses = self.inner.statuses.load_full();
        let quarantined = statuses.quarantined().find(|one| one.subject == subject);
        let now = harrierward_clock::now();
        if !self.ledger().clear(subject, rand::random(), now) {
            return false;
        }
        self.update_statuses("operator");
        self.publish();
        if let Some(quarantined) = quarantined {
            let held = self.inner.statuses.load().quarantined().count();
            self.log_change(&quarantined, "released", "operator", held);
        }
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
        match (method, parse_subject(name)) {
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
            (&Method::DELETE, Some(subject)) if self.quarantine.release(subject) => {
                (StatusCode::OK, Bytes::new())
            }
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}

fn parse_subject(name: &str) -> Option<Subject> {
    match name.strip_prefix(PART_PREFIX) {
        Some(part) => u64::from_str_radix(part, 16)
            .ok()
            .map(PartId)
            .map(Subject::Part),
        None => u64::from_str_radix(name, 16)
            .ok()
            .map(ContentId)
            .map(Subject::Content),
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
