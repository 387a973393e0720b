//! Outcome of a request as evidence about its replica.
//!
//! A daemon sees only few of a replica's requests. Outcomes are reported with the released leases, so that the
//! coordinator, which receives all of them, can distinguish a faulty replica from chance failures.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time beyond the prefill before an unresponsive replica counts as such: no replica could respond to a
/// request with less time left.
const MIN_STALL: Duration = Duration::from_millis(100);

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
    /// The replica refused this request, which proves nothing about others; it held no slot.
    RequestRefused,
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
struct Observations {
    sent_at: Option<Instant>,
    has_capacity: bool,
    prefill: Duration,
    report: ReleaseReport,
}

impl Observations {
    fn waited_long_enough(&self) -> bool {
        let waited = self.sent_at.map(|sent_at| sent_at.elapsed());
        waited.is_none_or(|waited| waited >= self.prefill + MIN_STALL)
    }
}

/// Observations of one request about its replica. Only the first outcome is kept, since later ones follow from it.
#[derive(Debug, Default)]
pub struct Evidence {
    observations: Mutex<Observations>,
}

impl Evidence {
    /// Records that the request is sent. If the replica has no free capacity, its latency, a missing response and a
    /// refusal aren't evidence. `prefill` is the expected time for the prompt, which doesn't count as latency.
    pub fn note_sent(&self, has_capacity: bool, prefill: Duration) {
        let mut observations = self.lock();
        observations.sent_at = Some(Instant::now());
        observations.has_capacity = has_capacity;
        observations.prefill = prefill;
    }

    /// Records the first event if the replica had free capacity; later calls have no effect.
    pub fn note_event(&self) {
        let mut observations = self.lock();
        if !observations.has_capacity || observations.report.first_event.is_some() {
            return;
        }
        let prefill = observations.prefill;
        let elapsed = observations.sent_at.map(|sent_at| sent_at.elapsed());
        observations.report.first_event = elapsed.map(|elapsed| elapsed.saturating_sub(prefill));
    }

    /// True if the replica had free capacity when the request was sent.
    pub fn has_capacity(&self) -> bool {
        self.lock().has_capacity
    }

    /// True if the first event was recorded; never at a replica without free capacity.
    pub fn has_begun(&self) -> bool {
        self.lock().report.first_event.is_some()
    }

    /// True if the request waited long enough for a missing response to be evidence.
    pub fn waited_long_enough(&self) -> bool {
        self.lock().waited_long_enough()
    }

    /// Records the outcome, unless one is recorded or it is no evidence.
    pub fn conclude(&self, outcome: AttemptOutcome) {
        let mut observations = self.lock();
        let is_excused = match outcome {
            AttemptOutcome::Unresponsive => {
                !observations.has_capacity || !observations.waited_long_enough()
            }
            AttemptOutcome::NotRun => !observations.has_capacity,
            _ => false,
        };
        if observations.report.outcome == AttemptOutcome::NoEvidence && !is_excused {
            observations.report.outcome = outcome;
        }
    }

    /// Returns the report for the release of the lease.
    pub fn report(&self) -> ReleaseReport {
        self.lock().report
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
