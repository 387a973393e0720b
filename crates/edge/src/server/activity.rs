//! What happens on one connection: requests in progress, and since when it rests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use harrierward_serving::CallerLimits;
use tokio::time::Instant;

use super::ServerControl;

/// When a connection is to be closed if nothing happens on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CloseTime {
    /// When.
    pub at: Instant,
    /// A head was begun and does not come to its end.
    pub head_is_slow: bool,
}

/// The activity of a connection. A request is in progress until the last byte of its answer is handed to the system: one
/// whose body is made may wait in the connection's buffer for a slow caller, and would end with the process.
pub(super) struct Activity {
    control: Arc<ServerControl>,
    started: Instant,
    /// Requests in progress.
    open: AtomicUsize,
    /// Those of them whose answers are made, and not yet sent to the last byte.
    unsent: AtomicUsize,
    /// When the last request ended, milliseconds since `started`.
    rested_at: AtomicU64,
    /// When the first bytes after that came, plus one; 0 if none have come.
    head_at: AtomicU64,
}

impl Activity {
    pub fn begin(control: Arc<ServerControl>) -> Self {
        control.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            control,
            started: Instant::now(),
            open: AtomicUsize::new(0),
            unsent: AtomicUsize::new(0),
            rested_at: AtomicU64::new(0),
            head_at: AtomicU64::new(0),
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn is_busy(&self) -> bool {
        self.open.load(Ordering::Relaxed) > 0
    }

    pub fn bytes_came(&self) {
        if !self.is_busy() && self.head_at.load(Ordering::Relaxed) == 0 {
            self.head_at.store(self.now() + 1, Ordering::Relaxed);
        }
    }

    pub fn request_began(&self) {
        self.control.in_progress.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        self.head_at.store(0, Ordering::Relaxed);
    }

    /// The body of an answer is made or given up.
    pub fn answer_made(&self) {
        self.unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// All bytes so far are handed to the system.
    pub fn all_sent(&self) {
        let answered = self.unsent.swap(0, Ordering::Relaxed);
        if answered == 0 {
            return;
        }
        self.open.fetch_sub(answered, Ordering::Relaxed);
        self.control
            .in_progress
            .fetch_sub(answered, Ordering::Relaxed);
        self.rested_at.store(self.now(), Ordering::Relaxed);
        self.head_at.store(0, Ordering::Relaxed);
    }

    /// When the connection is to be closed if nothing happens; `None` while it is busy.
    pub fn closes_at(&self, limits: &CallerLimits) -> Option<CloseTime> {
        if self.is_busy() {
            return None;
        }
        let head_at = self.head_at.load(Ordering::Relaxed);
        if head_at > 0 {
            return Some(CloseTime {
                at: self.started + Duration::from_millis(head_at - 1) + limits.header_timeout,
                head_is_slow: true,
            });
        }
        let rested_at = self.rested_at.load(Ordering::Relaxed);
        Some(CloseTime {
            at: self.started + Duration::from_millis(rested_at) + limits.idle_timeout,
            head_is_slow: false,
        })
    }
}

impl Drop for Activity {
    /// The connection is gone, and its requests with it.
    fn drop(&mut self) {
        let open = self.open.load(Ordering::Relaxed);
        self.control.in_progress.fetch_sub(open, Ordering::Relaxed);
        self.control.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
