//! Guards of requests in progress at replicas.

use std::sync::Arc;

use harrierward_quarantine::Fingerprint;

use crate::exchange::BodyDelimiter;
use crate::leases::SlotLease;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::quarantine::Quarantine;
use crate::replica::{Replica, WorkClass};

/// Guard of a request in progress; counts it at its replica until dropped.
pub struct InProgress {
    replica: Arc<Replica>,
    class: WorkClass,
    lease: Option<SlotLease>,
    tracked: Option<TrackedRequest>,
}

/// Request in progress, and the quarantine that is notified of its result.
struct TrackedRequest {
    fingerprint: Fingerprint,
    quarantine: Arc<dyn Quarantine>,
}

impl std::fmt::Debug for InProgress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("InProgress")
            .field("replica", &self.replica.record.id)
            .field("class", &self.class)
            .finish_non_exhaustive()
    }
}

impl InProgress {
    pub(crate) fn new(replica: Arc<Replica>, class: WorkClass, lease: Option<SlotLease>) -> Self {
        Self {
            replica,
            class,
            lease,
            tracked: None,
        }
    }

    /// Records that the request is sent, so that its result is reported to the quarantine.
    pub(crate) fn track(&mut self, fingerprint: Fingerprint, quarantine: Arc<dyn Quarantine>) {
        self.tracked = Some(TrackedRequest {
            fingerprint,
            quarantine,
        });
    }

    /// Records that the connection broke after the request may have started.
    pub fn note_disconnect(&self) {
        self.conclude(AttemptOutcome::Disconnected);
        if let Some(tracked) = &self.tracked {
            tracked
                .quarantine
                .note_disconnect(&tracked.fingerprint, self.class, &self.replica);
        }
    }

    /// Records a complete response, whatever its status: the replica has survived the request, unless the end of the
    /// response is that of its connection.
    pub fn note_complete(&self, delimiter: BodyDelimiter) {
        let Some(tracked) = &self.tracked else {
            return;
        };
        match delimiter {
            BodyDelimiter::Length | BodyDelimiter::Chunks => {
                tracked.quarantine.note_complete(&tracked.fingerprint);
            }
            BodyDelimiter::Close => {
                tracked
                    .quarantine
                    .note_closed(&tracked.fingerprint, self.class, &self.replica);
            }
        }
    }

    /// Returns the class of the request.
    pub fn class(&self) -> WorkClass {
        self.class
    }

    /// Returns the replica at which the request is counted.
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Returns the number of its lease; `None` without one.
    pub fn lease(&self) -> Option<u32> {
        self.lease.as_ref().map(SlotLease::number)
    }

    /// Returns the observations about the replica that are reported when the lease is released; `None` without a
    /// lease.
    pub fn evidence(&self) -> Option<&Evidence> {
        self.lease.as_ref().map(SlotLease::evidence)
    }

    /// Records the outcome, unless one was recorded before.
    pub fn conclude(&self, outcome: AttemptOutcome) {
        if let Some(evidence) = self.evidence() {
            evidence.conclude(outcome);
        }
    }

    /// Records that bytes of the response body arrived.
    pub fn note_event(&self) {
        self.replica.note_progress();
        if let Some(evidence) = self.evidence() {
            evidence.note_event();
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.replica.leave(self.class);
    }
}
