//! Server of the relay: replies to peers from this daemon's copies of the store's spaces.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_external::RowChange;
use harrierward_relay::{HeldReply, Relay, SpaceRequest};
use harrierward_wire::{SpaceQuestion, SpaceReply, decode, encode};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::server::{HttpService, ResponseBody};

use super::content::Content;

/// Path of relay requests. Older builds ignore the query's text and reply with the configuration alone.
pub(super) const PATH: &str = "/internal/known-rows?space";

/// Format number of replies; a reply of another format is rejected.
pub(super) const FORMAT: u32 = 1;

/// Maximum size of a request's body in bytes.
const MAX_REQUEST_BYTES: usize = 1_024;

/// Maximum number of concurrent requests, held ones included; far above the number of a daemon's followers.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Replies to relay requests; other requests go to `others`.
pub struct SpaceReplies<S> {
    relay: Arc<Relay>,
    others: Arc<S>,
    open_requests: AtomicUsize,
    /// Cached encoding of all rows of a space, for followers that start together.
    encoded: Mutex<HashMap<String, EncodedSpace>>,
}

struct EncodedSpace {
    digest: u64,
    content: Content,
}

/// Counts a request until it is dropped.
struct RequestGuard<'a>(&'a AtomicUsize);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<S> SpaceReplies<S> {
    /// Replies from the copies that `relay` keeps.
    pub fn new(relay: Arc<Relay>, others: Arc<S>) -> Self {
        Self {
            relay,
            others,
            open_requests: AtomicUsize::new(0),
            encoded: Mutex::default(),
        }
    }

    fn admit(&self) -> Option<RequestGuard<'_>> {
        let guard = RequestGuard(&self.open_requests);
        let open = self.open_requests.fetch_add(1, Ordering::Relaxed);
        (open < MAX_CONCURRENT_REQUESTS).then_some(guard)
    }

    /// Returns the reply; `None` if there is no copy, or at the limit of concurrent requests.
    async fn reply(&self, query: &SpaceQuestion) -> Option<SpaceReply> {
        let _guard = self.admit()?;
        let request = SpaceRequest {
            space: query.space.clone(),
            after: query.after,
            hold: Duration::from_millis(u64::from(query.wait_ms)),
            known_age: Some(Duration::from_millis(u64::from(query.known_age_ms))),
        };
        let space = self.relay.space(&query.space)?;
        let HeldReply {
            reply,
            proof_age,
            held,
        } = space.reply(&request).await?;
        let is_history_lost = reply.is_full && query.after > 0;
        let content = if is_history_lost {
            Content::default()
        } else {
            self.content(&query.space, reply.changes, reply.is_full, reply.digest)
        };
        Some(SpaceReply {
            revision: reply.revision,
            digest: reply.digest,
            store_time_ms: reply.store_time_ms,
            proof_age_ms: millis(proof_age).saturating_add(1),
            held_ms: millis(held),
            format: FORMAT,
            is_history_lost,
            content: content.bytes,
            is_compressed: content.is_compressed,
        })
    }

    fn content(&self, space: &str, rows: Vec<RowChange>, is_full: bool, digest: u64) -> Content {
        if !is_full {
            return Content::of(rows);
        }
        // The lock is held during encoding, so that concurrent requests encode only once.
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = encoded.get(space).filter(|cached| cached.digest == digest);
        if let Some(cached) = cached {
            return cached.content.clone();
        }
        let content = Content::of(rows);
        let entry = EncodedSpace {
            digest,
            content: content.clone(),
        };
        encoded.insert(space.to_owned(), entry);
        content
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[async_trait]
impl<S: HttpService> HttpService for SpaceReplies<S> {
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path_and_query();
        if path.is_none_or(|path| path.as_str() != PATH) {
            return self.others.call(request).await;
        }
        let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
        let body = body.collect().await.map(|body| body.to_bytes()).ok();
        let query = body.and_then(|body| decode::<SpaceQuestion>(&body));
        let reply = match &query {
            Some(query) => self.reply(query).await,
            None => None,
        };
        let status = match (&query, &reply) {
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
