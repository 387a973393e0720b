//! The HTTP server towards callers: limits on heads and idle connections, and a planned stop that cuts nothing off.

mod activity;
mod connection;
mod stream;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_serving::{CallerLimits, ResponseAborted};
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use connection::serve_connection;

/// Pause after a failed accept, for example when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a caller may leave bytes unacknowledged, or its receive window closed, before it has gone. Where bytes wait
/// nothing else ends the request, and its slot at a replica stays taken. Longer than towards replicas: a caller may read
/// slowly.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Body of an answer; an error breaks the connection off.
pub type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

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
    /// Takes no new connections and closes idle ones; services begin nothing that becomes whole only now.
    Closing,
}

/// A server's shared state.
pub struct ServerControl {
    stage: watch::Sender<ServerStage>,
    in_progress: AtomicUsize,
    connections: AtomicUsize,
    limits: ArcSwap<CallerLimits>,
    unacknowledged_timeout: Duration,
    log: Option<DecisionLog>,
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
        }
    }
}

impl ServerControl {
    /// Another time after which a caller that takes nothing has gone.
    pub fn with_unacknowledged_timeout(mut self, timeout: Duration) -> Self {
        self.unacknowledged_timeout = timeout;
        self
    }

    /// Where failures of the server are told.
    pub fn with_log(mut self, log: DecisionLog) -> Self {
        self.log = Some(log);
        self
    }

    fn note_accept_failed(&self, error: &std::io::Error) {
        if let Some(log) = &self.log {
            log.record(&Record::AcceptFailed {
                cause: &error.to_string(),
                connections: self.connections(),
            });
        }
    }

    /// Moves to another stage.
    pub fn set_stage(&self, stage: ServerStage) {
        self.stage.send_replace(stage);
    }

    /// The stage.
    pub fn stage(&self) -> ServerStage {
        *self.stage.borrow()
    }

    /// Requests read whose answer is not yet sent to its last byte.
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
    let begin = |stream: TcpStream| {
        tokio::spawn(serve_connection(stream, control.clone(), service.clone()));
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
                begin(stream);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    control.note_accept_failed(&error);
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    waiting_connections(&listener).for_each(begin);
}

/// Connections that wait to be accepted: their callers may have sent requests, which closing the listener would reset.
/// Asked of the system, since the runtime learns of connections only at its next turn.
fn waiting_connections(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = SockRef::from(listener);
    std::iter::from_fn(move || {
        let (socket, _) = listener.accept().ok()?;
        socket.set_nonblocking(true).ok()?;
        TcpStream::from_std(socket.into()).ok()
    })
}
