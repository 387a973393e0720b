//! Request outcomes, reported to the replica's coordinator, which ejects outliers of a group and readmits them by
//! probes.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{AttemptOutcome, Mechanism, ReleaseReport, Replica, short_hash};
use harrierward_slots::{
    GroupId, LeaseId, OutlierDetector, ProbeWork, RequestOutcome, StatusChange, StatusEvent,
};
use harrierward_wire::{LeaseOutcome, OutcomeKind, SlotReport, node_datagram::Kind};

use super::requests::millis;
use super::{Coordinator, SlotService, State};

/// Most outcomes accepted from one report; holders normally send one at a time.
const MAX_OUTCOMES: usize = 64;

/// Full share of new work, in thousandths.
const FULL_SHARE: u32 = 1_000;

impl SlotService {
    /// Reports a released lease and its request's outcome to the replica's coordinator.
    pub(super) fn report_completion(&self, lease: u32, replica: u32, release: ReleaseReport) {
        self.report_lease(&[lease], lease_outcome(lease, replica, release));
    }

    /// Reports the outcome of a request whose lease was released before.
    pub(super) fn report_late_outcome(&self, lease: u32, replica: u32, outcome: AttemptOutcome) {
        let report = ReleaseReport {
            outcome,
            first_event: None,
        };
        self.report_lease(&[], lease_outcome(lease, replica, report));
    }

    fn report_lease(&self, released: &[u32], outcome: LeaseOutcome) {
        let replica = outcome.replica;
        let Some(coordinator) = self.peer_coordinating(replica) else {
            self.apply_outcome(self.holder, &outcome);
            return;
        };
        let report = SlotReport {
            holder: self.holder,
            released: released.to_vec(),
            outcomes: vec![outcome],
            ..SlotReport::default()
        };
        self.send(Kind::SlotReport(report), coordinator);
    }

    /// Applies the outcomes in a holder's report.
    pub(super) fn apply_outcomes(&self, report: &SlotReport) {
        for outcome in report.outcomes.iter().take(MAX_OUTCOMES) {
            self.apply_outcome(report.holder, outcome);
        }
    }

    fn apply_outcome(&self, holder: u64, outcome: &LeaseOutcome) {
        if !self.costs.policy.has(Mechanism::Ejection) {
            return;
        }
        let index = self.index();
        let Some(replica) = index.view.by_hash(outcome.replica) else {
            return;
        };
        let key = (short_hash(&replica.record.service), self.group(replica));
        if self.coordinator(key.0, key.1) != Coordinator::Own {
            return;
        }
        let listed = index.listed(key.0, key.1).iter();
        let group_size = listed.filter(|replica| replica.accepts_work()).count();
        let outcome = RequestOutcome {
            replica: outcome.replica,
            lease: (holder, outcome.lease),
            kind: OutcomeKind::try_from(outcome.kind).unwrap_or(OutcomeKind::NoEvidence),
            first_event: Duration::from_millis(u64::from(outcome.first_event_ms)),
        };
        let mut state = self.lock();
        let detector = state.outliers.entry(key).or_default();
        let Some(change) = detector.observe(outcome, group_size, harrierward_clock::now()) else {
            return;
        };
        let ejected = ejected_count(&state);
        drop(state);
        self.log_change(replica, &change, ejected);
    }

    /// Returns candidate sets in the order to try: replicas due for a probe by this work, those in service, and, if
    /// none is in service or the work can't wait, all usable ones.
    pub(super) fn offered(
        &self,
        service: &str,
        group: GroupId,
        usable: Vec<Arc<Replica>>,
        work: ProbeWork,
        may_wait: bool,
    ) -> Vec<Vec<Arc<Replica>>> {
        let mut state = self.lock();
        let detector = state.outliers.get_mut(&(short_hash(service), group));
        let Some(detector) = detector else {
            return vec![usable];
        };
        let probed = detector.probe_candidates(work, harrierward_clock::now());
        if detector.has_no_outliers() {
            return vec![usable];
        }
        let ejected = detector.ejected();
        let in_service = usable
            .iter()
            .filter(|replica| !ejected.contains(&replica.hash));
        let in_service: Vec<Arc<Replica>> = in_service.cloned().collect();
        let offered = in_service
            .iter()
            .filter(|replica| rand::random::<f64>() < detector.share(replica.hash));
        let offered: Vec<Arc<Replica>> = offered.cloned().collect();
        drop(state);
        // A replica with a reduced share is still preferred to an ejected one.
        let in_service = if offered.is_empty() {
            in_service
        } else {
            offered
        };
        let due_for_probe = usable.iter();
        let due_for_probe = due_for_probe.filter(|replica| probed.contains(&replica.hash));
        let mut offered = vec![due_for_probe.cloned().collect(), in_service];
        if !may_wait || offered[1].is_empty() {
            offered.push(usable);
        }
        offered
    }

    /// Returns the ejected replicas of a coordinated group.
    pub(super) fn ejected(state: &State, service: u32, group: GroupId) -> HashSet<u32> {
        let detector = state.outliers.get(&(service, group));
        detector.map(OutlierDetector::ejected).unwrap_or_default()
    }

    /// Records a lease granted in a coordinated group; returns true if its request is a probe.
    pub(super) fn note_granted(
        &self,
        service: &str,
        group: GroupId,
        replica: &Replica,
        lease: LeaseId,
    ) -> bool {
        let mut state = self.lock();
        let detector = state.outliers.get_mut(&(short_hash(service), group));
        let is_probe = detector.is_some_and(|detector| {
            detector.note_grant(replica.hash, lease, harrierward_clock::now())
        });
        if !is_probe {
            return false;
        }
        let ejected = ejected_count(&state);
        drop(state);
        self.log.record(&Record::ReplicaStanding {
            replica: &replica.record.id,
            outcome: "probed",
            absence_ms: 0,
            share_permille: 0,
            outcomes: 0,
            failures: 0,
            in_a_row: 0,
            window_ms: 0,
            others_permille: 0,
            ejected,
        });
        true
    }

    /// Drops the state of removed replicas and of groups that this daemon no longer coordinates.
    pub(super) fn prune_outliers(&self) {
        let known: Vec<(u32, GroupId)> = self.lock().outliers.keys().copied().collect();
        let index = self.index();
        for (service, group) in known {
            let is_own = self.coordinator(service, group) == Coordinator::Own;
            let listed = index.listed(service, group).iter();
            let listed: HashSet<u32> = listed.map(|replica| replica.hash).collect();
            let mut state = self.lock();
            let before = ejected_count(&state);
            if !is_own || listed.is_empty() {
                state.outliers.remove(&(service, group));
            } else if let Some(detector) = state.outliers.get_mut(&(service, group)) {
                detector.retain_listed(&listed);
            }
            let ejected = ejected_count(&state);
            drop(state);
            if ejected != before {
                self.log.record(&Record::EjectionsDropped {
                    dropped: before.saturating_sub(ejected),
                    ejected,
                });
            }
        }
    }

    fn log_change(&self, replica: &Replica, change: &StatusChange, ejected: u64) {
        let (outcome, absence, share_permille) = match change.event {
            StatusEvent::Ejected(absence) => ("ejected", absence, 0),
            StatusEvent::Spared => ("spared", Duration::ZERO, FULL_SHARE),
            StatusEvent::Returned => ("returned", Duration::ZERO, FULL_SHARE),
            StatusEvent::Slowed(share) => ("slowed", Duration::ZERO, share),
            StatusEvent::Restored => ("restored", Duration::ZERO, FULL_SHARE),
        };
        self.log.record(&Record::ReplicaStanding {
            replica: &replica.record.id,
            outcome,
            absence_ms: u64::from(millis(absence)),
            share_permille,
            outcomes: change.outcomes,
            failures: change.failures,
            in_a_row: change.consecutive_failures,
            window_ms: u64::from(millis(change.window)),
            others_permille: change.others_permille,
            ejected,
        });
    }
}

/// Returns the number of ejected replicas in all coordinated groups.
fn ejected_count(state: &State) -> u64 {
    let detectors = state.outliers.values();
    detectors.map(OutlierDetector::ejected_count).sum()
}

fn lease_outcome(lease: u32, replica: u32, report: ReleaseReport) -> LeaseOutcome {
    LeaseOutcome {
        lease,
        replica,
        kind: kind_of(report.outcome).into(),
        first_event_ms: report.first_event.map_or(0, |time| millis(time).max(1)),
    }
}

fn kind_of(outcome: AttemptOutcome) -> OutcomeKind {
    match outcome {
        AttemptOutcome::NoEvidence => OutcomeKind::NoEvidence,
        AttemptOutcome::Served => OutcomeKind::Served,
        AttemptOutcome::Failed => OutcomeKind::Failed,
        AttemptOutcome::Disconnected => OutcomeKind::Cut,
        AttemptOutcome::Unresponsive => OutcomeKind::Silent,
        AttemptOutcome::Corrupt => OutcomeKind::Spoilt,
        AttemptOutcome::NotRun => OutcomeKind::NotRun,
        AttemptOutcome::NotSent | AttemptOutcome::RequestRefused => OutcomeKind::NotSent,
    }
}

/// Returns the class of the work, which decides whether it may be used as a probe.
pub(super) fn work_of(is_item: bool, may_repeat: bool) -> ProbeWork {
    match (is_item, may_repeat) {
        (true, _) => ProbeWork::Item,
        (false, true) => ProbeWork::Repeatable,
        (false, false) => ProbeWork::OnceOnly,
    }
}
