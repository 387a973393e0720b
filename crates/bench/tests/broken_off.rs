//! What an engine, a store or a caller breaks off never passes for whole.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::body::to_bytes;
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use harrierward_emulator::server::{engine_router, platform_router};
use harrierward_emulator::{EngineHandle, EngineParameters, expected_response};
use harrierward_external::{Machine, MachineState, ReplicaId};
use harrierward_node::Node;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use support::{CALLER_KEY, MODEL, POLL_INTERVAL, serve, start_daemon, start_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const TOKENS: u32 = 6;

/// Last event of a whole streamed response.
const DONE: &str = "data: [DONE]\n\n";

/// Upper bound of a body in these tests, bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Timeout of a batch job.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// What a middleware keeps of a body, which it frames as complete; `None` for an error instead of the response.
type Cut = fn(&[u8]) -> Option<usize>;

/// Middleware that cuts responses.
#[derive(Clone)]
struct Cutter {
    /// Start of the paths whose responses are cut.
    path: &'static str,
    cut: Cut,
    /// Responses until one is cut, itself included; 0 if none is cut.
    countdown: Arc<AtomicUsize>,
    /// True if all responses are cut, until the cutter is stopped.
    is_lasting: bool,
}

impl Cutter {
    /// Cuts all responses.
    fn lasting(path: &'static str, cut: Cut) -> Self {
        Self {
            is_lasting: true,
            ..Self::single(path, cut)
        }
    }

    /// Cuts one response to a read.
    fn single(path: &'static str, cut: Cut) -> Self {
        Self {
            path,
            cut,
            countdown: Arc::new(AtomicUsize::new(0)),
            is_lasting: false,
        }
    }

    /// Cuts the response with this number, from 1.
    fn start(&self, number: usize) {
        self.countdown.store(number, Ordering::Relaxed);
    }

    fn stop(&self) {
        self.countdown.store(0, Ordering::Relaxed);
    }

    fn takes(&self, request: &Request) -> bool {
        let is_meant = self.is_lasting || request.method() == Method::GET;
        if !is_meant || !request.uri().path().starts_with(self.path) {
            return false;
        }
        if self.is_lasting {
            return self.countdown.load(Ordering::Relaxed) > 0;
        }
        let count_down = |left: usize| left.checked_sub(1);
        let counted = self
            .countdown
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count_down);
        counted == Ok(1)
    }

    async fn pass(self, request: Request, next: Next) -> Response {
        let is_taken = self.takes(&request);
        let response = next.run(request).await;
        if !is_taken || response.status() != StatusCode::OK {
            return response;
        }
        let body = to_bytes(response.into_body(), MAX_BODY_BYTES).await;
        let body = body.expect("a whole body");
        match (self.cut)(&body) {
            Some(kept) => body.slice(..kept).into_response(),
            None => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    fn wrap(&self, routes: axum::Router) -> axum::Router {
        let cutter = self.clone();
        routes.layer(from_fn(move |request: Request, next: Next| {
            cutter.clone().pass(request, next)
        }))
    }
}

/// Keeps all but the last line feed.
fn without_line_feed(body: &[u8]) -> Option<usize> {
    body.len().checked_sub(1)
}

/// Cuts within the last line.
fn within_last_line(body: &[u8]) -> Option<usize> {
    body.len().checked_sub(5)
}

/// Keeps all but the last line.
fn without_last_line(body: &[u8]) -> Option<usize> {
    let lines = &body[..body.len() - 1];
    let end = lines.iter().rposition(|byte| *byte == b'\n');
    Some(end.map_or(0, |end| end + 1))
}

fn nothing(_body: &[u8]) -> Option<usize> {
    Some(0)
}

fn refusal(_body: &[u8]) -> Option<usize> {
    None
}

const CUTS: [Cut; 4] = [
    without_line_feed,
    within_last_line,
    without_last_line,
    nothing,
];

struct Site {
    engine: EngineHandle,
    node: Node,
    address: String,
}

impl Site {
    async fn start() -> Self {
        let (_, engine, store) = start_platform().await;
        Self::with_store(engine, &store).await
    }

    async fn with_store(engine: EngineHandle, store: &str) -> Self {
        let (node, address, _) = start_daemon(store, Vec::new()).await;
        let site = Self {
            engine,
            node,
            address,
        };
        site.wait_until_serving().await;
        site
    }

    /// Starts a site whose engine's responses pass through `cutter`.
    async fn with_cut_engine(cutter: &Cutter) -> Self {
        let (platform, _, store) = start_platform().await;
        let models = vec![MODEL.to_owned()];
        let engine = EngineHandle::start("cut", EngineParameters::default(), models, 0.1, true);
        platform.seed_machine(Machine {
            replica: ReplicaId("engine".to_owned()),
            service: MODEL.to_owned(),
            zone: "zone".to_owned(),
            address: serve(cutter.wrap(engine_router(engine.clone()))).await,
            state: MachineState::Live,
        });
        Self::with_store(engine, &store).await
    }

    /// Starts a site whose store's responses pass through `cutter`.
    async fn with_cut_store(cutter: &Cutter) -> Self {
        let (platform, engine, _) = start_platform().await;
        let store = serve(cutter.wrap(platform_router(platform))).await;
        Self::with_store(engine, &store).await
    }

    async fn wait_until_serving(&self) {
        while !(self.node.is_ready() && self.node.status().replicas == 1) {
            sleep(POLL_INTERVAL).await;
        }
        while self.complete("settle", &[]).await.0 != 200 {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn open(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> http::Response<Incoming> {
        support::open(&self.address, Method::POST, path, headers, body).await
    }

    async fn send(&self, path: &str, headers: &[(&str, &str)], body: String) -> (u16, Value) {
        let response = self.open(path, headers, body).await;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.expect("a whole body");
        let body = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        (status, body)
    }

    async fn complete(&self, prompt: &str, headers: &[(&str, &str)]) -> (u16, Value) {
        self.send(COMPLETIONS, headers, request(COMPLETIONS, prompt, false))
            .await
    }

    async fn stream(&self, path: &str, prompt: &str, headers: &[(&str, &str)]) -> Received {
        let response = self.open(path, headers, request(path, prompt, true)).await;
        assert_eq!(response.status(), 200);
        Received::read(response).await
    }

    /// Uploads a job's input; returns the status and the response.
    async fn upload(&self, form: String) -> (u16, Value) {
        let headers = [("content-type", "multipart/form-data; boundary=edge")];
        self.send("/v1/files", &headers, form).await
    }

    /// Submits a job with these items; returns the ids of its input and of the job.
    async fn submit(&self, items: &str) -> (String, String) {
        let (status, file) = self.upload(form(items)).await;
        assert_eq!(status, 200, "{file}");
        let create = json!({
            "input_file_id": file["id"], "endpoint": COMPLETIONS, "completion_window": "24h",
        });
        let (status, job) = self.send("/v1/batches", &[], create.to_string()).await;
        assert_eq!(status, 200, "{job}");
        let id = |value: &Value| value["id"].as_str().expect("an id").to_owned();
        (id(&file), id(&job))
    }

    async fn get(&self, path: &str) -> http::Response<Incoming> {
        support::open(&self.address, Method::GET, path, &[], Bytes::new()).await
    }

    /// Waits for the end of a job; returns its counts.
    async fn follow(&self, job: &str) -> Value {
        let path = format!("/v1/batches/{job}");
        let followed = async {
            loop {
                let body = self.get(&path).await.into_body().collect().await;
                let body = body.expect("a whole body").to_bytes();
                let state: Value = serde_json::from_slice(&body).expect("JSON");
                if state["status"] == "completed" {
                    return state["request_counts"].clone();
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        let followed = timeout(JOB_TIMEOUT, followed).await;
        followed.expect("the job ends in time")
    }

    async fn download(&self, file: &str) -> Received {
        Received::read(self.get(&format!("/v1/files/{file}/content")).await).await
    }

    /// Downloads a file as a caller that supports no chunks.
    async fn download_without_chunks(&self, file: &str) -> Received {
        let target = format!("/v1/files/{file}/content");
        self.send_without_chunks(Method::GET, &target, "").await
    }

    /// Sends a request as a caller that supports no chunks.
    async fn send_without_chunks(&self, method: Method, target: &str, body: &str) -> Received {
        let length = body.len();
        let request = format!(
            "{method} {target} HTTP/1.0\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        let mut connection = TcpStream::connect(&self.address).await.expect("connected");
        let sent = connection.write_all(request.as_bytes()).await;
        sent.expect("the request is sent");
        let mut response = Vec::new();
        let is_closed = connection.read_to_end(&mut response).await.is_ok();
        let response = String::from_utf8_lossy(&response).into_owned();
        let (head, text) = response.split_once("\r\n\r\n").expect("a header section");
        let length = head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .map(|(_, length)| length.trim().parse::<usize>().expect("a length"));
        let has_all = length.is_none_or(|length| text.len() == length);
        Received {
            text: text.to_owned(),
            is_complete: head.starts_with("HTTP/1.0 200") && is_closed && has_all,
        }
    }
}

/// A body as far as it was received.
#[derive(Debug)]
struct Received {
    text: String,
    /// True if the framing shows the body as complete.
    is_complete: bool,
}

impl Received {
    async fn read(response: http::Response<Incoming>) -> Self {
        let mut body = response.into_body();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Self {
                    text,
                    is_complete: false,
                };
            };
            if let Ok(data) = frame.into_data() {
                text.push_str(&String::from_utf8_lossy(&data));
            }
        }
        Self {
            text,
            is_complete: true,
        }
    }
}

fn request(path: &str, prompt: &str, is_streamed: bool) -> String {
    let mut body = json!({"model": MODEL, "max_tokens": TOKENS, "stream": is_streamed});
    if path == CHAT {
        body["messages"] = json!([{"role": "user", "content": prompt}]);
    } else {
        body["prompt"] = json!(prompt);
    }
    body.to_string()
}

fn at_most_once(key: &str) -> [(&str, &str); 2] {
    [
        ("idempotency-key", key),
        ("harrierward-execution", "at-most-once"),
    ]
}

fn form(items: &str) -> String {
    format!(
        "--edge\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --edge\r\ncontent-disposition: form-data; name=\"file\"; filename=\"f.jsonl\"\r\n\r\n\
         {items}\r\n--edge--\r\n"
    )
}

fn lot(number: usize) -> String {
    format!("lot {number}")
}

/// Returns the input of a job with this number of items.
fn input(items: usize) -> String {
    (0..items)
        .map(|number| {
            let line = json!({
                "custom_id": format!("i{number}"), "method": "POST", "url": COMPLETIONS,
                "body": {"model": MODEL, "prompt": lot(number), "max_tokens": TOKENS},
            });
            format!("{line}\n")
        })
        .collect()
}

/// Guards against a streamed response that its engine broke off and that ends, for its caller, as a complete body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_streamed_response_that_breaks_off_is_cut_by_its_framing() {
    let site = Site::start().await;
    let mut seemingly_complete = Vec::new();
    for path in [COMPLETIONS, CHAT] {
        for headers in [&[][..], &at_most_once(path)[..]] {
            site.engine.faults().cut_streams.store(1, Ordering::Relaxed);
            let received = site.stream(path, "describe lot 17", headers).await;
            assert!(received.text.contains("data: {\"error\":"), "{received:?}");
            assert!(!received.text.contains(DONE), "{received:?}");
            if received.is_complete {
                seemingly_complete.push((path, headers.len()));
            }
        }
    }
    assert_eq!(seemingly_complete, []);
}

/// Guards against whole streamed responses that are cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_whole_streamed_response_is_complete() {
    let site = Site::start().await;
    for path in [COMPLETIONS, CHAT] {
        for headers in [&[][..], &at_most_once(path)[..], &at_most_once(path)[..]] {
            let received = site.stream(path, "describe lot 17", headers).await;
            assert!(received.text.ends_with(DONE), "{received:?}");
            assert!(received.is_complete, "{received:?}");
        }
    }
}

/// Guards against a generation that counts as finished although the engine's final event did not arrive whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_generation_without_its_final_event_is_not_finished() {
    for cut in CUTS {
        let cutter = Cutter::lasting("/engine/generate", cut);
        let site = Site::with_cut_engine(&cutter).await;
        cutter.start(1);
        let (status, body) = site.complete("describe lot 17", &[]).await;
        assert_eq!(status, 502, "{body}");
        let (status, body) = site
            .complete("describe lot 17", &at_most_once("whole"))
            .await;
        assert_eq!(status, 502, "{body}");
        let received = site
            .stream(COMPLETIONS, "describe lot 17", &at_most_once("streamed"))
            .await;
        assert!(!received.text.contains(DONE), "{received:?}");
        cutter.stop();
        for key in ["whole", "streamed"] {
            let (status, body) = site.complete("describe lot 17", &at_most_once(key)).await;
            assert_ne!(
                status, 200,
                "nothing is stored of a partial response: {body}"
            );
        }
    }
}

/// Guards against a result that lacks tokens because the stream of its item ended early.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn items_whose_streams_broke_off_have_whole_results() {
    const ITEMS: usize = 5;
    let site = Site::start().await;
    site.engine.faults().cut_streams.store(3, Ordering::Relaxed);
    let (_, job) = site.submit(&input(ITEMS)).await;
    let counts = site.follow(&job).await;
    assert_eq!(counts["completed"], ITEMS);
    let results = site.download(&format!("file-output-{job}")).await;
    assert!(results.is_complete);
    for number in 0..ITEMS {
        let text = json!(expected_response(MODEL, &lot(number), TOKENS)).to_string();
        assert!(results.text.contains(&text), "{text}: {}", results.text);
    }
}

/// Guards against an item that fails, or never runs, because only a part of its input arrived from the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn items_run_although_a_read_of_their_input_was_cut() {
    const ITEMS: usize = 5;
    let mut failures = Vec::new();
    for (number, cut) in CUTS.into_iter().enumerate() {
        let cutter = Cutter::single("/objects/input/", cut);
        let site = Site::with_cut_store(&cutter).await;
        cutter.start(1);
        let (_, job) = site.submit(&input(ITEMS)).await;
        let counts = timeout(JOB_TIMEOUT / 2, site.follow(&job)).await;
        match counts {
            Ok(counts) if counts["completed"] == ITEMS => {}
            Ok(counts) => failures.push(format!("cut {number}: {counts}")),
            Err(_) => failures.push(format!("cut {number}: never ends")),
        }
    }
    assert_eq!(failures, Vec::<String>::new());
}

/// Guards against a download that is framed as complete although the store sent only a part of its content.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_download_of_which_the_store_sent_only_a_part_is_cut_off() {
    const ITEMS: usize = 5;
    let mut seemingly_complete = Vec::new();
    for (number, cut) in CUTS.into_iter().enumerate() {
        let cutter = Cutter::single("/objects/", cut);
        let site = Site::with_cut_store(&cutter).await;
        let (file, job) = site.submit(&input(ITEMS)).await;
        site.follow(&job).await;
        for file in [file, format!("file-output-{job}")] {
            let whole = site.download(&file).await;
            assert!(whole.is_complete);
            assert_eq!(whole.text.lines().count(), ITEMS);
            cutter.start(1);
            if site.download(&file).await.is_complete {
                seemingly_complete.push((number, file));
            }
            cutter.stop();
        }
    }
    assert_eq!(seemingly_complete, []);
}

/// Guards against a file that is stored although its upload ended before the end of the form.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_upload_that_ends_within_its_form_is_refused() {
    let site = Site::start().await;
    let items = input(3);
    let whole = form(&items);
    let (status, body) = site.upload(whole.clone()).await;
    assert_eq!(status, 200, "{body}");
    let content = whole.find(&items).expect("the form has the items");
    let first_line = items.find('\n').expect("a line") + 1;
    let ends = [
        content,
        content + first_line,
        content + first_line + 5,
        content + items.len(),
        whole.len() - "--\r\n".len(),
    ];
    for end in ends {
        let (status, body) = site.upload(whole[..end].to_owned()).await;
        assert_eq!(status, 400, "{end} of {} bytes: {body}", whole.len());
    }
}

/// Guards against a download that broke off and seems complete to a caller of HTTP/1.0, which knows no chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_without_chunks_sees_that_its_download_was_cut_off() {
    const ITEMS: usize = 205;
    /// More than the reads of the two objects of the file that any download makes.
    const MAX_READS: usize = 5;
    let cutter = Cutter::single("/objects/input/", refusal);
    let site = Site::with_cut_store(&cutter).await;
    let (status, file) = site.upload(form(&input(ITEMS))).await;
    assert_eq!(status, 200, "{file}");
    let file = file["id"].as_str().expect("an id");
    let whole = site.download_without_chunks(file).await;
    assert!(whole.is_complete, "{whole:?}");
    assert_eq!(whole.text.lines().count(), ITEMS);
    for read in 1..=MAX_READS {
        cutter.start(read);
        let received = site.download_without_chunks(file).await;
        cutter.stop();
        let lines = received.text.lines().count();
        assert!(
            !received.is_complete || lines == ITEMS,
            "read {read}: {lines} lines"
        );
    }
}

/// Guards against results that lack objects, or are cut off, for a caller of HTTP/1.0.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_without_chunks_receives_whole_results() {
    const ITEMS: usize = 205;
    let site = Site::start().await;
    let (_, job) = site.submit(&input(ITEMS)).await;
    site.follow(&job).await;
    let file = format!("file-output-{job}");
    let received = site.download_without_chunks(&file).await;
    assert!(received.is_complete);
    assert_eq!(received.text, site.download(&file).await.text);
    assert_eq!(received.text.lines().count(), ITEMS);
}

/// Guards against a streamed response that broke off and has no sign of it for a caller of HTTP/1.0.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_without_chunks_has_an_error_event_of_a_stream_that_broke_off() {
    let site = Site::start().await;
    for path in [COMPLETIONS, CHAT] {
        let body = request(path, "describe lot 17", true);
        let whole = site.send_without_chunks(Method::POST, path, &body).await;
        assert!(whole.text.ends_with(DONE), "{whole:?}");
        site.engine.faults().cut_streams.store(1, Ordering::Relaxed);
        let cut = site.send_without_chunks(Method::POST, path, &body).await;
        assert!(cut.text.contains("data: {\"error\":"), "{cut:?}");
        assert!(!cut.text.contains(DONE), "{cut:?}");
    }
}
