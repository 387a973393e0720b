//! Resends of at-most-once requests at whole daemons: the stored answer comes back as it was, whichever daemon is asked,
//! and a resend during the run waits for it.

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
use support::{MODEL, PAUSE, start_daemon, start_platform};
use tokio::time::{sleep, timeout};

const PROMPT: &str = "book desk 17";
const TOKENS: u32 = 6;
const STORED_HEADER: &str = "idempotent-replayed";

/// Longest time for which a resend may wait for the answer of the run in progress, with room for a busy machine.
const LONGEST_WAIT: Duration = Duration::from_millis(2_500);

/// Shortest time for which it waits before it is refused.
const SHORTEST_WAIT: Duration = Duration::from_millis(900);

struct Fleet {
    platform: MemoryPlatform,
    engine: EngineHandle,
    first: String,
    second: String,
    nodes: [Node; 2],
}

/// Two daemons that both know the engine.
async fn start_fleet() -> Fleet {
    let (platform, engine, address) = start_platform().await;
    let (one, first, seed) = start_daemon(&address, Vec::new()).await;
    let (two, second, _) = start_daemon(&address, vec![seed]).await;
    let knows = |node: &Node| node.is_ready() && node.status().replicas == 1;
    while !(knows(&one) && knows(&two)) {
        sleep(PAUSE).await;
    }
    let fleet = Fleet {
        platform,
        engine,
        first,
        second,
        nodes: [one, two],
    };
    fleet.settle().await;
    fleet
}

#[derive(Debug, Clone)]
struct Seen {
    status: u16,
    headers: HeaderMap,
    text: String,
}

impl Seen {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// The JSON parts of a streamed answer that ended whole.
    fn parts(&self) -> Vec<Value> {
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

async fn call(address: &str, path: &str, headers: &[(&str, &str)], body: &Value) -> Seen {
    let answer = support::open(address, Method::POST, path, headers, body.to_string()).await;
    let status = answer.status().as_u16();
    let headers = answer.headers().clone();
    let body = answer.into_body().collect().await.expect("a whole body");
    Seen {
        status,
        headers,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}

async fn book(address: &str, key: &str, body: &Value) -> Seen {
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
    /// Until both daemons serve: one that has just started may not have heard of the engine yet.
    async fn settle(&self) {
        let body = json!({"model": MODEL, "prompt": "settle", "max_tokens": 1});
        for address in [&self.first, &self.second] {
            while call(address, "/v1/completions", &[], &body).await.status != 200 {
                sleep(PAUSE).await;
            }
        }
    }

    fn runs(&self) -> usize {
        let runs = self.engine.executions();
        runs.iter().filter(|run| run.prompt == PROMPT).count()
    }

    /// Writes a claim as a daemon does that is not there any more.
    async fn write_claim(&self, key: &str, state: ClaimState, answer: &[u8]) {
        let body = completion(false).to_string();
        let digest = RequestDigest::of("/v1/completions", body.as_bytes(), b"");
        let row = ClaimRow {
            digest: digest.body,
            attempt: "gone-claim-1".to_owned(),
            state: state as i32,
            answer: answer.to_vec(),
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

    /// Sends a booking to the first daemon while the engine runs no steps, and waits until the engine has it.
    async fn start_frozen_booking(&self, key: &'static str) -> tokio::task::JoinHandle<Seen> {
        self.freeze(true);
        let address = self.first.clone();
        let booking = tokio::spawn(async move { book(&address, key, &completion(false)).await });
        while self.runs() == 0 {
            sleep(PAUSE).await;
        }
        booking
    }
}

fn row_key(key: &str) -> String {
    let key = ClaimKey {
        tenant: "desks".to_owned(),
        key: key.to_owned(),
    };
    key.row_key()
}

fn assert_stored(seen: &Seen) {
    assert_eq!(seen.status, 200, "{}", seen.text);
    assert_eq!(seen.header(STORED_HEADER), Some("true"), "{seen:?}");
    assert_eq!(seen.header("harrierward-execution"), Some("ran"));
}

fn assert_same_head(part: &Value, whole: &Value) {
    for field in ["id", "created", "model"] {
        assert!(!whole[field].is_null(), "{whole}");
        assert_eq!(part[field], whole[field], "{field}");
    }
}

fn streamed_text(parts: &[Value]) -> String {
    parts
        .iter()
        .filter_map(|part| part["choices"][0]["text"].as_str())
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_gets_the_stored_answer_as_it_was_at_any_daemon() {
    let fleet = start_fleet().await;
    let first = book(&fleet.first, "booking", &completion(false)).await;
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.header(STORED_HEADER), None, "the first one ran");
    // So that an answer made anew would show another time.
    sleep(Duration::from_millis(1_100)).await;
    for address in [&fleet.first, &fleet.second] {
        let again = book(address, "booking", &completion(false)).await;
        assert_stored(&again);
        assert_eq!(again.json(), first.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_chat_answer_keeps_its_id_too() {
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
async fn a_stored_answer_is_streamed_to_who_asks_for_a_stream() {
    let fleet = start_fleet().await;
    let whole = book(&fleet.first, "whole-first", &completion(false)).await;
    let streamed = book(&fleet.second, "whole-first", &completion(true)).await;
    assert_stored(&streamed);
    let parts = streamed.parts();
    assert_eq!(
        streamed_text(&parts),
        expected_response(MODEL, PROMPT, TOKENS)
    );
    for part in &parts {
        assert_same_head(part, &whole.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_streamed_answer_is_given_again_streamed_or_whole() {
    let fleet = start_fleet().await;
    let first = book(&fleet.first, "stream-first", &completion(true)).await;
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.header(STORED_HEADER), None, "the first one ran");
    let first = first.parts();
    let streamed = book(&fleet.second, "stream-first", &completion(true)).await;
    assert_stored(&streamed);
    let parts = streamed.parts();
    assert_eq!(streamed_text(&parts), streamed_text(&first));
    let whole = book(&fleet.second, "stream-first", &completion(false)).await;
    assert_stored(&whole);
    assert_eq!(whole.json()["choices"][0]["text"], streamed_text(&first));
    for part in first.iter().chain(&parts) {
        assert_same_head(part, &whole.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_during_the_run_waits_for_its_answer() {
    let fleet = start_fleet().await;
    let booking = fleet.start_frozen_booking("during").await;
    let resends = [&fleet.first, &fleet.second].map(|address| {
        let address = address.clone();
        tokio::spawn(async move { book(&address, "during", &completion(false)).await })
    });
    sleep(Duration::from_millis(300)).await;
    fleet.freeze(false);
    let first = booking.await.expect("the booking ends");
    assert_eq!(first.status, 200, "{}", first.text);
    for resend in resends {
        let again = resend.await.expect("the resend ends");
        assert_stored(&again);
        assert_eq!(again.json(), first.json());
    }
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_that_waited_in_vain_is_told_to_come_back() {
    let fleet = start_fleet().await;
    let booking = fleet.start_frozen_booking("long").await;
    for address in [&fleet.first, &fleet.second] {
        let asked_at = Instant::now();
        let refused = book(address, "long", &completion(false)).await;
        let waited = asked_at.elapsed();
        assert_eq!(refused.status, 409, "{}", refused.text);
        assert_eq!(refused.header("harrierward-execution"), Some("unknown"));
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        assert!(
            (SHORTEST_WAIT..LONGEST_WAIT).contains(&waited),
            "{waited:?}"
        );
    }
    fleet.freeze(false);
    let first = booking.await.expect("the booking ends");
    let again = book(&fleet.second, "long", &completion(false)).await;
    assert_stored(&again);
    assert_eq!(again.json(), first.json());
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_with_another_request_is_refused_at_once() {
    let fleet = start_fleet().await;
    let first = book(&fleet.first, "mine", &completion(false)).await;
    assert_eq!(first.status, 200, "{}", first.text);
    let mut longer = completion(true);
    longer["max_tokens"] = json!(TOKENS + 1);
    let refused = book(&fleet.second, "mine", &longer).await;
    assert_eq!(refused.status, 422, "{}", refused.text);
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_runs_what_was_released_while_it_waited() {
    let fleet = start_fleet().await;
    fleet.write_claim("released", ClaimState::Open, b"").await;
    let address = fleet.second.clone();
    let resend = tokio::spawn(async move { book(&address, "released", &completion(false)).await });
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.runs(), 0, "another attempt holds the claim");
    let release = Transaction::default().delete(row_key("released"));
    fleet.change_claims(release).await;
    let answer = resend.await.expect("the resend ends");
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(answer.header(STORED_HEADER), None, "it ran");
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_stored_without_an_id_is_still_given_and_marked() {
    let fleet = start_fleet().await;
    let stored = json!({
        "text": "booked", "reason": "stop",
        "usage": {"prompt_tokens": 4, "completion_tokens": 1},
    });
    let stored = stored.to_string();
    fleet
        .write_claim("old", ClaimState::Done, stored.as_bytes())
        .await;
    let again = book(&fleet.second, "old", &completion(false)).await;
    assert_stored(&again);
    assert_eq!(again.json()["choices"][0]["text"], "booked");
    assert_eq!(fleet.runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_waits_for_a_resend_that_waits() {
    let fleet = start_fleet().await;
    let booking = fleet.start_frozen_booking("stop").await;
    let address = fleet.second.clone();
    let resend = tokio::spawn(async move { book(&address, "stop", &completion(false)).await });
    let [_, second] = &fleet.nodes;
    // A planned stop waits until the load is nothing.
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
    let first = booking.await.expect("the booking ends");
    assert_eq!(again.json(), first.json());
}
