//! A daemon that starts while the store cannot be read learns configuration and replicas from its peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{Backoff, Row};
use harrierward_relay::{Relay, SpaceUpdate};
use harrierward_wire::{KnownRow, KnownRows, decode, encode};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep, timeout};

use crate::discovery::Discovery;
use crate::hedged::first_answer;
use crate::members::Members;
use crate::peer_news::{evacuation_news, evacuations_message};
use crate::pool::{ConnectionPool, PooledResponse};
use crate::response_budget::ResponseBudget;
use crate::server::{HttpService, ResponseBody};

/// Path of the question.
const PATH: &str = "/internal/known-rows";

/// The same for the configuration alone: the replicas of a large fleet are a megabyte.
const CONFIGURATION_PATH: &str = "/internal/known-rows?configuration";

/// Time for the store to answer before peers are asked. A store that answers has told a starting daemon all within 0.11 s
/// where 52 start at once; until then, each caller that comes is refused.
const STORE_FIRST: Duration = Duration::from_millis(150);

/// Pauses between rounds of questions. They grow: where all daemons start at once nobody knows anything, and the store
/// is what they wait for.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// After how long a silent peer is not waited for alone: it may have lost its power, too.
const SILENT_FOR: Duration = Duration::from_millis(100);

/// Peers asked in one round.
const MOST_ASKED: usize = 4;

/// Longest wait for one peer.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers peers.
pub struct PeerRows {
    discovery: Arc<Discovery>,
    budget: Mutex<ResponseBudget>,
}

impl PeerRows {
    /// Tells what this daemon knows.
    pub fn new(discovery: Arc<Discovery>) -> Self {
        Self {
            discovery,
            budget: Mutex::default(),
        }
    }

    /// The rows, encoded; `None` while this daemon cannot serve itself, or has just answered others.
    fn answer(&self, now: Instant, with_replicas: bool) -> Option<Bytes> {
        if !self.discovery.is_complete() {
            return None;
        }
        // Held while the rows are encoded: answers are made one at a time.
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.is_free(now) {
            return None;
        }
        let (configuration, mut replicas) = self.discovery.known_rows();
        if !with_replicas {
            replicas.clear();
        }
        let rows = KnownRows {
            evacuations: Some(evacuations_message(&self.discovery.evacuations())),
            configuration: configuration.as_ref().map(to_message),
            replicas: replicas.iter().map(to_message).collect(),
        };
        let bytes = Bytes::from(encode(&rows));
        budget.spend(bytes.len(), now);
        Some(bytes)
    }
}

fn to_message(row: &Row) -> KnownRow {
    KnownRow {
        key: row.key.clone(),
        value: row.value.to_vec(),
        revision: row.revision,
    }
}

/// A row of a peer's message.
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
        let with_replicas = request.uri().query().is_none();
        let answer = self.answer(Instant::now(), with_replicas);
        let status = if answer.is_some() {
            StatusCode::OK
        } else {
            // The asker goes to another peer.
            StatusCode::SERVICE_UNAVAILABLE
        };
        let body = Full::new(answer.unwrap_or_default());
        let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        *response.status_mut() = status;
        response
    }
}

/// A peer that answers, before its rows are read.
async fn ask(pool: ConnectionPool, address: String, path: &'static str) -> Option<PooledResponse> {
    let request = Request::builder()
        .uri(path)
        .header("host", &address)
        .body(Bytes::new())
        .ok()?;
    let answer = timeout(PEER_TIMEOUT, pool.send(&address, request, true)).await;
    let answer = answer.ok()?.ok()?;
    (answer.head.status == StatusCode::OK).then_some(answer)
}

async fn read_rows(mut answer: PooledResponse) -> Option<KnownRows> {
    let mut bytes = Vec::new();
    while let Some(part) = answer.body.next().await {
        bytes.extend_from_slice(&part.ok()?);
    }
    decode(&bytes)
}

/// Asks a peer for its configuration and the evacuated zones.
pub async fn ask_configuration(pool: &ConnectionPool, address: &str) -> Option<KnownRows> {
    let answer = ask(pool.clone(), address.to_owned(), CONFIGURATION_PATH).await?;
    read_rows(answer).await
}

/// Asks near peers for their rows. Only one of them sends them.
async fn ask_some(addresses: Vec<String>, pool: &ConnectionPool) -> Option<KnownRows> {
    let asking = |address| ask(pool.clone(), address, PATH);
    let answer = first_answer(addresses, SILENT_FOR, asking).await?;
    timeout(PEER_TIMEOUT, read_rows(answer)).await.ok()?
}

fn take(discovery: &Discovery, rows: KnownRows) {
    let Some(configuration) = rows.configuration else {
        return;
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
}

/// Asks peers until this daemon can serve. What a peer says proves nothing: neither the configuration's age nor the
/// jobs' headers, which only the store's own answers do.
pub async fn learn(
    discovery: Arc<Discovery>,
    members: Arc<Members>,
    relay: Arc<Relay>,
    pool: ConnectionPool,
    log: DecisionLog,
) {
    sleep(STORE_FIRST).await;
    let began = Instant::now();
    let mut random = SmallRng::from_os_rng();
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    // Along a zone's tree all that this brings comes with its proof.
    while !discovery.is_complete() && !relay.is_relaying() {
        let addresses = members.control_addresses(MOST_ASKED);
        let peers = addresses.len();
        let rows = ask_some(addresses, &pool).await;
        log.record(&Record::PeersAsked {
            peers,
            replicas: rows.as_ref().map_or(0, |rows| rows.replicas.len()),
            after_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
            outcome: if rows.is_some() { "rows" } else { "none" },
        });
        if let Some(rows) = rows {
            take(&discovery, rows);
        }
        if !discovery.is_complete() {
            sleep(FIRST_PAUSE / 2 + backoff.wait(&mut random)).await;
        }
    }
}
