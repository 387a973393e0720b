//! Requests in progress at replicas: each counts at its replica until it ends.

use std::sync::Arc;

use harrierward_quarantine::ContentId;

use crate::leases::SlotLease;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::quarantine::Quarantine;
use crate::replica::{Replica, WorkClass};

/// A request in progress at a replica.
pub struct InProgress {
    replica: Arc<Replica>,
    class: WorkClass,
    place: Option<SlotLease>,
    content: Option<WatchedContent>,
}

/// The content that is in progress, and who learns how that ends.
struct WatchedContent {
    content: ContentId,
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
    /// One that its replica has counted.
    pub(crate) fn new(replica: Arc<Replica>, class: WorkClass, place: Option<SlotLease>) -> Self {
        Self {
            replica,
            class,
            place,
            content: None,
        }
    }

    /// The content is sent now: how it ends says something of it as well as of the replica.
    pub(crate) fn begin(&mut self, content: ContentId, quarantine: Arc<dyn Quarantine>) {
        self.content = Some(WatchedContent {
            content,
            quarantine,
        });
    }

    /// The connection broke after the request may have been begun.
    pub fn note_disconnect(&self) {
        self.conclude(AttemptOutcome::Disconnected);
        if let Some(watched) = &self.content {
            watched
                .quarantine
                .note_disconnect(watched.content, &self.replica);
        }
    }

    /// The whole answer came, whatever it says: the replica has outlived the request.
    pub fn note_complete(&self) {
        if let Some(watched) = &self.content {
            watched.quarantine.note_complete(watched.content);
        }
    }

    /// Class of the request.
    pub fn class(&self) -> WorkClass {
        self.class
    }

    /// The replica.
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Number of its place.
    pub fn lease(&self) -> Option<u32> {
        self.place.as_ref().map(SlotLease::number)
    }

    /// What the request sees of the replica; goes back with its place.
    pub fn evidence(&self) -> Option<&Evidence> {
        self.place.as_ref().map(SlotLease::evidence)
    }

    /// The request ended so.
    pub fn conclude(&self, verdict: AttemptOutcome) {
        if let Some(evidence) = self.evidence() {
            evidence.conclude(verdict);
        }
    }

    /// Bytes of the answer's content came.
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
