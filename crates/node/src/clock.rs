//! Wall-clock time, for rows and callers only; all decisions use the monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Hour of the day, UTC, with fractions.
pub fn hour_of_day(now_ms: u64) -> f64 {
    const DAY_MS: u64 = 24 * 3600 * 1000;
    (now_ms % DAY_MS) as f64 / 3_600_000.0
}
