//! Requests in progress at replicas: each counts at its replica until it ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::leases::SlotLease;
use crate::outcome::{Evidence, Verdict};
use crate::replica::{Replica, WorkClass};

/// A request in progress at a replica.
#[derive(Debug)]
pub struct InProgress {
    replica: Arc<Replica>,
    class: WorkClass,
    place: Option<SlotLease>,
}

impl InProgress {
    /// One that its replica has counted.
    pub(crate) fn new(replica: Arc<Replica>, class: WorkClass, place: Option<SlotLease>) -> Self {
        Self {
            replica,
            class,
            place,
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
    pub fn place(&self) -> Option<u32> {
        self.place.as_ref().map(SlotLease::number)
    }

    /// What the request sees of the replica; goes back with its place.
    pub fn evidence(&self) -> Option<&Evidence> {
        self.place.as_ref().map(SlotLease::evidence)
    }

    /// The request ended so.
    pub fn conclude(&self, verdict: Verdict) {
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
        self.replica
            .count(self.class)
            .fetch_sub(1, Ordering::Relaxed);
    }
}
