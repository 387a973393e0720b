//! Outlier detection over the replicas of one group, as their coordinator sees their requests outcome: pure.
//!
//! A replica that fails is judged against the others of its group only: what all do alike is the load's or the
//! service's doing, and taking replicas out would make it worse. What is known is a hint and dies with the coordinator.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_wire::OutcomeKind;
use tokio::time::Instant;

use crate::outcome_window::{OutcomeWindow, median};
use crate::significance::{baseline_rate, is_outlier};

/// Share of a group's replicas that may be out at the same time, in percent: beyond it the others would not bear the
/// load, and the fault is hardly the replicas'.
const MAX_EJECTED_PERCENT: usize = 50;

/// How long a replica is ejected for the first time, and how often that doubles at most.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1_000);
const MAX_DOUBLINGS: u32 = 5;

/// Time in service after which an earlier ejection is forgotten.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(30);

/// Probes that must be served before a replica returns.
const PROBES_TO_RETURN: u32 = 3;

/// How long the end of a probe is waited for before another is sent: an item may run for long, and a report may have
/// been lost. What fails a request does so in less.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after its ejection_time a replica waits for items to probe it, and for work that may be repeated before any
/// work may.
const REPEATABLE_PROBE_DELAY: Duration = Duration::from_millis(150);
const ONCE_ONLY_PROBE_DELAY: Duration = Duration::from_millis(2_000);

/// Samples from which the time to the first event is compared, and how many times the others' it must be to count as
/// slow.
const MIN_TIMINGS: usize = 6;
const SLOW_FACTOR: f64 = 4.0;

/// Least difference from the others' time to the first event, milliseconds.
const MIN_SLOW_EXCESS_MS: f64 = 100.0;

/// Share of its new work that even the slowest replica keeps, so that its recovery is seen.
const MIN_SHARE: f64 = 0.05;

/// The lease of a request: its holder and its number there.
pub type LeaseId = (u64, u32);

/// The end of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Its replica.
    pub replica: u32,
    /// Its lease.
    pub lease: LeaseId,
    /// How it ended.
    pub kind: OutcomeKind,
    /// Time to the first event; zero if that says nothing.
    pub first_event: Duration,
}

/// What kind of work may try a replica that was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeWork {
    /// A batch item.
    Item,
    /// A request that may be sent again elsewhere.
    Repeatable,
    /// A request that may run once only.
    OnceOnly,
}

/// A change of a replica's status, with what it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusChange {
    /// The replica.
    pub replica: u32,
    /// What changed.
    pub event: StatusEvent,
    /// Outcomes counted, and failures among them.
    pub outcomes: u32,
    /// Failures among them.
    pub failures: u32,
    /// Failures in a row up to now.
    pub consecutive_failures: u32,
    /// Age of the oldest outcome counted.
    pub window: Duration,
    /// Share of failures of the group's others, in thousandths.
    pub others_permille: u32,
}

/// What changed of a replica's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusEvent {
    /// It gets no work for so long.
    Ejected(Duration),
    /// It would be ejected, but as many of its group are out as may be.
    Spared,
    /// It gets work again.
    Returned,
    /// Its first events come late: it gets this part of its new work, in thousandths.
    Slowed(u32),
    /// It gets all of its new work again.
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

/// The replicas of one group, as their requests outcome.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    replicas: HashMap<u32, ReplicaState>,
    shares: HashMap<u32, f64>,
    last_repeatable: Option<Instant>,
}

impl OutlierDetector {
    /// Replicas that get no work now.
    pub fn ejected(&self) -> HashSet<u32> {
        let ejected = self.replicas.iter().filter(|(_, state)| state.is_ejected());
        ejected.map(|(replica, _)| *replica).collect()
    }

    /// Number of replicas that get no work now.
    pub fn ejected_count(&self) -> u64 {
        self.replicas
            .values()
            .map(|state| u64::from(state.is_ejected()))
            .sum()
    }

    /// True if no replica is out and none is slow.
    pub fn has_no_outliers(&self) -> bool {
        self.shares.is_empty() && !self.replicas.values().any(ReplicaState::is_ejected)
    }

    /// Part of its new work that a replica still gets; 1 unless it is slow beside the others.
    pub fn share(&self, replica: u32) -> f64 {
        self.shares.get(&replica).copied().unwrap_or(1.0)
    }

    /// Forgets replicas that are not listed any more.
    pub fn retain_listed(&mut self, listed: &HashSet<u32>) {
        self.replicas.retain(|replica, _| listed.contains(replica));
        self.shares.retain(|replica, _| listed.contains(replica));
    }

    /// Replicas that this work may try now; one request at a time each.
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

    /// A lease was granted at the replica. True if its request is a probe; one beside a probe that still runs is none,
    /// else the probe's end would never be taken where requests keep coming.
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

    /// A request has ended. `group` is the number of the group's replicas that could take work.
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
            // What was sent before it was ejected says nothing new.
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

    /// Ejects a replica that fails as the others do not, as far as the bound allows.
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

    /// Share of failures that is usual among the others in service. `None` if nothing is known of any.
    fn others_rate(&self, replica: u32, now: Instant) -> Option<f64> {
        let others = self.replicas.iter();
        let others = others.filter(|(other, state)| **other != replica && !state.is_ejected());
        let others = others.map(|(_, state)| state.window.summary(now));
        baseline_rate(others.collect())
    }

    /// Looks anew whether a replica's first events come late beside the others'. Tells when that changes.
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

/// True while the end of a probe is waited for.
fn is_probing(probe: Option<(LeaseId, Instant)>, now: Instant) -> bool {
    probe.is_some_and(|(_, at)| now < at + PROBE_TIMEOUT)
}

/// Replicas of a group of this size that may be out at the same time: one at least where there is another.
fn max_ejected(group: usize) -> u64 {
    let share = group * MAX_EJECTED_PERCENT / 100;
    share.max(usize::from(group > 1)) as u64
}

/// Whether an outcome is a failure of the replica; `None` if it says nothing.
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
