//! Which of the contents that were there when replicas ended is to blame, and for how long it is held back.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::content::ContentId;
use crate::ledger::{Crash, ReplicaInstance};

/// Ends that no other content explains from which on a content is held back. Two are not rare for a harmless request: what
/// ran beside the one to blame is sent on at the same moment, and may meet it again.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How long a content is held back after its last crash: replicas' software is mended in minutes at the least.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(600);

/// Most times that the hold doubles, once for each further crash: 5 hours 20 minutes at the longest.
const MAX_DOUBLINGS: usize = 5;

/// Time after the third crash after which an item may run once more: one that was there by chance is done by it, at the price of
/// one more replica for one that was not. Three retries are allowed in all.
const TRIAL_DELAY: Duration = Duration::from_secs(5);

/// Why a content is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePeriod {
    /// Replicas that ended under it.
    pub crashes: usize,
    /// First of these crashes.
    pub since: Instant,
    /// Last of these crashes.
    pub last_crash: Instant,
    /// When it may run again.
    pub until: Instant,
}

impl QuarantinePeriod {
    /// True if an item of this content may run once, to show whether it was there by chance.
    pub fn allows_trial(&self, now: Instant) -> bool {
        self.crashes == CRASHES_TO_QUARANTINE && now >= self.last_crash + TRIAL_DELAY
    }
}

/// What is thought of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
    /// Nothing is known against it.
    Clear,
    /// Replicas have ended under it that nothing else explains.
    Suspect {
        /// So many.
        crashes: usize,
    },
    /// It is not sent to any replica.
    Quarantined(QuarantinePeriod),
}

/// The statuses of all contents that were there when a replica ended; a snapshot for the request path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ContentStatuses {
    known: HashMap<ContentId, ContentStatus>,
}

impl ContentStatuses {
    /// Judges all contents by their crashes.
    ///
    /// The content with the most crashes explains them; what else was there is a bystander, and its other crashes count alone. So a
    /// harmless request is acquitted by the one to blame, not by its luck.
    pub fn evaluate(crashes: &BTreeMap<ContentId, Vec<Crash>>) -> Self {
        let mut order: Vec<(&ContentId, &Vec<Crash>)> = crashes.iter().collect();
        // Not by their dates, which daemons see differently: all must hold back the same.
        order.sort_by_key(|(content, crashes)| (std::cmp::Reverse(crashes.len()), **content));
        let mut explained: HashSet<ReplicaInstance> = HashSet::new();
        let mut known = HashMap::new();
        for (content, crashes) in order {
            let fresh = crashes
                .iter()
                .filter(|crash| !explained.contains(&crash.replica))
                .count();
            if fresh >= CRASHES_TO_QUARANTINE {
                explained.extend(crashes.iter().map(|crash| crash.replica));
                known.insert(
                    *content,
                    ContentStatus::Quarantined(quarantine_period(crashes)),
                );
            } else if fresh > 0 {
                known.insert(*content, ContentStatus::Suspect { crashes: fresh });
            }
        }
        Self { known }
    }

    /// What is thought of a content now.
    pub fn of(&self, content: ContentId, now: Instant) -> ContentStatus {
        match self.known.get(&content) {
            None => ContentStatus::Clear,
            Some(ContentStatus::Quarantined(hold)) if now >= hold.until => ContentStatus::Suspect {
                crashes: hold.crashes,
            },
            Some(standing) => *standing,
        }
    }

    /// True if nothing is known against any content.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What is held back.
    pub fn quarantined(&self) -> impl Iterator<Item = (ContentId, QuarantinePeriod)> {
        self.known
            .iter()
            .filter_map(|(content, standing)| match standing {
                ContentStatus::Quarantined(hold) => Some((*content, *hold)),
                ContentStatus::Clear | ContentStatus::Suspect { .. } => None,
            })
    }

    /// True if the content is held back, or was until its time was over.
    pub fn is_cause(&self, content: ContentId) -> bool {
        matches!(
            self.known.get(&content),
            Some(ContentStatus::Quarantined(_))
        )
    }
}

fn quarantine_period(crashes: &[Crash]) -> QuarantinePeriod {
    let times = || crashes.iter().map(|crash| crash.at);
    // Judged only with crashes; the fallback is never taken.
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
