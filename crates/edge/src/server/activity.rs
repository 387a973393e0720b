//! Tracks one connection: its requests in progress and since when it has been idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use harrierward_serving::CallerLimits;
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
        }
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
