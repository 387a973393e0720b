//! Guards against denying new routes when the store's feed skips a configuration that peers announce.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{
    ConnectionPool, Discovery, HttpService, PeerUpdates, PoolSettings, ResponseBody, ServerControl,
    serve,
};
use harrierward_external::Row;
use harrierward_relay::SpaceUpdate;
use harrierward_serving::ReplicaSet;
use harrierward_wire::{KnownRow, KnownRows, encode};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use support::PlainSource;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time within which a configuration must be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// Interval between notices of a peer.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

const KEY: &str = "configuration";

/// A peer that serves this version and counts the requests for it.
struct Peer {
    version: u64,
    requests: AtomicUsize,
}

#[async_trait]
impl HttpService for Peer {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let rows = KnownRows {
            configuration: Some(KnownRow {
                key: KEY.to_owned(),
                value: self.version.to_string().into_bytes(),
                revision: self.version,
            }),
            ..KnownRows::default()
        };
        let body = Full::new(Bytes::from(encode(&rows)));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

async fn start_peer(version: u64) -> (Arc<Peer>, String) {
    let peer = Arc::new(Peer {
        version,
        requests: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control, peer.clone()));
    (peer, address)
}

/// Returns a daemon with version 1 in force.
fn daemon() -> (Arc<Discovery>, Arc<PeerUpdates>) {
    let log = DecisionLog::new(LogBounds::default());
    let discovery = Arc::new(Discovery::new(
        Arc::new(PlainSource),
        Arc::new(ArcSwapOption::empty()),
        Arc::new(ReplicaSet::default()),
        Arc::new(ServerControl::default()),
        Arc::default(),
        log.clone(),
    ));
    apply_feed_response(&discovery, Some(1));
    let peer_updates = Arc::new(PeerUpdates::new(discovery.clone(), log.clone()));
    let pool = ConnectionPool::new(PoolSettings::default(), log);
    tokio::spawn(peer_updates.clone().catch_up(pool));
    (discovery, peer_updates)
}

/// Applies a response of the store's feed, with or without a version.
fn apply_feed_response(discovery: &Discovery, version: Option<u64>) {
    let row = |version: u64| Row {
        key: KEY.to_owned(),
        value: version.to_string().into(),
        revision: version,
    };
    let update = SpaceUpdate {
        written: version.map(row).into_iter().collect(),
        as_of: Some(harrierward_clock::now()),
        ..SpaceUpdate::default()
    };
    discovery.apply_configuration(&update, "store");
}

#[tokio::test]
async fn a_version_that_the_feed_skips_is_fetched_from_a_peer() {
    let (peer, address) = start_peer(2).await;
    let (discovery, peer_updates) = daemon();
    let began = Instant::now();
    while began.elapsed() < IN_FORCE_WITHIN && discovery.configuration_version() < 2 {
        apply_feed_response(&discovery, None);
        peer_updates.note_peer_version(2, || Some(address.clone()));
        sleep(NOTICE_INTERVAL).await;
    }
    assert_eq!(discovery.configuration_version(), 2);
    assert_eq!(peer.requests.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_version_that_the_feed_delivers_in_time_is_not_fetched() {
    let (peer, address) = start_peer(2).await;
    let (discovery, peer_updates) = daemon();
    let began = Instant::now();
    while began.elapsed() < IN_FORCE_WITHIN {
        // A working feed, delayed by one or two slow responses of the store.
        let version = (began.elapsed() > 3 * NOTICE_INTERVAL).then_some(2);
        apply_feed_response(&discovery, version);
        peer_updates.note_peer_version(2, || Some(address.clone()));
        sleep(NOTICE_INTERVAL).await;
    }
    assert_eq!(discovery.configuration_version(), 2);
    assert_eq!(peer.requests.load(Ordering::Relaxed), 0);
}
