//! Which contents were in progress at replicas when these ended, as this daemon saw it and as others told.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::content::ContentId;
use crate::verdicts::Standings;

/// Most contents kept. One entry takes about 200 bytes; what was there at the fewest ends goes first.
const MOST_CONTENTS: usize = 2_048;

/// Most ends kept of one content, the newest.
const MOST_ENDS: usize = 16;

/// How long an end counts, and how long a clearing is remembered. A request that comes back every quarter of an hour is found within an hour.
const END_LIFETIME: Duration = Duration::from_secs(3_600);

/// How much later than it happened an end may be dated, where it was told from daemon to daemon. A whole answer later than
/// the end must clear it all the same.
const DATING_ERROR: Duration = Duration::from_secs(1);

/// How long others are told of a content that is not to blame: all hear of it within a second.
const TOLD_FOR: Duration = Duration::from_secs(30);

/// One start of a replica: another start is another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaStart(pub u32);

/// A replica that ended while a content was in progress there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The replica.
    pub replica: ReplicaStart,
    /// When.
    pub at: Instant,
}

/// A whole answer, or a release by an operator: earlier ends do not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Clearing {
    /// Tells it from any other one, whatever daemons date it.
    number: u32,
    at: Instant,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    ends: Vec<End>,
    cleared: Option<Clearing>,
    /// When anything of this last changed here.
    changed_at: Option<Instant>,
}

impl Entry {
    fn is_cleared(&self, at: Instant) -> bool {
        self.cleared
            .is_some_and(|cleared| at <= cleared.at + DATING_ERROR)
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
        self.ends.retain(|end| end.at > clearing.at + DATING_ERROR);
        true
    }

    /// Notes an end; true if it is new.
    fn note(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|known| known.replica == end.replica);
        if is_known || self.is_cleared(end.at) {
            return false;
        }
        self.ends.push(end);
        if self.ends.len() > MOST_ENDS {
            self.ends.sort_by_key(|end| end.at);
            self.ends.remove(0);
        }
        true
    }

    fn last_change(&self) -> Option<Instant> {
        let last_end = self.ends.iter().map(|end| end.at).max();
        last_end.max(self.cleared.map(|cleared| cleared.at))
    }
}

/// An end as daemons tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldEnd {
    /// The replica.
    pub replica: ReplicaStart,
    /// How long ago.
    pub age: Duration,
}

/// A clearing as daemons tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldClearing {
    /// Tells it from any other one.
    pub number: u32,
    /// How long ago.
    pub age: Duration,
}

/// What daemons tell of one content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldContent {
    /// The content.
    pub content: ContentId,
    /// Its ends.
    pub ends: Vec<ToldEnd>,
    /// Its last whole answer or release.
    pub cleared: Option<ToldClearing>,
}

impl ToldContent {
    /// True if anything of it is young enough to count.
    fn counts(&self) -> bool {
        let cleared = self.cleared.iter().map(|cleared| cleared.age);
        let mut ages = self.ends.iter().map(|end| end.age).chain(cleared);
        ages.any(|age| age < END_LIFETIME)
    }
}

/// The ends that this daemon knows of.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: BTreeMap<ContentId, Entry>,
}

impl CrashLedger {
    /// A replica ended while the content was in progress there at `at`, as this daemon knows `now`; true if that is news.
    pub fn note_end(
        &mut self,
        content: ContentId,
        replica: ReplicaStart,
        at: Instant,
        now: Instant,
    ) -> bool {
        let entry = self.entries.entry(content).or_default();
        let is_new = entry.note(End { replica, at });
        if is_new {
            entry.changed_at = Some(now);
            self.make_room();
        }
        is_new
    }

    /// The content came to a whole answer, or an operator lets it run again: its ends so far do not count. `number` tells this
    /// clearing from all others. True if anything was known against it.
    pub fn clear(&mut self, content: ContentId, number: u32, at: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&content) else {
            return false;
        };
        let had_ends = !entry.ends.is_empty();
        if had_ends && entry.clear(Clearing { number, at }) {
            entry.changed_at = Some(at);
            return true;
        }
        false
    }

    /// Takes what another daemon told; true if anything of it is news.
    pub fn take(&mut self, told: &[ToldContent], now: Instant) -> bool {
        let mut is_news = false;
        for one in told {
            if !one.counts() {
                continue;
            }
            let entry = self.entries.entry(one.content).or_default();
            let mut has_changed = false;
            // What is too old to count, or from before the clock began, is nothing new.
            let date = |age: Duration| {
                let counts = age < END_LIFETIME;
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
            for end in &one.ends {
                let Some(at) = date(end.age) else {
                    continue;
                };
                has_changed |= entry.note(End {
                    replica: end.replica,
                    at,
                });
            }
            if has_changed {
                entry.changed_at = Some(now);
                is_news = true;
            }
        }
        self.make_room();
        is_news
    }

    /// What to tell others, at most so many contents: those to blame first, then the newest.
    pub fn told(&self, standings: &Standings, now: Instant, most: usize) -> Vec<ToldContent> {
        self.told_within(TOLD_FOR, standings, now, most)
    }

    /// What to keep for those who hear of it later, at most so many contents, in the same order: all that still counts, and
    /// what was cleared, since others may keep its ends.
    pub fn kept(&self, standings: &Standings, now: Instant, most: usize) -> Vec<ToldContent> {
        self.told_within(END_LIFETIME, standings, now, most)
    }

    fn told_within(
        &self,
        time: Duration,
        standings: &Standings,
        now: Instant,
        most: usize,
    ) -> Vec<ToldContent> {
        let mut wanted: Vec<(bool, Option<Instant>, &ContentId, &Entry)> = self
            .entries
            .iter()
            .map(|(content, entry)| {
                let is_to_blame = standings.is_to_blame(*content);
                (is_to_blame, entry.last_change(), content, entry)
            })
            .filter(|(is_to_blame, changed, _, _)| {
                let is_new = changed.is_some_and(|at| now.saturating_duration_since(at) < time);
                *is_to_blame || is_new
            })
            .collect();
        wanted.sort_by_key(|(is_to_blame, changed, _, _)| {
            std::cmp::Reverse((*is_to_blame, *changed))
        });
        wanted.truncate(most);
        let age = |at: Instant| now.saturating_duration_since(at);
        let told = wanted
            .into_iter()
            .map(|(_, _, content, entry)| ToldContent {
                content: *content,
                ends: entry
                    .ends
                    .iter()
                    .map(|end| ToldEnd {
                        replica: end.replica,
                        age: age(end.at),
                    })
                    .collect(),
                cleared: entry.cleared.map(|cleared| ToldClearing {
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
        let is_old = |at: Instant| now.saturating_duration_since(at) >= END_LIFETIME;
        let mut has_changed = false;
        for entry in self.entries.values_mut() {
            let before = entry.ends.len();
            entry.ends.retain(|end| !is_old(end.at));
            has_changed |= entry.ends.len() < before;
        }
        // What was cleared is remembered for as long as others may still tell the ends, or keep them in the store.
        self.entries.retain(|_, entry| {
            let is_told = entry
                .cleared
                .is_some_and(|cleared| now.saturating_duration_since(cleared.at) < END_LIFETIME);
            !entry.ends.is_empty() || is_told
        });
        has_changed
    }

    /// Judges all contents.
    pub fn standings(&self) -> Standings {
        let with_ends = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.ends.is_empty());
        let ends = with_ends.map(|(content, entry)| (*content, entry.ends.clone()));
        Standings::judge(&ends.collect())
    }

    /// Contents kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if nothing is known against any content.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn make_room(&mut self) {
        while self.entries.len() > MOST_CONTENTS {
            let least = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.ends.len(), entry.last_change()))
                .map(|(content, _)| *content);
            let Some(least) = least else {
                return;
            };
            self.entries.remove(&least);
        }
    }
}
