//! Serves one caller connection: sequential requests, then an orderly close.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use harrierward_serving::{BodyDelimiter, ResponseAborted};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use super::activity::Activity;
use super::delimiter::RequestFraming;
use super::reset::ResetGuard;
use super::slow_caller::{SLOW_CHECK_INTERVAL, SlowCaller};
use super::stated_length::StatedLengthBody;
use super::stream::{WatchedStream, has_unread};
use super::{HttpService, RequestId, ServerControl, ServerStage};
use crate::stall::set_probes;

const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Interval at which the deadlines of a busy connection are checked.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before checking again a connection that unread bytes keep open.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time the caller has to close its side: closing a socket with unread bytes resets it and may lose the last
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of the buffer that discards bytes while a connection lingers.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

pub(super) async fn serve_connection<S: HttpService>(
    stream: TcpStream,
    control: Arc<ServerControl>,
    activity: Arc<Activity>,
    service: Arc<S>,
) {
    let _ = stream.set_nodelay(true);
    set_probes(&stream, control.unacknowledged_timeout);
    let stream = Arc::new(stream);
    if serve_requests(&stream, control, activity, service).await == ConnectionEnd::Graceful {
        let _ = timeout(LINGER_TIMEOUT, discard_unread(&stream)).await;
    }
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Its write side is shut down.
    Graceful,
    /// It must be dropped without a shutdown.
    Aborted,
}

async fn serve_requests<S: HttpService>(
    stream: &Arc<TcpStream>,
    control: Arc<ServerControl>,
    activity: Arc<Activity>,
    service: Arc<S>,
) -> ConnectionEnd {
    let limits = *control.limits.load_full();
    let mut slow_caller = SlowCaller::new(control.memory());
    let reset = Arc::new(ResetGuard::new(control.clone(), stream.clone()));
    let io = WatchedStream {
        stream: stream.clone(),
        activity: activity.clone(),
        reset: reset.clone(),
    };
    let handler = {
        let control = control.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            let guard = RequestGuard::begin(control.clone(), activity.clone(), reset.clone());
            let service = service.clone();
            async move { Ok::<_, std::convert::Infallible>(guard.respond(service, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(io), handler);
    let mut connection = std::pin::pin!(connection);
    let mut stage = control.stage.subscribe();
    let mut closing = false;
    loop {
        let is_closing_stage = *stage.borrow_and_update() == ServerStage::Closing;
        let close_time = activity.close_time(&limits);
        let busy_check_interval = if slow_caller.look(&activity) {
            SLOW_CHECK_INTERVAL
        } else {
            BUSY_CHECK_INTERVAL
        };
        let due = close_time.filter(|close| close.at <= Instant::now());
        if due.is_some_and(|close| close.is_header_timeout || closing) {
            return ConnectionEnd::Aborted;
        }
        let check = if !closing && (is_closing_stage || due.is_some()) {
            // A request that has already arrived is read and answered before the close.
            if !activity.is_busy() && has_unread(stream) {
                Instant::now() + UNREAD_CHECK_INTERVAL
            } else {
                closing = true;
                connection.as_mut().graceful_shutdown();
                Instant::now() + busy_check_interval
            }
        } else {
            close_time.map_or_else(|| Instant::now() + busy_check_interval, |close| close.at)
        };
        tokio::select! {
            ended = &mut connection => {
                return if ended.is_ok() { ConnectionEnd::Graceful } else { ConnectionEnd::Aborted };
            }
            () = sleep_until(check) => {}
            () = activity.blocked() => {}
            () = activity.close_requested() => {
                if !activity.is_busy() && !has_unread(stream) {
                    return ConnectionEnd::Aborted;
                }
                activity.refuse_close();
            }
            () = slow_caller.close_requested() => {
                control.note_response_unread(activity.sent_bytes());
                return ConnectionEnd::Aborted;
            }
            changed = stage.changed() => if changed.is_err() { return ConnectionEnd::Aborted },
        }
    }
}

/// Reads and discards bytes until the caller closes its side.
async fn discard_unread(stream: &TcpStream) {
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
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

/// A request in progress; its response counts as produced when its body ends or is dropped.
struct RequestGuard {
    control: Arc<ServerControl>,
    activity: Arc<Activity>,
    reset: Arc<ResetGuard>,
}

impl RequestGuard {
    fn begin(control: Arc<ServerControl>, activity: Arc<Activity>, reset: Arc<ResetGuard>) -> Self {
        activity.begin_request();
        Self {
            control,
            activity,
            reset,
        }
    }

    async fn respond<S: HttpService>(
        self,
        service: Arc<S>,
        request: Request<Incoming>,
    ) -> Response<GuardedBody> {
        let framing = RequestFraming {
            method: request.method().clone(),
            version: request.version(),
        };
        let mut response = service.call(request).await;
        if self.control.stage() != ServerStage::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let bytes = response.body().size_hint().exact().unwrap_or_default();
        self.activity
            .begin_response(usize::try_from(bytes).unwrap_or(usize::MAX));
        let delimiter = framing.delimiter_of(&response);
        if delimiter == BodyDelimiter::Close {
            self.reset.arm();
        }
        let request_id = response.extensions_mut().remove::<RequestId>();
        StatedLengthBody::wrap(response).map(|body| GuardedBody {
            body,
            guard: self,
            request_id,
            delimiter,
        })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.finish_response();
    }
}

/// A response body that keeps its request counted as in progress.
struct GuardedBody {
    body: StatedLengthBody,
    guard: RequestGuard,
    request_id: Option<RequestId>,
    /// How the end of the response is marked for the caller.
    delimiter: BodyDelimiter,
}

impl GuardedBody {
    fn note_cut_off(&self, aborted: &ResponseAborted) {
        let request = self.request_id.as_ref().map_or("", |id| &id.0);
        let control = &self.guard.control;
        control.note_cut_off(request, self.delimiter, &aborted.cause);
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Err(aborted)) => self.note_cut_off(aborted),
            Some(Ok(_)) if !self.body.is_end_stream() => {}
            Some(Ok(_)) | None => self.guard.reset.note_whole(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
