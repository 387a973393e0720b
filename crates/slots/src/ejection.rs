//! Outlier detection over the replicas of one group, as their coordinator sees their requests end: pure.
//!
//! A replica that fails is judged against the others of its group only: what all do alike is the load's or the
//! service's doing, and taking replicas out would make it worse. What is known is a hint and dies with the coordinator.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_wire::OutcomeKind;
use tokio::time::Instant;

use crate::bad_luck::{stands_out, usual_rate};
use crate::outcome_window::{OutcomeWindow, median};

/// Share of a group's replicas that may be out at the same time, in percent: beyond it the others would not bear the
/// load, and the fault is hardly the replicas'.
const MOST_OUT_PERCENT: usize = 50;

/// How long a replica is ejected for the first time, and how often that doubles at most.
const FIRST_ABSENCE: Duration = Duration::from_millis(1_000);
const MOST_DOUBLINGS: u32 = 5;

/// Time in service after which an earlier ejection is forgotten.
const FORGIVEN_AFTER: Duration = Duration::from_secs(30);

/// Probes that must be served before a replica returns.
const PROBES_TO_RETURN: u32 = 3;

/// How long the end of a probe is waited for before another is sent: an item may run for long, and a report may have
/// been lost. What fails a request does so in less.
const PROBE_PATIENCE: Duration = Duration::from_secs(1);

/// How long after its absence a replica waits for items to probe it, and for work that may be repeated before any
/// work may.
const ITEMS_FIRST: Duration = Duration::from_millis(150);
const REPEATABLE_FIRST: Duration = Duration::from_millis(2_000);

/// Samples from which the time to the first event is compared, and how many times the others' it must be to count as
/// slow.
const LEAST_TIMED: usize = 6;
const SLOW_FACTOR: f64 = 4.0;

/// Least difference from the others' time to the first event, milliseconds.
const LEAST_SLOW_MS: f64 = 100.0;

/// Share of its new work that even the slowest replica keeps, so that its recovery is seen.
const LEAST_SHARE: f64 = 0.05;

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

/// A change of a replica's standing, with what it rests on.
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

/// What changed of a replica's standing.
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
enum Standing {
    InService,
    Out {
        until: Instant,
        good_probes: u32,
        probe: Option<(LeaseId, Instant)>,
    },
}

#[derive(Debug)]
struct Watched {
    window: OutcomeWindow,
    standing: Standing,
    ejections: u32,
    since: Instant,
    spared_at: Option<Instant>,
}

impl Watched {
    fn new(now: Instant) -> Self {
        Self {
            window: OutcomeWindow::default(),
            standing: Standing::InService,
            ejections: 0,
            since: now,
            spared_at: None,
        }
    }

    fn is_out(&self) -> bool {
        self.standing != Standing::InService
    }
}

/// The replicas of one group, as their requests end.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    watched: HashMap<u32, Watched>,
    shares: HashMap<u32, f64>,
    last_repeatable: Option<Instant>,
}

impl OutlierDetector {
    /// Replicas that get no work now.
    pub fn ejected(&self) -> HashSet<u32> {
        let out = self.watched.iter().filter(|(_, one)| one.is_out());
        out.map(|(replica, _)| *replica).collect()
    }

    /// Number of replicas that get no work now.
    pub fn ejected_count(&self) -> u64 {
        self.watched
            .values()
            .map(|one| u64::from(one.is_out()))
            .sum()
    }

    /// True if no replica is out and none is slow.
    pub fn has_no_outliers(&self) -> bool {
        self.shares.is_empty() && !self.watched.values().any(Watched::is_out)
    }

    /// Part of its new work that a replica still gets; 1 unless it is slow beside the others.
    pub fn share(&self, replica: u32) -> f64 {
        self.shares.get(&replica).copied().unwrap_or(1.0)
    }

    /// Forgets replicas that are not listed any more.
    pub fn retain_listed(&mut self, listed: &HashSet<u32>) {
        self.watched.retain(|replica, _| listed.contains(replica));
        self.shares.retain(|replica, _| listed.contains(replica));
    }

    /// Replicas that this work may try now; one request at a time each.
    pub fn probe_candidates(&mut self, work: ProbeWork, now: Instant) -> Vec<u32> {
        if work != ProbeWork::OnceOnly {
            self.last_repeatable = Some(now);
        }
        let hardly_repeatable = self
            .last_repeatable
            .is_none_or(|last| now.saturating_duration_since(last) >= REPEATABLE_FIRST);
        let due = self.watched.iter().filter(|(_, one)| {
            let Standing::Out { until, probe, .. } = one.standing else {
                return false;
            };
            let may_probe = match work {
                ProbeWork::Item => now >= until,
                ProbeWork::Repeatable => now >= until + ITEMS_FIRST,
                ProbeWork::OnceOnly => hardly_repeatable && now >= until + REPEATABLE_FIRST,
            };
            may_probe && !is_probed(probe, now)
        });
        due.map(|(replica, _)| *replica).collect()
    }

    /// A lease was granted at the replica. True if its request is a probe; one beside a probe that still runs is none,
    /// else the probe's end would never be taken where requests keep coming.
    pub fn note_grant(&mut self, replica: u32, lease: LeaseId, now: Instant) -> bool {
        let Some(watched) = self.watched.get_mut(&replica) else {
            return false;
        };
        match &mut watched.standing {
            Standing::Out { until, probe, .. } if now >= *until && !is_probed(*probe, now) => {
                *probe = Some((lease, now));
                true
            }
            _ => false,
        }
    }

    /// A request has ended. `group` is the number of the group's replicas that could take work.
    pub fn observe(
        &mut self,
        end: RequestOutcome,
        group: usize,
        now: Instant,
    ) -> Option<StatusChange> {
        if let Some(watched) = self.watched.get(&end.replica).filter(|one| one.is_out()) {
            let Standing::Out { probe, .. } = watched.standing else {
                return None;
            };
            // What was sent before it was ejected says nothing new.
            let is_probe = probe.is_some_and(|(lease, _)| lease == end.lease);
            return is_probe.then(|| self.take_probe(end, now)).flatten();
        }
        let is_failure = is_failure(end.kind)?;
        let watched = self.watched.entry(end.replica);
        let watched = watched.or_insert_with(|| Watched::new(now));
        watched.window.add(is_failure, now);
        if is_failure {
            return self.judge(end.replica, group, now);
        }
        if !end.first_event.is_zero() && watched.window.time(end.first_event, now) {
            return self.compare_times(end.replica, now);
        }
        None
    }

    /// Ejects a replica that fails as the others do not, as far as the bound allows.
    fn judge(&mut self, replica: u32, group: usize, now: Instant) -> Option<StatusChange> {
        let others = self.others_rate(replica, now)?;
        let watched = self.watched.get(&replica)?;
        if !stands_out(&watched.window.summary(now), others) {
            return None;
        }
        let is_full = self.ejected_count() >= most_out(group);
        let watched = self.watched.get_mut(&replica)?;
        if is_full {
            let told = watched.spared_at;
            if told.is_some_and(|at| now < at + FIRST_ABSENCE) {
                return None;
            }
            watched.spared_at = Some(now);
            return Some(self.change(replica, StatusEvent::Spared, others, now));
        }
        if now.saturating_duration_since(watched.since) >= FORGIVEN_AFTER {
            watched.ejections = 0;
        }
        let absence = watched.eject(now);
        Some(self.change(replica, StatusEvent::Ejected(absence), others, now))
    }

    fn take_probe(&mut self, end: RequestOutcome, now: Instant) -> Option<StatusChange> {
        let watched = self.watched.get_mut(&end.replica)?;
        let Standing::Out {
            good_probes, probe, ..
        } = &mut watched.standing
        else {
            return None;
        };
        *probe = None;
        let is_failure = is_failure(end.kind)?;
        let event = if is_failure {
            watched.window.add(true, now);
            StatusEvent::Ejected(watched.eject(now))
        } else {
            *good_probes += 1;
            if *good_probes < PROBES_TO_RETURN {
                return None;
            }
            watched.standing = Standing::InService;
            self.shares.remove(&end.replica);
            watched.window = OutcomeWindow::default();
            watched.since = now;
            StatusEvent::Returned
        };
        let others = self.others_rate(end.replica, now).unwrap_or_default();
        Some(self.change(end.replica, event, others, now))
    }

    /// Share of failures that is usual among the others in service. `None` if nothing is known of any.
    fn others_rate(&self, replica: u32, now: Instant) -> Option<f64> {
        let others = self.watched.iter();
        let others = others.filter(|(other, one)| **other != replica && !one.is_out());
        let others = others.map(|(_, one)| one.window.summary(now));
        usual_rate(others.collect())
    }

    /// Looks anew whether a replica's first events come late beside the others'. Tells when that changes.
    fn compare_times(&mut self, replica: u32, now: Instant) -> Option<StatusChange> {
        let own = self.watched.get(&replica)?;
        let own = own.window.first_event_ms(LEAST_TIMED, now)?;
        let others = self.watched.iter().filter(|(other, _)| **other != replica);
        let others = others.filter_map(|(_, one)| one.window.first_event_ms(LEAST_TIMED, now));
        let usual = median(others.collect())?;
        let is_slow = own >= usual * SLOW_FACTOR && own >= usual + LEAST_SLOW_MS;
        let event = if is_slow {
            let share = (usual * SLOW_FACTOR / 2.0 / own).max(LEAST_SHARE);
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
            .watched
            .get(&replica)
            .map(|one| one.window.summary(now));
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

impl Watched {
    fn eject(&mut self, now: Instant) -> Duration {
        let absence = FIRST_ABSENCE * (1 << self.ejections.min(MOST_DOUBLINGS));
        self.ejections += 1;
        self.standing = Standing::Out {
            until: now + absence,
            good_probes: 0,
            probe: None,
        };
        absence
    }
}

/// True while the end of a probe is waited for.
fn is_probed(probe: Option<(LeaseId, Instant)>, now: Instant) -> bool {
    probe.is_some_and(|(_, at)| now < at + PROBE_PATIENCE)
}

/// Replicas of a group of this size that may be out at the same time: one at least where there is another.
fn most_out(group: usize) -> u64 {
    let share = group * MOST_OUT_PERCENT / 100;
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
