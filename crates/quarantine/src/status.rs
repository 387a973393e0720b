//! Evaluates which contents and prompt parts caused crashes, and for how long these are quarantined.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::fingerprint::{Fingerprint, PartId};
use crate::ledger::{Crash, ReplicaInstance};
use crate::subject::Subject;

/// Number of crashes without another explanation from which on a content is quarantined. Two aren't rare for a
/// harmless request, which may be retried on the same replica as the cause.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// The same for a part, whose quarantine concerns more requests.
const CRASHES_TO_QUARANTINE_PART: usize = 4;

/// Duration of the quarantine after the last crash.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(600);

/// Maximum number of doublings of the quarantine, one for each further crash.
const MAX_DOUBLINGS: usize = 5;

/// Time after the last crash from which an item may run once more, doubled after each trial that ends in a crash: this
/// clears a harmless one, at the cost of at most one more replica.
const TRIAL_DELAY: Duration = Duration::from_secs(5);

/// Maximum time after the last crash until an item may run once more. A harmless item under which replicas crashed is
/// completed within this time after the last crash.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(20);

/// What is known against a subject.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// Crashes that weren't cleared.
    pub crashes: Vec<Crash>,
    /// True for a part that a complete response proved harmless shortly before.
    pub is_proven: bool,
    /// Of a part: other parts of all requests with it that were in progress at crashes.
    pub companions: Vec<PartId>,
}

/// A subject's quarantine and the evidence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePeriod {
    /// Number of crashes while the subject was in progress.
    pub crashes: usize,
    /// Number of these that this daemon observed.
    pub own_crashes: usize,
    /// Number of crashes since it was quarantined.
    pub further_crashes: usize,
    /// Time of the first of these crashes.
    pub since: Instant,
    /// Time of the last of these crashes.
    pub last_crash: Instant,
    /// Time from which an item may run once as a trial.
    pub trial_from: Instant,
    /// End of the quarantine.
    pub until: Instant,
}

impl QuarantinePeriod {
    /// True if an item may run once as a trial.
    pub fn allows_trial(&self, now: Instant) -> bool {
        now >= self.trial_from
    }

    /// True if a replica crashed under a trial too.
    pub fn has_failed_trial(&self) -> bool {
        self.further_crashes > 0
    }

    /// Delays the ends of the quarantine, so that daemons don't all run a trial at the same time.
    fn delayed_by(mut self, delay: Duration) -> Self {
        self.trial_from += delay;
        self.until += delay;
        self
    }
}

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No crashes are known that count against it.
    Clear,
    /// There were crashes without another explanation, too few for a quarantine.
    Suspect {
        /// Number of these crashes.
        crashes: usize,
    },
    /// It isn't sent to any replica.
    Quarantined(QuarantinePeriod),
}

/// A subject in quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantined {
    /// The content or part.
    pub subject: Subject,
    /// Of a part: only requests that have all these parts too are held.
    pub companions: Vec<PartId>,
    /// Its quarantine.
    pub period: QuarantinePeriod,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    status: Status,
    /// See [`Quarantined::companions`].
    companions: Vec<PartId>,
}

/// Statuses of all subjects with crashes; an immutable snapshot for the request path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Statuses {
    known: HashMap<Subject, Known>,
}

impl Statuses {
    /// Evaluates all subjects by their crashes.
    ///
    /// The subject with the most crashes explains them; what ran next to it is only judged by its other crashes, so
    /// that a harmless request isn't quarantined by coincidence. A part that is proven harmless explains nothing, however
    /// many requests share it.
    pub fn evaluate(evidence: &BTreeMap<Subject, Evidence>) -> Self {
        let mut order: Vec<(&Subject, &Evidence)> = evidence.iter().collect();
        // Not ordered by time, which differs between daemons: all must come to the same result.
        order.sort_by_key(|(subject, evidence)| {
            (
                evidence.is_proven,
                Reverse(evidence.crashes.len()),
                **subject,
            )
        });
        let mut explained: HashSet<ReplicaInstance> = HashSet::new();
        let mut known = HashMap::new();
        for (subject, of_subject) in order {
            let crashes = &of_subject.crashes;
            let unexplained = crashes
                .iter()
                .filter(|crash| !explained.contains(&crash.replica))
                .count();
            if unexplained == 0 {
                continue;
            }
            let is_cause = unexplained >= threshold(*subject) && !of_subject.is_proven;
            let status = if is_cause {
                explained.extend(crashes.iter().map(|crash| crash.replica));
                Status::Quarantined(quarantine_period(crashes, threshold(*subject)))
            } else {
                Status::Suspect {
                    crashes: unexplained,
                }
            };
            let companions = unproven(&of_subject.companions, evidence);
            known.insert(*subject, Known { status, companions });
        }
        Self { known }
    }

    /// Returns the status of a request; an expired quarantine counts as [`Status::Suspect`]. `part_delay` is added to the
    /// quarantines of parts, so that one daemon tries a part again before the others.
    pub fn of(&self, request: &Fingerprint, now: Instant, part_delay: Duration) -> Status {
        if self.known.is_empty() {
            return Status::Clear;
        }
        let content = self.known.get(&request.content.into());
        let content = content.map(|known| known.status);
        let parts = request.parts.iter().filter_map(|part| {
            let known = self.known.get(&Subject::from(*part))?;
            let mut companions = known.companions.iter();
            let concerns = companions.all(|companion| request.parts.contains(companion));
            concerns.then(|| match known.status {
                Status::Quarantined(period) => Status::Quarantined(period.delayed_by(part_delay)),
                status => status,
            })
        });
        let statuses = content.into_iter().chain(parts);
        let statuses = statuses.map(|status| match status {
            Status::Quarantined(period) if now >= period.until => Status::Suspect {
                crashes: period.crashes,
            },
            status => status,
        });
        statuses.max_by_key(severity).unwrap_or(Status::Clear)
    }

    /// True if no subject is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the quarantined subjects, including those whose quarantine has expired.
    pub fn quarantined(&self) -> impl Iterator<Item = Quarantined> {
        self.known
            .iter()
            .filter_map(|(subject, known)| match known.status {
                Status::Quarantined(period) => Some(Quarantined {
                    subject: *subject,
                    companions: known.companions.clone(),
                    period,
                }),
                Status::Clear | Status::Suspect { .. } => None,
            })
    }

    /// True if the subject is quarantined, or was until its quarantine expired.
    pub fn is_cause(&self, subject: Subject) -> bool {
        let known = self.known.get(&subject);
        known.is_some_and(|known| matches!(known.status, Status::Quarantined(_)))
    }
}

/// Number of unexplained crashes from which on a subject is quarantined.
fn threshold(subject: Subject) -> usize {
    match subject {
        Subject::Content(_) => CRASHES_TO_QUARANTINE,
        Subject::Part(_) => CRASHES_TO_QUARANTINE_PART,
    }
}

/// Returns the parts that may as well be the cause: those with crashes that aren't proven harmless.
fn unproven(parts: &[PartId], evidence: &BTreeMap<Subject, Evidence>) -> Vec<PartId> {
    let may_be_cause = |part: &&PartId| {
        let of_part = evidence.get(&Subject::Part(**part));
        of_part.is_some_and(|evidence| !evidence.is_proven)
    };
    parts.iter().filter(may_be_cause).copied().collect()
}

/// Orders statuses by how long they keep a request from running.
fn severity(status: &Status) -> (u8, Option<Instant>, usize) {
    match status {
        Status::Clear => (0, None, 0),
        Status::Suspect { crashes } => (1, None, *crashes),
        Status::Quarantined(period) => (2, Some(period.until), period.crashes),
    }
}

fn quarantine_period(crashes: &[Crash], threshold: usize) -> QuarantinePeriod {
    let times = || crashes.iter().map(|crash| crash.at);
    // Never empty when called; the fallback isn't reached.
    let since = times().min().unwrap_or_else(Instant::now);
    let last_crash = times().max().unwrap_or(since);
    let further_crashes = crashes.len().saturating_sub(threshold);
    let doublings = further_crashes.min(MAX_DOUBLINGS);
    let trial_delay = (TRIAL_DELAY * (1 << doublings)).min(MAX_TRIAL_DELAY);
    QuarantinePeriod {
        crashes: crashes.len(),
        own_crashes: crashes.iter().filter(|crash| crash.is_own).count(),
        further_crashes,
        since,
        last_crash,
        trial_from: last_crash + trial_delay,
        until: last_crash + INITIAL_QUARANTINE * (1 << doublings),
    }
}
