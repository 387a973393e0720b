//! The bounded queue of log lines, and the task that writes them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::metrics::DecisionMetrics;
use crate::record::{Importance, Record};

/// Limits of the decision log.
#[derive(Debug, Clone, Copy)]
pub struct LogBounds {
    /// Maximum number of ordinary lines per second.
    pub ordinary_per_second: u32,
    /// Bytes queued before lines are dropped.
    pub queue_bytes: usize,
    /// Pause between writes, in which lines are batched.
    pub flush_interval: Duration,
}

impl Default for LogBounds {
    fn default() -> Self {
        Self {
            ordinary_per_second: 50,
            queue_bytes: 256 << 10,
            flush_interval: Duration::from_millis(100),
        }
    }
}

/// Log target of the lines; its pattern must add nothing, not even a line end.
pub const DECISION_TARGET: &str = "decisions";

/// Divisor of the queue size for ordinary records and changes; the rest is reserved for failures.
const ORDINARY_QUEUE_DIVISOR: usize = 2;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    record: &'a Record<'a>,
}

#[derive(Debug)]
struct Queue {
    bytes: Vec<u8>,
    second_began: Instant,
    ordinary_in_second: u32,
}

#[derive(Debug)]
struct Inner {
    bounds: LogBounds,
    metrics: Option<DecisionMetrics>,
    queue: Mutex<Queue>,
    dropped_lines: AtomicU64,
    not_empty: Notify,
}

/// Handle to the decision log of one process; cheap to clone. Recording never blocks.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    inner: Arc<Inner>,
}

impl DecisionLog {
    /// Returns an empty log. Nothing is written until [`DecisionLog::run`] is polled or [`DecisionLog::flush`] called.
    pub fn new(bounds: LogBounds) -> Self {
        let queue = Queue {
            bytes: Vec::new(),
            second_began: Instant::now(),
            ordinary_in_second: 0,
        };
        let inner = Inner {
            bounds,
            // Registration fails only if two metrics have one name, which a test rules out.
            metrics: DecisionMetrics::new().ok(),
            queue: Mutex::new(queue),
            dropped_lines: AtomicU64::new(0),
            not_empty: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counts a decision and queues its line; a line that is not admitted is dropped and counted.
    pub fn record(&self, record: &Record<'_>) {
        if let Some(metrics) = &self.inner.metrics {
            metrics.observe(record);
        }
        let mut queue = self
            .inner
            .queue
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if !self.admits(&mut queue, record.importance()) {
            self.inner.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let was_empty = queue.bytes.is_empty();
        append(&mut queue.bytes, record);
        drop(queue);
        if was_empty {
            self.inner.not_empty.notify_one();
        }
    }

    /// Returns the number of queued lines.
    pub fn queued_lines(&self) -> usize {
        let queue = self
            .inner
            .queue
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        queue.bytes.iter().filter(|byte| **byte == b'\n').count()
    }

    /// Returns the number of lines dropped since the last write.
    pub fn dropped_lines(&self) -> u64 {
        self.inner.dropped_lines.load(Ordering::Relaxed)
    }

    /// Returns the metrics of all decisions so far, in Prometheus' text format.
    pub fn metrics_text(&self) -> Vec<u8> {
        self.inner
            .metrics
            .as_ref()
            .map_or_else(Vec::new, DecisionMetrics::text)
    }

    fn admits(&self, queue: &mut Queue, importance: Importance) -> bool {
        let bounds = &self.inner.bounds;
        let limit = match importance {
            Importance::Failure => bounds.queue_bytes,
            Importance::Ordinary | Importance::Change => {
                bounds.queue_bytes / ORDINARY_QUEUE_DIVISOR
            }
        };
        if queue.bytes.len() >= limit {
            return false;
        }
        if importance != Importance::Ordinary {
            return true;
        }
        if queue.second_began.elapsed() >= Duration::from_secs(1) {
            queue.second_began = Instant::now();
            queue.ordinary_in_second = 0;
        }
        queue.ordinary_in_second += 1;
        queue.ordinary_in_second <= bounds.ordinary_per_second
    }

    /// Writes queued lines for as long as the process runs.
    pub async fn run(self) {
        loop {
            self.inner.not_empty.notified().await;
            sleep(self.inner.bounds.flush_interval).await;
            self.flush();
        }
    }

    /// Writes all queued lines immediately.
    pub fn flush(&self) {
        let dropped = self.inner.dropped_lines.swap(0, Ordering::Relaxed);
        let bytes = {
            let mut queue = self
                .inner
                .queue
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            if dropped > 0 {
                let record = Record::LinesDropped { lines: dropped };
                if let Some(metrics) = &self.inner.metrics {
                    metrics.observe(&record);
                }
                append(&mut queue.bytes, &record);
            }
            std::mem::take(&mut queue.bytes)
        };
        if let Ok(lines) = String::from_utf8(bytes) {
            log::info!(target: DECISION_TARGET, "{lines}");
        }
    }
}

/// Returns the line that reports lines dropped by the console, line end included.
pub fn dropped_record(lines: u64) -> String {
    let mut bytes = Vec::new();
    append(&mut bytes, &Record::LinesDropped { lines });
    String::from_utf8(bytes).unwrap_or_default()
}

fn append(bytes: &mut Vec<u8>, record: &Record<'_>) {
    let at_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
        .unwrap_or_default();
    let line = Line { at_ms, record };
    if serde_json::to_writer(&mut *bytes, &line).is_ok() {
        bytes.push(b'\n');
    }
}
