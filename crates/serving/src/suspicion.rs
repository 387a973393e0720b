//! Temporary avoidance of a replica after failures of this daemon's requests, with exponential backoff.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// First duration of the avoidance, milliseconds, and the maximum number of times that it doubles.
const INITIAL_MS: u64 = 500;
const MAX_DOUBLINGS: u32 = 3;

/// Suspicion of one replica. Times are milliseconds on two monotonic clocks of the caller: one for suspicion, and one
/// for progress, which may exclude time during which the caller could not receive.
#[derive(Debug, Default)]
pub struct Suspicion {
    until_ms: AtomicU64,
    consecutive_failures: AtomicU32,
    progress_at_ms: AtomicU64,
}

impl Suspicion {
    /// Records a failure and starts or extends the avoidance, longer after each failure without progress in between.
    pub fn note_failure(&self, now_ms: u64) {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
        let duration_ms = INITIAL_MS << failures.min(MAX_DOUBLINGS);
        self.until_ms
            .fetch_max(now_ms + duration_ms, Ordering::Relaxed);
    }

    /// Records that bytes arrived from the replica.
    pub fn note_progress(&self, now_ms: u64) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        self.progress_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time since bytes last arrived, milliseconds.
    pub fn ms_since_progress(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_at_ms.load(Ordering::Relaxed))
    }

    /// True if any failure was ever recorded; otherwise the caller needn't read a clock.
    pub fn was_raised(&self) -> bool {
        self.until_ms.load(Ordering::Relaxed) > 0
    }

    /// True while the replica is avoided.
    pub fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms.load(Ordering::Relaxed)
    }
}
