//! Coordinators that didn't reply in time, which are skipped for a while.

use std::net::SocketAddr;

use harrierward_decisions::Record;

use super::SlotService;

impl SlotService {
    pub(super) fn is_unresponsive(&self, coordinator: &str) -> bool {
        let now_ms = self.now_ms();
        let state = self.lock();
        let unresponsive = state.unresponsive.get(coordinator);
        unresponsive.is_some_and(|suspicion| suspicion.is_active(now_ms))
    }

    pub(super) fn note_unresponsive(&self, coordinator: &str) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let suspicion = state
            .unresponsive
            .entry(coordinator.to_owned())
            .or_default();
        suspicion.note_failure(now_ms);
        drop(state);
        self.log.record(&Record::DependencyLost {
            dependency: "slot coordinator",
            cause: coordinator,
        });
    }

    /// Stops considering a member unresponsive whose reply arrived after the timeout: it is slow to reach.
    pub(super) fn note_late_reply(&self, from: SocketAddr) {
        let members = self.members.load();
        let sender = members.iter().find(|member| member.address == Some(from));
        if let Some(sender) = sender {
            self.lock().unresponsive.remove(&sender.id);
        }
    }

    pub(super) fn note_reply(&self, coordinator: &str) {
        let now_ms = self.now_ms();
        let state = self.lock();
        if let Some(suspicion) = state.unresponsive.get(coordinator) {
            suspicion.note_progress(now_ms);
        }
    }
}
