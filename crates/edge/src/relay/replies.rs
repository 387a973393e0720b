//! Answers peers from this daemon's copies of the store's spaces.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_external::RowChange;
use harrierward_relay::{HeldAnswer, Relay, SpaceAsk};
use harrierward_wire::{SpaceQuestion, SpaceReply, decode, encode};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::server::{HttpService, ResponseBody};

use super::content::Content;

/// Path of the question. Builds that do not know it answer what lies behind a query with the configuration alone.
pub(super) const PATH: &str = "/internal/known-rows?space";

/// Format of the answers.
pub(super) const FORMAT: u32 = 1;

/// Most bytes of a question.
const LARGEST_QUESTION: usize = 1_024;

/// Questions held or being answered at most: many times those of a daemon's own followers.
const MOST_QUESTIONS: usize = 256;

/// Answers peers; other requests go to `others`.
pub struct SpaceReplies<S> {
    relay: Arc<Relay>,
    others: Arc<S>,
    questions: AtomicUsize,
    /// All rows of a space, encoded: followers that start together ask for the same.
    encoded: Mutex<HashMap<String, EncodedSpace>>,
}

struct EncodedSpace {
    digest: u64,
    content: Content,
}

/// Counts a question until it is dropped.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<S> SpaceReplies<S> {
    /// Answers from these copies.
    pub fn new(relay: Arc<Relay>, others: Arc<S>) -> Self {
        Self {
            relay,
            others,
            questions: AtomicUsize::new(0),
            encoded: Mutex::default(),
        }
    }

    fn count(&self) -> Option<Counted<'_>> {
        let counted = Counted(&self.questions);
        let before = self.questions.fetch_add(1, Ordering::Relaxed);
        (before < MOST_QUESTIONS).then_some(counted)
    }

    /// The reply; `None` if there is no copy to answer from, or too many ask.
    async fn reply(&self, question: &SpaceQuestion) -> Option<SpaceReply> {
        let _counted = self.count()?;
        let ask = SpaceAsk {
            space: question.space.clone(),
            after: question.after,
            hold: Duration::from_millis(u64::from(question.wait_ms)),
            known_age: Some(Duration::from_millis(u64::from(question.known_age_ms))),
        };
        let space = self.relay.space(&question.space)?;
        let HeldAnswer {
            answer,
            proof_age,
            held,
        } = space.answer(&ask).await?;
        let is_history_lost = answer.is_whole && question.after > 0;
        let content = if is_history_lost {
            Content::default()
        } else {
            self.content(
                &question.space,
                answer.changes,
                answer.is_whole,
                answer.digest,
            )
        };
        Some(SpaceReply {
            revision: answer.revision,
            digest: answer.digest,
            store_time_ms: answer.store_time_ms,
            proof_age_ms: millis(proof_age).saturating_add(1),
            held_ms: millis(held),
            format: FORMAT,
            is_history_lost,
            content: content.bytes,
            is_compressed: content.is_compressed,
        })
    }

    fn content(&self, space: &str, rows: Vec<RowChange>, is_whole: bool, digest: u64) -> Content {
        if !is_whole {
            return Content::of(rows);
        }
        // Held while the rows are encoded: they are encoded once.
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        let known = encoded.get(space).filter(|known| known.digest == digest);
        if let Some(known) = known {
            return known.content.clone();
        }
        let content = Content::of(rows);
        let latest = EncodedSpace {
            digest,
            content: content.clone(),
        };
        encoded.insert(space.to_owned(), latest);
        content
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[async_trait]
impl<S: HttpService> HttpService for SpaceReplies<S> {
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let named = request.uri().path_and_query();
        if named.is_none_or(|named| named.as_str() != PATH) {
            return self.others.call(request).await;
        }
        let body = Limited::new(request.into_body(), LARGEST_QUESTION);
        let body = body.collect().await.map(|body| body.to_bytes()).ok();
        let question = body.and_then(|body| decode::<SpaceQuestion>(&body));
        let reply = match &question {
            Some(question) => self.reply(question).await,
            None => None,
        };
        let status = match (&question, &reply) {
            (None, _) => StatusCode::BAD_REQUEST,
            (_, None) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        };
        let bytes = reply.map_or_else(Bytes::new, |reply| Bytes::from(encode(&reply)));
        let body = Full::new(bytes)
            .map_err(|never| match never {})
            .boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        response
    }
}
