//! Coordinators that did not answer, which are passed over for a while.

use std::net::SocketAddr;

use harrierward_decisions::Record;

use super::SlotService;

impl SlotService {
    pub(super) fn is_silent(&self, coordinator: &str) -> bool {
        let now_ms = self.now_ms();
        let state = self.lock();
        let silent = state.silent.get(coordinator);
        silent.is_some_and(|silent| silent.is_active(now_ms))
    }

    pub(super) fn note_silent(&self, coordinator: &str) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let suspicion = state.silent.entry(coordinator.to_owned()).or_default();
        suspicion.note_failure(now_ms);
        drop(state);
        self.log.record(&Record::DependencyLost {
            dependency: "slot coordinator",
            cause: coordinator,
        });
    }

    /// An answer came that nobody waits for any more: its sender is not silent, only farther than was known.
    pub(super) fn note_late(&self, from: SocketAddr) {
        let members = self.members.load();
        let sender = members.iter().find(|one| one.address == Some(from));
        if let Some(sender) = sender {
            self.lock().silent.remove(&sender.id);
        }
    }

    pub(super) fn note_heard(&self, coordinator: &str) {
        let now_ms = self.now_ms();
        let state = self.lock();
        if let Some(suspicion) = state.silent.get(coordinator) {
            suspicion.note_progress(now_ms);
        }
    }
}
