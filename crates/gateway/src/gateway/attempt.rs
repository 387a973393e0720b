//! One request at one engine.

use std::sync::Arc;

use harrierward_external::{EventStream, ReplicaId};

use crate::directory::Replica;

/// A request at an engine. Dropping it cancels the request there and takes it out of the load estimates.
pub(crate) struct Attempt {
    pub request_id: String,
    pub events: EventStream,
    replica: Arc<Replica>,
    uncached_tokens: u32,
    prefilled: bool,
    ended: bool,
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
            prefilled: false,
            ended: false,
        }
    }

    pub fn replica_id(&self) -> ReplicaId {
        self.replica.machine.replica.clone()
    }

    pub fn replica_name(&self) -> String {
        self.replica.machine.replica.0.clone()
    }

    pub fn note_prefilled(&mut self) {
        if !self.prefilled {
            self.prefilled = true;
            self.replica.load.note_prefilled(self.uncached_tokens);
            self.replica.online.prefilled(self.uncached_tokens);
        }
    }

    pub fn note_ended(&mut self) {
        self.note_prefilled();
        if !self.ended {
            self.ended = true;
            self.replica.load.note_completed();
            self.replica.online.ended();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.note_ended();
    }
}
