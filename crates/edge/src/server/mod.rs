//! The HTTP server towards callers: limits on heads and idle connections, and a planned stop that cuts nothing off.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_serving::{CallerLimits, Cut};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::silence::set_probes;

/// Least buffer of a connection, bytes.
const LEAST_BUFFER: usize = 16 << 10;

/// Pause after a failed accept, for example when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a caller may leave bytes unacknowledged, or its receive window closed, before it has gone. Where bytes wait
/// nothing else ends the request, and its slot at a replica stays taken. Longer than towards replicas: a caller may read
/// slowly.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Body of an answer; an error breaks the connection off.
pub type ResponseBody = UnsyncBoxBody<Bytes, Cut>;

/// What serves the requests.
#[async_trait]
pub trait HttpService: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller goes away.
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody>;
}

/// Stages of the server's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerStage {
    /// Serves.
    Serving,
    /// Serves, and closes each connection after its next answer.
    Draining,
    /// Takes no new connections and closes idle ones.
    Closing,
}

/// A server's shared state.
pub struct ServerControl {
    stage: watch::Sender<ServerStage>,
    in_progress: AtomicUsize,
    connections: AtomicUsize,
    limits: ArcSwap<CallerLimits>,
    unacknowledged_timeout: Duration,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(ServerStage::Serving),
            in_progress: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            limits: ArcSwap::from_pointee(CallerLimits::default()),
            unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
        }
    }
}

impl ServerControl {
    /// Another time after which a caller that takes nothing has gone.
    pub fn with_unacknowledged_timeout(mut self, timeout: Duration) -> Self {
        self.unacknowledged_timeout = timeout;
        self
    }

    /// Moves to another stage.
    pub fn set_stage(&self, stage: ServerStage) {
        self.stage.send_replace(stage);
    }

    /// The stage.
    pub fn stage(&self) -> ServerStage {
        *self.stage.borrow()
    }

    /// Requests read and not wholly answered.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Takes over limits for connections made from now on.
    pub fn set_limits(&self, limits: CallerLimits) {
        self.limits.store(Arc::new(limits));
    }
}

/// Accepts connections until the stage [`ServerStage::Closing`]; then the listener is closed.
pub async fn serve<S: HttpService>(
    listener: TcpListener,
    control: Arc<ServerControl>,
    service: Arc<S>,
) {
    let mut stage = control.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == ServerStage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, control.clone(), service.clone());
                tokio::spawn(connection);
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// What the connection's timer needs to know.
struct Activity {
    started: Instant,
    /// Requests in progress on the connection.
    busy: AtomicBool,
    /// When the last request ended, milliseconds since `started`.
    rested_at: AtomicU64,
    /// When the first bytes after that came, plus one; 0 if none have come.
    head_at: AtomicU64,
}

impl Activity {
    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn bytes_came(&self) {
        if !self.busy.load(Ordering::Relaxed) && self.head_at.load(Ordering::Relaxed) == 0 {
            self.head_at.store(self.now() + 1, Ordering::Relaxed);
        }
    }

    fn request_began(&self) {
        self.busy.store(true, Ordering::Relaxed);
        self.head_at.store(0, Ordering::Relaxed);
    }

    fn request_ended(&self) {
        self.rested_at.store(self.now(), Ordering::Relaxed);
        self.head_at.store(0, Ordering::Relaxed);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// When the connection is to be closed if nothing happens; `None` while it is busy.
    fn closes_at(&self, limits: &CallerLimits) -> Option<(Instant, bool)> {
        if self.busy.load(Ordering::Relaxed) {
            return None;
        }
        let head_at = self.head_at.load(Ordering::Relaxed);
        if head_at > 0 {
            let at = self.started + Duration::from_millis(head_at - 1) + limits.header_timeout;
            return Some((at, true));
        }
        let rested_at = self.rested_at.load(Ordering::Relaxed);
        let at = self.started + Duration::from_millis(rested_at) + limits.idle_timeout;
        Some((at, false))
    }
}

/// How often the times of a busy connection are looked at.
const BUSY_CHECK: Duration = Duration::from_secs(1);

/// A connection that is counted.
struct OpenConnection(Arc<ServerControl>);

impl OpenConnection {
    fn begin(control: &Arc<ServerControl>) -> Self {
        control.connections.fetch_add(1, Ordering::Relaxed);
        Self(control.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection<S: HttpService>(
    stream: TcpStream,
    control: Arc<ServerControl>,
    service: Arc<S>,
) {
    let _open = OpenConnection::begin(&control);
    let _ = stream.set_nodelay(true);
    set_probes(&stream, control.unacknowledged_timeout);
    let limits = *control.limits.load_full();
    let activity = Arc::new(Activity {
        started: Instant::now(),
        busy: AtomicBool::new(false),
        rested_at: AtomicU64::new(0),
        head_at: AtomicU64::new(0),
    });
    let io = WatchedIo {
        stream,
        activity: activity.clone(),
    };
    let handler = {
        let control = control.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            let running = RunningRequest::begin(control.clone(), activity.clone());
            let service = service.clone();
            async move { Ok::<_, std::convert::Infallible>(running.answer(service, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(io), handler);
    let mut connection = std::pin::pin!(connection);
    let mut stage = control.stage.subscribe();
    let mut closing = false;
    loop {
        if !closing && *stage.borrow_and_update() == ServerStage::Closing {
            closing = true;
            connection.as_mut().graceful_shutdown();
        }
        let check = match activity.closes_at(&limits) {
            None => Instant::now() + BUSY_CHECK,
            Some((at, head_is_slow)) if at <= Instant::now() => {
                if head_is_slow || closing {
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
                Instant::now() + BUSY_CHECK
            }
            Some((at, _)) => at,
        };
        tokio::select! {
            _ = &mut connection => return,
            _ = sleep_until(check) => {}
            changed = stage.changed() => if changed.is_err() { return },
        }
    }
}

/// A request in progress; its end is the end of its answer's body, or its drop.
struct RunningRequest {
    control: Arc<ServerControl>,
    activity: Arc<Activity>,
}

impl RunningRequest {
    fn begin(control: Arc<ServerControl>, activity: Arc<Activity>) -> Self {
        control.in_progress.fetch_add(1, Ordering::Relaxed);
        activity.request_began();
        Self { control, activity }
    }

    async fn answer<S: HttpService>(
        self,
        service: Arc<S>,
        request: Request<Incoming>,
    ) -> Response<GuardedBody> {
        let mut response = service.call(request).await;
        if self.control.stage() != ServerStage::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response.map(|body| GuardedBody {
            body,
            _running: self,
        })
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.control.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.activity.request_ended();
    }
}

/// An answer's body that keeps its request counted.
struct GuardedBody {
    body: ResponseBody,
    _running: RunningRequest,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that notes when bytes come.
struct WatchedIo {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl AsyncRead for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.bytes_came();
        }
        result
    }
}

impl AsyncWrite for WatchedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
