//! What the end of a request says of the replica that it ran at.
//!
//! Why: a daemon sees few of a replica's requests. What they came to goes back with their leases, so that the replica's
//! coordinator, which sees all of them, can tell a replica that fails from one that had bad luck.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time beyond that for reading the prompt below which silence says nothing of a replica: a request that came with less
/// time left would end before any replica could answer. Half of the shortest objective known (200 ms).
const LEAST_SILENCE: Duration = Duration::from_millis(100);

/// What a request's end says of its replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing: the caller left, the item was ended, or the request itself was at fault.
    #[default]
    NoEvidence,
    /// The replica answered in full.
    Served,
    /// It answered with a failure of its own.
    Failed,
    /// Its answer broke off, or its connection was refused or reset.
    Disconnected,
    /// Nothing came from it in time.
    Unresponsive,
    /// Its bytes formed no answer, or that of another request.
    Corrupt,
    /// It refused although it had room.
    NotRun,
    /// Nothing was sent to it: the lease was not needed.
    NotSent,
}

/// A verdict and how long the first event took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReleaseReport {
    /// The verdict.
    pub outcome: AttemptOutcome,
    /// Time from sending to the first event without that for reading the prompt, where the replica had room; `None` if that says nothing.
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

/// Gathers what one request saw of its replica. The first verdict stays: what follows it is a consequence.
#[derive(Debug, Default)]
pub struct Evidence {
    seen: Mutex<Seen>,
}

impl Evidence {
    /// The request is sent now. A replica without room may rightly be slow, silent or refuse; reading the prompt should
    /// take `prefill`, which is not counted as its slowness.
    pub fn note_sent(&self, has_room: bool, prefill: Duration) {
        let mut seen = self.lock();
        seen.sent = Some(Instant::now());
        seen.has_room = has_room;
        seen.prefill = prefill;
    }

    /// Something of the answer's content came.
    pub fn note_event(&self) {
        let mut seen = self.lock();
        if !seen.has_room || seen.end.first_event.is_some() {
            return;
        }
        let prefill = seen.prefill;
        let elapsed = seen.sent.map(|sent| sent.elapsed());
        seen.end.first_event = elapsed.map(|elapsed| elapsed.saturating_sub(prefill));
    }

    /// True if the first event came.
    pub fn has_begun(&self) -> bool {
        self.lock().end.first_event.is_some()
    }

    /// True if the request was under way for long enough that its replica's silence says something.
    pub fn waited_long_enough(&self) -> bool {
        self.lock().waited_long_enough()
    }

    /// The request ended so.
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

    /// What was gathered.
    pub fn report(&self) -> ReleaseReport {
        self.lock().end
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
