//! Three daemons over real loopback before one stand-in platform: what was sent to one holds at the others.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use harrierward_config::{ApplyFile, ApplyRequest, ConfigStore, KeyDigest};
use harrierward_emulator::server::{engine_router, platform_router};
use harrierward_emulator::{
    EngineHandle, EngineParameters, MemoryPlatform, PlatformParameters, expected_answer,
};
use harrierward_external::http::{
    HttpCaller, HttpEngine, HttpMachineList, HttpObjectStore, HttpTable, HttpWeightStore,
    without_delay,
};
use harrierward_external::{Engine, Machine, MachineState, ReplicaId};
use harrierward_gateway::EngineConnector;
use harrierward_node::{
    Node, NodeIdentity, NodeParts, NodeSettings, SocketNetwork, peer_router, serve_datagrams,
};
use http::Method;
use prometheus::Registry;
use serde_json::{Value, json};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

const MODEL: &str = "banco-lm";
const KEY: &str = "caller";
const SHARDS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(50);

struct Connector {
    caller: HttpCaller,
}

impl EngineConnector for Connector {
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(self.caller.clone(), &machine.address))
    }
}

async fn serve(routes: axum::Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move { axum::serve(without_delay(listener), routes).await });
    address
}

async fn start_platform() -> (MemoryPlatform, EngineHandle, String) {
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
    let digest = KeyDigest::of(KEY).0;
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

/// Starts a daemon on sockets of its own; its API address and UDP address.
async fn start_daemon(platform: &str, seeds: Vec<String>) -> (Node, String, String) {
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
        connector: Arc::new(Connector {
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
    tokio::spawn(async move { axum::serve(without_delay(peers), routes).await });
    let api = serve(harrierward_api::router(node.clone())).await;
    (node, api, udp_address)
}

async fn send(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> (u16, Bytes) {
    let authorization = format!("Bearer {KEY}");
    let mut all = vec![("authorization", authorization.as_str())];
    all.extend_from_slice(headers);
    let reply = HttpCaller::new()
        .call(method, address, path, &all, body.into())
        .await
        .expect("an answer");
    (reply.status.as_u16(), reply.body)
}

async fn send_json(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let (status, body) = send(address, method, path, headers, body.to_string()).await;
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

async fn submit(address: &str, lines: &str) -> String {
    let form = format!(
        "--b\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --b\r\ncontent-disposition: form-data; name=\"file\"; filename=\"f.jsonl\"\r\n\r\n{lines}\r\n--b--\r\n"
    );
    let headers = [
        ("content-type", "multipart/form-data; boundary=b"),
        ("idempotency-key", "the-job"),
    ];
    let (status, body) = send(address, Method::POST, "/v1/files", &headers, form).await;
    assert_eq!(status, 200, "{body:?}");
    let file: Value = serde_json::from_slice(&body).expect("JSON");
    let create = json!({
        "input_file_id": file["id"], "endpoint": "/v1/completions", "completion_window": "24h",
    });
    let headers = [("idempotency-key", "the-job")];
    let (status, job) = send_json(address, Method::POST, "/v1/batches", &headers, &create).await;
    assert_eq!(status, 200, "{job}");
    job["id"].as_str().expect("an id").to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_one_daemon_accepted_holds_at_the_others() {
    let (_, engine, platform) = start_platform().await;
    let (one, first, seed) = start_daemon(&platform, Vec::new()).await;
    let (_, second, _) = start_daemon(&platform, vec![seed.clone()]).await;
    let (_, third, _) = start_daemon(&platform, vec![seed]).await;
    let replicas_are_known = || one.status().members == 3 && one.status().replicas == 1;
    while !replicas_are_known() {
        sleep(PAUSE).await;
    }

    let body = json!({"model": MODEL, "prompt": "book desk 17", "max_tokens": 6});
    let marked = [
        ("idempotency-key", "booking"),
        ("harrierward-execution", "at-most-once"),
    ];
    let path = "/v1/completions";
    let mut answers = Vec::new();
    for address in [&first, &second, &third] {
        // A daemon that has just started may not have heard of the replica yet; that is "not run".
        let answer = loop {
            let (status, answer) = send_json(address, Method::POST, path, &marked, &body).await;
            if status == 200 {
                break answer;
            }
            sleep(PAUSE).await;
        };
        answers.push(answer["choices"][0]["text"].clone());
    }
    let expected = expected_answer(MODEL, "book desk 17", 6);
    assert!(
        answers.iter().all(|answer| *answer == expected),
        "{answers:?}"
    );
    let bookings = engine.executions();
    let bookings = bookings.iter().filter(|run| run.prompt == "book desk 17");
    assert_eq!(bookings.count(), 1, "the marked request ran once");

    let other = json!({"model": MODEL, "prompt": "book desk 18", "max_tokens": 6});
    let (status, refusal) = send_json(&second, Method::POST, path, &marked, &other).await;
    assert_eq!((status, &refusal["execution"]), (422, &json!("not_run")));

    let lines: String = (0..30)
        .map(|item| {
            let body = json!({"model": MODEL, "prompt": format!("lot {item}"), "max_tokens": 3});
            let line = json!({
                "custom_id": format!("i{item}"), "method": "POST", "url": path, "body": body,
            });
            format!("{line}\n")
        })
        .collect();
    let job = submit(&first, &lines).await;
    assert_eq!(
        submit(&second, &lines).await,
        job,
        "a resent job gives the same id"
    );
    let status_path = format!("/v1/batches/{job}");
    loop {
        let (_, state) = send_json(&third, Method::GET, &status_path, &[], &Value::Null).await;
        if state["status"] == "completed" {
            assert_eq!(state["request_counts"]["completed"], 30);
            break;
        }
        sleep(PAUSE).await;
    }
    let results_path = format!("/v1/files/file-output-{job}/content");
    let (_, results) = send(&third, Method::GET, &results_path, &[], Bytes::new()).await;
    let lines = String::from_utf8_lossy(&results).lines().count();
    assert_eq!(lines, 30, "every item has one result");
    assert!(one.drain().await, "a planned stop cuts nothing off");
}
