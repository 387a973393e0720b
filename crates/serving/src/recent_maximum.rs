//! Maximum of the values of the last seconds, without locks.

use std::sync::atomic::{AtomicU64, Ordering};

/// Length of a period, milliseconds. Values count for one to two periods.
const PERIOD_MS: u64 = 10_000;

/// Bits of a cell that hold the value; the others hold the number of its period, from 1.
const VALUE_BITS: u32 = 32;
const MAX_VALUE: u64 = (1 << VALUE_BITS) - 1;

/// Maxima of the current and the previous period. Values above 32 bits count as the largest of these.
#[derive(Debug, Default)]
pub struct RecentMaximum {
    cells: [AtomicU64; 2],
}

impl RecentMaximum {
    /// Records a value at a time in milliseconds.
    pub fn note(&self, value: u64, now_ms: u64) {
        let period = period(now_ms);
        let noted = period << VALUE_BITS | value.min(MAX_VALUE);
        // A cell of an earlier period is less than any of this one.
        let cell = &self.cells[usize::from(period % 2 == 1)];
        if cell.load(Ordering::Relaxed) < noted {
            cell.fetch_max(noted, Ordering::Relaxed);
        }
    }

    /// Returns the largest recent value; 0 without any.
    pub fn largest(&self, now_ms: u64) -> u64 {
        let period = period(now_ms);
        let cells = self.cells.iter().map(|cell| cell.load(Ordering::Relaxed));
        let recent = cells.filter(|cell| (cell >> VALUE_BITS) + 1 >= period);
        recent.map(|cell| cell & MAX_VALUE).max().unwrap_or(0)
    }
}

/// Returns the number of the period, from 1.
fn period(now_ms: u64) -> u64 {
    now_ms / PERIOD_MS + 1
}
