//! A caller receives a response whole, or cut off in a way that the framing of the response shows.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures::{StreamExt, stream};
use harrierward_edge::{HttpService, ResponseBody, ServerControl, ServerStage, serve};
use harrierward_serving::ResponseAborted;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::time::sleep;

const OLD_REQUEST: &str = "GET / HTTP/1.0\r\nHost: example\r\n\r\n";
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n";

/// More than a socket's receive buffer holds at first, so that the rest waits in the server's send buffer.
const LARGE_BYTES: usize = 1 << 20;

/// Longer than the server waits for its caller to close a connection.
const AFTER_LINGERING: Duration = Duration::from_millis(800);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

type Part = Result<Bytes, ResponseAborted>;

/// Parts of a response's body; dropping it ends the body.
struct Script(UnboundedSender<Part>);

impl Script {
    fn send(&self, text: &'static str) {
        self.send_bytes(Bytes::from_static(text.as_bytes()));
    }

    fn send_bytes(&self, bytes: Bytes) {
        self.0.unbounded_send(Ok(bytes)).expect("the body is read");
    }

    fn abort(&self) {
        // A server that considers the body complete has dropped it.
        let _ = self.0.unbounded_send(Err(aborted()));
    }
}

fn aborted() -> ResponseAborted {
    ResponseAborted {
        cause: "broken off".to_owned(),
    }
}

/// Responds with scripted responses in turn.
#[derive(Default)]
struct Scripted {
    responses: Mutex<VecDeque<Response<ResponseBody>>>,
}

impl Scripted {
    /// Adds a response; a stated length is a header of it.
    fn respond(&self, status: StatusCode, stated_length: Option<u64>) -> Script {
        let (sender, parts) = unbounded();
        let mut response = Response::new(body_of(parts));
        *response.status_mut() = status;
        if let Some(length) = stated_length {
            let value = HeaderValue::from(length);
            response.headers_mut().insert(CONTENT_LENGTH, value);
        }
        self.push(response);
        Script(sender)
    }

    fn push(&self, response: Response<ResponseBody>) {
        let mut responses = self.responses.lock().expect("responses");
        responses.push_back(response);
    }
}

fn body_of(parts: UnboundedReceiver<Part>) -> ResponseBody {
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}

#[async_trait]
impl HttpService for Scripted {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let mut responses = self.responses.lock().expect("responses");
        responses.pop_front().expect("a response")
    }
}

struct Fixture {
    address: SocketAddr,
    control: Arc<ServerControl>,
    service: Arc<Scripted>,
}

impl Fixture {
    async fn start() -> Self {
        Self::start_on(&tokio::runtime::Handle::current()).await
    }

    /// Starts a server on a runtime, which ends like a process: with all tasks of the server.
    async fn start_on(runtime: &tokio::runtime::Handle) -> Self {
        let control = Arc::new(ServerControl::default());
        let service = Arc::new(Scripted::default());
        let bind = runtime.spawn(TcpListener::bind("127.0.0.1:0"));
        let listener = bind.await.expect("task").expect("bind");
        let address = listener.local_addr().expect("address");
        runtime.spawn(serve(listener, control.clone(), service.clone()));
        Self {
            address,
            control,
            service,
        }
    }

    async fn send(&self, request: &str) -> Caller {
        let mut stream = TcpStream::connect(self.address).await.expect("connect");
        stream.write_all(request.as_bytes()).await.expect("write");
        Caller {
            stream,
            received: Vec::new(),
        }
    }

    /// Waits until the response that has begun is handed to the kernel.
    async fn wait_until_sent(&self) {
        while self.control.in_progress() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }
}

struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    async fn receive_until(&mut self, end: &str) {
        while !self.text().ends_with(end) {
            let read = self.stream.read_buf(&mut self.received).await;
            assert!(read.is_ok_and(|read| read > 0), "{}", self.text());
        }
    }

    /// Reads to the end of the connection; false if the end was a reset.
    async fn ends_orderly(&mut self) -> bool {
        let read = self.stream.read_to_end(&mut self.received).await;
        read.is_ok()
    }

    fn body(&self) -> String {
        let text = self.text();
        let (_, body) = text.split_once("\r\n\r\n").unwrap_or_default();
        body.to_owned()
    }
}

/// Guards against a cut that looks like the end of a response which only the close of the connection delimits.
#[tokio::test]
async fn a_response_that_only_the_close_delimits_is_reset_when_it_is_cut_off() {
    let fixture = Fixture::start().await;
    let script = fixture.service.respond(StatusCode::OK, None);
    let mut caller = fixture.send(OLD_REQUEST).await;
    script.send("first");
    caller.receive_until("first").await;
    script.abort();
    assert!(!caller.ends_orderly().await, "{}", caller.text());
}

/// Guards against the same cut if the server takes a caller for gone that has only closed its write side.
#[tokio::test]
async fn a_caller_that_closes_its_write_side_sees_that_its_response_was_cut_off() {
    let fixture = Fixture::start().await;
    let script = fixture.service.respond(StatusCode::OK, None);
    let mut caller = fixture.send(OLD_REQUEST).await;
    script.send("first");
    caller.receive_until("first").await;
    caller.stream.shutdown().await.expect("shutdown");
    assert!(!caller.ends_orderly().await, "{}", caller.text());
}

/// Guards against the same cut if the server's process ends while it sends.
#[test]
fn a_response_that_only_the_close_delimits_is_reset_when_the_server_ends() {
    let runtime = Runtime::new().expect("runtime");
    let server = Runtime::new().expect("runtime");
    runtime.block_on(async {
        let fixture = Fixture::start_on(server.handle()).await;
        let script = fixture.service.respond(StatusCode::OK, None);
        let mut caller = fixture.send(OLD_REQUEST).await;
        script.send("first");
        caller.receive_until("first").await;
        server.shutdown_background();
        assert!(!caller.ends_orderly().await, "{}", caller.text());
    });
}

/// Guards against a reset that truncates a whole response, whose last bytes its slow caller has not received yet.
#[tokio::test]
async fn a_slow_caller_receives_a_whole_response_that_only_the_close_delimits() {
    let fixture = Fixture::start().await;
    let script = fixture.service.respond(StatusCode::OK, None);
    let mut caller = fixture.send(OLD_REQUEST).await;
    script.send_bytes(Bytes::from(vec![b'x'; LARGE_BYTES]));
    drop(script);
    caller.receive_until("x").await;
    fixture.wait_until_sent().await;
    sleep(AFTER_LINGERING).await;
    assert!(caller.ends_orderly().await);
    assert_eq!(caller.body().len(), LARGE_BYTES);
}

/// Guards against a reset of a whole response that ends with the server's process.
#[test]
fn a_whole_response_that_was_sent_survives_the_end_of_the_server() {
    let runtime = Runtime::new().expect("runtime");
    let server = Runtime::new().expect("runtime");
    runtime.block_on(async {
        let fixture = Fixture::start_on(server.handle()).await;
        let script = fixture.service.respond(StatusCode::OK, None);
        let mut caller = fixture.send(OLD_REQUEST).await;
        script.send_bytes(Bytes::from(vec![b'x'; LARGE_BYTES]));
        drop(script);
        caller.receive_until("x").await;
        fixture.wait_until_sent().await;
        server.shutdown_background();
        sleep(AFTER_LINGERING).await;
        assert!(caller.ends_orderly().await);
        assert_eq!(caller.body().len(), LARGE_BYTES);
    });
}

/// Guards against a reset of a whole response on a connection that carried another one, or in a planned stop.
#[tokio::test]
async fn a_whole_response_that_only_the_close_delimits_ends_orderly() {
    let fixture = Fixture::start().await;
    let whole = fixture.service.respond(StatusCode::OK, Some(5));
    let request = OLD_REQUEST.replace("\r\n\r\n", "\r\nConnection: keep-alive\r\n\r\n");
    let mut caller = fixture.send(&request).await;
    whole.send("first");
    drop(whole);
    caller.receive_until("first").await;
    let script = fixture.service.respond(StatusCode::OK, None);
    let sent = caller.stream.write_all(request.as_bytes()).await;
    sent.expect("the connection is kept");
    script.send("second");
    caller.receive_until("second").await;
    fixture.control.set_stage(ServerStage::Closing);
    script.send("third");
    drop(script);
    assert!(caller.ends_orderly().await, "{}", caller.text());
    assert!(caller.text().ends_with("secondthird"), "{}", caller.text());
}

/// A body of one frame that knows when it has ended, but not its length.
struct OneFrame(Option<Bytes>);

impl Body for OneFrame {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_none()
    }
}

/// Guards against a reset of a whole response whose body states its end with its last frame.
#[tokio::test]
async fn a_whole_response_whose_body_knows_its_end_is_not_reset() {
    let fixture = Fixture::start().await;
    let body = OneFrame(Some(Bytes::from_static(b"whole")));
    fixture.service.push(Response::new(body.boxed_unsync()));
    let mut caller = fixture.send(OLD_REQUEST).await;
    assert!(caller.ends_orderly().await, "{}", caller.text());
    assert_eq!(caller.body(), "whole");
}

/// Guards against a reset of a whole response whose caller has sent bytes that nobody reads.
#[tokio::test]
async fn unread_bytes_do_not_reset_a_whole_response_that_only_the_close_delimits() {
    let fixture = Fixture::start().await;
    let script = fixture.service.respond(StatusCode::OK, None);
    let request = OLD_REQUEST.to_owned() + &"x".repeat(LARGE_BYTES / 4);
    let mut caller = fixture.send(&request).await;
    script.send("whole");
    drop(script);
    assert!(caller.ends_orderly().await, "{}", caller.text());
    assert_eq!(caller.body(), "whole");
}

/// Guards against a reset of a response that has no body, although its status or its request excludes one.
#[tokio::test]
async fn a_response_without_a_body_is_not_reset() {
    let head = OLD_REQUEST.replace("GET", "HEAD");
    let cases = [
        (head.as_str(), StatusCode::OK),
        (OLD_REQUEST, StatusCode::NO_CONTENT),
        (OLD_REQUEST, StatusCode::NOT_MODIFIED),
    ];
    for (request, status) in cases {
        let fixture = Fixture::start().await;
        let _script = fixture.service.respond(status, None);
        let mut caller = fixture.send(request).await;
        assert!(caller.ends_orderly().await, "{status}: {}", caller.text());
        assert!(caller.text().ends_with("\r\n\r\n"), "{}", caller.text());
        sleep(AFTER_LINGERING).await;
        let error = caller.stream.take_error().expect("the socket's state");
        assert!(error.is_none(), "{request} {status}: {error:?}");
    }
}

/// Guards against a body that is truncated at its stated length and seems complete.
#[tokio::test]
async fn a_body_beyond_its_stated_length_is_cut_off() {
    for parts in [&["whole and more"] as &[_], &["whole", " and more"]] {
        let fixture = Fixture::start().await;
        let script = fixture.service.respond(StatusCode::OK, Some(5));
        let mut caller = fixture.send(REQUEST).await;
        for part in parts {
            script.send(part);
        }
        drop(script);
        caller.ends_orderly().await;
        assert!(caller.body().len() < 5, "{parts:?}: {}", caller.text());
    }
}

/// Guards against a body that fails after its stated length and seems complete.
#[tokio::test]
async fn a_body_that_fails_after_its_stated_length_is_cut_off() {
    let fixture = Fixture::start().await;
    let script = fixture.service.respond(StatusCode::OK, Some(5));
    let mut caller = fixture.send(REQUEST).await;
    script.send("whole");
    sleep(Duration::from_millis(20)).await;
    script.abort();
    caller.ends_orderly().await;
    assert!(caller.body().len() < 5, "{}", caller.text());
}

/// Guards against a body that ends before its stated length and seems complete.
#[tokio::test]
async fn a_body_short_of_its_stated_length_is_cut_off() {
    let fixture = Fixture::start().await;
    let script = fixture.service.respond(StatusCode::OK, Some(5));
    let mut caller = fixture.send(REQUEST).await;
    script.send("who");
    drop(script);
    caller.ends_orderly().await;
    assert!(caller.body().len() < 5, "{}", caller.text());
}

/// Guards against a whole response that its service takes for one whose caller left, since its end is not asked for.
#[tokio::test]
async fn a_body_with_a_stated_length_is_read_to_its_end() {
    let fixture = Fixture::start().await;
    let is_read = Arc::new(AtomicBool::new(false));
    let note_end = {
        let is_read = is_read.clone();
        stream::poll_fn(move |_| {
            is_read.store(true, Ordering::Relaxed);
            Poll::Ready(None)
        })
    };
    let whole = stream::iter([Ok(Frame::data(Bytes::from_static(b"whole")))]);
    let mut response = Response::new(StreamBody::new(whole.chain(note_end)).boxed_unsync());
    let length = HeaderValue::from_static("5");
    response.headers_mut().insert(CONTENT_LENGTH, length);
    fixture.service.push(response);
    let mut caller = fixture.send(REQUEST).await;
    assert!(caller.ends_orderly().await);
    assert_eq!(caller.body(), "whole");
    assert!(is_read.load(Ordering::Relaxed), "the end of the body");
}

/// Guards against a cut that seems orderly because an earlier response on the kept connection was whole.
#[tokio::test]
async fn a_cut_after_a_whole_response_on_the_same_connection_resets_it() {
    let fixture = Fixture::start().await;
    let whole = Full::new(Bytes::from_static(b"whole"));
    let whole = whole.map_err(|never| match never {}).boxed_unsync();
    fixture.service.push(Response::new(whole));
    let cut = fixture.service.respond(StatusCode::OK, None);
    let kept = "GET / HTTP/1.0\r\nHost: example\r\nConnection: keep-alive\r\n\r\n";
    let mut caller = fixture.send(kept).await;
    caller.receive_until("whole").await;
    caller
        .stream
        .write_all(kept.as_bytes())
        .await
        .expect("write");
    cut.send("part");
    caller.receive_until("part").await;
    cut.abort();
    assert!(!caller.ends_orderly().await);
}
