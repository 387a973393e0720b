//! Resends of at-most-once requests must receive the identical stored response from any daemon, and wait for it
//! while the first run is in progress.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use harrierward_claims::{ClaimKey, RequestDigest};
use harrierward_emulator::{EngineHandle, MemoryPlatform, expected_response};
use harrierward_external::{RequestClass, Table, Transaction};
use harrierward_node::Node;
use harrierward_wire::{ClaimRow, ClaimState, encode};
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use support::{MODEL, POLL_INTERVAL, start_daemon, start_platform};
use tokio::time::{sleep, timeout};

const PROMPT: &str = "book desk 17";
const TOKENS: u32 = 6;
const STORED_HEADER: &str = "idempotent-replayed";

/// Maximum time until a resend is refused while the run is in progress, including scheduling delays.
const MAX_WAIT: Duration = Duration::from_millis(2_500);

/// Minimum time for which a resend waits before it is refused.
const MIN_WAIT: Duration = Duration::from_millis(900);

struct Fleet {
    platform: MemoryPlatform,
    engine: EngineHandle,
    first: String,
    second: String,
    nodes: [Node; 2],
}

/// Starts two daemons and waits until both serve requests.
async fn start_fleet() -> Fleet {
    let (platform, engine, address) = start_platform().await;
    let (one, first, seed) = start_daemon(&address, Vec::new()).await;
    let (two, second, _) = start_daemon(&address, vec![seed]).await;
    let can_serve = |node: &Node| node.is_ready() && node.status().replicas == 1;
    while !(can_serve(&one) && can_serve(&two)) {
        sleep(POLL_INTERVAL).await;
    }
    let fleet = Fleet {
        platform,
        engine,
        first,
        second,
        nodes: [one, two],
    };
    fleet.wait_until_serving().await;
    fleet
}

#[derive(Debug, Clone)]
struct Received {
    status: u16,
    headers: HeaderMap,
    text: String,
}

impl Received {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the JSON events of a complete streamed response.
    fn events(&self) -> Vec<Value> {
        let mut lines: Vec<&str> = self.text.split_terminator("\n\n").collect();
        assert_eq!(lines.pop(), Some("data: [DONE]"), "{}", self.text);
        lines
            .into_iter()
            .map(|line| {
                let json = line.strip_prefix("data: ").expect("an event");
                serde_json::from_str(json).expect("JSON")
            })
            .collect()
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

async fn call(address: &str, path: &str, headers: &[(&str, &str)], body: &Value) -> Received {
    let response = support::open(address, Method::POST, path, headers, body.to_string()).await;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    Received {
        status,
        headers,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}

async fn send_idempotent(address: &str, key: &str, body: &Value) -> Received {
    let headers = [
        ("idempotency-key", key),
        ("harrierward-execution", "at-most-once"),
    ];
    call(address, "/v1/completions", &headers, body).await
}

fn completion(is_streamed: bool) -> Value {
    let mut body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": TOKENS});
    if is_streamed {
        body["stream"] = json!(true);
    }
    body
}

impl Fleet {
    /// Waits until both daemons serve requests: a new one may not have discovered the engine yet.
    async fn wait_until_serving(&self) {
        let body = json!({"model": MODEL, "prompt": "settle", "max_tokens": 1});
        for address in [&self.first, &self.second] {
            while call(address, "/v1/completions", &[], &body).await.status != 200 {
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    fn runs(&self) -> usize {
        let runs = self.engine.executions();
        runs.iter().filter(|run| run.prompt == PROMPT).count()
    }

    /// Writes the claim of a daemon that no longer runs.
    async fn write_claim(&self, key: &str, state: ClaimState, response: &[u8]) {
        let body = completion(false).to_string();
        let digest = RequestDigest::of("/v1/completions", body.as_bytes(), b"");
        let row = ClaimRow {
            digest: digest.body,
            attempt: "gone-claim-1".to_owned(),
            state: state as i32,
            answer: response.to_vec(),
            created_at_ms: 1,
            content_digest: Vec::new(),
        };
        let write = Transaction::default().put(row_key(key), encode(&row));
        self.change_claims(write).await;
    }

    async fn change_claims(&self, write: Transaction) {
        let done = self.platform.transact(RequestClass::Urgent, write).await;
        done.expect("the table takes it");
    }

    fn freeze(&self, is_frozen: bool) {
        let frozen = &self.engine.faults().frozen;
        frozen.store(is_frozen, Ordering::Relaxed);
    }

    /// Freezes the engine, sends an idempotent request to the first daemon, and waits until the engine accepted it.
    async fn start_frozen_request(&self, key: &'static str) -> tokio::task::JoinHandle<Received> {
        self.freeze(true);
        let address = self.first.clone();
        let request =
            tokio::spawn(async move { send_idempotent(&address, key, &completion(false)).await });
        while self.runs() == 0 {
            sleep(POLL_INTERVAL).await;
        }
        request
    }
}

fn row_key(key: &str) -> String {
    let key = ClaimKey {
        tenant: "desks".to_owned(),
        key: key.to_owned(),
    };
    key.row_key()
}

fn assert_stored(seen: &Received) {
    assert_eq!(seen.status, 200, "{}", seen.text);
    assert_eq!(seen.header(STORED_HEADER), Some("true"), "{seen:?}");
    assert_eq!(seen.header("harrierward-execution"), Some("ran"));
}

fn assert_same_metadata(event: &Value, unstreamed: &Value) {
    for field in ["id", "created", "model"] {
        assert!(!unstreamed[field].is_null(), "{unstreamed}");
        assert_eq!(event[field], unstreamed[field], "{field}");
    }
}

fn streamed_text(events: &[Value]) -> String {
    events
        .iter()
        .filter_map(|event| event["choices"][0]["text"].as_str())
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resend_receives_the_identical_stored_response_at_any_daemon() {
    let fleet = start_fleet().await;
    let first = send_idempotent(&fleet.first, "booking", &completion(false)).await;
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.header(STORED_HEADER), None, "the first one ran");
    // Ensures that a newly generated response would have another creation time.
    sleep(Duration::from_millis(1_100)).await;
    for address in [&fleet.first, &fleet.second] {
        let again = send_idempotent(address, "booking", &completion(false)).await;
        assert_stored(&again);
        assert_eq!(again.json(), first.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replayed_chat_response_keeps_its_id() {
    let fleet = start_fleet().await;
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "desk 17"}]});
    let headers = [
        ("idempotency-key", "chat"),
        ("harrierward-execution", "at-most-once"),
    ];
    let path = "/v1/chat/completions";
    let first = call(&fleet.first, path, &headers, &body).await;
    let again = call(&fleet.second, path, &headers, &body).await;
    assert_eq!(first.status, 200, "{}", first.text);
    assert_stored(&again);
    assert_eq!(again.json(), first.json());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_stored_from_an_unstreamed_request_can_be_streamed() {
    let fleet = start_fleet().await;
    let unstreamed = send_idempotent(&fleet.first, "whole-first", &completion(false)).await;
    let streamed = send_idempotent(&fleet.second, "whole-first", &completion(true)).await;
    assert_stored(&streamed);
    let events = streamed.events();
    assert_eq!(
        streamed_text(&events),
        expected_response(MODEL, PROMPT, TOKENS)
    );
    for event in &events {
        assert_same_metadata(event, &unstreamed.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_stored_from_a_stream_can_be_replayed_streamed_or_unstreamed() {
    let fleet = start_fleet().await;
    let first = send_idempotent(&fleet.first, "stream-first", &completion(true)).await;
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.header(STORED_HEADER), None, "the first one ran");
    let first = first.events();
    let streamed = send_idempotent(&fleet.second, "stream-first", &completion(true)).await;
    assert_stored(&streamed);
    let events = streamed.events();
    assert_eq!(streamed_text(&events), streamed_text(&first));
    let unstreamed = send_idempotent(&fleet.second, "stream-first", &completion(false)).await;
    assert_stored(&unstreamed);
    assert_eq!(
        unstreamed.json()["choices"][0]["text"],
        streamed_text(&first)
    );
    for event in first.iter().chain(&events) {
        assert_same_metadata(event, &unstreamed.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resend_during_the_run_waits_for_its_response() {
    let fleet = start_fleet().await;
    let request = fleet.start_frozen_request("during").await;
    let resends = [&fleet.first, &fleet.second].map(|address| {
        let address = address.clone();
        tokio::spawn(async move { send_idempotent(&address, "during", &completion(false)).await })
    });
    sleep(Duration::from_millis(300)).await;
    fleet.freeze(false);
    let first = request.await.expect("the booking ends");
    assert_eq!(first.status, 200, "{}", first.text);
    for resend in resends {
        let again = resend.await.expect("the resend ends");
        assert_stored(&again);
        assert_eq!(again.json(), first.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resend_that_times_out_is_refused_with_a_retry_time() {
    let fleet = start_fleet().await;
    let request = fleet.start_frozen_request("long").await;
    for address in [&fleet.first, &fleet.second] {
        let sent_at = Instant::now();
        let refused = send_idempotent(address, "long", &completion(false)).await;
        let waited = sent_at.elapsed();
        assert_eq!(refused.status, 409, "{}", refused.text);
        assert_eq!(refused.header("harrierward-execution"), Some("unknown"));
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        assert!((MIN_WAIT..MAX_WAIT).contains(&waited), "{waited:?}");
    }
    fleet.freeze(false);
    let first = request.await.expect("the booking ends");
    let again = send_idempotent(&fleet.second, "long", &completion(false)).await;
    assert_stored(&again);
    assert_eq!(again.json(), first.json());
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reusing_a_key_for_another_request_is_refused() {
    let fleet = start_fleet().await;
    let first = send_idempotent(&fleet.first, "mine", &completion(false)).await;
    assert_eq!(first.status, 200, "{}", first.text);
    let mut longer = completion(true);
    longer["max_tokens"] = json!(TOKENS + 1);
    let refused = send_idempotent(&fleet.second, "mine", &longer).await;
    assert_eq!(refused.status, 422, "{}", refused.text);
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resend_runs_the_request_after_its_claim_is_released() {
    let fleet = start_fleet().await;
    fleet.write_claim("released", ClaimState::Open, b"").await;
    let address = fleet.second.clone();
    let resend =
        tokio::spawn(
            async move { send_idempotent(&address, "released", &completion(false)).await },
        );
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.runs(), 0, "another attempt holds the claim");
    let release = Transaction::default().delete(row_key("released"));
    fleet.change_claims(release).await;
    let response = resend.await.expect("the resend ends");
    assert_eq!(response.status, 200, "{}", response.text);
    assert_eq!(response.header(STORED_HEADER), None, "it ran");
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_stored_without_an_id_is_replayed() {
    let fleet = start_fleet().await;
    let stored = json!({
        "text": "booked", "reason": "stop",
        "usage": {"prompt_tokens": 4, "completion_tokens": 1},
    });
    let stored = stored.to_string();
    fleet
        .write_claim("old", ClaimState::Done, stored.as_bytes())
        .await;
    let again = send_idempotent(&fleet.second, "old", &completion(false)).await;
    assert_stored(&again);
    assert_eq!(again.json()["choices"][0]["text"], "booked");
    assert_eq!(fleet.runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_waits_for_a_pending_resend() {
    let fleet = start_fleet().await;
    let request = fleet.start_frozen_request("stop").await;
    let address = fleet.second.clone();
    let resend =
        tokio::spawn(async move { send_idempotent(&address, "stop", &completion(false)).await });
    let [_, second] = &fleet.nodes;
    // Draining waits until the load is zero.
    let is_counted = async {
        while second.gateway().load() == (0, 0) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let counted = timeout(Duration::from_secs(1), is_counted).await;
    assert!(counted.is_ok(), "a resend that waits counts");
    let leaving = second.clone();
    let stop = tokio::spawn(async move { leaving.drain().await });
    sleep(Duration::from_millis(300)).await;
    assert!(!stop.is_finished(), "the resend still waits");
    fleet.freeze(false);
    assert!(stop.await.expect("the stop ends"), "it cuts nothing off");
    let again = resend.await.expect("the resend ends");
    assert_stored(&again);
    let first = request.await.expect("the booking ends");
    assert_eq!(again.json(), first.json());
}
