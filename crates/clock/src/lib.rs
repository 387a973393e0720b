//! A monotonic clock that counts suspensions of the machine, for ages of external state: freshness proofs, grants,
//! deadlines.
//!
//! `CLOCK_MONOTONIC` stops during a suspension, so stale state would look fresh afterwards, although jobs may have been
//! cancelled, keys revoked and tokens granted to others meanwhile; the wall clock may step.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// Longest total suspension observed since the first reading, microseconds; never decreases.
static SUSPENDED_MICROS: AtomicU64 = AtomicU64::new(0);

/// Total suspension simulated by tests, microseconds.
static SIMULATED_MICROS: AtomicU64 = AtomicU64::new(0);

/// Wakes tasks whose timers were paused during a suspension.
static SUSPENSION_NOTICED: Notify = Notify::const_new();

/// Lead of the boot clock over the monotonic clock at the first reading.
static INITIAL_LEAD: OnceLock<Duration> = OnceLock::new();

fn duration_of(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns a lower bound of the boot clock's lead: the monotonic clock is read last, so that a preemption between the
/// two readings never counts as a suspension.
fn min_lead() -> Duration {
    let boot = duration_of(clock_gettime(ClockId::Boottime));
    let monotonic = duration_of(clock_gettime(ClockId::Monotonic));
    boot.saturating_sub(monotonic)
}

/// Readings of the initial lead, of which the largest counts: a single one may be too small because of a preemption,
/// which would show as a suspension in all later readings.
const INITIAL_READINGS: usize = 8;

fn initial_lead() -> Duration {
    let readings = (0..INITIAL_READINGS).map(|_| min_lead());
    readings.max().unwrap_or_default()
}

/// Returns the total time for which the machine was suspended since the first call in this process.
pub fn suspended() -> Duration {
    let initial = *INITIAL_LEAD.get_or_init(initial_lead);
    let since = min_lead().saturating_sub(initial);
    let since = micros(since);
    // Avoids a write on the common path, where nothing has changed.
    let mut known = SUSPENDED_MICROS.load(Ordering::Relaxed);
    if since > known {
        known = SUSPENDED_MICROS.fetch_max(since, Ordering::Relaxed);
        if since.saturating_sub(known) >= micros(MIN_SUSPENSION) {
            SUSPENSION_NOTICED.notify_waiters();
        }
    }
    let simulated = SIMULATED_MICROS.load(Ordering::Relaxed);
    Duration::from_micros(known.max(since) + simulated)
}

/// Returns the current time on the clock that counts suspensions. Comparable only with other values of this clock.
pub fn now() -> Instant {
    Instant::now() + suspended()
}

/// Returns the time since a moment of this clock, suspensions included; zero for a future moment.
pub fn age(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}

/// Minimum growth of the suspended time that counts as a suspension; well above the time between two clock readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Completes at the first reading of this clock that detects a suspension.
pub fn suspension_noticed() -> Notified<'static> {
    SUSPENSION_NOTICED.notified()
}

/// Reports suspensions to one reader, which then discards state of unknown age.
#[derive(Debug)]
pub struct SuspensionWatch {
    known_micros: AtomicU64,
}

impl SuspensionWatch {
    /// Starts a watch that ignores all earlier suspensions.
    pub fn start() -> Self {
        Self {
            known_micros: AtomicU64::new(micros(suspended())),
        }
    }

    /// Returns the total length of suspensions since the last one reported; `None` if there were none. Each is reported
    /// once.
    pub fn take(&self) -> Option<Duration> {
        let now = micros(suspended());
        let known = self.known_micros.load(Ordering::Relaxed);
        let since = Duration::from_micros(now.saturating_sub(known));
        if since < MIN_SUSPENSION {
            return None;
        }
        let previous = self.known_micros.fetch_max(now, Ordering::Relaxed);
        (previous == known).then_some(since)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Simulates a suspension of the machine, for tests.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_MICROS.fetch_add(micros(time), Ordering::Relaxed);
    SUSPENSION_NOTICED.notify_waiters();
}
