//! The OpenAI interface says that a request has not run, or invites its caller to send it again, only where no engine has
//! begun it and nothing of it is kept.

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
use support::{MODEL, PAUSE, serve, start_daemon, start_platform};
use tokio::time::sleep;

const PROMPT: &str = "describe lot 17";

/// Statuses by which a caller learns that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

struct Seen {
    status: u16,
    headers: HeaderMap,
    text: String,
}

impl Seen {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The caller learns that it may have run, and is not asked to send it again.
    fn assert_uncertain(&self) {
        assert!(!PROMISES.contains(&self.status), "{}", self.text);
        assert!(self.status >= 500, "{}: {}", self.status, self.text);
        assert_eq!(self.header("harrierward-execution"), Some("unknown"));
        assert_eq!(self.header("retry-after"), None, "{}", self.text);
    }
}

async fn call(address: &str, path: &str, headers: &[(&str, &str)], body: String) -> Seen {
    let answer = support::open(address, Method::POST, path, headers, body).await;
    let status = answer.status().as_u16();
    let headers = answer.headers().clone();
    let body = answer.into_body().collect().await.expect("a whole body");
    Seen {
        status,
        headers,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}

fn completion(prompt: &str) -> String {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": 6}).to_string()
}

async fn complete(address: &str, headers: &[(&str, &str)]) -> Seen {
    call(address, "/v1/completions", headers, completion(PROMPT)).await
}

const MARK: [(&str, &str); 2] = [
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
    site.settle().await;
    site
}

impl Site {
    async fn settle(&self) {
        while !(self.node.is_ready() && self.node.status().replicas == 1) {
            sleep(PAUSE).await;
        }
        let body = completion("settle");
        while call(&self.address, "/v1/completions", &[], body.clone())
            .await
            .status
            != 200
        {
            sleep(PAUSE).await;
        }
    }

    fn runs(&self) -> usize {
        let runs = self.engine.executions();
        runs.iter().filter(|run| run.prompt == PROMPT).count()
    }

    /// Sends a request, and lets the engine crash once it has begun it.
    async fn crash_under(&self, headers: &'static [(&str, &str)]) -> Seen {
        let frozen = &self.engine.faults().frozen;
        frozen.store(true, Ordering::Relaxed);
        let address = self.address.clone();
        let asked = tokio::spawn(async move { complete(&address, headers).await });
        while self.runs() == 0 {
            sleep(PAUSE).await;
        }
        self.engine.crash();
        asked.await.expect("an answer")
    }
}

/// The engine had begun; nobody else was there to go on, and the answer to that was the one of a request that never found
/// an engine: 503, with a time to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_whose_engine_broke_off_is_not_refused_as_not_run() {
    let site = start_site().await;
    site.crash_under(&[]).await.assert_uncertain();
    assert_eq!(site.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_marked_request_whose_engine_broke_off_is_not_refused_as_not_run() {
    let site = start_site().await;
    site.crash_under(&MARK).await.assert_uncertain();
    assert_eq!(site.runs(), 1);
}

/// An engine that begins each request and then answers with a failure in place of the stream.
async fn start_site_with_lost_heads() -> Site {
    let (platform, _, store) = start_platform().await;
    let models = vec![MODEL.to_owned()];
    let engine = EngineHandle::start("lossy", EngineParameters::default(), models, 0.1, true);
    let is_lost = Arc::new(AtomicBool::new(false));
    let lost = is_lost.clone();
    let router =
        engine_router(engine.clone()).layer(from_fn(move |request: Request, next: Next| {
            let lost = lost.clone();
            async move { lose_head(&lost, request, next).await }
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
    site.settle().await;
    is_lost.store(true, Ordering::Relaxed);
    site
}

async fn lose_head(lost: &AtomicBool, request: Request, next: Next) -> Response {
    let is_generation = request.uri().path() == "/engine/generate";
    let answer = next.run(request).await;
    if is_generation && lost.load(Ordering::Relaxed) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "lost").into_response();
    }
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_an_engine_may_have_begun_is_not_refused_as_not_run() {
    let site = start_site_with_lost_heads().await;
    complete(&site.address, &[]).await.assert_uncertain();
    assert!(site.runs() >= 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_marked_request_that_an_engine_may_have_begun_is_not_refused_as_not_run() {
    let site = start_site_with_lost_heads().await;
    complete(&site.address, &MARK).await.assert_uncertain();
    assert_eq!(site.runs(), 1);
}

/// The claim is written and its answer lost: the request is refused, never sent, and the claim does not stay.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_whose_claim_is_in_doubt_is_never_sent() {
    let site = start_site().await;
    site.platform.faults().set(StoreFaults {
        lose_answers: 1.0,
        ..StoreFaults::default()
    });
    let refused = complete(&site.address, &MARK).await;
    if refused.status == 503 {
        assert_eq!(refused.header("harrierward-execution"), Some("not_run"));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.runs(), 0, "{}", refused.text);
    }
    site.platform.faults().set(StoreFaults::default());
    let again = async {
        loop {
            let again = complete(&site.address, &MARK).await;
            if again.status == 200 {
                return;
            }
            sleep(PAUSE).await;
        }
    };
    let again = tokio::time::timeout(Duration::from_secs(20), again).await;
    assert!(again.is_ok(), "the claim does not stay");
    assert_eq!(site.runs(), 1);
}

/// The first send runs and the store is away, so that nobody can see its claim: what the resend is told holds of the resend, which
/// is never sent. The key keeps the caller from a second run, and leads to the first one's answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_that_cannot_see_the_first_run_is_never_sent() {
    let site = start_site().await;
    let frozen = &site.engine.faults().frozen;
    frozen.store(true, Ordering::Relaxed);
    let address = site.address.clone();
    let first = tokio::spawn(async move { complete(&address, &MARK).await });
    while site.runs() == 0 {
        sleep(PAUSE).await;
    }
    site.platform.faults().set(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let resend = complete(&site.address, &MARK).await;
    assert_eq!(resend.status, 503, "{}", resend.text);
    assert!(resend.text.contains("claim_refused"), "{}", resend.text);
    site.platform.faults().set(StoreFaults::default());
    frozen.store(false, Ordering::Relaxed);
    assert_eq!(first.await.expect("an answer").status, 200);
    let stored = async {
        loop {
            let again = complete(&site.address, &MARK).await;
            if again.status == 200 {
                return again;
            }
            sleep(PAUSE).await;
        }
    };
    let stored = tokio::time::timeout(Duration::from_secs(20), stored).await;
    let stored = stored.expect("the stored answer");
    assert_eq!(stored.header("idempotent-replayed"), Some("true"));
    assert_eq!(site.runs(), 1);
}

/// The store did what it was asked and its answers were lost: the job may be kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_that_may_be_kept_is_not_refused_as_not_kept() {
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
    seen.assert_uncertain();
}
