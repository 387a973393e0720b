//! HTTP/1 connection pool: one request at a time per connection, reused only after a complete exchange.
//!
//! A connection with a broken, early or unexpected response is never reused, and an abandoned one is closed at once,
//! so that the backend stops its work.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::http::ends_in_chunks;
use harrierward_serving::{BodyDelimiter, excludes_body};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::stall::{StallWatch, set_probes};

/// Limits and timeouts of the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// How long bytes may stay unacknowledged before the connection counts as dead.
    pub unacknowledged_timeout: Duration,
    /// How long an idle connection is kept if the backend announces no keep-alive timeout.
    pub idle: Duration,
    /// How much sooner than the backend's keep-alive timeout a connection is closed.
    pub idle_margin: Duration,
    /// Maximum number of idle connections per address.
    pub idle_per_address: usize,
    /// Minimum stall of an abandoned or failed exchange after which the idle connections to its address are closed, if
    /// they have been unused since before the stall.
    pub stall_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(150),
            unacknowledged_timeout: Duration::from_secs(3),
            idle: Duration::from_millis(1_500),
            idle_margin: Duration::from_millis(700),
            idle_per_address: 32,
            stall_timeout: Duration::from_millis(200),
        }
    }
}

/// Maximum size of the response to a probe.
const MAX_PROBE_RESPONSE_BYTES: usize = 64 << 10;

/// Time limit of a probe, which delays the request that follows.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time within which a proxy without a backend closes a new connection.
const REFUSAL_WAIT: Duration = Duration::from_millis(20);

/// Failure of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The connection failed before anything was sent.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The response was lost; the request may have been processed.
    #[error("answer lost: {0}")]
    Lost(String),
}

/// Body of a request; records that it was handed to the connection.
pub struct RequestBody {
    data: Option<Bytes>,
    is_sent: Arc<AtomicBool>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.is_sent.store(true, Ordering::Relaxed);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

/// Aborts the connection's task when dropped, which closes the connection.
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

/// An idle connection. Its times count suspensions of the machine, as the backend's clock does.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
    /// When its last exchange was completed.
    last_used_at: Instant,
}

/// Pool of connections to backends; cheap to clone.
#[derive(Clone)]
pub struct ConnectionPool {
    inner: Arc<Inner>,
}

struct Inner {
    settings: PoolSettings,
    log: DecisionLog,
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

/// Response whose body has not been read.
pub struct PooledResponse {
    /// Status line and headers.
    pub head: response::Parts,
    /// How the end of the body is marked.
    pub delimiter: BodyDelimiter,
    /// Body, to be read to its end for the connection to be reused.
    pub body: PooledBody,
    /// Whether this is the first exchange on its connection.
    pub is_first_on_connection: bool,
}

/// Response to a probe.
struct Probed {
    body: Bytes,
    /// The connection, unless the backend closes it.
    connection: Option<Connection>,
}

/// Body of a response. The connection returns to the pool after the body's end, and is closed if the body is dropped
/// before.
pub struct PooledBody {
    body: Incoming,
    lease: Option<Lease>,
}

struct Lease {
    pool: ConnectionPool,
    address: String,
    connection: Connection,
    keep_for: Option<Duration>,
    stall_watch: StallWatch,
}

impl PooledBody {
    /// Marks the connection as not to be reused.
    pub fn discard_connection(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.keep_for = None;
        }
    }

    /// Reads the body to its end; returns it with the connection.
    async fn read_whole(mut self, max_bytes: usize) -> Result<(Bytes, Lease), PoolError> {
        let mut whole = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| PoolError::Lost(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
            if whole.len() > max_bytes {
                return Err(PoolError::Lost("the body is too large".to_owned()));
            }
        }
        let lease = self.lease.take();
        let lease = lease.ok_or_else(|| PoolError::Lost("the body was read".to_owned()))?;
        Ok((whole.freeze(), lease))
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
                        lease.stall_watch.note_received();
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
                        lease.release();
                    }
                    return Poll::Ready(None);
                }
            }
        }
    }
}

impl Lease {
    /// Returns the connection for a further exchange; `None` if the backend closes it.
    async fn into_connection(mut self) -> Option<Connection> {
        self.stall_watch.finish();
        self.keep_for?;
        let mut connection = self.connection;
        connection.sender.ready().await.ok()?;
        Some(connection)
    }

    fn release(mut self) {
        self.stall_watch.finish();
        let Some(keep_for) = self.keep_for else {
            return;
        };
        let now = harrierward_clock::now();
        let idle = IdleConnection {
            connection: self.connection,
            expires_at: now + keep_for,
            last_used_at: now,
        };
        self.pool.put(self.address, idle);
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
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

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.inner
            .idle
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn put(&self, address: String, idle: IdleConnection) {
        let mut all = self.lock();
        let list = all.entry(address).or_default();
        let now = harrierward_clock::now();
        list.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        if list.len() < self.inner.settings.idle_per_address {
            list.push(idle);
        }
    }

    /// Takes the connection used last, so that surplus ones become idle and expire.
    fn take(&self, address: &str) -> Option<Connection> {
        let mut all = self.lock();
        let list = all.get_mut(address)?;
        let now = harrierward_clock::now();
        while let Some(idle) = list.pop() {
            let connection = idle.connection;
            if idle.expires_at > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes the idle connections to the address that have not been used since `received_at`.
    ///
    /// Connections can stall together while new ones work; each stalled one would cost another request its timeout.
    pub(crate) fn close_stalled(&self, address: &str, received_at: Instant) {
        let closed = self.close_unused_since(address, received_at);
        if closed == 0 {
            return;
        }
        let stalled_for = harrierward_clock::age(received_at).as_millis();
        self.inner.log.record(&Record::ConnectionsSilent {
            peer: address,
            closed,
            silent_ms: u64::try_from(stalled_for).unwrap_or(u64::MAX),
        });
    }

    fn close_unused_since(&self, address: &str, received_at: Instant) -> usize {
        let mut all = self.lock();
        let Some(list) = all.get_mut(address) else {
            return 0;
        };
        let before = list.len();
        list.retain(|idle| idle.last_used_at > received_at);
        before - list.len()
    }

    /// True if an idle connection to the address can be reused.
    pub fn has_idle(&self, address: &str) -> bool {
        let all = self.lock();
        let now = harrierward_clock::now();
        all.get(address).is_some_and(|list| {
            let is_usable =
                |idle: &IdleConnection| idle.expires_at > now && idle.connection.sender.is_ready();
            list.iter().any(is_usable)
        })
    }

    /// True if nothing serves at the address: the connection is refused, or closed at once, as by a proxy without its
    /// backend. A connection that stays open proves nothing.
    pub async fn is_refused(&self, address: &str) -> bool {
        let connecting = TcpStream::connect(address.to_owned());
        let connected = timeout(self.inner.settings.connect_timeout, connecting).await;
        let stream = match connected {
            Err(_) => return false,
            Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(stream)) => stream,
        };
        // Nothing was sent, so that readiness can only mean unexpected bytes, a close or an error.
        timeout(REFUSAL_WAIT, stream.readable()).await.is_ok()
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

    /// Sends a request and waits for the header of its response; `fresh` forces a new connection. Dropping the future
    /// closes the connection.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Bytes>,
        fresh: bool,
    ) -> Result<PooledResponse, PoolError> {
        let reused = if fresh { None } else { self.take(address) };
        let is_first_on_connection = reused.is_none();
        let connection = match reused {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let mut response = self.exchange(address, connection, request).await?;
        response.is_first_on_connection = is_first_on_connection;
        Ok(response)
    }

    /// Sends a request over a new connection to the process that a probe of the same address has reached. `accept` judges the
    /// probe's response.
    ///
    /// The request follows over the probe's connection. If the backend closes that one, it goes over a connection that was
    /// opened before a second probe: the end of the process would have closed it.
    ///
    /// # Errors
    /// As [`Self::send`], or the error of `accept`; the request was not sent then.
    pub async fn send_after_probe<E: From<PoolError>>(
        &self,
        address: &str,
        probe: impl Fn() -> Request<Bytes>,
        accept: impl Fn(Bytes) -> Result<(), E>,
        request: impl FnOnce() -> Request<Bytes>,
    ) -> Result<PooledResponse, E> {
        let connection = self.connect(address).await?;
        let probed = self.probe(address, connection, probe()).await?;
        accept(probed.body)?;
        if let Some(connection) = probed.connection {
            return Ok(self.exchange(address, connection, request()).await?);
        }
        let connection = self.connect(address).await?;
        let other = self.connect(address).await?;
        let probed = self.probe(address, other, probe()).await?;
        accept(probed.body)?;
        Ok(self.exchange(address, connection, request()).await?)
    }

    /// Sends a probe. Its failure is one before the request.
    async fn probe(
        &self,
        address: &str,
        connection: Connection,
        probe: Request<Bytes>,
    ) -> Result<Probed, PoolError> {
        let probing = async {
            let response = self.exchange(address, connection, probe).await?;
            let (body, lease) = response.body.read_whole(MAX_PROBE_RESPONSE_BYTES).await?;
            let connection = lease.into_connection().await;
            Ok(Probed { body, connection })
        };
        match timeout(PROBE_TIMEOUT, probing).await {
            Ok(Ok(probed)) => Ok(probed),
            Ok(Err(PoolError::NotSent(detail) | PoolError::Lost(detail))) => {
                Err(PoolError::NotSent(detail))
            }
            Err(_) => Err(PoolError::NotSent(
                "no response to a probe in time".to_owned(),
            )),
        }
    }

    /// Sends a request over a connection and waits for the header of its response.
    async fn exchange(
        &self,
        address: &str,
        mut connection: Connection,
        request: Request<Bytes>,
    ) -> Result<PooledResponse, PoolError> {
        let (head, body) = request.into_parts();
        let method = head.method.clone();
        let is_sent = Arc::new(AtomicBool::new(body.is_empty()));
        let body = RequestBody {
            data: Some(body).filter(|body| !body.is_empty()),
            is_sent: is_sent.clone(),
        };
        let request = Request::from_parts(head, body);
        let mut stall_watch = StallWatch::begin(self, address);
        let response = connection.sender.send_request(request).await;
        let (head, body) = response
            .map_err(|error| PoolError::Lost(error.to_string()))?
            .into_parts();
        stall_watch.note_received();
        // A response that precedes the end of the request's body leaves the connection in an indeterminate state.
        let is_fully_sent = is_sent.load(Ordering::Relaxed);
        let keep_for = self.keep_for(&head.headers).filter(|_| is_fully_sent);
        let lease = Lease {
            pool: self.clone(),
            address: address.to_owned(),
            connection,
            keep_for,
            stall_watch,
        };
        let body = PooledBody {
            body,
            lease: Some(lease),
        };
        let delimiter = delimiter_of(&method, &head);
        Ok(PooledResponse {
            head,
            delimiter,
            body,
            is_first_on_connection: false,
        })
    }

    pub(crate) fn stall_timeout(&self) -> Duration {
        self.inner.settings.stall_timeout
    }

    fn keep_for(&self, headers: &HeaderMap) -> Option<Duration> {
        let settings = &self.inner.settings;
        if has_token(headers, "connection", "close") {
            return None;
        }
        let announced = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(keep_alive_timeout);
        let Some(announced) = announced else {
            return Some(settings.idle);
        };
        announced
            .checked_sub(settings.idle_margin)
            .filter(|left| !left.is_zero())
    }
}

/// How the end of a response's body is marked (RFC 9112, section 6.3).
fn delimiter_of(method: &Method, head: &response::Parts) -> BodyDelimiter {
    if excludes_body(method, head.status.as_u16()) {
        return BodyDelimiter::Length;
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return if ends_in_chunks(&head.headers) {
            BodyDelimiter::Chunks
        } else {
            BodyDelimiter::Close
        };
    }
    if head.headers.contains_key(CONTENT_LENGTH) {
        BodyDelimiter::Length
    } else {
        BodyDelimiter::Close
    }
}

/// True if a comma-separated header contains the token, ignoring case.
pub fn has_token(headers: &HeaderMap, name: &str, token: &str) -> bool {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
