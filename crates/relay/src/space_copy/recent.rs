//! The latest changes of a copy, for incremental replies to peers and for the digest at an earlier revision.

use std::collections::{HashMap, HashSet, VecDeque};

/// Minimum number of changes that are kept.
const MIN_CHANGES: usize = 1_024;

/// Changes are kept up to one `ROWS_DIVISOR`th of the rows; a peer that lacks more gets the full space.
const ROWS_DIVISOR: usize = 4;

/// A row that was recently written or removed.
#[derive(Debug)]
pub struct RecentChange {
    /// Key of the row.
    pub key: String,
    /// Revision of the copy after the change. It exceeds `changed_at` if the change was received late.
    pub revision: u64,
    /// Revision at which the row changed; an upper bound for a row that a full read or an audit found to be gone.
    pub changed_at: u64,
    /// Exclusive or of the row's digests before and after the change.
    pub digest_delta: u64,
    /// True if the row was removed.
    pub is_removal: bool,
}

/// The changes in the order in which they were applied.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<RecentChange>,
    /// All changes after this revision are kept.
    complete_after: u64,
    /// Revisions at which rows were removed, as long as the removal is the latest change of the row and kept. Older
    /// states of these rows, from a source that is behind, must not bring them back.
    tombstones: HashMap<String, u64>,
}

impl RecentChanges {
    /// Forgets all changes of a copy with the revision `revision`.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.tombstones.clear();
        self.complete_after = revision;
    }

    /// Adds a change of a copy that has `rows` rows; the oldest ones are forgotten.
    pub fn push(&mut self, change: RecentChange, rows: usize) {
        if change.is_removal {
            self.tombstones
                .insert(change.key.clone(), change.changed_at);
        } else {
            self.tombstones.remove(&change.key);
        }
        self.changes.push_back(change);
        while self.changes.len() > MIN_CHANGES.max(rows / ROWS_DIVISOR) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.changes.pop_front() else {
            return;
        };
        self.complete_after = self.complete_after.max(oldest.revision);
        if self.tombstones.get(&oldest.key) == Some(&oldest.changed_at) {
            self.tombstones.remove(&oldest.key);
        }
    }

    /// Returns the revision at which a row was removed; 0 if that isn't known.
    pub fn removed_at(&self, key: &str) -> u64 {
        self.tombstones.get(key).copied().unwrap_or(0)
    }

    /// True if the changes of a copy after the revision `after` are all kept.
    pub fn reach_back_to(&self, after: u64) -> bool {
        after >= self.complete_after
    }

    /// True if any change was applied after the copy had the revision `after`.
    pub fn any_after(&self, after: u64) -> bool {
        self.changes.iter().any(|change| change.revision > after)
    }

    /// Returns the latest change of each row that changed, or was applied, after the revision `after`.
    pub fn latest_after(&self, after: u64) -> impl Iterator<Item = &RecentChange> {
        let mut seen = HashSet::new();
        let newer = self.changes.iter().rev();
        let newer = newer.filter(move |one| one.revision > after || one.changed_at > after);
        newer.filter(move |change| seen.insert(change.key.as_str()))
    }

    /// Returns what distinguishes the digest at `revision` from the present one; `None` if not all later changes are
    /// kept.
    pub fn digest_delta_since(&self, revision: u64) -> Option<u64> {
        let later = self.changes.iter();
        let later = later.filter(|change| change.changed_at > revision);
        let delta = later.fold(0, |delta, change| delta ^ change.digest_delta);
        self.reach_back_to(revision).then_some(delta)
    }
}
