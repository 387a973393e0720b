//! Guards against reusing idle connections that have stalled while new ones work, and connections whose last response
//! doesn't allow it.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{ConnectionPool, PoolSettings};
use harrierward_serving::BodyDelimiter;
use http::Request;
use support::{close_delimited, start_raw_server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Timeout of the tests' requests.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

const STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Paths with a complete response, no response, half a response, and a complete response with another behind it.
const COMPLETE: &str = "/whole";
const NEVER: &str = "/never";
const HALF: &str = "/midway";
const SURPLUS: &str = "/surplus";

/// A complete body, and a response that belongs to no request.
const BODY_AND_SURPLUS: &str = "halfHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore";

/// Idle connections in the pool before the stall.
const IDLE_CONNECTIONS: usize = 4;

/// A server with long keep-alive whose open connections can be stalled.
struct Server {
    address: String,
    accepted: Arc<AtomicUsize>,
    /// Connections with a smaller number send nothing any more.
    stalled_below: Arc<AtomicUsize>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let server = Self {
            address: listener.local_addr().expect("address").to_string(),
            accepted: Arc::default(),
            stalled_below: Arc::default(),
        };
        let (accepted, stalled_below) = (server.accepted.clone(), server.stalled_below.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, number, stalled_below.clone()));
            }
        });
        server
    }

    fn stall(&self) {
        let open = self.accepted.load(Ordering::Relaxed);
        self.stalled_below.store(open, Ordering::Relaxed);
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, number: usize, stalled_below: Arc<AtomicUsize>) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
        if text.contains(NEVER) || number < stalled_below.load(Ordering::Relaxed) {
            continue;
        }
        // Delays responses so that a test's concurrent requests each need a connection.
        sleep(Duration::from_millis(20)).await;
        let head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\n";
        let body = match text {
            text if text.contains(HALF) => "ha",
            text if text.contains(SURPLUS) => BODY_AND_SURPLUS,
            _ => "half",
        };
        if stream.write_all(head.as_bytes()).await.is_err()
            || stream.write_all(body.as_bytes()).await.is_err()
        {
            return;
        }
    }
}

fn pool() -> ConnectionPool {
    let settings = PoolSettings {
        stall_timeout: STALL_TIMEOUT,
        ..PoolSettings::default()
    };
    ConnectionPool::new(settings, DecisionLog::new(LogBounds::default()))
}

/// Sends a request and reads its response; false on timeout.
async fn request(pool: &ConnectionPool, server: &Server, path: &str) -> bool {
    let request = Request::builder().uri(path).header("host", "example");
    let request = request.body(Bytes::new()).expect("request");
    let exchange = async {
        let response = pool.send(&server.address, request, false).await;
        let mut response = response.expect("a response");
        while let Some(part) = response.body.next().await {
            part.expect("part");
        }
    };
    timeout(REQUEST_TIMEOUT, exchange).await.is_ok()
}

async fn fill_pool(pool: &ConnectionPool, server: &Server) {
    let requests = (0..IDLE_CONNECTIONS).map(|_| request(pool, server, COMPLETE));
    let responded = futures::future::join_all(requests).await;
    assert!(responded.iter().all(|responded| *responded));
    assert_eq!(server.accepted(), IDLE_CONNECTIONS);
}

#[tokio::test]
async fn one_stalled_connection_fails_one_request_and_closes_the_idle_ones() {
    let server = Server::start().await;
    let pool = pool();
    fill_pool(&pool, &server).await;
    server.stall();
    assert!(
        !request(&pool, &server, COMPLETE).await,
        "it is on a stalled connection"
    );
    let began = Instant::now();
    assert!(
        request(&pool, &server, COMPLETE).await,
        "it is on a new connection"
    );
    assert!(began.elapsed() < REQUEST_TIMEOUT);
    assert_eq!(server.accepted(), IDLE_CONNECTIONS + 1);
}

#[tokio::test]
async fn a_stall_within_a_response_closes_the_idle_connections() {
    let server = Server::start().await;
    let pool = pool();
    fill_pool(&pool, &server).await;
    let stopped = request(&pool, &server, HALF).await;
    assert!(!stopped, "its response stops midway");
    server.stall();
    assert!(
        request(&pool, &server, COMPLETE).await,
        "it is on a new connection"
    );
}

#[tokio::test]
async fn a_connection_used_after_the_stall_began_is_kept() {
    let server = Server::start().await;
    let pool = pool();
    fill_pool(&pool, &server).await;
    // Only this exchange stalls: another connection is used after the request was sent.
    let stalled = request(&pool, &server, NEVER);
    let other = async {
        sleep(Duration::from_millis(20)).await;
        request(&pool, &server, COMPLETE).await
    };
    assert_eq!(tokio::join!(stalled, other), (false, true));
    assert!(pool.has_idle(&server.address));
    assert!(request(&pool, &server, COMPLETE).await);
    assert_eq!(server.accepted(), IDLE_CONNECTIONS, "no new one was needed");
}

#[tokio::test]
async fn an_early_cancellation_closes_no_idle_connections() {
    let server = Server::start().await;
    let pool = pool();
    fill_pool(&pool, &server).await;
    let timed_out = timeout(Duration::from_millis(5), request(&pool, &server, COMPLETE)).await;
    assert!(timed_out.is_err());
    assert!(request(&pool, &server, COMPLETE).await);
    assert_eq!(server.accepted(), IDLE_CONNECTIONS);
}

/// Returns how the pool takes the body of this response to be delimited.
async fn delimiter_of(response: &str) -> BodyDelimiter {
    let address = start_raw_server(response.as_bytes().to_vec()).await;
    let request = Request::builder().uri(COMPLETE).header("host", "example");
    let request = request.body(Bytes::new()).expect("request");
    let response = pool().send(&address, request, false).await;
    response.expect("a response").delimiter
}

/// Guards against taking the close of a connection for a last chunk, where chunks are not the last transfer coding.
#[tokio::test]
async fn only_chunks_as_the_last_transfer_coding_delimit_a_body() {
    let cases = [
        ("Transfer-Encoding: chunked", BodyDelimiter::Chunks),
        ("Transfer-Encoding: gzip, Chunked", BodyDelimiter::Chunks),
        ("Transfer-Encoding: chunked, gzip", BodyDelimiter::Close),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
            BodyDelimiter::Close,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: \u{e9}",
            BodyDelimiter::Close,
        ),
        (
            "Transfer-Encoding: gzip\r\nContent-Length: 4",
            BodyDelimiter::Close,
        ),
    ];
    for (headers, delimiter) in cases {
        let response = format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n4\r\nhalf");
        assert_eq!(delimiter_of(&response).await, delimiter, "{headers}");
    }
}

/// Guards against sending a request on a connection whose close delimited the response before.
#[tokio::test]
async fn a_connection_whose_close_delimits_a_body_is_not_reused() {
    let address = start_raw_server(close_delimited(b"body")).await;
    let pool = pool();
    for _ in 0..IDLE_CONNECTIONS {
        let request = Request::builder().uri(COMPLETE).header("host", "example");
        let request = request.body(Bytes::new()).expect("request");
        let mut response = pool
            .send(&address, request, false)
            .await
            .expect("a response");
        assert!(response.is_first_on_connection);
        while let Some(part) = response.body.next().await {
            part.expect("part");
        }
        assert!(!pool.has_idle(&address));
    }
}

/// Guards against taking surplus bytes after a whole response for the response to the next request.
#[tokio::test]
async fn a_connection_with_surplus_bytes_after_a_response_is_not_reused() {
    let server = Server::start().await;
    let pool = pool();
    for _ in 0..IDLE_CONNECTIONS {
        let request = Request::builder().uri(SURPLUS).header("host", "example");
        let request = request.body(Bytes::new()).expect("request");
        let response = pool.send(&server.address, request, false).await;
        let mut response = response.expect("a response");
        assert!(response.is_first_on_connection);
        let mut body = Vec::new();
        while let Some(part) = response.body.next().await {
            body.extend_from_slice(&part.expect("part"));
        }
        assert_eq!(body, b"half");
    }
}
