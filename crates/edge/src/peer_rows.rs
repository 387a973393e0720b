//! Bootstrap from peers: a daemon that starts while the store is unavailable fetches configuration and replicas from
//! them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
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
use crate::hedged::first_response;
use crate::members::Members;
use crate::peer_updates::{evacuations_from_message, evacuations_to_message};
use crate::pool::{ConnectionPool, PooledResponse};
use crate::response_budget::ResponseBudget;
use crate::server::{HttpService, ResponseBody};

/// Path of a request for all known rows.
const PATH: &str = "/internal/known-rows";

/// Path of a request for all known rows but those of the replicas, which are many in a large fleet.
const CONFIGURATION_PATH: &str = "/internal/known-rows?configuration";

/// Time for the store to respond before peers are queried; callers are refused meanwhile.
const STORE_WAIT: Duration = Duration::from_millis(150);

/// Bounds of the backoff between rounds of requests. If all daemons start at once, none has rows yet.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Delay after which the next peer is queried as well.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

const MAX_PEERS_PER_ROUND: usize = 4;

/// Timeout of a request to one peer.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves known rows to peers.
pub struct PeerRows {
    discovery: Arc<Discovery>,
    budget: Mutex<ResponseBudget>,
}

impl PeerRows {
    /// Serves the rows known to `discovery`.
    pub fn new(discovery: Arc<Discovery>) -> Self {
        Self {
            discovery,
            budget: Mutex::default(),
        }
    }

    /// Returns the encoded rows; `None` while this daemon is incomplete or its response budget is used up.
    fn response_body(&self, now: Instant, with_replicas: bool) -> Option<Bytes> {
        if !self.discovery.is_complete() {
            return None;
        }
        // Held while the rows are encoded: responses are built one at a time.
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.is_free(now) {
            return None;
        }
        let (configuration, mut replicas) = self.discovery.known_rows();
        if !with_replicas {
            replicas.clear();
        }
        let rows = KnownRows {
            evacuations: Some(evacuations_to_message(&self.discovery.evacuations())),
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

/// Converts a row of a peer's message.
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
        let response = self.response_body(Instant::now(), with_replicas);
        let status = if response.is_some() {
            StatusCode::OK
        } else {
            // The requester tries another peer.
            StatusCode::SERVICE_UNAVAILABLE
        };
        let body = Full::new(response.unwrap_or_default());
        let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        *response.status_mut() = status;
        response
    }
}

/// Sends a request and returns the response of a peer that has rows, with its body unread.
async fn request_rows(
    pool: ConnectionPool,
    address: String,
    path: &'static str,
) -> Option<PooledResponse> {
    let request = Request::builder()
        .uri(path)
        .header("host", &address)
        .body(Bytes::new())
        .ok()?;
    let response = timeout(PEER_TIMEOUT, pool.send(&address, request, true)).await;
    let response = response.ok()?.ok()?;
    (response.head.status == StatusCode::OK).then_some(response)
}

async fn read_rows(response: PooledResponse) -> Option<KnownRows> {
    let body = response.collect().await.ok()?;
    decode(&body.into_framed().ok()?)
}

/// Fetches the configuration and the evacuated zones from a peer.
pub async fn fetch_configuration(pool: &ConnectionPool, address: &str) -> Option<KnownRows> {
    let response = request_rows(pool.clone(), address.to_owned(), CONFIGURATION_PATH).await?;
    read_rows(response).await
}

/// Fetches rows from one of several peers by hedged requests; only the first response's body is read.
async fn fetch_rows(addresses: Vec<String>, pool: &ConnectionPool) -> Option<KnownRows> {
    let request = |address| request_rows(pool.clone(), address, PATH);
    let response = first_response(addresses, HEDGE_DELAY, request).await?;
    timeout(PEER_TIMEOUT, read_rows(response)).await.ok()?
}

fn apply_rows(discovery: &Discovery, rows: KnownRows) {
    let Some(configuration) = rows.configuration else {
        return;
    };
    if let Some(evacuations) = rows.evacuations {
        discovery.merge_evacuations(&evacuations_from_message(evacuations), "peer");
    }
    let update = SpaceUpdate {
        written: vec![to_row(configuration)],
        ..SpaceUpdate::default()
    };
    discovery.apply_configuration(&update, "peer");
    let replicas: Vec<Row> = rows.replicas.into_iter().map(to_row).collect();
    discovery.apply_peer_replicas(&replicas);
}

/// Fetches rows from peers until this daemon can serve. Unlike responses of the store or of a relay, these rows prove
/// no contact with the store.
pub async fn bootstrap(
    discovery: Arc<Discovery>,
    members: Arc<Members>,
    relay: Arc<Relay>,
    pool: ConnectionPool,
    log: DecisionLog,
) {
    sleep(STORE_WAIT).await;
    let began = Instant::now();
    let mut random = SmallRng::from_os_rng();
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    // A relay delivers the same rows together with their proof.
    while !discovery.is_complete() && !relay.is_relaying() {
        let addresses = members.control_addresses(MAX_PEERS_PER_ROUND);
        let peers = addresses.len();
        let rows = fetch_rows(addresses, &pool).await;
        log.record(&Record::PeersAsked {
            peers,
            replicas: rows.as_ref().map_or(0, |rows| rows.replicas.len()),
            after_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
            outcome: if rows.is_some() { "rows" } else { "none" },
        });
        if let Some(rows) = rows {
            apply_rows(&discovery, rows);
        }
        if !discovery.is_complete() {
            sleep(MIN_BACKOFF / 2 + backoff.wait(&mut random)).await;
        }
    }
}
