//! Guards against lost requests and truncated responses in a planned stop of the server.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_edge::{HttpService, ResponseBody, ServerControl, ServerStage, serve};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: example\r\n\r\n";

/// Responds once the gate is opened.
struct Gate {
    opened: Notify,
}

#[async_trait]
impl HttpService for Gate {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        self.opened.notified().await;
        let body = Full::new(Bytes::from_static(b"whole"));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

struct Fixture {
    address: std::net::SocketAddr,
    control: Arc<ServerControl>,
    gate: Arc<Gate>,
}

impl Fixture {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let control = Arc::new(ServerControl::default());
        let gate = Arc::new(Gate {
            opened: Notify::new(),
        });
        tokio::spawn(serve(listener, control.clone(), gate.clone()));
        Self {
            address,
            control,
            gate,
        }
    }

    async fn send(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connect");
        stream.write_all(REQUEST).await.expect("write");
        stream
    }

    async fn wait_for_in_progress(&self, count: usize) {
        while self.control.in_progress() != count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("read");
    text
}

#[tokio::test]
async fn a_draining_server_completes_responses_and_closes_each_connection() {
    let fixture = Fixture::start().await;
    let stream = fixture.send().await;
    fixture.wait_for_in_progress(1).await;
    fixture.control.set_stage(ServerStage::Draining);
    fixture.gate.opened.notify_one();
    let response = read_to_end(stream).await;
    assert!(response.contains("connection: close"), "{response}");
    assert!(response.ends_with("whole"), "{response}");
}

#[tokio::test]
async fn a_closing_server_refuses_connections_and_completes_requests_already_read() {
    let fixture = Fixture::start().await;
    let stream = fixture.send().await;
    fixture.wait_for_in_progress(1).await;
    fixture.control.set_stage(ServerStage::Closing);
    while TcpStream::connect(fixture.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fixture.gate.opened.notify_one();
    let response = read_to_end(stream).await;
    assert!(response.ends_with("whole"), "{response}");
}

#[tokio::test]
async fn a_request_is_dropped_when_its_caller_disconnects() {
    let fixture = Fixture::start().await;
    let stream = fixture.send().await;
    fixture.wait_for_in_progress(1).await;
    drop(stream);
    fixture.wait_for_in_progress(0).await;
}

/// Responds with one chunk that exceeds the buffers of a connection.
struct LargeBody;

const LARGE_BYTES: usize = 32 << 20;

#[async_trait]
impl HttpService for LargeBody {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Full::new(Bytes::from(vec![b'x'; LARGE_BYTES]));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

/// Guards against exiting while response bytes are still buffered for a slow caller.
#[tokio::test]
async fn a_response_is_in_progress_until_its_last_byte_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control.clone(), Arc::new(LargeBody)));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    let mut byte = [0];
    stream.read_exact(&mut byte).await.expect("a first byte");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(control.in_progress(), 1);
    control.set_stage(ServerStage::Closing);
    let remaining = read_to_end(stream).await;
    assert!(remaining.len() > LARGE_BYTES, "{} bytes", remaining.len());
    while control.in_progress() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

struct Immediate;

#[async_trait]
impl HttpService for Immediate {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Full::new(Bytes::from_static(b"prompt"));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

/// A caller with blocking writes, during which the server's tasks do not run.
struct BlockingCaller {
    stream: std::net::TcpStream,
}

impl BlockingCaller {
    fn connect_and_send(address: std::net::SocketAddr) -> Self {
        let stream = std::net::TcpStream::connect(address).expect("connect");
        let mut caller = Self { stream };
        caller.send_request();
        caller
    }

    fn send_request(&mut self) {
        std::io::Write::write_all(&mut self.stream, REQUEST).expect("write");
    }

    fn into_stream(self) -> TcpStream {
        self.stream.set_nonblocking(true).expect("nonblocking");
        TcpStream::from_std(self.stream).expect("stream")
    }
}

/// Guards against a close that resets connections with unread requests.
#[tokio::test]
async fn a_request_that_arrived_before_the_close_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control.clone(), Arc::new(Immediate)));
    let mut reused = TcpStream::connect(address).await.expect("connect");
    reused.write_all(REQUEST).await.expect("write");
    let mut response = vec![0; 1];
    reused.read_exact(&mut response).await.expect("a response");
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut reused = BlockingCaller {
        stream: reused.into_std().expect("stream"),
    };
    reused.stream.set_nonblocking(false).expect("blocking");
    reused.send_request();
    let fresh = BlockingCaller::connect_and_send(address);
    control.set_stage(ServerStage::Closing);
    let fresh = read_to_end(fresh.into_stream()).await;
    assert!(fresh.ends_with("prompt"), "{fresh}");
    let reused = read_to_end(reused.into_stream()).await;
    assert_eq!(reused.matches("prompt").count(), 2, "{reused}");
}

/// Bytes sent after the request, more than the server's buffers hold.
const UNREAD_BYTES: usize = 1 << 20;

/// Guards against closing a socket with unread bytes: the reset would truncate the response.
#[tokio::test]
async fn unread_bytes_after_the_last_request_do_not_truncate_its_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control.clone(), Arc::new(LargeBody)));
    control.set_stage(ServerStage::Draining);
    let stream = TcpStream::connect(address).await.expect("connect");
    let (mut reading, mut writing) = stream.into_split();
    let sender = tokio::spawn(async move {
        writing.write_all(REQUEST).await.expect("write");
        // The server may close before it has read all.
        let _ = writing.write_all(&[b'x'; UNREAD_BYTES]).await;
        writing
    });
    let mut response = Vec::new();
    reading.read_to_end(&mut response).await.expect("read");
    assert!(response.len() > LARGE_BYTES, "{} bytes", response.len());
    sender.await.expect("sender");
}

/// Responds with an endless body.
struct EndlessBody;

#[async_trait]
impl HttpService for EndlessBody {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let chunk = Bytes::from_static(&[0; 16_384]);
        let chunks = futures::stream::repeat_with(move || Ok(Frame::data(chunk.clone())));
        Response::new(StreamBody::new(chunks).boxed_unsync())
    }
}

/// Guards against requests that never end because an unresponsive caller acknowledges no bytes.
#[tokio::test]
async fn a_caller_that_acknowledges_nothing_is_disconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = ServerControl::default().with_unacknowledged_timeout(Duration::from_secs(1));
    let control = Arc::new(control);
    tokio::spawn(serve(listener, control.clone(), Arc::new(EndlessBody)));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    let mut byte = [0];
    stream.read_exact(&mut byte).await.expect("a first byte");
    assert_eq!(control.in_progress(), 1);
    let completed = async {
        while control.in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let completed = tokio::time::timeout(Duration::from_secs(10), completed).await;
    assert!(completed.is_ok(), "its request is still in progress");
}
