//! Ledger of the contents that were in progress at replicas when these crashed, as observed here and reported by
//! others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::content::ContentId;
use crate::status::ContentStatuses;

/// Maximum number of contents; the one with the fewest crashes is evicted first.
const MAX_CONTENTS: usize = 2_048;

/// Maximum number of crashes per content; the newest are kept.
const MAX_CRASHES: usize = 16;

/// How long a crash counts and a clearing is remembered. Long enough to find a request that recurs every 15 minutes.
const CRASH_TTL: Duration = Duration::from_secs(3_600);

/// How much later than it happened a reported crash may be dated. A complete response after the crash must still
/// clear it.
const TIMESTAMP_TOLERANCE: Duration = Duration::from_secs(1);

/// How long a content that isn't a cause is announced to others after its latest crash or clearing.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(30);

/// Identifies one instance of a replica process; a restarted replica is another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaInstance(pub u32);

/// A crash of a replica while a content was in progress there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Instance that crashed.
    pub replica: ReplicaInstance,
    /// Time of the crash.
    pub at: Instant,
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

/// What daemons report about one content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedContent {
    /// Digest of the request.
    pub content: ContentId,
    /// Crashes while the content was in progress.
    pub crashes: Vec<ReportedCrash>,
    /// The latest complete response or release; `None` if there was none.
    pub cleared: Option<ReportedClearing>,
}

impl ReportedContent {
    /// True if anything reported hasn't expired.
    fn counts(&self) -> bool {
        let cleared = self.cleared.iter().map(|cleared| cleared.age);
        let mut ages = self.crashes.iter().map(|crash| crash.age).chain(cleared);
        ages.any(|age| age < CRASH_TTL)
    }
}

/// Known crashes and clearings by content. Reports may be merged in any order and repeatedly: the ledgers of all
/// daemons converge.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: BTreeMap<ContentId, Entry>,
}

impl CrashLedger {
    /// Records that a replica crashed at `at` while the content was in progress there. True if that is new.
    pub fn note_crash(
        &mut self,
        content: ContentId,
        replica: ReplicaInstance,
        at: Instant,
        now: Instant,
    ) -> bool {
        let entry = self.entries.entry(content).or_default();
        let is_new = entry.note(Crash { replica, at });
        if is_new {
            entry.changed_at = Some(now);
            self.evict();
        }
        is_new
    }

    /// Clears a content after a complete response or a release by an operator: its crashes so far don't count.
    /// `number` identifies the clearing. True if there were crashes and the clearing is newer than a known one.
    pub fn clear(&mut self, content: ContentId, number: u32, at: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&content) else {
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
    pub fn merge(&mut self, reports: &[ReportedContent], now: Instant) -> bool {
        let mut is_new = false;
        for report in reports {
            if !report.counts() {
                continue;
            }
            let entry = self.entries.entry(report.content).or_default();
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
                });
            }
            if has_changed {
                entry.changed_at = Some(now);
                is_new = true;
            }
        }
        self.evict();
        is_new
    }

    /// Returns what is to be announced to other daemons, at most `limit` contents: causes first, then those with
    /// the latest crash or clearing.
    pub fn to_announce(
        &self,
        statuses: &ContentStatuses,
        now: Instant,
        limit: usize,
    ) -> Vec<ReportedContent> {
        self.report_recent(ANNOUNCE_DURATION, statuses, now, limit)
    }

    /// Returns what is to be stored for daemons that start later, at most `limit` contents in the order of
    /// [`Self::to_announce`]: all that hasn't expired, including clearings, since others may still store the crashes.
    pub fn to_store(
        &self,
        statuses: &ContentStatuses,
        now: Instant,
        limit: usize,
    ) -> Vec<ReportedContent> {
        self.report_recent(CRASH_TTL, statuses, now, limit)
    }

    fn report_recent(
        &self,
        max_age: Duration,
        statuses: &ContentStatuses,
        now: Instant,
        limit: usize,
    ) -> Vec<ReportedContent> {
        let mut selected: Vec<(bool, Option<Instant>, &ContentId, &Entry)> = self
            .entries
            .iter()
            .map(|(content, entry)| {
                let is_cause = statuses.is_cause(*content);
                (is_cause, entry.latest_event(), content, entry)
            })
            .filter(|(is_cause, latest_event, _, _)| {
                let is_recent =
                    latest_event.is_some_and(|at| now.saturating_duration_since(at) < max_age);
                *is_cause || is_recent
            })
            .collect();
        selected.sort_by_key(|(is_cause, latest_event, _, _)| {
            std::cmp::Reverse((*is_cause, *latest_event))
        });
        selected.truncate(limit);
        let age = |at: Instant| now.saturating_duration_since(at);
        let reports = selected
            .into_iter()
            .map(|(_, _, content, entry)| ReportedContent {
                content: *content,
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

    /// Evaluates the statuses of all contents with crashes.
    pub fn statuses(&self) -> ContentStatuses {
        let with_crashes = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.crashes.is_empty());
        let crashes = with_crashes.map(|(content, entry)| (*content, entry.crashes.clone()));
        ContentStatuses::evaluate(&crashes.collect())
    }

    /// Returns the number of contents.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if there are neither crashes nor clearings.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict(&mut self) {
        while self.entries.len() > MAX_CONTENTS {
            let victim = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.crashes.len(), entry.latest_event()))
                .map(|(content, _)| *content);
            let Some(victim) = victim else {
                return;
            };
            self.entries.remove(&victim);
        }
    }
}
