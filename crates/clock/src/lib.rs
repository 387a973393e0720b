//! The clock for ages of what lies outside this process: proofs of contact, grants, a caller's deadline.
//!
//! Why: a machine may be suspended for seconds. The steady clock stands still meanwhile, so whatever was fresh before seems
//! fresh after, while the world has gone on: jobs were ended, keys revoked, tokens given out anew. The boot clock counts that time.
//! The time of day is no way out, since it steps.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Time for which this machine was suspended since the process began, microseconds; only grows.
static SUSPENDED_MICROS: AtomicU64 = AtomicU64::new(0);

/// Suspensions that a test imagines, microseconds.
static IMAGINED_MICROS: AtomicU64 = AtomicU64::new(0);

/// How far the boot clock was ahead of the steady clock when it was first asked.
static FIRST_LEAD: OnceLock<Duration> = OnceLock::new();

fn duration_of(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// How far the boot clock is ahead, at the least: the steady clock is read after it, so that a pause between both readings
/// never counts as a suspension.
fn least_lead() -> Duration {
    let boot = duration_of(clock_gettime(ClockId::Boottime));
    let steady = duration_of(clock_gettime(ClockId::Monotonic));
    boot.saturating_sub(steady)
}

/// Time for which this machine was suspended since this was first asked.
pub fn suspended() -> Duration {
    let first = *FIRST_LEAD.get_or_init(least_lead);
    let since = least_lead().saturating_sub(first);
    let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    let known = SUSPENDED_MICROS.fetch_max(micros, Ordering::Relaxed);
    let imagined = IMAGINED_MICROS.load(Ordering::Relaxed);
    Duration::from_micros(known.max(micros) + imagined)
}

/// Now, on a clock that counts suspensions. Compare it only with moments of the same clock.
pub fn now() -> Instant {
    Instant::now() + suspended()
}

/// Time since a moment of this clock, suspensions counted.
pub fn age(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}

/// Lets the machine seem to have been suspended for so long: for tests, which cannot suspend one.
pub fn imagine_suspension(time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    IMAGINED_MICROS.fetch_add(micros, Ordering::Relaxed);
}
