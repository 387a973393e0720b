//! A copy of a table space: merges full reads and pages of changes, and builds replies to peers. Does no I/O.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use harrierward_external::{ChangePage, FreshnessProof, Row, RowChange, SpaceSnapshot};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum number of recent changes that are kept for incremental replies.
const MIN_RECENT: usize = 1_024;

/// Recent changes are kept up to one `RECENT_DIVISOR`th of the rows; a peer that lacks more gets the full space.
const RECENT_DIVISOR: usize = 4;

/// Where rows were read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum UpdateSource {
    /// At the store itself.
    #[default]
    Store,
    /// From the copy of the peer with this id.
    Peer(Arc<str>),
}

impl UpdateSource {
    fn of(proof: Option<&FreshnessProof>) -> Self {
        proof.map_or(Self::Store, |proof| Self::Peer(proof.peer.clone()))
    }

    /// Returns the name in the decision log: `store`, or the id of the peer.
    pub fn name(&self) -> &str {
        match self {
            Self::Store => "store",
            Self::Peer(id) => id,
        }
    }
}

/// The effect of a full read or a page of changes on the copy.
#[derive(Debug, Clone, Default)]
pub struct SpaceUpdate {
    /// Rows written, with their revisions.
    pub written: Vec<Row>,
    /// Keys of removed rows.
    pub removed: Vec<String>,
    /// Time of the proof: the copy holds everything that the store had acknowledged by then, except for changes that
    /// its feed omitted. `None` if unknown.
    pub as_of: Option<Instant>,
    /// The store's monotonic clock at the read, in milliseconds.
    pub store_time_ms: u64,
    /// Revision of the full read; `None` for changes.
    pub complete_at: Option<u64>,
    /// Revision of the store up to which the update is complete.
    pub revision: u64,
    /// True if the replying peer holds other rows at the same revision: one of the copies has missed a change.
    pub differs: bool,
    /// Where the rows were read.
    pub source: UpdateSource,
    /// Revision of the copy before the update. A changed row whose revision isn't higher was omitted by the feed.
    pub revision_before: u64,
    /// Time of the copy's proof before the update.
    pub as_of_before: Option<Instant>,
}

#[derive(Debug)]
struct StoredRow {
    value: Bytes,
    revision: u64,
}

/// A row that was recently written or removed.
#[derive(Debug)]
struct RecentChange {
    key: String,
    /// Revision of the copy after the change. It exceeds the row's own revision if the change was received late.
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
    /// Changes in the order in which they were applied.
    recent: VecDeque<RecentChange>,
    /// `recent` covers all changes after this revision.
    recent_after: u64,
    digest: u64,
    as_of: Option<Instant>,
    store_time_ms: u64,
}

fn row_digest(key: &str, revision: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), revision)
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

    fn row_revision(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.revision)
    }

    fn insert(&mut self, row: &Row) {
        let stored = StoredRow {
            value: row.value.clone(),
            revision: row.revision,
        };
        self.digest ^= row_digest(&row.key, row.revision);
        if let Some(before) = self.rows.insert(row.key.clone(), stored) {
            self.digest ^= row_digest(&row.key, before.revision);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(row) = self.rows.remove(key) {
            self.digest ^= row_digest(key, row.revision);
        }
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
            source: UpdateSource::of(snapshot.proof.as_ref()),
            revision_before: self.revision,
            as_of_before: self.as_of,
            ..SpaceUpdate::default()
        };
        let read: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        // A read is as old as its oldest page, so the copy may hold newer rows that the read lacks.
        let is_removed =
            |key: &str, row: &StoredRow| row.revision <= snapshot.revision && !read.contains(key);
        let removed = self.rows.iter().filter(|(key, row)| is_removed(key, row));
        update.removed = removed.map(|(key, _)| key.clone()).collect();
        for row in snapshot.rows {
            if row.revision > self.row_revision(&row.key) {
                update.written.push(row);
            }
        }
        self.revision = snapshot.revision;
        self.apply(&update);
        if is_first {
            self.recent.clear();
            self.recent_after = self.revision;
        }
        Some(update)
    }

    /// Applies changes that follow the copy's revision.
    pub fn apply_changes(&mut self, page: ChangePage) -> SpaceUpdate {
        let mut update = SpaceUpdate {
            store_time_ms: page.store_time_ms,
            revision: page.revision,
            as_of: page.proof.as_ref().map(|proof| proof.as_of),
            source: UpdateSource::of(page.proof.as_ref()),
            revision_before: self.revision,
            as_of_before: self.as_of,
            ..SpaceUpdate::default()
        };
        let mut page_revisions: HashMap<String, u64> = HashMap::new();
        for change in page.changes {
            let in_page = page_revisions.get(&change.key).copied();
            let row_revision = in_page.unwrap_or_else(|| self.row_revision(&change.key));
            if change.revision <= row_revision {
                continue;
            }
            // Only the last change of a row in the page counts.
            update.removed.retain(|key| *key != change.key);
            page_revisions.insert(change.key.clone(), change.revision);
            match change.value {
                Some(value) => update.written.push(Row {
                    key: change.key,
                    value,
                    revision: change.revision,
                }),
                None => update.removed.push(change.key),
            }
        }
        self.revision = self.revision.max(page.revision);
        self.apply(&update);
        update.differs = page
            .proof
            .is_some_and(|proof| self.differs(page.revision, &proof));
        update
    }

    /// True if a peer's copy of the same revision has another digest.
    fn differs(&self, revision: u64, proof: &FreshnessProof) -> bool {
        revision == self.revision && proof.digest != self.digest
    }

    fn apply(&mut self, update: &SpaceUpdate) {
        for row in &update.written {
            self.insert(row);
            self.remember(&row.key, row.revision.max(update.revision));
        }
        for key in &update.removed {
            self.remove(key);
            self.remember(key, update.revision);
        }
        let max_recent = MIN_RECENT.max(self.rows.len() / RECENT_DIVISOR);
        while self.recent.len() > max_recent {
            let oldest = self.recent.pop_front();
            let oldest = oldest.map_or(0, |change| change.revision);
            self.recent_after = self.recent_after.max(oldest);
        }
    }

    fn remember(&mut self, key: &str, revision: u64) {
        self.recent.push_back(RecentChange {
            key: key.to_owned(),
            revision,
        });
    }

    /// True if there are changes for a peer whose copy has the revision `after`.
    pub fn has_updates(&self, after: u64) -> bool {
        after < self.recent_after || self.recent.iter().any(|change| change.revision > after)
    }

    /// Returns what a peer with a copy of the revision `after` lacks; 0 for a peer without a copy.
    pub fn reply(&self, after: u64) -> CopyReply {
        let is_full = after < self.recent_after;
        let changes = if is_full {
            let all = self.rows.keys();
            all.map(|key| self.change(key, self.revision)).collect()
        } else {
            self.changes_after(after)
        };
        CopyReply {
            changes,
            is_full,
            revision: self.revision,
            digest: self.digest,
            store_time_ms: self.store_time_ms,
        }
    }

    fn changes_after(&self, after: u64) -> Vec<RowChange> {
        let newer = self.recent.iter().rev();
        let newer = newer.filter(|change| change.revision > after);
        let mut seen = HashSet::new();
        let latest = newer.filter(|change| seen.insert(change.key.as_str()));
        latest
            .map(|change| self.change(&change.key, change.revision))
            .collect()
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
}

impl SpaceUpdate {
    /// True if nothing changed.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }

    /// Returns the number of written rows that the feed had omitted.
    pub fn omitted(&self) -> usize {
        let written = self.written.iter();
        written.filter(|row| self.is_omitted(row.revision)).count()
    }

    /// True if the feed had omitted a change with this revision: the copy was told of a later one before.
    pub fn is_omitted(&self, revision: u64) -> bool {
        self.as_of_before.is_some() && revision <= self.revision_before
    }

    /// Returns how the rows were read, as in the decision log: `feed`, or `full read`.
    pub fn reading(&self) -> &'static str {
        if self.complete_at.is_some() {
            "full read"
        } else {
            "feed"
        }
    }
}
