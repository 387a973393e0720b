//! One item of a job: its request, output and phase.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use harrierward_serving::{EventsLeft, KnownOrigin, ServingRequest};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::fruitless::FruitlessAttempts;

/// Output of an item so far; shared with the task that runs it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ItemProgress {
    /// Number of the last event received; `None` before the first.
    pub last_event: Option<u64>,
    /// Data of the events, in order.
    pub texts: Vec<String>,
    /// Service and software version that wrote them, the only ones that may continue them; `None` without events.
    pub origin: Option<KnownOrigin>,
    /// What is known of the events that follow `last_event`.
    pub events_left: EventsLeft,
    /// Set after an end that only the close of the connection marked, which proves nothing: further runs since then that
    /// showed neither that events are left nor that none are.
    pub unproven_end: Option<u32>,
    /// When this daemon received the last event; `None` if it received none itself.
    pub last_event_at: Option<Instant>,
    /// True while a request was sent and its response has not begun.
    pub is_awaiting_response: bool,
}

/// Progress shared between the registry and the item's task.
pub type SharedProgress = Arc<Mutex<ItemProgress>>;

/// Locks shared progress; a poisoned lock is used as it is.
pub fn lock(progress: &SharedProgress) -> std::sync::MutexGuard<'_, ItemProgress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Phase of an item between submission and listing.
#[derive(Debug)]
pub enum ItemPhase {
    /// Waits for a slot.
    Waiting {
        /// Earliest next start.
        not_before: Instant,
    },
    /// Runs at a replica, or is being placed.
    Running {
        /// Slot lease of the run; `None` until the item is placed.
        lease: Option<RunLease>,
        /// Handle that aborts the run.
        task: AbortHandle,
        /// Start of the placement, then of the run.
        since: Instant,
    },
    /// Its result is not listed yet.
    Done {
        /// True if no further run is attempted and the result is a failure.
        failed: bool,
    },
    /// Its result is listed.
    Listed,
}

impl ItemPhase {
    /// Returns the phase of an item that may be started after `pause`.
    pub(crate) fn wait(pause: Duration) -> Self {
        Self::Waiting {
            not_before: Instant::now() + pause,
        }
    }
}

/// Replica and slot lease of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunLease {
    /// Id of the replica.
    pub replica: String,
    /// Number of the slot lease, 0 if there is none.
    pub lease: u32,
}

/// One item of a job that this daemon owns.
#[derive(Debug)]
pub struct Item {
    /// The request to send to a replica.
    pub request: Arc<ServingRequest>,
    /// Output received so far.
    pub progress: SharedProgress,
    /// Runs that a replica ended with a failure response; at least the route's attempts once a replica has rejected the
    /// item.
    pub failures: u32,
    /// Failures that the job's header counts. The item only runs again once it counts all, so that a later owner does
    /// not allow more attempts.
    pub recorded_failures: u32,
    /// Number of events that the store holds.
    pub saved_events: usize,
    /// Hash of the replica instance at which it last ran, whose prefix cache may still hold its prompt.
    pub last_replica_instance: Option<u32>,
    /// Since when no replica of the version that began it has had a free slot; `None` while none is wanted.
    pub version_full_since: Option<Instant>,
    /// Attempts since it last received an event.
    pub fruitless: FruitlessAttempts,
    /// Current phase.
    pub phase: ItemPhase,
}

impl Item {
    pub(crate) fn is_unfinished(&self) -> bool {
        matches!(
            self.phase,
            ItemPhase::Waiting { .. } | ItemPhase::Running { .. }
        )
    }

    pub(crate) fn has_unrecorded_failures(&self) -> bool {
        self.failures > self.recorded_failures && self.is_unfinished()
    }

    pub(crate) fn is_startable(&self, now: Instant) -> bool {
        let is_due = matches!(self.phase, ItemPhase::Waiting { not_before } if not_before <= now);
        is_due && !self.has_unrecorded_failures()
    }
}

pub(crate) fn abort_run(phase: &ItemPhase) {
    if let ItemPhase::Running { task, .. } = phase {
        task.abort();
    }
}
