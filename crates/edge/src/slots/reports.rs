//! Lease reports between holders and coordinators.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use harrierward_serving::short_hash;
use harrierward_wire::{SlotReport, node_datagram::Kind};
use tokio::time::Instant;

use super::{SlotService, State};

/// Ticks of the membership between two full reports to a coordinator.
const REPORT_TICKS: u64 = 4;

impl SlotService {
    /// Feeds the hold times of released leases to admission control.
    pub(super) fn observe_hold_times(&self, state: &mut State) {
        let released = state.ledger.take_released();
        let view = self.replicas.view();
        for lease in released {
            let Some(replica) = view.by_hash(lease.replica) else {
                continue;
            };
            let group = (short_hash(&replica.record.service), self.group(replica));
            if let Some(admission) = state.admissions.get_mut(&group) {
                admission.observe_hold(lease.held);
            }
        }
    }

    /// Applies a holder's report of its leases and outcomes.
    pub(super) fn apply_report(&self, report: &SlotReport, from: SocketAddr) {
        {
            let mut state = self.lock();
            state
                .ledger
                .apply_report(report, from, harrierward_clock::now());
            self.observe_hold_times(&mut state);
        }
        self.apply_outcomes(report);
        self.publish();
    }

    /// Updates the replicas' counts of other daemons' requests from the ledger.
    pub(super) fn publish(&self) {
        let mut state = self.lock();
        let changed = state.ledger.take_changed();
        if changed.is_empty() {
            return;
        }
        let counts: Vec<_> = changed
            .into_iter()
            .map(|replica| (replica, state.ledger.counts(replica)))
            .collect();
        drop(state);
        let view = self.replicas.view();
        for (hash, counts) in counts {
            if let Some(replica) = view
                .by_hash(hash)
                .filter(|replica| self.coordinates(replica))
            {
                replica.set_peer_counts(counts.online, counts.batch);
            }
        }
    }

    /// Expires unresponsive holders and reports held leases to coordinators; called on the membership's tick.
    pub fn tick(&self) {
        let now = harrierward_clock::now();
        let layouts_digest = self.index().layouts_digest;
        let due = {
            let mut state = self.lock();
            state.ledger.expire(now);
            state.ticks += 1;
            // Coordinators of new groups have no leases on record until the holders report them.
            let changed =
                std::mem::replace(&mut state.layouts_digest, layouts_digest) != layouts_digest;
            if changed {
                state.coordinators.clear();
            }
            changed || state.ticks.is_multiple_of(REPORT_TICKS)
        };
        self.tick_pacing(now);
        self.publish();
        if due {
            self.prune_outliers();
            self.report_to_coordinators(now);
        }
    }

    /// Sends a full report to each coordinator of held leases, and an empty one to those that no longer have any.
    pub(super) fn report_to_coordinators(&self, now: Instant) {
        let held = self.lock().held.replicas();
        let mut held_with: HashMap<SocketAddr, HashSet<u32>> = HashMap::new();
        for replica in held {
            if let Some(address) = self.peer_coordinating(replica) {
                held_with.entry(address).or_default().insert(replica);
            }
        }
        let mut reports = Vec::new();
        {
            let mut state = self.lock();
            for address in std::mem::take(&mut state.reported_to) {
                held_with.entry(address).or_default();
            }
            for (address, replicas) in held_with {
                let is_held_there = |replica| replicas.contains(&replica);
                let report = state.held.full_report(self.holder, now, is_held_there);
                if !report.held.is_empty() {
                    state.reported_to.insert(address);
                }
                reports.push((address, report));
            }
        }
        for (address, report) in reports {
            self.send(Kind::SlotReport(report), address);
        }
    }

    /// Expires outdated leases after a suspension, before any is counted, without waiting for the next tick.
    pub(super) fn expire_after_suspension(&self) {
        if self.suspensions.take().is_some() {
            self.lock().ledger.expire(harrierward_clock::now());
            self.publish();
        }
    }

    /// Handles datagrams about leases; returns any other.
    pub fn receive(&self, kind: Kind, from: SocketAddr) -> Option<Kind> {
        self.expire_after_suspension();
        match kind {
            Kind::SlotAsk(request) => self.handle_request(&request, from),
            Kind::SlotGrant(grant) => {
                if self.calls.complete(grant.lease, grant) {
                    self.note_late_reply(from);
                }
            }
            Kind::SlotReport(report) => self.apply_report(&report, from),
            Kind::YieldRequest(request) => self.handle_preemption(&request),
            other => return Some(other),
        }
        None
    }
}
