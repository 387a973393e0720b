//! HTTP server: limits on headers and idle connections, and a graceful stop that drops no request.

mod activity;
mod connection;
mod delimiter;
mod reset;
mod room;
mod slow_caller;
mod stated_length;
mod stream;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_memory::MemoryBudget;
use harrierward_serving::{BodyDelimiter, CallerLimits, ResponseAborted};
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use activity::Activity;
use connection::serve_connection;
pub use room::ConnectionBound;
use room::{SocketCount, StartedConnections};

use crate::machine::RECEIVE_BUFFER_BYTES;

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a caller may acknowledge no bytes or keep its receive window closed before it is disconnected; until then
/// its request keeps a replica's slot. Longer than towards replicas, since callers may read slowly.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Body of a response; an error aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Id of the request of a response, for the log; an extension of the response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestId(pub String);

/// Handler of the requests of a server.
#[async_trait]
pub trait HttpService: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the caller disconnects.
    async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody>;
}

/// Stages of a server from start to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerStage {
    /// Normal operation.
    Serving,
    /// Accepts connections, and closes each one after its next response.
    Draining,
    /// Accepts no connections and closes idle ones; services start no new work.
    Closing,
}

/// Shared state of one server: its stage, its limits and its counts.
pub struct ServerControl {
    stage: watch::Sender<ServerStage>,
    in_progress: AtomicUsize,
    connections: AtomicUsize,
    limits: ArcSwap<CallerLimits>,
    unacknowledged_timeout: Duration,
    log: Option<DecisionLog>,
    is_linger_failing: AtomicBool,
    bound: Option<ConnectionBound>,
    sockets: Arc<SocketCount>,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(ServerStage::Serving),
            in_progress: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            limits: ArcSwap::from_pointee(CallerLimits::default()),
            unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
            log: None,
            is_linger_failing: AtomicBool::new(false),
            bound: None,
            sockets: Arc::default(),
        }
    }
}

impl ServerControl {
    /// Replaces the time after which a caller that acknowledges no bytes is disconnected.
    pub fn with_unacknowledged_timeout(mut self, timeout: Duration) -> Self {
        self.unacknowledged_timeout = timeout;
        self
    }

    /// Sets the log for failures of the server.
    pub fn with_log(mut self, log: DecisionLog) -> Self {
        self.log = Some(log);
        self
    }

    /// Bounds the connections, and the bytes that each may have unread.
    pub fn with_bound(mut self, bound: ConnectionBound) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Waits for the stage [`ServerStage::Closing`].
    pub async fn closing(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as `self`.
        let _ = stage.wait_for(|stage| *stage == ServerStage::Closing).await;
    }

    /// Logs that a connection is refused, since as many as allowed are in use.
    fn note_connection_refused(&self) {
        if let Some(log) = &self.log {
            log.record(&Record::ConnectionRefused {
                connections: self.connections(),
            });
        }
    }

    /// Logs that a connection is closed for others, since its caller doesn't take the response.
    fn note_response_unread(&self, sent_bytes: u64) {
        if let Some(log) = &self.log {
            log.record(&Record::ResponseUnread {
                sent_bytes,
                connections: self.connections(),
            });
        }
    }

    /// Returns the budget of the bytes that callers make this server hold, if it is bounded.
    fn memory(&self) -> Option<MemoryBudget> {
        self.bound.as_ref().map(|bound| bound.memory.clone())
    }

    /// Logs, once, that the kernel's receive buffers can't be bounded.
    fn note_buffer_unbounded(&self, error: &std::io::Error) {
        if let Some(log) = &self.log {
            log.record(&Record::ReceiveBufferUnbounded {
                cause: &error.to_string(),
            });
        }
    }

    fn note_accept_failed(&self, error: &std::io::Error) {
        if let Some(log) = &self.log {
            log.record(&Record::AcceptFailed {
                cause: &error.to_string(),
                connections: self.connections(),
            });
        }
    }

    /// Logs that a response can't be completed, and the delimiter by which its caller detects that.
    fn note_cut_off(&self, request: &str, delimiter: BodyDelimiter, cause: &str) {
        if let Some(log) = &self.log {
            log.record(&Record::ResponseCutOff {
                request,
                delimiter: delimiter.name(),
                cause,
            });
        }
    }

    /// Logs, once, that the close of a connection can't be changed between an orderly one and a reset.
    fn note_linger_failed(&self, error: &std::io::Error) {
        if self.is_linger_failing.swap(true, Ordering::Relaxed) {
            return;
        }
        if let Some(log) = &self.log {
            log.record(&Record::LingerFailed {
                cause: &error.to_string(),
            });
        }
    }

    /// Moves the server to another stage and notifies its connections.
    pub fn set_stage(&self, stage: ServerStage) {
        self.stage.send_replace(stage);
    }

    /// Returns the current stage.
    pub fn stage(&self) -> ServerStage {
        *self.stage.borrow()
    }

    /// Returns the number of requests read whose response is not yet fully sent.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Sets the limits of connections accepted from now on.
    pub fn set_limits(&self, limits: CallerLimits) {
        self.limits.store(Arc::new(limits));
    }
}

/// Accepts connections until the stage [`ServerStage::Closing`], then closes the listener.
pub async fn serve<S: HttpService>(
    listener: TcpListener,
    control: Arc<ServerControl>,
    service: Arc<S>,
) {
    let mut started = StartedConnections::default();
    if control.bound.is_some()
        && let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
    {
        control.note_buffer_unbounded(&error);
    }
    let start_connection = |stream: TcpStream, started: &mut StartedConnections| {
        let activity = Arc::new(Activity::begin(control.clone()));
        started.add(&activity);
        let socket = control.sockets.begin();
        let (control, service) = (control.clone(), service.clone());
        tokio::spawn(async move {
            serve_connection(stream, control, activity, service).await;
            drop(socket);
        });
    };
    let mut stage = control.stage.subscribe();
    let mut is_failing = false;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == ServerStage::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                is_failing = false;
                let has_room = match &control.bound {
                    Some(bound) => started.make_room(bound, &control.sockets).await,
                    None => true,
                };
                if has_room {
                    start_connection(stream, &mut started);
                } else {
                    control.note_connection_refused();
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    control.note_accept_failed(&error);
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    pending_connections(&listener).for_each(|stream| start_connection(stream, &mut started));
}

/// Accepts the pending connections: closing the listener would reset them and lose requests already sent. Calls the
/// kernel directly, since the runtime reports new connections only at its next poll.
fn pending_connections(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = SockRef::from(listener);
    std::iter::from_fn(move || {
        let (socket, _) = listener.accept().ok()?;
        socket.set_nonblocking(true).ok()?;
        TcpStream::from_std(socket.into()).ok()
    })
}
