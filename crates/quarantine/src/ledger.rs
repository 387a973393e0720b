//! Which contents were in progress at replicas when these ended, as this daemon saw it and as others told.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::content::ContentId;
use crate::status::ContentStatuses;

/// Most contents kept. One entry takes about 200 bytes; what was there at the fewest crashes goes first.
const MAX_CONTENTS: usize = 2_048;

/// Most crashes kept of one content, the newest.
const MAX_CRASHES: usize = 16;

/// How long an crash counts, and how long a clearing is remembered. A request that comes back every quarter of an hour is found within an hour.
const CRASH_TTL: Duration = Duration::from_secs(3_600);

/// How much later than it happened an crash may be dated, where it was told from daemon to daemon. A whole answer later than
/// the crash must clear it all the same.
const TIMESTAMP_TOLERANCE: Duration = Duration::from_secs(1);

/// How long others are told of a content that is not to blame: all hear of it within a second.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(30);

/// One start of a replica: another start is another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaInstance(pub u32);

/// A replica that ended while a content was in progress there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The replica.
    pub replica: ReplicaInstance,
    /// When.
    pub at: Instant,
}

/// A whole answer, or a release by an operator: earlier crashes do not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Clearing {
    /// Tells it from any other one, whatever daemons date it.
    number: u32,
    at: Instant,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    crashes: Vec<Crash>,
    cleared: Option<Clearing>,
    /// When anything of this last changed here.
    changed_at: Option<Instant>,
}

impl Entry {
    fn is_cleared(&self, at: Instant) -> bool {
        self.cleared
            .is_some_and(|cleared| at <= cleared.at + TIMESTAMP_TOLERANCE)
    }

    /// Takes a clearing; true if it is new. The later one counts. What is known already keeps its date: told again it would move
    /// by the time on the way, each time.
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

    /// Notes an crash; true if it is new.
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

    fn last_change(&self) -> Option<Instant> {
        let last_crash = self.crashes.iter().map(|crash| crash.at).max();
        last_crash.max(self.cleared.map(|cleared| cleared.at))
    }
}

/// An crash as daemons tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The replica.
    pub replica: ReplicaInstance,
    /// How long ago.
    pub age: Duration,
}

/// A clearing as daemons tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedClearing {
    /// Tells it from any other one.
    pub number: u32,
    /// How long ago.
    pub age: Duration,
}

/// What daemons tell of one content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedContent {
    /// The content.
    pub content: ContentId,
    /// Its crashes.
    pub crashes: Vec<ReportedCrash>,
    /// Its last whole answer or release.
    pub cleared: Option<ReportedClearing>,
}

impl ReportedContent {
    /// True if anything of it is young enough to count.
    fn counts(&self) -> bool {
        let cleared = self.cleared.iter().map(|cleared| cleared.age);
        let mut ages = self.crashes.iter().map(|crash| crash.age).chain(cleared);
        ages.any(|age| age < CRASH_TTL)
    }
}

/// The crashes that this daemon knows of.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: BTreeMap<ContentId, Entry>,
}

impl CrashLedger {
    /// A replica ended while the content was in progress there at `at`, as this daemon knows `now`; true if that is news.
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

    /// The content came to a whole answer, or an operator lets it run again: its crashes so far do not count. `number` tells this
    /// clearing from all others. True if anything was known against it.
    pub fn clear(&mut self, content: ContentId, number: u32, at: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&content) else {
            return false;
        };
        let had_ends = !entry.crashes.is_empty();
        if had_ends && entry.clear(Clearing { number, at }) {
            entry.changed_at = Some(at);
            return true;
        }
        false
    }

    /// Takes what another daemon told; true if anything of it is news.
    pub fn merge(&mut self, told: &[ReportedContent], now: Instant) -> bool {
        let mut is_new = false;
        for one in told {
            if !one.counts() {
                continue;
            }
            let entry = self.entries.entry(one.content).or_default();
            let mut has_changed = false;
            // What is too old to count, or from before the clock began, is nothing new.
            let date = |age: Duration| {
                let counts = age < CRASH_TTL;
                counts.then(|| now.checked_sub(age)).flatten()
            };
            if let Some(told) = one.cleared
                && let Some(at) = date(told.age)
            {
                has_changed |= entry.clear(Clearing {
                    number: told.number,
                    at,
                });
            }
            for crash in &one.crashes {
                let Some(at) = date(crash.age) else {
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

    /// What to tell others, at most so many contents: those to blame first, then the newest.
    pub fn to_announce(
        &self,
        statuses: &ContentStatuses,
        now: Instant,
        most: usize,
    ) -> Vec<ReportedContent> {
        self.changed_within(ANNOUNCE_DURATION, statuses, now, most)
    }

    /// What to keep for those who hear of it later, at most so many contents, in the same order: all that still counts, and
    /// what was cleared, since others may keep its crashes.
    pub fn to_store(
        &self,
        statuses: &ContentStatuses,
        now: Instant,
        most: usize,
    ) -> Vec<ReportedContent> {
        self.changed_within(CRASH_TTL, statuses, now, most)
    }

    fn changed_within(
        &self,
        time: Duration,
        statuses: &ContentStatuses,
        now: Instant,
        most: usize,
    ) -> Vec<ReportedContent> {
        let mut wanted: Vec<(bool, Option<Instant>, &ContentId, &Entry)> = self
            .entries
            .iter()
            .map(|(content, entry)| {
                let is_cause = statuses.is_cause(*content);
                (is_cause, entry.last_change(), content, entry)
            })
            .filter(|(is_cause, changed, _, _)| {
                let is_new = changed.is_some_and(|at| now.saturating_duration_since(at) < time);
                *is_cause || is_new
            })
            .collect();
        wanted.sort_by_key(|(is_cause, changed, _, _)| std::cmp::Reverse((*is_cause, *changed)));
        wanted.truncate(most);
        let age = |at: Instant| now.saturating_duration_since(at);
        let told = wanted
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
        told.collect()
    }

    /// True if something has changed here within that time.
    pub fn has_changed_within(&self, time: Duration, now: Instant) -> bool {
        let changes = self.entries.values().filter_map(|entry| entry.changed_at);
        changes
            .max()
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Forgets what no longer counts; true if that changes a standing.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= CRASH_TTL;
        let mut has_changed = false;
        for entry in self.entries.values_mut() {
            let before = entry.crashes.len();
            entry.crashes.retain(|crash| !is_old(crash.at));
            has_changed |= entry.crashes.len() < before;
        }
        // What was cleared is remembered for as long as others may still tell the crashes, or keep them in the store.
        self.entries.retain(|_, entry| {
            let is_told = entry
                .cleared
                .is_some_and(|cleared| now.saturating_duration_since(cleared.at) < CRASH_TTL);
            !entry.crashes.is_empty() || is_told
        });
        has_changed
    }

    /// Judges all contents.
    pub fn statuses(&self) -> ContentStatuses {
        let with_ends = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.crashes.is_empty());
        let crashes = with_ends.map(|(content, entry)| (*content, entry.crashes.clone()));
        ContentStatuses::evaluate(&crashes.collect())
    }

    /// Contents kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if nothing is known against any content.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict(&mut self) {
        while self.entries.len() > MAX_CONTENTS {
            let least = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.crashes.len(), entry.last_change()))
                .map(|(content, _)| *content);
            let Some(least) = least else {
                return;
            };
            self.entries.remove(&least);
        }
    }
}
