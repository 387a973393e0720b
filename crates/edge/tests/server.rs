//! A planned stop of the server: what was read is answered whole, and nobody is let in at its end.

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

/// Answers when it is told to.
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

    async fn until_in_progress(&self, count: usize) {
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
async fn a_draining_server_answers_whole_and_closes_each_connection() {
    let fixture = Fixture::start().await;
    let stream = fixture.send().await;
    fixture.until_in_progress(1).await;
    fixture.control.set_stage(ServerStage::Draining);
    fixture.gate.opened.notify_one();
    let answer = read_to_end(stream).await;
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("whole"), "{answer}");
}

#[tokio::test]
async fn a_closing_server_lets_nobody_in_and_still_answers_what_it_read() {
    let fixture = Fixture::start().await;
    let stream = fixture.send().await;
    fixture.until_in_progress(1).await;
    fixture.control.set_stage(ServerStage::Closing);
    while TcpStream::connect(fixture.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fixture.gate.opened.notify_one();
    let answer = read_to_end(stream).await;
    assert!(answer.ends_with("whole"), "{answer}");
}

#[tokio::test]
async fn a_request_whose_caller_left_is_dropped() {
    let fixture = Fixture::start().await;
    let stream = fixture.send().await;
    fixture.until_in_progress(1).await;
    drop(stream);
    fixture.until_in_progress(0).await;
}

/// Answers with one piece that is larger than the buffers of a connection.
struct Large;

const LARGE_BYTES: usize = 32 << 20;

#[async_trait]
impl HttpService for Large {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Full::new(Bytes::from(vec![b'x'; LARGE_BYTES]));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

/// A stop that took the request for done would end the process, and with it what the caller has not taken yet.
#[tokio::test]
async fn an_answer_is_in_progress_until_its_last_byte_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control.clone(), Arc::new(Large)));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    let mut byte = [0];
    stream.read_exact(&mut byte).await.expect("a first byte");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(control.in_progress(), 1);
    control.set_stage(ServerStage::Closing);
    let rest = read_to_end(stream).await;
    assert!(rest.len() > LARGE_BYTES, "{} bytes", rest.len());
    while control.in_progress() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Answers at once.
struct Prompt;

#[async_trait]
impl HttpService for Prompt {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Full::new(Bytes::from_static(b"prompt"));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}

/// A caller whose writes do not let the server run.
struct BlockingCaller {
    stream: std::net::TcpStream,
}

impl BlockingCaller {
    fn ask(address: std::net::SocketAddr) -> Self {
        let stream = std::net::TcpStream::connect(address).expect("connect");
        let mut caller = Self { stream };
        caller.ask_again();
        caller
    }

    fn ask_again(&mut self) {
        std::io::Write::write_all(&mut self.stream, REQUEST).expect("write");
    }

    fn into_stream(self) -> TcpStream {
        self.stream.set_nonblocking(true).expect("nonblocking");
        TcpStream::from_std(self.stream).expect("stream")
    }
}

/// Closing the listener, or a connection that seems idle, would reset what has come and is not read yet.
#[tokio::test]
async fn a_request_that_came_before_the_close_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control.clone(), Arc::new(Prompt)));
    let mut kept = TcpStream::connect(address).await.expect("connect");
    kept.write_all(REQUEST).await.expect("write");
    let mut answer = vec![0; 1];
    kept.read_exact(&mut answer).await.expect("an answer");
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut kept = BlockingCaller {
        stream: kept.into_std().expect("stream"),
    };
    kept.stream.set_nonblocking(false).expect("blocking");
    kept.ask_again();
    let fresh = BlockingCaller::ask(address);
    control.set_stage(ServerStage::Closing);
    let fresh = read_to_end(fresh.into_stream()).await;
    assert!(fresh.ends_with("prompt"), "{fresh}");
    let kept = read_to_end(kept.into_stream()).await;
    assert_eq!(kept.matches("prompt").count(), 2, "{kept}");
}

/// Bytes that the server does not read, more than its buffers hold.
const UNREAD_BYTES: usize = 1 << 20;

/// A close with bytes unread is a reset, which would take the end of the answer with it.
#[tokio::test]
async fn bytes_behind_the_last_request_do_not_cut_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = Arc::new(ServerControl::default());
    tokio::spawn(serve(listener, control.clone(), Arc::new(Large)));
    control.set_stage(ServerStage::Draining);
    let stream = TcpStream::connect(address).await.expect("connect");
    let (mut reading, mut writing) = stream.into_split();
    let sending = tokio::spawn(async move {
        writing.write_all(REQUEST).await.expect("write");
        // The server may close before it has taken all.
        let _ = writing.write_all(&[b'x'; UNREAD_BYTES]).await;
        writing
    });
    let mut answer = Vec::new();
    reading.read_to_end(&mut answer).await.expect("read");
    assert!(answer.len() > LARGE_BYTES, "{} bytes", answer.len());
    sending.await.expect("sender");
}

/// Answers without an end.
struct Endless;

#[async_trait]
impl HttpService for Endless {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let piece = Bytes::from_static(&[0; 16_384]);
        let pieces = futures::stream::repeat_with(move || Ok(Frame::data(piece.clone())));
        Response::new(StreamBody::new(pieces).boxed_unsync())
    }
}

/// Nothing but this ends the request of a caller that is silent for good while bytes wait for it.
#[tokio::test]
async fn a_caller_that_takes_nothing_has_gone_after_a_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let control = ServerControl::default().with_unacknowledged_timeout(Duration::from_secs(1));
    let control = Arc::new(control);
    tokio::spawn(serve(listener, control.clone(), Arc::new(Endless)));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    let mut byte = [0];
    stream.read_exact(&mut byte).await.expect("a first byte");
    assert_eq!(control.in_progress(), 1);
    let gone = async {
        while control.in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let gone = tokio::time::timeout(Duration::from_secs(10), gone).await;
    assert!(gone.is_ok(), "its request is still in progress");
}
