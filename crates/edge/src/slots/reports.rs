//! What holders and coordinators tell each other of leases.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use harrierward_serving::short_hash;
use harrierward_wire::{SlotReport, node_datagram::Kind};
use tokio::time::Instant;

use super::{SlotService, State};

/// Ticks of the membership between two whole reports to a coordinator.
const REPORT_TICKS: u64 = 4;

impl SlotService {
    /// Takes into account how long requests that have ended held their slots.
    pub(super) fn observe_ended(&self, state: &mut State) {
        let ended = state.ledger.take_released();
        let view = self.replicas.view();
        for lease in ended {
            let Some(replica) = view.by_hash(lease.replica) else {
                continue;
            };
            let group = (short_hash(&replica.record.service), self.group(replica));
            if let Some(admission) = state.admissions.get_mut(&group) {
                admission.observe_hold(lease.held);
            }
        }
    }

    /// Takes what a holder says of its leases.
    pub(super) fn take_report(&self, report: &SlotReport, from: SocketAddr) {
        {
            let mut state = self.lock();
            state
                .ledger
                .apply_report(report, from, harrierward_clock::now());
            self.observe_ended(&mut state);
        }
        self.take_outcomes(report);
        self.publish();
    }

    /// Brings the replicas' counts of other daemons' requests up to date.
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

    /// Driven by the membership's tick: forgets silent holders, and tells coordinators what is held.
    pub fn tick(&self) {
        let now = harrierward_clock::now();
        let layouts = self.index().layouts;
        let due = {
            let mut state = self.lock();
            state.ledger.expire(now);
            state.ticks += 1;
            // Coordinators of groups that are new know nothing until the holders tell them.
            let changed = std::mem::replace(&mut state.layouts, layouts) != layouts;
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

    /// Reports all leases held to their coordinators, and that there are none any more to those who had some.
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
            for address in std::mem::take(&mut state.reported) {
                held_with.entry(address).or_default();
            }
            for (address, replicas) in held_with {
                let holds = |replica| replicas.contains(&replica);
                let report = state.held.full_report(self.holder, now, holds);
                if !report.held.is_empty() {
                    state.reported.insert(address);
                }
                reports.push((address, report));
            }
        }
        for (address, report) in reports {
            self.send(Kind::SlotReport(report), address);
        }
    }

    /// After a suspension, forgets the leases that have become old meanwhile before any of them is counted; the next tick
    /// may come later than questions do.
    pub(super) fn forget_over_suspension(&self) {
        if self.suspensions.take().is_some() {
            self.lock().ledger.expire(harrierward_clock::now());
            self.publish();
        }
    }

    /// Takes a datagram that concerns leases; gives back any other.
    pub fn receive(&self, kind: Kind, from: SocketAddr) -> Option<Kind> {
        self.forget_over_suspension();
        match kind {
            Kind::SlotAsk(ask) => self.take_ask(&ask, from),
            Kind::SlotGrant(grant) => {
                if self.calls.complete(grant.lease, grant) {
                    self.note_late(from);
                }
            }
            Kind::SlotReport(report) => self.take_report(&report, from),
            Kind::YieldRequest(request) => self.take_yield(&request),
            other => return Some(other),
        }
        None
    }
}
