//! Connections to back ends: one request at a time on each, kept only after a whole and orderly exchange.
//!
//! Why not a pooled client of a library: a connection that carried a broken, early or foreign answer must never
//! be used again, and one that is given up must be closed at once, so that the back end stops.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use harrierward_decisions::{DecisionLog, Record};
use http::{HeaderMap, Request, response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::stall::{StallWatch, set_probes};

/// Bounds of the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// How long unacknowledged bytes may wait before the connection counts as dead.
    pub unacknowledged_timeout: Duration,
    /// How long an idle connection is kept where the back end does not say.
    pub idle: Duration,
    /// How much sooner than the back end a connection is given up.
    pub idle_margin: Duration,
    /// Idle connections kept to one address.
    pub idle_per_address: usize,
    /// Silence in an exchange that was given up after which the connections kept since before it count as silent too.
    pub silent_after: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(150),
            unacknowledged_timeout: Duration::from_secs(3),
            idle: Duration::from_millis(1_500),
            idle_margin: Duration::from_millis(700),
            idle_per_address: 32,
            silent_after: Duration::from_millis(200),
        }
    }
}

/// Time within which a connection is closed whose other side has nobody to serve it.
const CLOSED_AT_ONCE: Duration = Duration::from_millis(20);

/// A failed exchange.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// No connection: nothing was sent.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request may have been read.
    #[error("answer lost: {0}")]
    Lost(String),
}

/// The request's body; tells when all of it was handed to the connection.
pub struct RequestBody {
    data: Option<Bytes>,
    taken: Arc<AtomicBool>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.taken.store(true, Ordering::Relaxed);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

/// Ends the connection's task, and so closes the connection, when dropped.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Connection {
    sender: http1::SendRequest<RequestBody>,
    _driver: Driver,
}

/// A kept connection. Its times count suspensions, as the clock of the other side does.
struct Idle {
    connection: Connection,
    until: Instant,
    /// When its last exchange ended: it worked until then.
    worked_at: Instant,
}

/// Connections to back ends; cheap to clone.
#[derive(Clone)]
pub struct ConnectionPool {
    inner: Arc<Inner>,
}

struct Inner {
    settings: PoolSettings,
    log: DecisionLog,
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

/// An answer whose body is still to come.
pub struct PooledResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: PooledBody,
    /// The connection carried nothing before.
    pub is_first_on_connection: bool,
}

/// Body of an answer. After its clean end the connection goes back to the pool; dropped before, it is closed.
pub struct PooledBody {
    body: Incoming,
    lease: Option<Lease>,
}

struct Lease {
    pool: ConnectionPool,
    address: String,
    connection: Connection,
    keep_for: Option<Duration>,
    silence: StallWatch,
}

impl PooledBody {
    /// The connection is not used again.
    pub fn discard_connection(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.keep_for = None;
        }
    }
}

impl Stream for PooledBody {
    type Item = Result<Bytes, PoolError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if self.lease.is_none() {
                return Poll::Ready(None);
            }
            let frame = match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(lease) = &mut self.lease {
                        lease.silence.note_received();
                    }
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(error)) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(PoolError::Lost(error.to_string()))));
                }
                None => {
                    if let Some(lease) = self.lease.take() {
                        lease.give_back();
                    }
                    return Poll::Ready(None);
                }
            }
        }
    }
}

impl Lease {
    fn give_back(mut self) {
        self.silence.finish();
        let Some(keep_for) = self.keep_for else {
            return;
        };
        let now = harrierward_clock::now();
        let idle = Idle {
            connection: self.connection,
            until: now + keep_for,
            worked_at: now,
        };
        self.pool.put(self.address, idle);
    }
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(settings: PoolSettings, log: DecisionLog) -> Self {
        let inner = Inner {
            settings,
            log,
            idle: Mutex::new(HashMap::new()),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.inner
            .idle
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn put(&self, address: String, idle: Idle) {
        let mut all = self.lock();
        let list = all.entry(address).or_default();
        let now = harrierward_clock::now();
        list.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        if list.len() < self.inner.settings.idle_per_address {
            list.push(idle);
        }
    }

    /// The connection used last, so that the others may rest and be closed.
    fn take(&self, address: &str) -> Option<Connection> {
        let mut all = self.lock();
        let list = all.get_mut(address)?;
        let now = harrierward_clock::now();
        while let Some(idle) = list.pop() {
            let connection = idle.connection;
            if idle.until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes the connections to the address that have not worked since `heard_at`.
    ///
    /// Connections can fall silent for good, all of one moment together, while new ones work. Each of them would cost
    /// one more request its time-out.
    pub(crate) fn distrust(&self, address: &str, heard_at: Instant) {
        let closed = self.close_unheard(address, heard_at);
        if closed == 0 {
            return;
        }
        let silent = harrierward_clock::age(heard_at).as_millis();
        self.inner.log.record(&Record::ConnectionsSilent {
            peer: address,
            closed,
            silent_ms: u64::try_from(silent).unwrap_or(u64::MAX),
        });
    }

    fn close_unheard(&self, address: &str, heard_at: Instant) -> usize {
        let mut all = self.lock();
        let Some(list) = all.get_mut(address) else {
            return 0;
        };
        let before = list.len();
        list.retain(|idle| idle.worked_at > heard_at);
        before - list.len()
    }

    /// True if a connection to the address is kept that a request could use.
    pub fn has_idle(&self, address: &str) -> bool {
        let all = self.lock();
        let now = harrierward_clock::now();
        all.get(address).is_some_and(|list| {
            let usable = |idle: &Idle| idle.until > now && idle.connection.sender.is_ready();
            list.iter().any(usable)
        })
    }

    /// True if nobody serves at the address: the connection is refused, or closed as soon as it is made, as by a proxy whose
    /// back end is gone. One that stays open says nothing of that.
    pub async fn is_refused(&self, address: &str) -> bool {
        let connecting = TcpStream::connect(address.to_owned());
        let connected = timeout(self.inner.settings.connect_timeout, connecting).await;
        let stream = match connected {
            Err(_) => return false,
            Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(stream)) => stream,
        };
        // Nothing was asked: bytes, an end or an error are all that readiness can mean.
        timeout(CLOSED_AT_ONCE, stream.readable()).await.is_ok()
    }

    async fn connect(&self, address: &str) -> Result<Connection, PoolError> {
        let settings = &self.inner.settings;
        let connecting = TcpStream::connect(address.to_owned());
        let stream = match timeout(settings.connect_timeout, connecting).await {
            Err(_) => return Err(PoolError::NotSent("no connection in time".to_owned())),
            Ok(Err(error)) => return Err(PoolError::NotSent(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        let not_sent = |error: std::io::Error| PoolError::NotSent(error.to_string());
        stream.set_nodelay(true).map_err(not_sent)?;
        set_probes(&stream, settings.unacknowledged_timeout);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| PoolError::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            _driver: Driver(task.abort_handle()),
        })
    }

    /// Sends a request and waits for the head of its answer. Dropping the future closes the connection.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Bytes>,
        fresh: bool,
    ) -> Result<PooledResponse, PoolError> {
        let kept = if fresh { None } else { self.take(address) };
        let is_first_on_connection = kept.is_none();
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let (head, body) = request.into_parts();
        let taken = Arc::new(AtomicBool::new(body.is_empty()));
        let body = RequestBody {
            data: Some(body).filter(|body| !body.is_empty()),
            taken: taken.clone(),
        };
        let request = Request::from_parts(head, body);
        let mut silence = StallWatch::begin(self, address);
        let answer = connection.sender.send_request(request).await;
        let (head, body) = answer
            .map_err(|error| PoolError::Lost(error.to_string()))?
            .into_parts();
        silence.note_received();
        // An answer that came before the whole body was sent leaves the connection in doubt.
        let orderly = taken.load(Ordering::Relaxed);
        let keep_for = self.keep_for(&head.headers).filter(|_| orderly);
        let lease = Lease {
            pool: self.clone(),
            address: address.to_owned(),
            connection,
            keep_for,
            silence,
        };
        let body = PooledBody {
            body,
            lease: Some(lease),
        };
        Ok(PooledResponse {
            head,
            body,
            is_first_on_connection,
        })
    }

    pub(crate) fn silent_after(&self) -> Duration {
        self.inner.settings.silent_after
    }

    fn keep_for(&self, headers: &HeaderMap) -> Option<Duration> {
        let settings = &self.inner.settings;
        if has_token(headers, "connection", "close") {
            return None;
        }
        let told = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(keep_alive_timeout);
        let Some(told) = told else {
            return Some(settings.idle);
        };
        told.checked_sub(settings.idle_margin)
            .filter(|left| !left.is_zero())
    }
}

/// True if a list header holds the token.
pub fn has_token(headers: &HeaderMap, name: &str, token: &str) -> bool {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case(token))
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
