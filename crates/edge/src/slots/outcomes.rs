//! What requests came to, on its way to the replica's coordinator, and the coordinator's use of it: replicas that fail
//! beside the others of their group get no work, and are tried one request at a time before they return.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{AttemptOutcome, Mechanism, ReleaseReport, Replica, short_hash};
use harrierward_slots::{
    GroupId, LeaseId, OutlierDetector, ProbeWork, RequestOutcome, StatusChange, StatusEvent,
};
use harrierward_wire::{LeaseOutcome, OutcomeKind, SlotReport, node_datagram::Kind};

use super::asking::millis;
use super::{Coordinator, SlotService, State};

/// Most outcomes that are taken of one report: a holder sends them one by one.
const MOST_OUTCOMES: usize = 64;

/// All of a replica's new work, in thousandths.
const WHOLE_SHARE: u32 = 1_000;

impl SlotService {
    /// A lease that was held is free: its replica's coordinator learns that, and what its request came to.
    pub(super) fn report_end(&self, lease: u32, replica: u32, end: ReleaseReport) {
        let outcome = LeaseOutcome {
            lease,
            replica,
            kind: kind_of(end.outcome).into(),
            first_event_ms: end.first_event.map_or(0, |time| millis(time).max(1)),
        };
        let Some(coordinator) = self.peer_coordinating(replica) else {
            self.take_outcome(self.holder, &outcome);
            return;
        };
        let report = SlotReport {
            holder: self.holder,
            released: vec![lease],
            outcomes: vec![outcome],
            ..SlotReport::default()
        };
        self.send(Kind::SlotReport(report), coordinator);
    }

    /// Takes what a holder says of ended requests.
    pub(super) fn take_outcomes(&self, report: &SlotReport) {
        for outcome in report.outcomes.iter().take(MOST_OUTCOMES) {
            self.take_outcome(report.holder, outcome);
        }
    }

    fn take_outcome(&self, holder: u64, outcome: &LeaseOutcome) {
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
        let group = listed.filter(|replica| replica.accepts_work()).count();
        let end = RequestOutcome {
            replica: outcome.replica,
            lease: (holder, outcome.lease),
            kind: OutcomeKind::try_from(outcome.kind).unwrap_or(OutcomeKind::NoEvidence),
            first_event: Duration::from_millis(u64::from(outcome.first_event_ms)),
        };
        let mut state = self.lock();
        let detector = state.outliers.entry(key).or_default();
        let Some(change) = detector.observe(end, group, harrierward_clock::now()) else {
            return;
        };
        let ejected = ejected_here(&state);
        drop(state);
        self.log_change(replica, &change, ejected);
    }

    /// The replicas among which one is chosen, in the order in which that is tried: those that this work may probe,
    /// those in service, and for an online request in time all of them rather than none.
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
        let out = detector.ejected();
        let in_service = usable.iter().filter(|replica| !out.contains(&replica.hash));
        let in_service: Vec<Arc<Replica>> = in_service.cloned().collect();
        let offered = in_service
            .iter()
            .filter(|replica| rand::random::<f64>() < detector.share(replica.hash));
        let offered: Vec<Arc<Replica>> = offered.cloned().collect();
        drop(state);
        // A slow replica still goes before one that fails.
        let in_service = if offered.is_empty() {
            in_service
        } else {
            offered
        };
        let due = usable.iter();
        let due = due.filter(|replica| probed.contains(&replica.hash));
        let mut offered = vec![due.cloned().collect(), in_service];
        if !may_wait || offered[1].is_empty() {
            offered.push(usable);
        }
        offered
    }

    /// Replicas of an own group that get no work now.
    pub(super) fn ejected(state: &State, service: u32, group: GroupId) -> HashSet<u32> {
        let detector = state.outliers.get(&(service, group));
        detector.map(OutlierDetector::ejected).unwrap_or_default()
    }

    /// A lease was granted at a replica of an own group. True if its request is a probe.
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
        let ejected = ejected_here(&state);
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

    /// Forgets replicas that are gone, and groups that another daemon keeps now.
    pub(super) fn prune_outliers(&self) {
        let known: Vec<(u32, GroupId)> = self.lock().outliers.keys().copied().collect();
        let index = self.index();
        for (service, group) in known {
            let is_own = self.coordinator(service, group) == Coordinator::Own;
            let listed = index.listed(service, group).iter();
            let listed: HashSet<u32> = listed.map(|replica| replica.hash).collect();
            let mut state = self.lock();
            let before = ejected_here(&state);
            if !is_own || listed.is_empty() {
                state.outliers.remove(&(service, group));
            } else if let Some(detector) = state.outliers.get_mut(&(service, group)) {
                detector.retain_listed(&listed);
            }
            let ejected = ejected_here(&state);
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
            StatusEvent::Spared => ("spared", Duration::ZERO, WHOLE_SHARE),
            StatusEvent::Returned => ("returned", Duration::ZERO, WHOLE_SHARE),
            StatusEvent::Slowed(share) => ("slowed", Duration::ZERO, share),
            StatusEvent::Restored => ("restored", Duration::ZERO, WHOLE_SHARE),
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

/// Replicas that are out in all groups of this daemon.
fn ejected_here(state: &State) -> u64 {
    let detectors = state.outliers.values();
    detectors.map(OutlierDetector::ejected_count).sum()
}

fn kind_of(verdict: AttemptOutcome) -> OutcomeKind {
    match verdict {
        AttemptOutcome::NoEvidence => OutcomeKind::NoEvidence,
        AttemptOutcome::Served => OutcomeKind::Served,
        AttemptOutcome::Failed => OutcomeKind::Failed,
        AttemptOutcome::Disconnected => OutcomeKind::Cut,
        AttemptOutcome::Unresponsive => OutcomeKind::Silent,
        AttemptOutcome::Corrupt => OutcomeKind::Spoilt,
        AttemptOutcome::NotRun => OutcomeKind::NotRun,
        AttemptOutcome::NotSent => OutcomeKind::NotSent,
    }
}

/// What kind of work a question is about, to a replica that is to be tried.
pub(super) fn work_of(is_item: bool, may_repeat: bool) -> ProbeWork {
    match (is_item, may_repeat) {
        (true, _) => ProbeWork::Item,
        (false, true) => ProbeWork::Repeatable,
        (false, false) => ProbeWork::OnceOnly,
    }
}
