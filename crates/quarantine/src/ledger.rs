//! Ledger of the contents and prompt parts that were in progress at replicas when these crashed, as observed here and
//! reported by others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::fingerprint::{Fingerprint, PartId};
use crate::status::{Evidence, Statuses};
use crate::subject::Subject;

/// Maximum number of subjects; the one with the fewest crashes is evicted first.
const MAX_SUBJECTS: usize = 2_048;

/// Maximum number of crashes per subject; the newest are kept.
const MAX_CRASHES: usize = 16;

/// How long a crash counts and a clearing is remembered. Long enough to find a request that recurs every 15 minutes.
const CRASH_TTL: Duration = Duration::from_secs(3_600);

/// How much later than it happened a reported crash may be dated. A complete response after the crash must still
/// clear it.
const TIMESTAMP_TOLERANCE: Duration = Duration::from_secs(1);

/// How long a complete response proves that a part of its prompt didn't cause later crashes. A part that many requests
/// share is proven again and again; one that crashes replicas never is.
const PROOF_TTL: Duration = Duration::from_secs(60);

/// How much later than the known one a proof must be to count, so that proofs aren't exchanged all the time.
const MIN_PROOF_GAP: Duration = Duration::from_secs(1);

/// How long a subject that isn't a cause is announced to others after its latest crash or clearing.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(30);

/// Identifies one instance of a replica process; a restarted replica is another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaInstance(pub u32);

/// A crash of a replica while a subject was in progress there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Instance that crashed.
    pub replica: ReplicaInstance,
    /// Time of the crash.
    pub at: Instant,
    /// True if this daemon observed it.
    pub is_own: bool,
}

/// A complete response, or a release by an operator: earlier crashes don't count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Clearing {
    /// Random number that identifies the clearing; daemons date it differently.
    number: u32,
    at: Instant,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    crashes: Vec<Crash>,
    cleared: Option<Clearing>,
    /// Of a part: the other shared parts of all requests with it that were in progress at crashes; `None` before the
    /// first.
    companions: Option<BTreeSet<PartId>>,
    /// Time of the last change on this daemon.
    changed_at: Option<Instant>,
}

impl Entry {
    fn is_cleared(&self, at: Instant) -> bool {
        self.cleared
            .is_some_and(|cleared| at <= cleared.at + TIMESTAMP_TOLERANCE)
    }

    /// Applies a clearing; true if it is new. Of two the later one counts. A known one keeps its time, which would
    /// otherwise advance by the network delay with each report.
    fn clear(&mut self, clearing: Clearing) -> bool {
        let is_known = self
            .cleared
            .is_some_and(|known| known.number == clearing.number || known.at >= clearing.at);
        if is_known {
            return false;
        }
        self.cleared = Some(clearing);
        self.crashes
            .retain(|crash| crash.at > clearing.at + TIMESTAMP_TOLERANCE);
        if self.crashes.is_empty() {
            self.companions = None;
        }
        true
    }

    /// Records a crash; true if it is new and not cleared.
    fn note(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.replica == crash.replica);
        if is_known || self.is_cleared(crash.at) {
            return false;
        }
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.sort_by_key(|crash| crash.at);
            self.crashes.remove(0);
        }
        true
    }

    /// Keeps the companions that this request or report has too; true if that changed them.
    fn keep_companions(&mut self, others: &BTreeSet<PartId>) -> bool {
        let Some(known) = &mut self.companions else {
            self.companions = Some(others.clone());
            return true;
        };
        let before = known.len();
        known.retain(|part| others.contains(part));
        known.len() < before
    }

    /// True if a complete response within [`PROOF_TTL`] before the latest crash proves a part harmless.
    fn is_proven(&self) -> bool {
        let last_crash = self.crashes.iter().map(|crash| crash.at).max();
        last_crash
            .zip(self.cleared)
            .is_some_and(|(crash, cleared)| crash < cleared.at + PROOF_TTL)
    }

    fn latest_event(&self) -> Option<Instant> {
        let last_crash = self.crashes.iter().map(|crash| crash.at).max();
        last_crash.max(self.cleared.map(|cleared| cleared.at))
    }
}

/// A crash as daemons report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCrash {
    /// Instance that crashed.
    pub replica: ReplicaInstance,
    /// Time since the crash.
    pub age: Duration,
}

/// A clearing as daemons report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedClearing {
    /// Random number that identifies the clearing.
    pub number: u32,
    /// Time since the clearing.
    pub age: Duration,
}

/// What daemons report about one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reported {
    /// The content or part.
    pub subject: Subject,
    /// Crashes while the subject was in progress.
    pub crashes: Vec<ReportedCrash>,
    /// The latest complete response or release; `None` if there was none.
    pub cleared: Option<ReportedClearing>,
    /// Of a part with crashes: the other shared parts of all requests with it that were in progress at crashes.
    pub companions: BTreeSet<PartId>,
}

impl Reported {
    /// True if anything reported hasn't expired.
    fn counts(&self) -> bool {
        let cleared = self.cleared.iter().map(|cleared| cleared.age);
        let mut ages = self.crashes.iter().map(|crash| crash.age).chain(cleared);
        ages.any(|age| age < CRASH_TTL)
    }
}

/// Known crashes and clearings by subject. Reports may be merged in any order and repeatedly: the ledgers of all
/// daemons converge.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: BTreeMap<Subject, Entry>,
}

impl CrashLedger {
    /// Records that a replica crashed at `at` while the subject was in progress there. True if that is new.
    pub fn note_crash(
        &mut self,
        subject: impl Into<Subject>,
        replica: ReplicaInstance,
        at: Instant,
        now: Instant,
    ) -> bool {
        let entry = self.entries.entry(subject.into()).or_default();
        let is_new = entry.note(Crash {
            replica,
            at,
            is_own: true,
        });
        if is_new {
            entry.changed_at = Some(now);
            self.evict();
        }
        is_new
    }

    /// Records that a replica crashed at `at` while requests with this fingerprint were in progress there. True if that
    /// is new.
    pub fn note_request_crash(
        &mut self,
        request: &Fingerprint,
        replica: ReplicaInstance,
        at: Instant,
        now: Instant,
    ) -> bool {
        let mut is_new = self.note_crash(request.content, replica, at, now);
        for part in request.parts.iter() {
            is_new |= self.note_crash(*part, replica, at, now);
            let others = request.parts.iter().copied();
            let others = others.filter(|other| other != part).collect();
            let entry = self.entries.get_mut(&Subject::Part(*part));
            if let Some(entry) = entry.filter(|entry| !entry.crashes.is_empty()) {
                is_new |= entry.keep_companions(&others);
            }
        }
        is_new
    }

    /// Notes when a complete response last proved a part harmless, before its known crashes or since. `number` identifies
    /// the proof. True if that is news.
    pub fn prove(&mut self, part: PartId, number: u32, at: Instant) -> bool {
        let entry = self.entries.get(&Subject::Part(part));
        let is_news = entry.is_some_and(|entry| {
            let known = entry.cleared;
            known.is_none_or(|known| at > known.at + MIN_PROOF_GAP)
        });
        is_news && self.clear(part, number, at)
    }

    /// Clears a subject after a complete response or a release by an operator: its crashes so far don't count.
    /// `number` identifies the clearing. True if there were crashes and the clearing is newer than a known one.
    pub fn clear(&mut self, subject: impl Into<Subject>, number: u32, at: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&subject.into()) else {
            return false;
        };
        let had_crashes = !entry.crashes.is_empty();
        if had_crashes && entry.clear(Clearing { number, at }) {
            entry.changed_at = Some(at);
            return true;
        }
        false
    }

    /// Merges the report of another daemon; true if it contained anything new.
    pub fn merge(&mut self, reports: &[Reported], now: Instant) -> bool {
        let mut is_new = false;
        for report in reports {
            if !report.counts() {
                continue;
            }
            let entry = self.entries.entry(report.subject).or_default();
            let mut has_changed = false;
            // `None` for what has expired or precedes the epoch of the clock.
            let to_instant = |age: Duration| {
                let counts = age < CRASH_TTL;
                counts.then(|| now.checked_sub(age)).flatten()
            };
            if let Some(reported) = report.cleared
                && let Some(at) = to_instant(reported.age)
            {
                has_changed |= entry.clear(Clearing {
                    number: reported.number,
                    at,
                });
            }
            for crash in &report.crashes {
                let Some(at) = to_instant(crash.age) else {
                    continue;
                };
                has_changed |= entry.note(Crash {
                    replica: crash.replica,
                    at,
                    is_own: false,
                });
            }
            let is_part = matches!(report.subject, Subject::Part(_));
            if is_part && !report.crashes.is_empty() && !entry.crashes.is_empty() {
                has_changed |= entry.keep_companions(&report.companions);
            }
            if has_changed {
                entry.changed_at = Some(now);
                is_new = true;
            }
        }
        self.evict();
        is_new
    }

    /// Returns what is to be announced to other daemons, at most `limit` subjects: causes first, then parts with the
    /// most crashes, then those with the latest crash or clearing.
    pub fn to_announce(&self, statuses: &Statuses, now: Instant, limit: usize) -> Vec<Reported> {
        self.report_recent(ANNOUNCE_DURATION, statuses, now, limit)
    }

    /// Returns what is to be stored for daemons that start later, at most `limit` subjects in the order of
    /// [`Self::to_announce`]: all that hasn't expired, including clearings, since others may still store the crashes.
    pub fn to_store(&self, statuses: &Statuses, now: Instant, limit: usize) -> Vec<Reported> {
        self.report_recent(CRASH_TTL, statuses, now, limit)
    }

    fn report_recent(
        &self,
        max_age: Duration,
        statuses: &Statuses,
        now: Instant,
        limit: usize,
    ) -> Vec<Reported> {
        let mut selected: Vec<(Priority, &Subject, &Entry)> = self
            .entries
            .iter()
            .map(|(subject, entry)| (priority(*subject, entry, statuses), subject, entry))
            .filter(|(priority, _, _)| {
                let is_recent = priority
                    .latest_event
                    .is_some_and(|at| now.saturating_duration_since(at) < max_age);
                priority.is_cause || is_recent
            })
            .collect();
        selected.sort_by_key(|(priority, _, _)| std::cmp::Reverse(*priority));
        selected.truncate(limit);
        let age = |at: Instant| now.saturating_duration_since(at);
        let reports = selected.into_iter().map(|(_, subject, entry)| Reported {
            subject: *subject,
            crashes: entry
                .crashes
                .iter()
                .map(|crash| ReportedCrash {
                    replica: crash.replica,
                    age: age(crash.at),
                })
                .collect(),
            cleared: entry.cleared.map(|cleared| ReportedClearing {
                number: cleared.number,
                age: age(cleared.at),
            }),
            companions: entry.companions.clone().unwrap_or_default(),
        });
        reports.collect()
    }

    /// True if anything has changed on this daemon within `max_age`.
    pub fn has_changed_within(&self, max_age: Duration, now: Instant) -> bool {
        let changes = self.entries.values().filter_map(|entry| entry.changed_at);
        changes
            .max()
            .is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }

    /// Removes what has expired; true if a status may have changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= CRASH_TTL;
        let mut has_changed = false;
        for entry in self.entries.values_mut() {
            let before = entry.crashes.len();
            entry.crashes.retain(|crash| !is_expired(crash.at));
            has_changed |= entry.crashes.len() < before;
        }
        // Clearings are kept for as long as other daemons or the store may still report the crashes.
        self.entries.retain(|_, entry| {
            let is_retained = entry
                .cleared
                .is_some_and(|cleared| now.saturating_duration_since(cleared.at) < CRASH_TTL);
            !entry.crashes.is_empty() || is_retained
        });
        has_changed
    }

    /// Evaluates the statuses of all subjects with crashes.
    pub fn statuses(&self) -> Statuses {
        let with_crashes = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.crashes.is_empty());
        let evidence = with_crashes.map(|(subject, entry)| {
            let companions = entry.companions.iter().flatten().copied();
            let evidence = Evidence {
                crashes: entry.crashes.clone(),
                is_proven: matches!(subject, Subject::Part(_)) && entry.is_proven(),
                companions: companions.collect(),
            };
            (*subject, evidence)
        });
        Statuses::evaluate(&evidence.collect())
    }

    /// Returns the number of subjects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if there are neither crashes nor clearings.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict(&mut self) {
        while self.entries.len() > MAX_SUBJECTS {
            let victim = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.crashes.len(), entry.latest_event()))
                .map(|(subject, _)| *subject);
            let Some(victim) = victim else {
                return;
            };
            self.entries.remove(&victim);
        }
    }
}

/// Order in which subjects are reported, the greatest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    is_cause: bool,
    /// Crashes of a part; daemons must add up theirs. 0 for a content.
    part_crashes: usize,
    latest_event: Option<Instant>,
}

fn priority(subject: Subject, entry: &Entry, statuses: &Statuses) -> Priority {
    let part_crashes = match subject {
        Subject::Part(_) => entry.crashes.len(),
        Subject::Content(_) => 0,
    };
    Priority {
        is_cause: statuses.is_cause(subject),
        part_crashes,
        latest_event: entry.latest_event(),
    }
}
