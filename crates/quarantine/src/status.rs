//! Evaluates which contents caused crashes, and for how long these are quarantined.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::content::ContentId;
use crate::ledger::{Crash, ReplicaInstance};

/// Number of crashes without another explanation from which on a content is quarantined. Two aren't rare for a
/// harmless request, which may be retried on the same replica as the cause.
pub const CRASHES_TO_QUARANTINE: usize = 3;

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

/// A content's quarantine and the evidence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePeriod {
    /// Number of crashes while the content was in progress.
    pub crashes: usize,
    /// Time of the first of these crashes.
    pub since: Instant,
    /// Time of the last of these crashes.
    pub last_crash: Instant,
    /// End of the quarantine.
    pub until: Instant,
}

impl QuarantinePeriod {
    /// True if an item of this content may run once as a trial.
    pub fn allows_trial(&self, now: Instant) -> bool {
        let failed_trials = self.crashes.saturating_sub(CRASHES_TO_QUARANTINE);
        let delay = TRIAL_DELAY * (1 << failed_trials.min(MAX_DOUBLINGS));
        now >= self.last_crash + delay.min(MAX_TRIAL_DELAY)
    }

    /// True if a replica crashed under a trial too.
    pub fn has_failed_trial(&self) -> bool {
        self.crashes > CRASHES_TO_QUARANTINE
    }
}

/// Quarantine status of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
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

/// Statuses of all contents with crashes; an immutable snapshot for the request path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ContentStatuses {
    known: HashMap<ContentId, ContentStatus>,
}

impl ContentStatuses {
    /// Evaluates all contents by their crashes.
    ///
    /// The content with the most crashes explains them; contents that ran next to it are only judged by their other
    /// crashes, so that a harmless request isn't quarantined by coincidence.
    pub fn evaluate(crashes: &BTreeMap<ContentId, Vec<Crash>>) -> Self {
        let mut order: Vec<(&ContentId, &Vec<Crash>)> = crashes.iter().collect();
        // Not ordered by time, which differs between daemons: all must come to the same result.
        order.sort_by_key(|(content, crashes)| (std::cmp::Reverse(crashes.len()), **content));
        let mut explained: HashSet<ReplicaInstance> = HashSet::new();
        let mut known = HashMap::new();
        for (content, crashes) in order {
            let unexplained = crashes
                .iter()
                .filter(|crash| !explained.contains(&crash.replica))
                .count();
            if unexplained >= CRASHES_TO_QUARANTINE {
                explained.extend(crashes.iter().map(|crash| crash.replica));
                known.insert(
                    *content,
                    ContentStatus::Quarantined(quarantine_period(crashes)),
                );
            } else if unexplained > 0 {
                known.insert(
                    *content,
                    ContentStatus::Suspect {
                        crashes: unexplained,
                    },
                );
            }
        }
        Self { known }
    }

    /// Returns the status of a content; an expired quarantine counts as [`ContentStatus::Suspect`].
    pub fn of(&self, content: ContentId, now: Instant) -> ContentStatus {
        match self.known.get(&content) {
            None => ContentStatus::Clear,
            Some(ContentStatus::Quarantined(period)) if now >= period.until => {
                ContentStatus::Suspect {
                    crashes: period.crashes,
                }
            }
            Some(status) => *status,
        }
    }

    /// True if no content is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the quarantined contents, including those whose quarantine has expired.
    pub fn quarantined(&self) -> impl Iterator<Item = (ContentId, QuarantinePeriod)> {
        self.known
            .iter()
            .filter_map(|(content, status)| match status {
                ContentStatus::Quarantined(period) => Some((*content, *period)),
                ContentStatus::Clear | ContentStatus::Suspect { .. } => None,
            })
    }

    /// True if the content is quarantined, or was until its quarantine expired.
    pub fn is_cause(&self, content: ContentId) -> bool {
        matches!(
            self.known.get(&content),
            Some(ContentStatus::Quarantined(_))
        )
    }
}

fn quarantine_period(crashes: &[Crash]) -> QuarantinePeriod {
    let times = || crashes.iter().map(|crash| crash.at);
    // Never empty when called; the fallback isn't reached.
    let since = times().min().unwrap_or_else(Instant::now);
    let last_crash = times().max().unwrap_or(since);
    let doublings = crashes
        .len()
        .saturating_sub(CRASHES_TO_QUARANTINE)
        .min(MAX_DOUBLINGS);
    QuarantinePeriod {
        crashes: crashes.len(),
        since,
        last_crash,
        until: last_crash + INITIAL_QUARANTINE * (1 << doublings),
    }
}
