//! The clock for ages of what lies outside this process: proofs of contact, grants, a caller's deadline.
//!
//! Why: a machine may be suspended for seconds. The steady clock stands still meanwhile, so whatever was fresh before seems
//! fresh after, while the world has gone on: jobs were ended, keys revoked, tokens given out anew. The boot clock counts that time.
//! The time of day is no way out, since it steps.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// Time for which this machine was suspended since the process began, microseconds; only grows.
static SUSPENDED_MICROS: AtomicU64 = AtomicU64::new(0);

/// Suspensions that a test imagines, microseconds.
static IMAGINED_MICROS: AtomicU64 = AtomicU64::new(0);

/// Wakes whoever waits for something that timers bound, which stood still while the machine did.
static NOTICED: Notify = Notify::const_new();

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

/// Readings of the first lead. The largest counts: a pause within the only one would make it too small, and all later ones look
/// like a suspension of that length.
const FIRST_READINGS: usize = 8;

fn first_lead() -> Duration {
    let readings = (0..FIRST_READINGS).map(|_| least_lead());
    readings.max().unwrap_or_default()
}

/// Time for which this machine was suspended since this was first asked.
pub fn suspended() -> Duration {
    let first = *FIRST_LEAD.get_or_init(first_lead);
    let since = least_lead().saturating_sub(first);
    let since = micros(since);
    // Nearly all readings find nothing new, and need not write for that.
    let mut known = SUSPENDED_MICROS.load(Ordering::Relaxed);
    if since > known {
        known = SUSPENDED_MICROS.fetch_max(since, Ordering::Relaxed);
        if since.saturating_sub(known) >= micros(LEAST_SUSPENSION) {
            NOTICED.notify_waiters();
        }
    }
    let imagined = IMAGINED_MICROS.load(Ordering::Relaxed);
    Duration::from_micros(known.max(since) + imagined)
}

/// Now, on a clock that counts suspensions. Compare it only with moments of the same clock.
pub fn now() -> Instant {
    Instant::now() + suspended()
}

/// Time since a moment of this clock, suspensions counted.
pub fn age(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}

/// Least growth of the suspended time that is told as a suspension: far above the time between both readings of the clocks.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Completes when a suspension is noticed: at the next reading of this clock after the machine goes on.
pub fn suspension_noticed() -> Notified<'static> {
    NOTICED.notified()
}

/// Notices suspensions, for one reader: it distrusts what it knows before it uses any.
#[derive(Debug)]
pub struct SuspensionWatch {
    known_micros: AtomicU64,
}

impl SuspensionWatch {
    /// Knows all suspensions up to now.
    pub fn start() -> Self {
        Self {
            known_micros: AtomicU64::new(micros(suspended())),
        }
    }

    /// Length of the suspensions since this was last asked; `None` if there were none. Each is told once.
    pub fn take(&self) -> Option<Duration> {
        let now = micros(suspended());
        let known = self.known_micros.load(Ordering::Relaxed);
        let since = Duration::from_micros(now.saturating_sub(known));
        if since < LEAST_SUSPENSION {
            return None;
        }
        let before = self.known_micros.fetch_max(now, Ordering::Relaxed);
        (before == known).then_some(since)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Lets the machine seem to have been suspended for so long: for tests, which cannot suspend one.
pub fn imagine_suspension(time: Duration) {
    IMAGINED_MICROS.fetch_add(micros(time), Ordering::Relaxed);
    NOTICED.notify_waiters();
}
