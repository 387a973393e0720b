//! Whether a replica is avoided for a while, because requests of this daemon failed there.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// How long a replica that broke, refused to connect or was silent is avoided, milliseconds, and how often that
/// doubles at most.
const FIRST_MS: u64 = 500;
const MOST_DOUBLINGS: u32 = 3;

/// Suspicion of one replica. Times are milliseconds on clocks of the caller's that never go back: one for the suspicion, and one
/// for progress and silence, which may leave out the time in which the caller could not listen.
#[derive(Debug, Default)]
pub struct Suspicion {
    until_ms: AtomicU64,
    failures_in_a_row: AtomicU32,
    progress_at_ms: AtomicU64,
}

impl Suspicion {
    /// A request failed there: avoids the replica, longer each time that nothing came from it in between.
    pub fn note_failure(&self, now_ms: u64) {
        let failures = self.failures_in_a_row.fetch_add(1, Ordering::Relaxed);
        let lasting = FIRST_MS << failures.min(MOST_DOUBLINGS);
        self.until_ms.fetch_max(now_ms + lasting, Ordering::Relaxed);
    }

    /// Bytes came from the replica.
    pub fn note_progress(&self, now_ms: u64) {
        self.failures_in_a_row.store(0, Ordering::Relaxed);
        self.progress_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time since bytes last came, milliseconds.
    pub fn ms_since_progress(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_at_ms.load(Ordering::Relaxed))
    }

    /// True if a request has ever failed there: else no look at a clock is needed.
    pub fn was_raised(&self) -> bool {
        self.until_ms.load(Ordering::Relaxed) > 0
    }

    /// True while the replica is avoided.
    pub fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms.load(Ordering::Relaxed)
    }
}
