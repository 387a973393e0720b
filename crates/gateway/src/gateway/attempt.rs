//! Attempt to run a request at one engine.

use std::sync::Arc;

use harrierward_external::{EventStream, ReplicaId};

use crate::directory::Replica;

/// Request at an engine. Dropping it cancels the request and removes it from the load estimates.
pub(crate) struct Attempt {
    pub request_id: String,
    pub events: EventStream,
    replica: Arc<Replica>,
    uncached_tokens: u32,
    is_prefilled: bool,
    is_completed: bool,
}

impl Attempt {
    pub(super) fn new(
        request_id: String,
        events: EventStream,
        replica: Arc<Replica>,
        uncached_tokens: u32,
    ) -> Self {
        Self {
            request_id,
            events,
            replica,
            uncached_tokens,
            is_prefilled: false,
            is_completed: false,
        }
    }

    pub fn replica_id(&self) -> ReplicaId {
        self.replica.machine.replica.clone()
    }

    pub fn replica_name(&self) -> String {
        self.replica.machine.replica.0.clone()
    }

    pub fn note_prefilled(&mut self) {
        if !self.is_prefilled {
            self.is_prefilled = true;
            self.replica.load.note_prefilled(self.uncached_tokens);
            self.replica.online.note_prefilled(self.uncached_tokens);
        }
    }

    pub fn note_completed(&mut self) {
        self.note_prefilled();
        if !self.is_completed {
            self.is_completed = true;
            self.replica.load.note_completed();
            self.replica.online.note_completed();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.note_completed();
    }
}
