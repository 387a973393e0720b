//! Outlier detection over the replicas of one group, from the outcomes that their coordinator receives. Pure.
//!
//! A replica is compared with the others of its group only: ejecting replicas for failures that all of them share
//! would make an overload worse. The state is a hint and isn't persisted.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_wire::OutcomeKind;
use tokio::time::Instant;

use crate::outcome_window::{OutcomeWindow, median};
use crate::significance::{baseline_rate, is_outlier};

/// Maximum share of a group's replicas that may be ejected at a time, in percent; the others must sustain the load, and
/// failures of more replicas than that hardly have their cause in the replicas.
const MAX_EJECTED_PERCENT: usize = 50;

/// Duration of the first ejection, and how often it may double for repeated ones.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1_000);
const MAX_DOUBLINGS: u32 = 5;

/// Time in service after which the count of ejections is reset.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(30);

/// Consecutive successful probes after which a replica returns to service.
const PROBES_TO_RETURN: u32 = 3;

/// Time after which a probe without an outcome is replaced: a batch item may run for long, and reports may be lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after an ejection's end from which repeatable requests may probe besides batch items, and from which any
/// request may if there was no repeatable work for as long.
const REPEATABLE_PROBE_DELAY: Duration = Duration::from_millis(150);
const ONCE_ONLY_PROBE_DELAY: Duration = Duration::from_millis(2_000);

/// Samples needed to compare times to the first event, and the factor above the others' at which a replica is slow.
const MIN_TIMINGS: usize = 6;
const SLOW_FACTOR: f64 = 4.0;

/// Minimum difference from the others' time to the first event, milliseconds.
const MIN_SLOW_EXCESS_MS: f64 = 100.0;

/// Minimum share of new work that a slow replica keeps, so that its recovery is observed.
const MIN_SHARE: f64 = 0.05;

/// Identifies a lease by its holder and the holder's number for it.
pub type LeaseId = (u64, u32);

/// The outcome of one request, reported by its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Hash that identifies the replica.
    pub replica: u32,
    /// Lease under which the request ran.
    pub lease: LeaseId,
    /// Classification by the holder.
    pub kind: OutcomeKind,
    /// Time to the first event; zero if it wasn't measured or isn't comparable.
    pub first_event: Duration,
}

/// Work that may probe an ejected replica, in the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeWork {
    /// A batch item; it can run again.
    Item,
    /// A request that may be sent again to another replica.
    Repeatable,
    /// A request that must run at most once.
    OnceOnly,
}

/// A change of a replica's status, with the evidence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusChange {
    /// Hash that identifies the replica.
    pub replica: u32,
    /// The transition.
    pub event: StatusEvent,
    /// Number of outcomes in the window.
    pub outcomes: u32,
    /// Number of failures in the window.
    pub failures: u32,
    /// Number of failures since the last success.
    pub consecutive_failures: u32,
    /// Age of the oldest outcome in the window.
    pub window: Duration,
    /// Failure rate of the group's other replicas, in thousandths.
    pub others_permille: u32,
}

/// Transition of a replica's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusEvent {
    /// Ejected for this time.
    Ejected(Duration),
    /// Outlier that isn't ejected since the group is at its limit of ejections.
    Spared,
    /// Back in service after its probes succeeded.
    Returned,
    /// Slow to the first event: its share of new work is reduced to this value, in thousandths.
    Slowed(u32),
    /// No longer slow: its full share of new work is restored.
    Restored,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    InService,
    Ejected {
        until: Instant,
        successful_probes: u32,
        probe: Option<(LeaseId, Instant)>,
    },
}

#[derive(Debug)]
struct ReplicaState {
    window: OutcomeWindow,
    status: Status,
    ejections: u32,
    in_service_since: Instant,
    spared_at: Option<Instant>,
}

impl ReplicaState {
    fn new(now: Instant) -> Self {
        Self {
            window: OutcomeWindow::default(),
            status: Status::InService,
            ejections: 0,
            in_service_since: now,
            spared_at: None,
        }
    }

    fn is_ejected(&self) -> bool {
        self.status != Status::InService
    }
}

/// Recent outcomes and status of the replicas of one group.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    replicas: HashMap<u32, ReplicaState>,
    shares: HashMap<u32, f64>,
    last_repeatable: Option<Instant>,
}

impl OutlierDetector {
    /// Returns the replicas that are ejected.
    pub fn ejected(&self) -> HashSet<u32> {
        let ejected = self.replicas.iter().filter(|(_, state)| state.is_ejected());
        ejected.map(|(replica, _)| *replica).collect()
    }

    /// Returns the number of ejected replicas.
    pub fn ejected_count(&self) -> u64 {
        self.replicas
            .values()
            .map(|state| u64::from(state.is_ejected()))
            .sum()
    }

    /// True if no replica is ejected and none is slow.
    pub fn has_no_outliers(&self) -> bool {
        self.shares.is_empty() && !self.replicas.values().any(ReplicaState::is_ejected)
    }

    /// Returns the share of its new work that a replica receives; 1 unless it is slow compared with the others.
    pub fn share(&self, replica: u32) -> f64 {
        self.shares.get(&replica).copied().unwrap_or(1.0)
    }

    /// Removes the state of replicas that aren't in `listed`.
    pub fn retain_listed(&mut self, listed: &HashSet<u32>) {
        self.replicas.retain(|replica, _| listed.contains(replica));
        self.shares.retain(|replica, _| listed.contains(replica));
    }

    /// Returns the ejected replicas that this work may probe now; those with a probe in progress aren't among them.
    pub fn probe_candidates(&mut self, work: ProbeWork, now: Instant) -> Vec<u32> {
        if work != ProbeWork::OnceOnly {
            self.last_repeatable = Some(now);
        }
        let lacks_repeatable = self
            .last_repeatable
            .is_none_or(|last| now.saturating_duration_since(last) >= ONCE_ONLY_PROBE_DELAY);
        let due = self.replicas.iter().filter(|(_, state)| {
            let Status::Ejected { until, probe, .. } = state.status else {
                return false;
            };
            let may_probe = match work {
                ProbeWork::Item => now >= until,
                ProbeWork::Repeatable => now >= until + REPEATABLE_PROBE_DELAY,
                ProbeWork::OnceOnly => lacks_repeatable && now >= until + ONCE_ONLY_PROBE_DELAY,
            };
            may_probe && !is_probing(probe, now)
        });
        due.map(|(replica, _)| *replica).collect()
    }

    /// Records a grant at the replica. True if it becomes the replica's probe; a grant during a probe doesn't replace
    /// it, or under steady load no probe would ever complete.
    pub fn note_grant(&mut self, replica: u32, lease: LeaseId, now: Instant) -> bool {
        let Some(state) = self.replicas.get_mut(&replica) else {
            return false;
        };
        match &mut state.status {
            Status::Ejected { until, probe, .. } if now >= *until && !is_probing(*probe, now) => {
                *probe = Some((lease, now));
                true
            }
            _ => false,
        }
    }

    /// Records a request's outcome; returns the resulting change of the replica's status, if any. `group` is the number
    /// of the group's replicas that can take work.
    pub fn observe(
        &mut self,
        outcome: RequestOutcome,
        group: usize,
        now: Instant,
    ) -> Option<StatusChange> {
        if let Some(state) = self
            .replicas
            .get(&outcome.replica)
            .filter(|state| state.is_ejected())
        {
            let Status::Ejected { probe, .. } = state.status else {
                return None;
            };
            // Outcomes of requests sent before the ejection are no new evidence.
            let is_probe = probe.is_some_and(|(lease, _)| lease == outcome.lease);
            return is_probe.then(|| self.apply_probe(outcome, now)).flatten();
        }
        let is_failure = is_failure(outcome.kind)?;
        let state = self.replicas.entry(outcome.replica);
        let state = state.or_insert_with(|| ReplicaState::new(now));
        state.window.add(is_failure, now);
        if is_failure {
            return self.evaluate(outcome.replica, group, now);
        }
        if !outcome.first_event.is_zero() && state.window.add_timing(outcome.first_event, now) {
            return self.compare_times(outcome.replica, now);
        }
        None
    }

    /// Ejects the replica if it is an outlier, within the limit of ejections.
    fn evaluate(&mut self, replica: u32, group: usize, now: Instant) -> Option<StatusChange> {
        let others = self.others_rate(replica, now)?;
        let state = self.replicas.get(&replica)?;
        if !is_outlier(&state.window.summary(now), others) {
            return None;
        }
        let is_at_limit = self.ejected_count() >= max_ejected(group);
        let state = self.replicas.get_mut(&replica)?;
        if is_at_limit {
            let last_spared = state.spared_at;
            if last_spared.is_some_and(|at| now < at + BASE_EJECTION_TIME) {
                return None;
            }
            state.spared_at = Some(now);
            return Some(self.change(replica, StatusEvent::Spared, others, now));
        }
        if now.saturating_duration_since(state.in_service_since) >= EJECTION_RESET_AFTER {
            state.ejections = 0;
        }
        let ejection_time = state.eject(now);
        Some(self.change(replica, StatusEvent::Ejected(ejection_time), others, now))
    }

    fn apply_probe(&mut self, outcome: RequestOutcome, now: Instant) -> Option<StatusChange> {
        let state = self.replicas.get_mut(&outcome.replica)?;
        let Status::Ejected {
            successful_probes,
            probe,
            ..
        } = &mut state.status
        else {
            return None;
        };
        *probe = None;
        let is_failure = is_failure(outcome.kind)?;
        let event = if is_failure {
            state.window.add(true, now);
            StatusEvent::Ejected(state.eject(now))
        } else {
            *successful_probes += 1;
            if *successful_probes < PROBES_TO_RETURN {
                return None;
            }
            state.status = Status::InService;
            self.shares.remove(&outcome.replica);
            state.window = OutcomeWindow::default();
            state.in_service_since = now;
            StatusEvent::Returned
        };
        let others = self.others_rate(outcome.replica, now).unwrap_or_default();
        Some(self.change(outcome.replica, event, others, now))
    }

    /// Returns the baseline failure rate of the other replicas in service; `None` without outcomes.
    fn others_rate(&self, replica: u32, now: Instant) -> Option<f64> {
        let others = self.replicas.iter();
        let others = others.filter(|(other, state)| **other != replica && !state.is_ejected());
        let others = others.map(|(_, state)| state.window.summary(now));
        baseline_rate(others.collect())
    }

    /// Updates whether the replica is slow compared with the others; returns the change, if any.
    fn compare_times(&mut self, replica: u32, now: Instant) -> Option<StatusChange> {
        let own = self.replicas.get(&replica)?;
        let own = own.window.first_event_ms(MIN_TIMINGS, now)?;
        let others = self.replicas.iter().filter(|(other, _)| **other != replica);
        let others = others.filter_map(|(_, state)| state.window.first_event_ms(MIN_TIMINGS, now));
        let usual = median(others.collect())?;
        let is_slow = own >= usual * SLOW_FACTOR && own >= usual + MIN_SLOW_EXCESS_MS;
        let event = if is_slow {
            let share = (usual * SLOW_FACTOR / 2.0 / own).max(MIN_SHARE);
            let was_slow = self.shares.insert(replica, share).is_some();
            (!was_slow).then(|| StatusEvent::Slowed(permille(share)))
        } else {
            let was_slow = self.shares.remove(&replica).is_some();
            was_slow.then_some(StatusEvent::Restored)
        };
        let others = self.others_rate(replica, now).unwrap_or_default();
        event.map(|event| self.change(replica, event, others, now))
    }

    fn change(&self, replica: u32, event: StatusEvent, others: f64, now: Instant) -> StatusChange {
        let window = self
            .replicas
            .get(&replica)
            .map(|state| state.window.summary(now));
        let window = window.unwrap_or_default();
        StatusChange {
            replica,
            event,
            outcomes: window.outcomes,
            failures: window.failures,
            consecutive_failures: window.consecutive_failures,
            window: window.age,
            others_permille: permille(others),
        }
    }
}

impl ReplicaState {
    fn eject(&mut self, now: Instant) -> Duration {
        let ejection_time = BASE_EJECTION_TIME * (1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.status = Status::Ejected {
            until: now + ejection_time,
            successful_probes: 0,
            probe: None,
        };
        ejection_time
    }
}

/// True while a probe is in progress and hasn't timed out.
fn is_probing(probe: Option<(LeaseId, Instant)>, now: Instant) -> bool {
    probe.is_some_and(|(_, at)| now < at + PROBE_TIMEOUT)
}

/// Returns the limit of ejections for a group of this size; at least 1 if it has several replicas.
fn max_ejected(group: usize) -> u64 {
    let share = group * MAX_EJECTED_PERCENT / 100;
    share.max(usize::from(group > 1)) as u64
}

/// Whether an outcome is a failure of the replica; `None` if it is no evidence.
fn is_failure(kind: OutcomeKind) -> Option<bool> {
    match kind {
        OutcomeKind::NoEvidence | OutcomeKind::NotSent => None,
        OutcomeKind::Served => Some(false),
        OutcomeKind::Failed
        | OutcomeKind::Cut
        | OutcomeKind::Silent
        | OutcomeKind::Spoilt
        | OutcomeKind::NotRun => Some(true),
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0).round() as u32
}
