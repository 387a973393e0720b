//! How often daemons ask the store, so that all of them together stay within its rates.

use std::sync::Arc;
use std::time::Duration;

/// Least time between two answers that bring changes, asked anew each time: it grows with the fleet.
pub type WatchPace = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Least time between two whole reads of a space, by the calls that one takes.
pub type WholeReadPace = Arc<dyn Fn(usize) -> Duration + Send + Sync>;

/// A pace for whole reads of a space that is small whatever the fleet's size.
pub fn unpaced_reads() -> WholeReadPace {
    Arc::new(|_| Duration::ZERO)
}

/// A pace for changes that must be known at once, and come seldom.
pub fn unpaced() -> WatchPace {
    Arc::new(|| Duration::ZERO)
}

/// Share of the store's reads that one space's changes may take, of all daemons together.
const READ_SHARE: f64 = 0.02;

/// Longest time for which changes are gathered: results are read about twice a second and are due in many seconds,
/// and an end must be known to all within seconds.
const LONGEST_INTERVAL: Duration = Duration::from_millis(800);

/// Share of the store's reads that the whole reads of one space may take.
const WHOLE_READ_SHARE: f64 = 0.01;

/// Time between two whole reads of a space that take `calls` calls each, so that all `daemons` together stay within
/// their share of the store's reads a second.
pub fn whole_read_interval(daemons: usize, calls: usize, reads_a_second: f64) -> Duration {
    let allowed = reads_a_second * WHOLE_READ_SHARE;
    if allowed <= 0.0 {
        return Duration::ZERO;
    }
    #[allow(clippy::cast_precision_loss)]
    let seconds = (daemons * calls) as f64 / allowed;
    Duration::from_secs_f64(seconds)
}

/// Least time between two answers of one watch, so that all `daemons` together, which each change wakes, stay
/// within their share of the store's reads a second.
pub fn gathering_interval(daemons: usize, reads_a_second: f64) -> Duration {
    let allowed = reads_a_second * READ_SHARE;
    if allowed <= 0.0 {
        return Duration::ZERO;
    }
    #[allow(clippy::cast_precision_loss)]
    let seconds = daemons as f64 / allowed;
    Duration::from_secs_f64(seconds.min(LONGEST_INTERVAL.as_secs_f64()))
}
