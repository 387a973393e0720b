//! Which of the contents that were there when replicas ended is to blame, and for how long it is held back.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::content::ContentId;
use crate::ledger::{End, ReplicaStart};

/// Ends that no other content explains from which on a content is held back. Two are not rare for a harmless request: what
/// ran beside the one to blame is sent on at the same moment, and may meet it again.
pub const ENDS_TO_HOLD: usize = 3;

/// How long a content is held back after its last end: replicas' software is mended in minutes at the least.
const FIRST_HOLD: Duration = Duration::from_secs(600);

/// Most times that the hold doubles, once for each further end: 5 hours 20 minutes at the longest.
const MOST_DOUBLINGS: usize = 5;

/// Time after the third end after which an item may run once more: one that was there by chance is done by it, at the price of
/// one more replica for one that was not. Three retries are allowed in all.
const TRIAL_AFTER: Duration = Duration::from_secs(5);

/// Why a content is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Replicas that ended under it.
    pub ends: usize,
    /// First of these ends.
    pub since: Instant,
    /// Last of these ends.
    pub last_end: Instant,
    /// When it may run again.
    pub until: Instant,
}

impl Hold {
    /// True if an item of this content may run once, to show whether it was there by chance.
    pub fn allows_trial(&self, now: Instant) -> bool {
        self.ends == ENDS_TO_HOLD && now >= self.last_end + TRIAL_AFTER
    }
}

/// What is thought of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clear,
    /// Replicas have ended under it that nothing else explains.
    Suspect {
        /// So many.
        ends: usize,
    },
    /// It is not sent to any replica.
    Held(Hold),
}

/// The standings of all contents that were there when a replica ended; a snapshot for the request path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standings {
    known: HashMap<ContentId, Standing>,
}

impl Standings {
    /// Judges all contents by their ends.
    ///
    /// The content with the most ends explains them; what else was there is a bystander, and its other ends count alone. So a
    /// harmless request is acquitted by the one to blame, not by its luck.
    pub fn judge(ends: &BTreeMap<ContentId, Vec<End>>) -> Self {
        let mut order: Vec<(&ContentId, &Vec<End>)> = ends.iter().collect();
        // Not by their dates, which daemons see differently: all must hold back the same.
        order.sort_by_key(|(content, ends)| (std::cmp::Reverse(ends.len()), **content));
        let mut explained: HashSet<ReplicaStart> = HashSet::new();
        let mut known = HashMap::new();
        for (content, ends) in order {
            let fresh = ends
                .iter()
                .filter(|end| !explained.contains(&end.replica))
                .count();
            if fresh >= ENDS_TO_HOLD {
                explained.extend(ends.iter().map(|end| end.replica));
                known.insert(*content, Standing::Held(hold_of(ends)));
            } else if fresh > 0 {
                known.insert(*content, Standing::Suspect { ends: fresh });
            }
        }
        Self { known }
    }

    /// What is thought of a content now.
    pub fn of(&self, content: ContentId, now: Instant) -> Standing {
        match self.known.get(&content) {
            None => Standing::Clear,
            Some(Standing::Held(hold)) if now >= hold.until => {
                Standing::Suspect { ends: hold.ends }
            }
            Some(standing) => *standing,
        }
    }

    /// True if nothing is known against any content.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What is held back.
    pub fn held(&self) -> impl Iterator<Item = (ContentId, Hold)> {
        self.known
            .iter()
            .filter_map(|(content, standing)| match standing {
                Standing::Held(hold) => Some((*content, *hold)),
                Standing::Clear | Standing::Suspect { .. } => None,
            })
    }

    /// True if the content is held back, or was until its time was over.
    pub fn is_to_blame(&self, content: ContentId) -> bool {
        matches!(self.known.get(&content), Some(Standing::Held(_)))
    }
}

fn hold_of(ends: &[End]) -> Hold {
    let times = || ends.iter().map(|end| end.at);
    // Judged only with ends; the fallback is never taken.
    let since = times().min().unwrap_or_else(Instant::now);
    let last_end = times().max().unwrap_or(since);
    let doublings = ends.len().saturating_sub(ENDS_TO_HOLD).min(MOST_DOUBLINGS);
    Hold {
        ends: ends.len(),
        since,
        last_end,
        until: last_end + FIRST_HOLD * (1 << doublings),
    }
}
