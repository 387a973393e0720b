//! One connection of a caller: its requests one after the other, and its close in order.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use harrierward_serving::ResponseAborted;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use super::activity::Activity;
use super::stream::{WatchedStream, has_unread};
use super::{HttpService, ResponseBody, ServerControl, ServerStage};
use crate::stall::set_probes;

/// Least buffer of a connection, bytes.
const LEAST_BUFFER: usize = 16 << 10;

/// How often the times of a busy connection are looked at.
const BUSY_CHECK: Duration = Duration::from_secs(1);

/// Pause before a connection whose unread bytes kept it open is looked at again.
const UNREAD_CHECK: Duration = Duration::from_millis(5);

/// How long a caller is given to take the end of its connection: a socket that is closed with bytes unread is reset, which
/// may take the last answer from the caller.
const LONGEST_LINGER: Duration = Duration::from_millis(500);

/// Bytes thrown away at once while a connection lingers.
const LINGER_BYTES: usize = 4 << 10;

pub(super) async fn serve_connection<S: HttpService>(
    stream: TcpStream,
    control: Arc<ServerControl>,
    service: Arc<S>,
) {
    let _ = stream.set_nodelay(true);
    set_probes(&stream, control.unacknowledged_timeout);
    let stream = Arc::new(stream);
    if serve_requests(&stream, control, service).await == Ending::InOrder {
        let _ = timeout(LONGEST_LINGER, throw_away(&stream)).await;
    }
}

/// How the serving of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Its writing side is shut down.
    InOrder,
    /// It is to be broken off.
    Broken,
}

async fn serve_requests<S: HttpService>(
    stream: &Arc<TcpStream>,
    control: Arc<ServerControl>,
    service: Arc<S>,
) -> Ending {
    let limits = *control.limits.load_full();
    let activity = Arc::new(Activity::begin(control.clone()));
    let io = WatchedStream {
        stream: stream.clone(),
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
        let wants_close = *stage.borrow_and_update() == ServerStage::Closing;
        let close_time = activity.closes_at(&limits);
        let due = close_time.filter(|close| close.at <= Instant::now());
        if due.is_some_and(|close| close.head_is_slow || closing) {
            return Ending::Broken;
        }
        let check = if !closing && (wants_close || due.is_some()) {
            // A request that has come is read and answered.
            if !activity.is_busy() && has_unread(stream) {
                Instant::now() + UNREAD_CHECK
            } else {
                closing = true;
                connection.as_mut().graceful_shutdown();
                Instant::now() + BUSY_CHECK
            }
        } else {
            close_time.map_or_else(|| Instant::now() + BUSY_CHECK, |close| close.at)
        };
        tokio::select! {
            ended = &mut connection => {
                return if ended.is_ok() { Ending::InOrder } else { Ending::Broken };
            }
            () = sleep_until(check) => {}
            changed = stage.changed() => if changed.is_err() { return Ending::Broken },
        }
    }
}

/// Reads until the caller closes its side.
async fn throw_away(stream: &TcpStream) {
    let mut buffer = vec![0; LINGER_BYTES];
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut buffer) {
            Ok(1..) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return,
        }
    }
}

/// A request in progress; its answer is made at the end of its body, or at its drop.
struct RunningRequest {
    control: Arc<ServerControl>,
    activity: Arc<Activity>,
}

impl RunningRequest {
    fn begin(control: Arc<ServerControl>, activity: Arc<Activity>) -> Self {
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
        self.activity.answer_made();
    }
}

/// An answer's body that keeps its request counted.
struct GuardedBody {
    body: ResponseBody,
    _running: RunningRequest,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
