//! Kept connections that fall silent for good while new ones work.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{ConnectionPool, PoolSettings};
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// How long the tests' requests wait.
const PATIENCE: Duration = Duration::from_millis(500);

const SILENT_AFTER: Duration = Duration::from_millis(100);

/// Where a request is answered whole, not at all, or up to the middle.
const WHOLE: &str = "/whole";
const NEVER: &str = "/never";
const MIDWAY: &str = "/midway";

/// Connections kept when silence falls.
const KEPT: usize = 4;

/// A server that keeps its connections for long, and whose open connections can be silenced.
struct Server {
    address: String,
    accepted: Arc<AtomicUsize>,
    /// Connections with a smaller number say nothing any more.
    silent_below: Arc<AtomicUsize>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let server = Self {
            address: listener.local_addr().expect("address").to_string(),
            accepted: Arc::default(),
            silent_below: Arc::default(),
        };
        let (accepted, silent_below) = (server.accepted.clone(), server.silent_below.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, number, silent_below.clone()));
            }
        });
        server
    }

    fn silence(&self) {
        let open = self.accepted.load(Ordering::Relaxed);
        self.silent_below.store(open, Ordering::Relaxed);
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, number: usize, silent_below: Arc<AtomicUsize>) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
        if text.contains(NEVER) || number < silent_below.load(Ordering::Relaxed) {
            continue;
        }
        // All of a test's first requests are under way together, so that each has a connection.
        sleep(Duration::from_millis(20)).await;
        let head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\n";
        let body = if text.contains(MIDWAY) { "ha" } else { "half" };
        if stream.write_all(head.as_bytes()).await.is_err()
            || stream.write_all(body.as_bytes()).await.is_err()
        {
            return;
        }
    }
}

fn pool() -> ConnectionPool {
    let settings = PoolSettings {
        silent_after: SILENT_AFTER,
        ..PoolSettings::default()
    };
    ConnectionPool::new(settings, DecisionLog::new(LogBounds::default()))
}

/// Sends a request and reads its answer; false if it was given up.
async fn ask(pool: &ConnectionPool, server: &Server, path: &str) -> bool {
    let request = Request::builder().uri(path).header("host", "example");
    let request = request.body(Bytes::new()).expect("request");
    let exchange = async {
        let answer = pool.send(&server.address, request, false).await;
        let mut answer = answer.expect("answer");
        while let Some(part) = answer.body.next().await {
            part.expect("part");
        }
    };
    timeout(PATIENCE, exchange).await.is_ok()
}

async fn keep_some(pool: &ConnectionPool, server: &Server) {
    let asks = (0..KEPT).map(|_| ask(pool, server, WHOLE));
    let answered = futures::future::join_all(asks).await;
    assert!(answered.iter().all(|answered| *answered));
    assert_eq!(server.accepted(), KEPT);
}

#[tokio::test]
async fn one_silent_connection_costs_one_request_and_not_one_for_each_that_was_kept() {
    let server = Server::start().await;
    let pool = pool();
    keep_some(&pool, &server).await;
    server.silence();
    assert!(
        !ask(&pool, &server, WHOLE).await,
        "it is on a silent connection"
    );
    let began = Instant::now();
    assert!(
        ask(&pool, &server, WHOLE).await,
        "it is on a new connection"
    );
    assert!(began.elapsed() < PATIENCE);
    assert_eq!(server.accepted(), KEPT + 1);
}

#[tokio::test]
async fn silence_within_an_answer_says_the_same() {
    let server = Server::start().await;
    let pool = pool();
    keep_some(&pool, &server).await;
    let stopped = ask(&pool, &server, MIDWAY).await;
    assert!(!stopped, "its answer stops midway");
    server.silence();
    assert!(
        ask(&pool, &server, WHOLE).await,
        "it is on a new connection"
    );
}

#[tokio::test]
async fn a_connection_that_worked_meanwhile_is_kept() {
    let server = Server::start().await;
    let pool = pool();
    keep_some(&pool, &server).await;
    // Only this exchange is silent: another connection works after it was sent.
    let slow = ask(&pool, &server, NEVER);
    let other = async {
        sleep(Duration::from_millis(20)).await;
        ask(&pool, &server, WHOLE).await
    };
    assert_eq!(tokio::join!(slow, other), (false, true));
    assert!(pool.has_idle(&server.address));
    assert!(ask(&pool, &server, WHOLE).await);
    assert_eq!(server.accepted(), KEPT, "no new one was needed");
}

#[tokio::test]
async fn a_caller_that_leaves_soon_proves_no_silence() {
    let server = Server::start().await;
    let pool = pool();
    keep_some(&pool, &server).await;
    let left = timeout(Duration::from_millis(5), ask(&pool, &server, WHOLE)).await;
    assert!(left.is_err());
    assert!(ask(&pool, &server, WHOLE).await);
    assert_eq!(server.accepted(), KEPT);
}
