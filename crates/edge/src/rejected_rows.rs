//! Counts and logs malformed rows, of which another writer may leave many.

use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::Row;
use tokio::time::Instant;

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The malformed rows of the space of the job headers.
pub(crate) struct RejectedRows {
    log: DecisionLog,
    count: u64,
    logged_at: Option<Instant>,
}

impl RejectedRows {
    /// Starts without any.
    pub fn new(log: DecisionLog) -> Self {
        Self {
            log,
            count: 0,
            logged_at: None,
        }
    }

    /// Counts a row, and logs it unless another one was logged a moment ago.
    pub fn note(&mut self, row: &Row) {
        self.count += 1;
        let now = Instant::now();
        let last = self.logged_at;
        if last.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(now);
        self.log.record(&Record::JobRowRejected {
            row: &row.key,
            revision: row.revision,
            rejected: self.count,
        });
    }
}
