//! A daemon that starts while the store cannot be read learns configuration and replicas from its peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_external::Row;
use harrierward_wire::{KnownRow, KnownRows, decode, encode};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout};

use crate::discovery::Discovery;
use crate::members::Members;
use crate::peer_news::{evacuation_news, evacuations_message};
use crate::pool::ConnectionPool;
use crate::server::{HttpService, ResponseBody};
use crate::watch::SpaceUpdate;

/// Path of the question.
const PATH: &str = "/internal/known-rows";

/// The same for the configuration alone: the replicas of a large fleet are a megabyte.
const CONFIGURATION_PATH: &str = "/internal/known-rows?configuration";

/// Time for the store to answer before peers are asked.
const STORE_FIRST: Duration = Duration::from_millis(600);

/// Pause between rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Peers asked in one round.
const MOST_ASKED: usize = 4;

/// Least time between two answers of one daemon. The rows of 3,000 replicas are a megabyte, and all daemons may start at
/// once: without a bound the first ones that know them held 90 MB of answers.
const ANSWER_EVERY: Duration = Duration::from_millis(100);

/// Longest wait for one peer.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers peers.
pub struct PeerRows {
    discovery: Arc<Discovery>,
    last_answer: Mutex<Option<Instant>>,
}

impl PeerRows {
    /// Tells what this daemon knows.
    pub fn new(discovery: Arc<Discovery>) -> Self {
        Self {
            discovery,
            last_answer: Mutex::default(),
        }
    }

    /// True if this daemon has not just answered another one.
    pub fn may_answer(&self, now: Instant) -> bool {
        let mut last = self
            .last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let due = last.is_none_or(|last| now.saturating_duration_since(last) >= ANSWER_EVERY);
        if due {
            *last = Some(now);
        }
        due
    }
}

fn to_message(row: &Row) -> KnownRow {
    KnownRow {
        key: row.key.clone(),
        value: row.value.to_vec(),
        revision: row.revision,
    }
}

pub fn to_row(row: KnownRow) -> Row {
    Row {
        key: row.key,
        value: Bytes::from(row.value),
        revision: row.revision,
    }
}

#[async_trait]
impl HttpService for PeerRows {
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if !self.may_answer(Instant::now()) {
            // The asker goes to another peer.
            let body = Full::new(Bytes::new()).map_err(|never| match never {});
            let mut response = Response::new(body.boxed_unsync());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        let (configuration, mut replicas) = self.discovery.known_rows();
        if request.uri().query().is_some() {
            replicas.clear();
        }
        let rows = KnownRows {
            evacuations: Some(evacuations_message(&self.discovery.evacuations())),
            configuration: configuration.as_ref().map(to_message),
            replicas: replicas.iter().map(to_message).collect(),
        };
        let body = Full::new(Bytes::from(encode(&rows)));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

/// Asks a peer for its configuration and the evacuated zones.
pub async fn ask_configuration(pool: &ConnectionPool, address: &str) -> Option<KnownRows> {
    ask(pool, address, CONFIGURATION_PATH).await
}

async fn ask(pool: &ConnectionPool, address: &str, path: &str) -> Option<KnownRows> {
    let request = Request::builder()
        .uri(path)
        .header("host", address)
        .body(Bytes::new())
        .ok()?;
    let mut response = pool.send(address, request, true).await.ok()?;
    if response.head.status != StatusCode::OK {
        return None;
    }
    let mut bytes = Vec::new();
    while let Some(part) = response.body.next().await {
        bytes.extend_from_slice(&part.ok()?);
    }
    decode(&bytes)
}

/// Asks peers until this daemon can serve.
pub async fn learn(discovery: Arc<Discovery>, members: Arc<Members>, pool: ConnectionPool) {
    sleep(STORE_FIRST).await;
    while !discovery.is_complete() {
        for address in members.control_addresses(MOST_ASKED) {
            let answer = timeout(PEER_TIMEOUT, ask(&pool, &address, PATH)).await;
            let Ok(Some(rows)) = answer else {
                continue;
            };
            let Some(configuration) = rows.configuration else {
                continue;
            };
            if let Some(told) = rows.evacuations {
                discovery.take_evacuations(&evacuation_news(told), "peer");
            }
            let update = SpaceUpdate {
                written: vec![to_row(configuration)],
                ..SpaceUpdate::default()
            };
            discovery.take_configuration(&update, "peer");
            let replicas: Vec<Row> = rows.replicas.into_iter().map(to_row).collect();
            discovery.take_replicas_of_peer(&replicas);
            return;
        }
        sleep(ROUND_PAUSE).await;
    }
}
