//! Tracks one connection: its requests in progress and since when it has been idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use harrierward_serving::CallerLimits;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::ServerControl;

/// When a connection is closed if nothing happens on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CloseTime {
    pub at: Instant,
    /// Whether `at` is the deadline of a request header whose first bytes have arrived.
    pub is_header_timeout: bool,
}

/// The activity of a connection. A request stays in progress until the last byte of its response is handed to the
/// kernel: buffered bytes for a slow caller would be lost if the process exited.
pub(super) struct Activity {
    control: Arc<ServerControl>,
    started: Instant,
    open: AtomicUsize,
    /// Requests whose responses are produced but not yet fully sent.
    unsent: AtomicUsize,
    /// When the last request completed, milliseconds since `started`.
    idle_since: AtomicU64,
    /// When the first bytes since `idle_since` arrived, milliseconds since `started` plus one; 0 if none have arrived.
    header_started_at: AtomicU64,
    is_close_requested: AtomicBool,
    close_requested: Notify,
    /// Bytes handed to the kernel.
    sent: AtomicU64,
    /// Whether the kernel takes no more bytes until the caller has taken some.
    is_blocked: AtomicBool,
    blocked: Notify,
    /// Size of the last response, in bytes; 0 if unknown.
    response_bytes: AtomicUsize,
}

/// How long a connection without a request has been at rest; the greatest one is closed first for a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rest {
    /// False if bytes of a next request have arrived.
    pub is_silent: bool,
    pub lasts: Duration,
}

impl Activity {
    pub fn begin(control: Arc<ServerControl>) -> Self {
        control.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            control,
            started: Instant::now(),
            open: AtomicUsize::new(0),
            unsent: AtomicUsize::new(0),
            idle_since: AtomicU64::new(0),
            header_started_at: AtomicU64::new(0),
            is_close_requested: AtomicBool::new(false),
            close_requested: Notify::new(),
            sent: AtomicU64::new(0),
            is_blocked: AtomicBool::new(false),
            blocked: Notify::new(),
            response_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns how long the connection has been at rest; `None` if a request is in progress, or it is to be closed
    /// already.
    pub fn rest(&self) -> Option<Rest> {
        if self.is_busy() || self.is_close_requested.load(Ordering::Relaxed) {
            return None;
        }
        let idle_since = self.idle_since.load(Ordering::Relaxed);
        Some(Rest {
            is_silent: self.header_started_at.load(Ordering::Relaxed) == 0,
            lasts: Duration::from_millis(self.now().saturating_sub(idle_since)),
        })
    }

    /// Asks the connection to close, unless a request has arrived.
    pub fn request_close(&self) {
        self.is_close_requested.store(true, Ordering::Relaxed);
        self.close_requested.notify_one();
    }

    /// Waits until the connection is asked to close.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Notes that the connection stays open, since a request has arrived.
    pub fn refuse_close(&self) {
        self.is_close_requested.store(false, Ordering::Relaxed);
    }

    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn is_busy(&self) -> bool {
        self.open.load(Ordering::Relaxed) > 0
    }

    pub fn note_received(&self) {
        if !self.is_busy() && self.header_started_at.load(Ordering::Relaxed) == 0 {
            self.header_started_at
                .store(self.now() + 1, Ordering::Relaxed);
        }
    }

    pub fn begin_request(&self) {
        self.control.in_progress.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        self.header_started_at.store(0, Ordering::Relaxed);
    }

    /// Notes the size of a response, in bytes; 0 if unknown.
    pub fn begin_response(&self, bytes: usize) {
        self.response_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Notes that the kernel has taken bytes.
    pub fn note_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.is_blocked.store(false, Ordering::Relaxed);
    }

    /// Notes that the kernel takes no more bytes until the caller has taken some.
    pub fn note_blocked(&self) {
        if !self.is_blocked.swap(true, Ordering::Relaxed) {
            self.blocked.notify_one();
        }
    }

    /// Waits until the kernel takes no more bytes.
    pub async fn blocked(&self) {
        self.blocked.notified().await;
    }

    /// Returns the bytes handed to the kernel.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// True if the kernel takes no more bytes until the caller has taken some.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked.load(Ordering::Relaxed)
    }

    /// Returns the size of the last response, in bytes; 0 if unknown.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes.load(Ordering::Relaxed)
    }

    /// Notes that the body of a response was produced or dropped.
    pub fn finish_response(&self) {
        self.unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that all bytes written so far are handed to the kernel.
    pub fn note_all_sent(&self) {
        let completed = self.unsent.swap(0, Ordering::Relaxed);
        if completed == 0 {
            return;
        }
        self.open.fetch_sub(completed, Ordering::Relaxed);
        self.control
            .in_progress
            .fetch_sub(completed, Ordering::Relaxed);
        self.idle_since.store(self.now(), Ordering::Relaxed);
        self.header_started_at.store(0, Ordering::Relaxed);
    }

    /// Returns when the connection is closed if nothing happens; `None` while it is busy.
    pub fn close_time(&self, limits: &CallerLimits) -> Option<CloseTime> {
        if self.is_busy() {
            return None;
        }
        let header_started_at = self.header_started_at.load(Ordering::Relaxed);
        if header_started_at > 0 {
            return Some(CloseTime {
                at: self.started
                    + Duration::from_millis(header_started_at - 1)
                    + limits.header_timeout,
                is_header_timeout: true,
            });
        }
        let idle_since = self.idle_since.load(Ordering::Relaxed);
        Some(CloseTime {
            at: self.started + Duration::from_millis(idle_since) + limits.idle_timeout,
            is_header_timeout: false,
        })
    }
}

impl Drop for Activity {
    /// Stops counting the closed connection and its requests.
    fn drop(&mut self) {
        let open = self.open.load(Ordering::Relaxed);
        self.control.in_progress.fetch_sub(open, Ordering::Relaxed);
        self.control.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
