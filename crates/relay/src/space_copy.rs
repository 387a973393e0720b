//! A copy of a table space: merges full reads, pages of changes and audits, and builds replies to peers. Does no I/O.

mod recent;

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use harrierward_external::{ChangePage, FreshnessProof, Row, RowChange, RowVersion, SpaceSnapshot};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::audit::{AuditComparison, AuditStatement};
use crate::space_update::{Reading, SpaceUpdate, UpdateSource};

use recent::{RecentChange, RecentChanges};

#[derive(Debug)]
struct StoredRow {
    value: Bytes,
    revision: u64,
}

/// The content of a reply to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CopyReply {
    /// The changes, or all rows.
    pub changes: Vec<RowChange>,
    /// True if `changes` are all rows; the requester must remove any other rows.
    pub is_full: bool,
    /// Revision of the sender's copy.
    pub revision: u64,
    /// Digest of the keys and revisions of the sender's rows.
    pub digest: u64,
    /// The store's monotonic clock at the time of the copy's proof, in milliseconds.
    pub store_time_ms: u64,
}

/// Rows of a space with the recent changes, a digest, and the freshness proof.
#[derive(Debug, Default)]
pub struct SpaceCopy {
    rows: HashMap<String, StoredRow>,
    revision: u64,
    /// Highest revision at which any row is known to have changed.
    changed_at: u64,
    recent: RecentChanges,
    digest: u64,
    as_of: Option<Instant>,
    store_time_ms: u64,
}

fn row_digest(key: &str, revision: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), revision)
}

/// Returns the revision of the copy after a change. One that was missing isn't ahead of the copy: followers would ask
/// for it again and again until the copy's revision reaches it.
fn revision_of(update: &SpaceUpdate, changed_at: u64) -> u64 {
    match update.reading {
        Reading::Feed | Reading::FullRead => update.revision.max(changed_at),
        Reading::Audit | Reading::Repair => update.revision,
    }
}

impl SpaceCopy {
    /// Returns the revision after which changes must be requested.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the digest of the keys and revisions of all rows.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of rows.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Returns the time of the proof, as in [`SpaceUpdate::as_of`]. `None` before the first full read.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Adopts the proof of an applied update if it is newer.
    pub fn prove(&mut self, update: &SpaceUpdate) {
        if update.as_of > self.as_of {
            self.as_of = update.as_of;
            self.store_time_ms = update.store_time_ms;
        }
    }

    /// Returns the revision at which a row changed last, as far as known: 0 for an unknown row.
    fn row_revision(&self, key: &str) -> u64 {
        let stored = self.rows.get(key).map(|row| row.revision);
        stored.unwrap_or_else(|| self.recent.removed_at(key))
    }

    /// Applies a full read; `None`, without effect, if it is older than the copy.
    pub fn apply_snapshot(&mut self, snapshot: SpaceSnapshot) -> Option<SpaceUpdate> {
        if snapshot.revision < self.revision {
            return None;
        }
        let is_first = self.as_of.is_none();
        let mut update = SpaceUpdate {
            store_time_ms: snapshot.store_time_ms,
            complete_at: Some(snapshot.revision),
            revision: snapshot.revision,
            as_of: snapshot.proof.as_ref().map(|proof| proof.as_of),
            reading: Reading::FullRead,
            ..self.update_from(UpdateSource::of(snapshot.proof.as_ref()))
        };
        let read: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        // A read is as old as its oldest page, so the copy may hold newer rows that the read lacks.
        let is_removed =
            |key: &str, row: &StoredRow| row.revision <= snapshot.revision && !read.contains(key);
        let removed = self.rows.iter().filter(|(key, row)| is_removed(key, row));
        update.removed = removed.map(|(key, _)| key.clone()).collect();
        for row in snapshot.rows {
            // A row that is listed at this revision wasn't removed before it.
            let removed_at = self.recent.removed_at(&row.key);
            let is_removed_later = removed_at > snapshot.revision;
            let stored = self.rows.get(&row.key).map_or(0, |row| row.revision);
            if row.revision > stored && !is_removed_later {
                update.written.push(row);
            }
        }
        self.revision = snapshot.revision;
        self.apply(&update, |_| snapshot.revision);
        if is_first {
            self.recent.restart(self.revision);
        }
        Some(update)
    }

    /// Applies changes that follow the copy's revision.
    pub fn apply_changes(&mut self, page: ChangePage) -> SpaceUpdate {
        let mut update = SpaceUpdate {
            store_time_ms: page.store_time_ms,
            revision: page.revision,
            as_of: page.proof.as_ref().map(|proof| proof.as_of),
            ..self.update_from(UpdateSource::of(page.proof.as_ref()))
        };
        let removed_at = self.merge(page.changes, &mut update);
        self.revision = self.revision.max(page.revision);
        self.apply(&update, |key| removed_at[key]);
        update.differs = page
            .proof
            .is_some_and(|proof| self.differs(page.revision, &proof));
        update
    }

    /// Applies changes that this copy lacks although its revision may be higher: those that an audit found, or that
    /// an audited peer holds. The copy's revision stays, since other changes up to theirs may be missing.
    pub fn apply_missing(
        &mut self,
        changes: Vec<RowChange>,
        reading: Reading,
        source: UpdateSource,
    ) -> SpaceUpdate {
        let mut update = SpaceUpdate {
            revision: self.revision,
            reading,
            ..self.update_from(source)
        };
        let removed_at = self.merge(changes, &mut update);
        self.apply(&update, |key| removed_at[key]);
        update
    }

    fn update_from(&self, source: UpdateSource) -> SpaceUpdate {
        SpaceUpdate {
            source,
            revision_before: self.revision,
            as_of_before: self.as_of,
            ..SpaceUpdate::default()
        }
    }

    /// Adds those changes to `update` that are newer than the copy. Returns the revisions of removed rows.
    fn merge(&self, changes: Vec<RowChange>, update: &mut SpaceUpdate) -> HashMap<String, u64> {
        let mut merged: HashMap<String, u64> = HashMap::new();
        for change in changes {
            let earlier = merged.get(&change.key).copied();
            let known = earlier.unwrap_or_else(|| self.row_revision(&change.key));
            if change.revision <= known {
                continue;
            }
            if earlier.is_some() {
                update.forget(&change.key);
            }
            merged.insert(change.key.clone(), change.revision);
            match change.value {
                Some(value) => update.written.push(Row {
                    key: change.key,
                    value,
                    revision: change.revision,
                }),
                None => update.removed.push(change.key),
            }
        }
        merged
    }

    /// True if a peer's copy of the same revision has another digest.
    fn differs(&self, revision: u64, proof: &FreshnessProof) -> bool {
        revision == self.revision && proof.digest != self.digest
    }

    fn apply(&mut self, update: &SpaceUpdate, removed_at: impl Fn(&str) -> u64) {
        for row in &update.written {
            let digest_delta = self.insert(row);
            let change = RecentChange {
                key: row.key.clone(),
                revision: revision_of(update, row.revision),
                changed_at: row.revision,
                digest_delta,
                is_removal: false,
            };
            self.remember(change);
        }
        for key in &update.removed {
            let digest_delta = self.remove(key);
            let changed_at = removed_at(key);
            let change = RecentChange {
                key: key.clone(),
                revision: revision_of(update, changed_at),
                changed_at,
                digest_delta,
                is_removal: true,
            };
            self.remember(change);
        }
    }

    /// Stores a row; returns the change of the digest.
    fn insert(&mut self, row: &Row) -> u64 {
        let stored = StoredRow {
            value: row.value.clone(),
            revision: row.revision,
        };
        let before = self.rows.insert(row.key.clone(), stored);
        let before = before.map_or(0, |before| row_digest(&row.key, before.revision));
        before ^ row_digest(&row.key, row.revision)
    }

    /// Removes a row; returns the change of the digest.
    fn remove(&mut self, key: &str) -> u64 {
        let before = self.rows.remove(key);
        before.map_or(0, |before| row_digest(key, before.revision))
    }

    fn remember(&mut self, change: RecentChange) {
        self.digest ^= change.digest_delta;
        self.changed_at = self.changed_at.max(change.changed_at);
        self.recent.push(change, self.rows.len());
    }

    /// True if there are changes for a peer whose copy has the revision `after`.
    pub fn has_updates(&self, after: u64) -> bool {
        !self.recent.reach_back_to(after) || self.recent.any_after(after)
    }

    /// Returns what a peer with a copy of the revision `after` lacks; 0 for a peer without a copy.
    pub fn reply(&self, after: u64) -> CopyReply {
        let is_full = !self.recent.reach_back_to(after);
        let changes = if is_full {
            let all = self.rows.keys();
            all.map(|key| self.change(key, self.revision)).collect()
        } else {
            let latest = self.recent.latest_after(after);
            latest
                .map(|change| self.change(&change.key, change.changed_at))
                .collect()
        };
        CopyReply {
            changes,
            is_full,
            revision: self.revision,
            digest: self.digest,
            store_time_ms: self.store_time_ms,
        }
    }

    /// Returns the current state of a row as a change; `removed_at` is the revision if it was removed.
    fn change(&self, key: &str, removed_at: u64) -> RowChange {
        let row = self.rows.get(key);
        RowChange {
            key: key.to_owned(),
            revision: row.map_or(removed_at, |row| row.revision),
            value: row.map(|row| row.value.clone()),
        }
    }

    /// Returns the rows to be audited: those of the copy, and those of `expected` that it lacks.
    pub fn versions(&self, expected: &[String]) -> Vec<RowVersion> {
        let held = self.rows.iter().map(|(key, row)| RowVersion {
            key: key.clone(),
            revision: row.revision,
        });
        let missing = expected.iter().filter(|key| !self.rows.contains_key(*key));
        let missing = missing.map(|key| RowVersion {
            key: key.clone(),
            revision: 0,
        });
        held.chain(missing).collect()
    }

    /// Returns the statement of an audit that has found the copy's rows to be current.
    pub fn statement(&self) -> AuditStatement {
        AuditStatement {
            revision: self.revision.max(self.changed_at),
            changed_at: self.changed_at,
            digest: self.digest,
        }
    }

    /// True if the copy holds changes after the state that was audited.
    pub fn is_ahead_of(&self, statement: &AuditStatement) -> bool {
        self.changed_at > statement.revision
    }

    /// Compares the copy with a peer's that was audited; `None` if not all changes since that revision are kept.
    pub fn compare(&self, statement: &AuditStatement) -> Option<AuditComparison> {
        let delta = self.recent.digest_delta_since(statement.revision)?;
        Some(if self.digest ^ delta == statement.digest {
            AuditComparison::Equal
        } else if self.revision < statement.changed_at {
            AuditComparison::Behind
        } else {
            AuditComparison::Incomplete
        })
    }
}
