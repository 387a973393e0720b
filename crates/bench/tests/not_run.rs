//! The OpenAI-compatible API must not report a request as not run, or suggest a retry, if an engine may have started it
//! or its job may be stored.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::extract::Request;
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};
use harrierward_emulator::server::engine_router;
use harrierward_emulator::{EngineHandle, EngineParameters, MemoryPlatform, StoreFaults};
use harrierward_external::{Machine, MachineState, ReplicaId};
use harrierward_node::Node;
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use support::{MODEL, POLL_INTERVAL, serve, start_daemon, start_platform};
use tokio::time::sleep;

const PROMPT: &str = "describe lot 17";

/// Statuses that promise that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

struct Received {
    status: u16,
    headers: HeaderMap,
    text: String,
}

impl Received {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Checks that the response says that the request may have run, and suggests no retry.
    fn assert_indeterminate(&self) {
        assert!(!NOT_RUN_STATUSES.contains(&self.status), "{}", self.text);
        assert!(self.status >= 500, "{}: {}", self.status, self.text);
        assert_eq!(self.header("harrierward-execution"), Some("unknown"));
        assert_eq!(self.header("retry-after"), None, "{}", self.text);
    }
}

async fn call(address: &str, path: &str, headers: &[(&str, &str)], body: String) -> Received {
    let response = support::open(address, Method::POST, path, headers, body).await;
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

fn completion(prompt: &str) -> String {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": 6}).to_string()
}

async fn complete(address: &str, headers: &[(&str, &str)]) -> Received {
    call(address, "/v1/completions", headers, completion(PROMPT)).await
}

const IDEMPOTENT_HEADERS: [(&str, &str); 2] = [
    ("idempotency-key", "lot-17"),
    ("harrierward-execution", "at-most-once"),
];

struct Site {
    platform: MemoryPlatform,
    engine: EngineHandle,
    node: Node,
    address: String,
}

async fn start_site() -> Site {
    let (platform, engine, store) = start_platform().await;
    let (node, address, _) = start_daemon(&store, Vec::new()).await;
    let site = Site {
        platform,
        engine,
        node,
        address,
    };
    site.wait_until_serving().await;
    site
}

impl Site {
    async fn wait_until_serving(&self) {
        while !(self.node.is_ready() && self.node.status().replicas == 1) {
            sleep(POLL_INTERVAL).await;
        }
        let body = completion("settle");
        while call(&self.address, "/v1/completions", &[], body.clone())
            .await
            .status
            != 200
        {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn runs(&self) -> usize {
        let runs = self.engine.executions();
        runs.iter().filter(|run| run.prompt == PROMPT).count()
    }

    /// Sends a request and crashes the engine after it started the request.
    async fn crash_during(&self, headers: &'static [(&str, &str)]) -> Received {
        let frozen = &self.engine.faults().frozen;
        frozen.store(true, Ordering::Relaxed);
        let address = self.address.clone();
        let request = tokio::spawn(async move { complete(&address, headers).await });
        while self.runs() == 0 {
            sleep(POLL_INTERVAL).await;
        }
        self.engine.crash();
        request.await.expect("a response")
    }
}

/// Guards against the response of a request that found no engine (503 with `retry-after`) for one that had started
/// at the only engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_interrupted_by_an_engine_crash_is_not_refused_as_not_run() {
    let site = start_site().await;
    site.crash_during(&[]).await.assert_indeterminate();
    assert_eq!(site.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idempotent_request_interrupted_by_an_engine_crash_is_not_refused_as_not_run() {
    let site = start_site().await;
    site.crash_during(&IDEMPOTENT_HEADERS)
        .await
        .assert_indeterminate();
    assert_eq!(site.runs(), 1);
}

/// Starts a site whose engine starts each request, then responds with an error instead of the stream.
async fn start_site_with_lost_responses() -> Site {
    let (platform, _, store) = start_platform().await;
    let models = vec![MODEL.to_owned()];
    let engine = EngineHandle::start("lossy", EngineParameters::default(), models, 0.1, true);
    let is_lost = Arc::new(AtomicBool::new(false));
    let lost = is_lost.clone();
    let router =
        engine_router(engine.clone()).layer(from_fn(move |request: Request, next: Next| {
            let lost = lost.clone();
            async move { lose_response(&lost, request, next).await }
        }));
    platform.seed_machine(Machine {
        replica: ReplicaId("engine".to_owned()),
        service: MODEL.to_owned(),
        zone: "zone".to_owned(),
        address: serve(router).await,
        state: MachineState::Live,
    });
    let (node, address, _) = start_daemon(&store, Vec::new()).await;
    let site = Site {
        platform,
        engine,
        node,
        address,
    };
    site.wait_until_serving().await;
    is_lost.store(true, Ordering::Relaxed);
    site
}

async fn lose_response(lost: &AtomicBool, request: Request, next: Next) -> Response {
    let is_generation = request.uri().path() == "/engine/generate";
    let response = next.run(request).await;
    if is_generation && lost.load(Ordering::Relaxed) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "lost").into_response();
    }
    response
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_with_a_lost_engine_response_is_not_refused_as_not_run() {
    let site = start_site_with_lost_responses().await;
    complete(&site.address, &[]).await.assert_indeterminate();
    assert!(site.runs() >= 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idempotent_request_with_a_lost_engine_response_is_not_refused_as_not_run() {
    let site = start_site_with_lost_responses().await;
    complete(&site.address, &IDEMPOTENT_HEADERS)
        .await
        .assert_indeterminate();
    assert_eq!(site.runs(), 1);
}

/// If the response to the claim write is lost, the request must be refused without dispatch and the claim removed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_with_an_indeterminate_claim_is_never_dispatched() {
    let site = start_site().await;
    site.platform.faults().set(StoreFaults {
        lose_answers: 1.0,
        ..StoreFaults::default()
    });
    let refused = complete(&site.address, &IDEMPOTENT_HEADERS).await;
    if refused.status == 503 {
        assert_eq!(refused.header("harrierward-execution"), Some("not_run"));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.runs(), 0, "{}", refused.text);
    }
    site.platform.faults().set(StoreFaults::default());
    let again = async {
        loop {
            let again = complete(&site.address, &IDEMPOTENT_HEADERS).await;
            if again.status == 200 {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let again = tokio::time::timeout(Duration::from_secs(20), again).await;
    assert!(again.is_ok(), "the claim does not stay");
    assert_eq!(site.runs(), 1);
}

/// A resend while the store is down must be refused without dispatch, and later resends must receive the first run's
/// response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resend_that_cannot_read_the_claim_is_never_dispatched() {
    let site = start_site().await;
    let frozen = &site.engine.faults().frozen;
    frozen.store(true, Ordering::Relaxed);
    let address = site.address.clone();
    let first = tokio::spawn(async move { complete(&address, &IDEMPOTENT_HEADERS).await });
    while site.runs() == 0 {
        sleep(POLL_INTERVAL).await;
    }
    site.platform.faults().set(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let resend = complete(&site.address, &IDEMPOTENT_HEADERS).await;
    assert_eq!(resend.status, 503, "{}", resend.text);
    assert!(resend.text.contains("claim_refused"), "{}", resend.text);
    site.platform.faults().set(StoreFaults::default());
    frozen.store(false, Ordering::Relaxed);
    assert_eq!(first.await.expect("a response").status, 200);
    let stored = async {
        loop {
            let again = complete(&site.address, &IDEMPOTENT_HEADERS).await;
            if again.status == 200 {
                return again;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let stored = tokio::time::timeout(Duration::from_secs(20), stored).await;
    let stored = stored.expect("the stored response");
    assert_eq!(stored.header("idempotent-replayed"), Some("true"));
    assert_eq!(site.runs(), 1);
}

/// If the store's responses are lost, the job may be stored, so its creation must be reported as indeterminate.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn indeterminate_job_creation_is_not_refused_as_not_created() {
    let site = start_site().await;
    let line = json!({
        "custom_id": "one", "method": "POST", "url": "/v1/completions",
        "body": {"model": MODEL, "prompt": PROMPT, "max_tokens": 6},
    });
    let boundary = "edge";
    let form = format!(
        "--{boundary}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{boundary}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f.jsonl\"\r\n\r\n\
         {line}\n\r\n--{boundary}--\r\n"
    );
    let kind = format!("multipart/form-data; boundary={boundary}");
    let headers = [("content-type", kind.as_str())];
    let file = call(&site.address, "/v1/files", &headers, form).await;
    assert_eq!(file.status, 200, "{}", file.text);
    let file: Value = serde_json::from_str(&file.text).expect("JSON");
    site.platform.faults().set(StoreFaults {
        lose_answers: 1.0,
        ..StoreFaults::default()
    });
    let job = json!({
        "input_file_id": file["id"], "endpoint": "/v1/completions", "completion_window": "24h",
    });
    let seen = call(&site.address, "/v1/batches", &[], job.to_string()).await;
    seen.assert_indeterminate();
}
