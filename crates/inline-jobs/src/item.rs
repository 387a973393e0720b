//! One item of a job: its request, what has come of it, and where it stands.

use std::sync::{Arc, Mutex, PoisonError};

use harrierward_serving::ServingRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// What has come of an item so far; shared with the task that runs it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ItemProgress {
    /// Last event received.
    pub last_event: Option<u64>,
    /// Data of the events so far.
    pub texts: Vec<String>,
    /// When the last of them came to this daemon.
    pub last_event_at: Option<Instant>,
}

/// Progress shared between book and task.
pub type SharedProgress = Arc<Mutex<ItemProgress>>;

/// Locks shared progress.
pub fn lock(progress: &SharedProgress) -> std::sync::MutexGuard<'_, ItemProgress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where an item stands.
#[derive(Debug)]
pub enum ItemPhase {
    /// Waits for a slot.
    Waiting {
        /// Not to be started earlier.
        not_before: Instant,
    },
    /// Runs at a replica, or is about to.
    Running {
        /// Where; `None` until a place is given.
        at: Option<RunSlot>,
        /// Ends the run.
        task: AbortHandle,
        /// When it began.
        since: Instant,
    },
    /// Its result waits to be listed.
    Done {
        /// The item failed for good.
        failed: bool,
    },
    /// Its result is listed.
    Listed,
}

/// Where an item runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSlot {
    /// Replica.
    pub replica: String,
    /// Number of the place that it holds there.
    pub slot: u32,
}

/// One item.
#[derive(Debug)]
pub struct Item {
    /// The request that runs it.
    pub request: Arc<ServingRequest>,
    /// What has come so far.
    pub progress: SharedProgress,
    /// Failed attempts.
    pub failures: u32,
    /// Those of them that the job's head counts. The item does not run again before it counts all, so that a later owner
    /// allows no more attempts than this one.
    pub recorded_failures: u32,
    /// Events of it that are saved.
    pub saved_events: usize,
    /// Hash of the replica's start at which it last ran: that one may still keep its prompt.
    pub last_replica_instance: Option<u32>,
    /// Where it stands.
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
