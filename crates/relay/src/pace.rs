//! Minimum intervals between requests to the store, which keep the whole fleet within the store's rates.

use std::sync::Arc;
use std::time::Duration;

/// Returns the minimum time between two responses with changes; evaluated after each, since it grows with the fleet.
pub type WatchPace = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Returns the minimum time between two full reads of a space, given the number of calls of one read.
pub type FullReadPace = Arc<dyn Fn(usize) -> Duration + Send + Sync>;

/// Returns a pace without a minimum, for spaces whose size doesn't grow with the fleet.
pub fn unpaced_reads() -> FullReadPace {
    Arc::new(|_| Duration::ZERO)
}

/// Returns a pace without a minimum, for rare changes that must be applied at once.
pub fn unpaced() -> WatchPace {
    Arc::new(|| Duration::ZERO)
}

/// Part of the store's read rate that the changes of one space may use, for all daemons together.
const CHANGES_SHARE: f64 = 0.02;

/// Maximum coalescing interval: a cancellation must reach all daemons within seconds.
const MAX_INTERVAL: Duration = Duration::from_millis(800);

/// Part of the store's read rate that the full reads of one space may use, for all daemons together.
const FULL_READ_SHARE: f64 = 0.01;

/// Returns the time between two full reads of `calls` calls each that keeps all `daemons` together within their part of
/// the store's read rate; zero if the rate is zero.
pub fn full_read_interval(daemons: usize, calls: usize, reads_a_second: f64) -> Duration {
    let allowed = reads_a_second * FULL_READ_SHARE;
    if allowed <= 0.0 {
        return Duration::ZERO;
    }
    #[allow(clippy::cast_precision_loss)]
    let seconds = (daemons * calls) as f64 / allowed;
    Duration::from_secs_f64(seconds)
}

/// Returns the time for which a watch coalesces changes, so that all `daemons` together, each of which a change wakes,
/// stay within their part of the store's read rate; zero if the rate is zero.
pub fn coalescing_interval(daemons: usize, reads_a_second: f64) -> Duration {
    let allowed = reads_a_second * CHANGES_SHARE;
    if allowed <= 0.0 {
        return Duration::ZERO;
    }
    #[allow(clippy::cast_precision_loss)]
    let seconds = daemons as f64 / allowed;
    Duration::from_secs_f64(seconds.min(MAX_INTERVAL.as_secs_f64()))
}
