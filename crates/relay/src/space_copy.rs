//! A copy of a table space: what a whole read or a page of changes does to it, and what it answers to peers. Pure.

use std::collections::{HashMap, HashSet, VecDeque};

use bytes::Bytes;
use harrierward_external::{ChangePage, CopyProof, Row, RowChange, SpaceSnapshot};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Changes that are remembered at least, so that a peer that asks for what is new is not sent the whole space.
const LEAST_RECENT: usize = 1_024;

/// Part of the rows that may have changed since a peer's last question before it is sent the whole space.
const RECENT_PART: usize = 4;

/// What changed in the copy.
#[derive(Debug, Clone, Default)]
pub struct SpaceUpdate {
    /// Rows written, with their revisions.
    pub written: Vec<Row>,
    /// Keys of rows that are gone, those written before among them.
    pub removed: Vec<String>,
    /// The copy holds all that the store had acknowledged by then; `None` if that is not known.
    pub as_of: Option<Instant>,
    /// The store's steady clock, milliseconds.
    pub store_time_ms: u64,
    /// Revision of the read of all rows that this follows from; `None` for changes.
    pub complete_at: Option<u64>,
    /// Newest revision of the store that this tells of.
    pub revision: u64,
    /// The peer that answered holds other rows at the same revision: one of both has missed a change.
    pub differs: bool,
}

#[derive(Debug)]
struct KeptRow {
    value: Bytes,
    revision: u64,
}

/// A row that was written or removed lately.
#[derive(Debug)]
struct RecentChange {
    key: String,
    /// Revision to which the copy was brought by it: a change that was missed before is newer to peers than its row is.
    revision: u64,
}

/// What a copy answers to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpaceAnswer {
    /// The changes, or all rows.
    pub changes: Vec<RowChange>,
    /// `changes` are all rows: what the asker holds besides is gone.
    pub is_whole: bool,
    /// Revision of the copy.
    pub revision: u64,
    /// Digest of the copy.
    pub digest: u64,
    /// The store's steady clock at the copy's proof, milliseconds.
    pub store_time_ms: u64,
}

/// The copy: pure, so that it can be tested without a store.
#[derive(Debug, Default)]
pub struct SpaceCopy {
    rows: HashMap<String, KeptRow>,
    revision: u64,
    /// Changes in the order in which they were taken.
    recent: VecDeque<RecentChange>,
    /// All changes after this revision are in `recent`.
    recent_after: u64,
    digest: u64,
    as_of: Option<Instant>,
    store_time_ms: u64,
}

fn row_digest(key: &str, revision: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), revision)
}

impl SpaceCopy {
    /// Revision to ask after.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Digest of the keys and revisions of all rows.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Rows held.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// The copy holds all that the store had acknowledged by then; `None` before the first whole read.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Takes the proof of an update that was taken.
    pub fn prove(&mut self, update: &SpaceUpdate) {
        if update.as_of > self.as_of {
            self.as_of = update.as_of;
            self.store_time_ms = update.store_time_ms;
        }
    }

    fn known(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.revision)
    }

    fn insert(&mut self, row: &Row) {
        let kept = KeptRow {
            value: row.value.clone(),
            revision: row.revision,
        };
        self.digest ^= row_digest(&row.key, row.revision);
        if let Some(before) = self.rows.insert(row.key.clone(), kept) {
            self.digest ^= row_digest(&row.key, before.revision);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(row) = self.rows.remove(key) {
            self.digest ^= row_digest(key, row.revision);
        }
    }

    /// Takes a whole read. A read older than what is known changes nothing.
    pub fn take_snapshot(&mut self, snapshot: SpaceSnapshot) -> Option<SpaceUpdate> {
        if snapshot.revision < self.revision {
            return None;
        }
        let is_first = self.as_of.is_none();
        let mut update = SpaceUpdate {
            store_time_ms: snapshot.store_time_ms,
            complete_at: Some(snapshot.revision),
            revision: snapshot.revision,
            as_of: snapshot.proof.map(|proof| proof.as_of),
            ..SpaceUpdate::default()
        };
        let read: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        // A read is as old as its oldest page: the one before may hold rows that were written after this one.
        let is_gone =
            |key: &str, row: &KeptRow| row.revision <= snapshot.revision && !read.contains(key);
        let gone = self.rows.iter().filter(|(key, row)| is_gone(key, row));
        update.removed = gone.map(|(key, _)| key.clone()).collect();
        for row in snapshot.rows {
            if row.revision > self.known(&row.key) {
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

    /// Takes changes that follow the present revision.
    pub fn take_changes(&mut self, page: ChangePage) -> SpaceUpdate {
        let mut update = SpaceUpdate {
            store_time_ms: page.store_time_ms,
            revision: page.revision,
            as_of: page.proof.map(|proof| proof.as_of),
            ..SpaceUpdate::default()
        };
        let mut told: HashMap<String, u64> = HashMap::new();
        for change in page.changes {
            let told_before = told.get(&change.key).copied();
            let known = told_before.unwrap_or_else(|| self.known(&change.key));
            if change.revision <= known {
                continue;
            }
            // Only the last word on a row counts at the end of the page.
            update.removed.retain(|key| *key != change.key);
            told.insert(change.key.clone(), change.revision);
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
            .is_some_and(|proof| self.differs(page.revision, proof));
        update
    }

    /// True if a peer's copy of the same revision holds other rows than this one.
    fn differs(&self, revision: u64, proof: CopyProof) -> bool {
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
        let most = LEAST_RECENT.max(self.rows.len() / RECENT_PART);
        while self.recent.len() > most {
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

    /// True if there are changes for a peer whose copy is of the revision `after`.
    pub fn has_news(&self, after: u64) -> bool {
        after < self.recent_after || self.recent.iter().any(|change| change.revision > after)
    }

    /// What a peer lacks whose copy is of the revision `after`; 0 for one that has none.
    pub fn answer(&self, after: u64) -> SpaceAnswer {
        let is_whole = after < self.recent_after;
        let changes = if is_whole {
            let all = self.rows.keys();
            all.map(|key| self.change(key, self.revision)).collect()
        } else {
            self.changes_after(after)
        };
        SpaceAnswer {
            changes,
            is_whole,
            revision: self.revision,
            digest: self.digest,
            store_time_ms: self.store_time_ms,
        }
    }

    fn changes_after(&self, after: u64) -> Vec<RowChange> {
        let newer = self.recent.iter().rev();
        let newer = newer.filter(|change| change.revision > after);
        let mut named = HashSet::new();
        let last_words = newer.filter(|change| named.insert(change.key.as_str()));
        last_words
            .map(|change| self.change(&change.key, change.revision))
            .collect()
    }

    /// What became of a row, if it was removed by the revision `removed_at`.
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
}
