//! Outcome of a request as evidence about its replica.
//!
//! A daemon sees only few of a replica's requests. Outcomes are reported with the released leases, so that the
//! coordinator, which receives all of them, can tell a faulty replica from chance.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time beyond the prefill before an unresponsive replica counts as such: no replica could respond to a
/// request with less time left.
const LEAST_SILENCE: Duration = Duration::from_millis(100);

/// Outcome of a request, as far as it depends on its replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No evidence: the caller left, the item was preempted, or the request itself was at fault.
    #[default]
    NoEvidence,
    /// The response was complete.
    Served,
    /// The replica failed the request.
    Failed,
    /// The response was interrupted, or the connection refused or reset.
    Disconnected,
    /// No response arrived in time.
    Unresponsive,
    /// The bytes formed no valid response, or belonged to another request.
    Corrupt,
    /// The replica refused although it had free capacity.
    NotRun,
    /// Nothing was sent; the lease was not needed.
    NotSent,
}

/// Outcome and latency of a request, reported when its lease is released.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReleaseReport {
    /// Recorded outcome.
    pub outcome: AttemptOutcome,
    /// Time from sending to the first event, less the prefill time; `None` if the replica had no free capacity or
    /// sent no event.
    pub first_event: Option<Duration>,
}

#[derive(Debug, Default)]
struct Seen {
    sent: Option<Instant>,
    has_room: bool,
    prefill: Duration,
    end: ReleaseReport,
}

impl Seen {
    fn waited_long_enough(&self) -> bool {
        let waited = self.sent.map(|sent| sent.elapsed());
        waited.is_none_or(|waited| waited >= self.prefill + LEAST_SILENCE)
    }
}

/// Observations of one request about its replica. Only the first outcome is kept, since later ones follow from it.
#[derive(Debug, Default)]
pub struct Evidence {
    seen: Mutex<Seen>,
}

impl Evidence {
    /// Records that the request is sent. A replica without free capacity may be slow, unresponsive or refuse;
    /// `prefill` is the expected time for the prompt, which doesn't count as latency.
    pub fn note_sent(&self, has_room: bool, prefill: Duration) {
        let mut seen = self.lock();
        seen.sent = Some(Instant::now());
        seen.has_room = has_room;
        seen.prefill = prefill;
    }

    /// Records the first event; later calls have no effect.
    pub fn note_event(&self) {
        let mut seen = self.lock();
        if !seen.has_room || seen.end.first_event.is_some() {
            return;
        }
        let prefill = seen.prefill;
        let elapsed = seen.sent.map(|sent| sent.elapsed());
        seen.end.first_event = elapsed.map(|elapsed| elapsed.saturating_sub(prefill));
    }

    /// True if the first event was recorded.
    pub fn has_begun(&self) -> bool {
        self.lock().end.first_event.is_some()
    }

    /// True if the request waited long enough for a missing response to be evidence.
    pub fn waited_long_enough(&self) -> bool {
        self.lock().waited_long_enough()
    }

    /// Records the outcome, unless one is recorded or it is no evidence.
    pub fn conclude(&self, verdict: AttemptOutcome) {
        let mut seen = self.lock();
        let excused = match verdict {
            AttemptOutcome::Unresponsive => !seen.has_room || !seen.waited_long_enough(),
            AttemptOutcome::NotRun => !seen.has_room,
            _ => false,
        };
        if seen.end.outcome == AttemptOutcome::NoEvidence && !excused {
            seen.end.outcome = verdict;
        }
    }

    /// Returns the report for the release of the lease.
    pub fn report(&self) -> ReleaseReport {
        self.lock().end
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
