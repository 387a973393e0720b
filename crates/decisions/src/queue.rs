//! The bounded writer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::metrics::DecisionMetrics;
use crate::record::{Importance, Record};

/// Bounds of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogBounds {
    /// Ordinary lines written a second at most.
    pub ordinary_a_second: u32,
    /// Bytes held before lines are dropped.
    pub queue_bytes: usize,
    /// Pause between writes, in which lines gather.
    pub flush_every: Duration,
}

impl Default for LogBounds {
    fn default() -> Self {
        Self {
            ordinary_a_second: 50,
            queue_bytes: 256 << 10,
            flush_every: Duration::from_millis(100),
        }
    }
}

/// Target under which lines reach the logging library; its pattern must add nothing, not even a line end.
pub const DECISION_TARGET: &str = "decisions";

/// Share of the queue that ordinary lines and changes may fill; the rest is kept for failures.
const ORDINARY_SHARE: usize = 2;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    record: &'a Record<'a>,
}

#[derive(Debug)]
struct Queue {
    bytes: Vec<u8>,
    second: Instant,
    ordinary: u32,
}

#[derive(Debug)]
struct Inner {
    bounds: LogBounds,
    metrics: Option<DecisionMetrics>,
    queue: Mutex<Queue>,
    dropped: AtomicU64,
    filled: Notify,
}

/// The log of one process; cheap to clone. Never blocks.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    inner: Arc<Inner>,
}

impl DecisionLog {
    /// A log with these bounds. Nothing is written until [`DecisionLog::run`] is driven.
    pub fn new(bounds: LogBounds) -> Self {
        let queue = Queue {
            bytes: Vec::new(),
            second: Instant::now(),
            ordinary: 0,
        };
        let inner = Inner {
            bounds,
            // Registration fails only if two figures have one name, which a test rules out.
            metrics: DecisionMetrics::new().ok(),
            queue: Mutex::new(queue),
            dropped: AtomicU64::new(0),
            filled: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Records a decision, or drops it and counts that.
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
            self.inner.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let was_empty = queue.bytes.is_empty();
        append(&mut queue.bytes, record);
        drop(queue);
        if was_empty {
            self.inner.filled.notify_one();
        }
    }

    /// Lines that wait to be written.
    pub fn held_lines(&self) -> usize {
        let queue = self
            .inner
            .queue
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        queue.bytes.iter().filter(|byte| **byte == b'\n').count()
    }

    /// Lines dropped since the last write.
    pub fn dropped_lines(&self) -> u64 {
        self.inner.dropped.load(Ordering::Relaxed)
    }

    /// The figures of all decisions so far, in Prometheus' text form.
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
            Importance::Ordinary | Importance::Change => bounds.queue_bytes / ORDINARY_SHARE,
        };
        if queue.bytes.len() >= limit {
            return false;
        }
        if importance != Importance::Ordinary {
            return true;
        }
        if queue.second.elapsed() >= Duration::from_secs(1) {
            queue.second = Instant::now();
            queue.ordinary = 0;
        }
        queue.ordinary += 1;
        queue.ordinary <= bounds.ordinary_a_second
    }

    /// Writes lines to standard output for as long as the process runs.
    pub async fn run(self) {
        loop {
            self.inner.filled.notified().await;
            sleep(self.inner.bounds.flush_every).await;
            self.flush();
        }
    }

    /// Writes what is held, now.
    pub fn flush(&self) {
        let dropped = self.inner.dropped.swap(0, Ordering::Relaxed);
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

/// The line that tells of lines that the output did not take.
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
