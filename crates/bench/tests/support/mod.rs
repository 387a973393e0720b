//! Starts daemons over loopback with one emulated platform.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use harrierward_config::{ApplyFile, ApplyRequest, ConfigStore, KeyDigest};
use harrierward_emulator::server::{engine_router, platform_router};
use harrierward_emulator::{EngineHandle, EngineParameters, MemoryPlatform, PlatformParameters};
use harrierward_external::http::{
    HttpCaller, HttpEngine, HttpMachineList, HttpObjectStore, HttpTable, HttpWeightStore,
    with_nodelay,
};
use harrierward_external::{Engine, Machine, MachineState, ReplicaId};
use harrierward_gateway::EngineConnector;
use harrierward_node::{
    Node, NodeIdentity, NodeParts, NodeSettings, SocketNetwork, peer_router, serve_datagrams,
};
use http::{Method, Response};
use hyper::body::Incoming;
use prometheus::Registry;
use tokio::net::{TcpListener, UdpSocket};

/// Model, service and endpoint name of the only engine.
pub const MODEL: &str = "banco-lm";
/// API key of the only tenant's callers.
pub const CALLER_KEY: &str = "caller";
const SHARDS: u32 = 4;
/// Interval between checks of a condition that a test waits for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct HttpConnector {
    caller: HttpCaller,
}

impl EngineConnector for HttpConnector {
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(self.caller.clone(), &machine.address))
    }
}

pub async fn serve(routes: axum::Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move { axum::serve(with_nodelay(listener), routes).await });
    address
}

/// Starts a platform with one engine; returns both and the HTTP address of the platform.
pub async fn start_platform() -> (MemoryPlatform, EngineHandle, String) {
    let platform = MemoryPlatform::new(PlatformParameters::default());
    let models = vec![MODEL.to_owned()];
    let engine = EngineHandle::start("engine", EngineParameters::default(), models, 0.1, true);
    let engine_address = serve(engine_router(engine.clone())).await;
    platform.seed_machine(Machine {
        replica: ReplicaId("engine".to_owned()),
        service: MODEL.to_owned(),
        zone: "zone".to_owned(),
        address: engine_address,
        state: MachineState::Live,
    });
    let digest = KeyDigest::of(CALLER_KEY).0;
    let text = format!(
        "[[tenant]]\nname='desks'\nowner='desks'\nspec={{caller_keys=['{digest}']}}\n\
         [[service]]\nname='{MODEL}'\nowner='desks'\nspec={{model='{MODEL}'}}\n\
         [[endpoint]]\nname='{MODEL}'\nowner='desks'\nspec={{service='{MODEL}'}}\n"
    );
    let file = ApplyFile::parse(&text).expect("objects");
    let request = ApplyRequest {
        operation: "first".to_owned(),
        operator: None,
        at_ms: 0,
        changes: file.changes().expect("changes"),
    };
    let store = ConfigStore::new(Arc::new(platform.clone()));
    let applied = store.apply(&request, &|_| Ok(())).await;
    applied.expect("the first objects are accepted");
    let address = serve(platform_router(platform.clone())).await;
    (platform, engine, address)
}

/// Starts a daemon on its own sockets; returns it with its API address and its UDP address.
pub async fn start_daemon(platform: &str, seeds: Vec<String>) -> (Node, String, String) {
    let udp = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
    let peers = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let udp_address = udp.local_addr().expect("an address").to_string();
    let peer_address = peers.local_addr().expect("an address").to_string();
    let caller = HttpCaller::new();
    let node = Node::start(NodeParts {
        identity: NodeIdentity {
            member: format!("member-{peer_address}"),
            udp_address: udp_address.clone(),
            peer_address,
            zone: "zone".to_owned(),
            region: "region".to_owned(),
            region_zones: vec!["zone".to_owned()],
            seeds,
        },
        table: Arc::new(HttpTable::new(caller.clone(), platform)),
        objects: Arc::new(HttpObjectStore::new(caller.clone(), platform)),
        machines: Arc::new(HttpMachineList::new(caller.clone(), platform)),
        weights: Arc::new(HttpWeightStore::new(caller.clone(), platform)),
        connector: Arc::new(HttpConnector {
            caller: caller.clone(),
        }),
        network: Arc::new(SocketNetwork::new(caller, udp.clone())),
        registry: Registry::new(),
        settings: NodeSettings {
            shards: SHARDS,
            ..NodeSettings::default()
        },
    })
    .expect("the daemon starts");
    tokio::spawn(serve_datagrams(node.clone(), udp));
    let routes = peer_router(node.clone());
    tokio::spawn(async move { axum::serve(with_nodelay(peers), routes).await });
    let api = serve(harrierward_api::router(node.clone())).await;
    (node, api, udp_address)
}

/// Sends a request with the caller's key; returns the response with its body unread.
pub async fn open(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Response<Incoming> {
    let authorization = format!("Bearer {CALLER_KEY}");
    let mut all = vec![("authorization", authorization.as_str())];
    all.extend_from_slice(headers);
    HttpCaller::new()
        .open(method, address, path, &all, body.into())
        .await
        .expect("a response")
}
