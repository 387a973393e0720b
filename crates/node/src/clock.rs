//! Wall-clock time for stored rows, responses and time-of-day policies; timeouts use the monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the hour of the day in UTC, from 0.0 to below 24.0.
pub fn hour_of_day(now_ms: u64) -> f64 {
    const DAY_MS: u64 = 24 * 3600 * 1000;
    (now_ms % DAY_MS) as f64 / 3_600_000.0
}
