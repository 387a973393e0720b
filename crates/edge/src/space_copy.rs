//! A copy of a table space: what a whole read or a page of changes does to it. Pure.

use std::collections::HashMap;

use bytes::Bytes;
use harrierward_external::{ChangePage, Row, SpaceSnapshot};
use tokio::time::Instant;

/// What changed in the copy.
#[derive(Debug, Clone, Default)]
pub struct SpaceUpdate {
    /// Rows written, with their revisions.
    pub written: Vec<Row>,
    /// Keys of rows that are gone, those written before among them.
    pub removed: Vec<String>,
    /// When the question was sent whose answer this is: the copy is no older.
    pub as_of: Option<Instant>,
    /// The store's steady clock, milliseconds.
    pub store_time_ms: u64,
    /// Revision of the read of all rows that this follows from; `None` for changes.
    pub complete_at: Option<u64>,
    /// Newest revision of the store that this tells of.
    pub revision: u64,
}

/// The copy: pure, so that it can be tested without a store.
#[derive(Debug, Default)]
pub struct SpaceCopy {
    revisions: HashMap<String, u64>,
    revision: u64,
}

impl SpaceCopy {
    /// Revision to ask after.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a whole read. A read older than what is known changes nothing.
    pub fn take_snapshot(&mut self, snapshot: SpaceSnapshot) -> Option<SpaceUpdate> {
        if snapshot.revision < self.revision {
            return None;
        }
        let mut update = SpaceUpdate {
            store_time_ms: snapshot.store_time_ms,
            complete_at: Some(snapshot.revision),
            revision: snapshot.revision,
            ..SpaceUpdate::default()
        };
        let mut revisions = HashMap::new();
        for row in snapshot.rows {
            let known = self.revisions.get(&row.key).copied().unwrap_or_default();
            revisions.insert(row.key.clone(), row.revision.max(known));
            if row.revision > known {
                update.written.push(row);
            }
        }
        for (key, known) in &self.revisions {
            if revisions.contains_key(key) {
                continue;
            }
            // A read is as old as its oldest page: the one before may hold rows that were written after this one.
            if *known > snapshot.revision {
                revisions.insert(key.clone(), *known);
            } else {
                update.removed.push(key.clone());
            }
        }
        self.revisions = revisions;
        self.revision = snapshot.revision;
        Some(update)
    }

    /// Takes changes that follow the present revision.
    pub fn take_changes(&mut self, page: ChangePage) -> SpaceUpdate {
        let mut update = SpaceUpdate {
            store_time_ms: page.store_time_ms,
            revision: page.revision,
            ..SpaceUpdate::default()
        };
        for change in page.changes {
            let known = self.revisions.get(&change.key).copied().unwrap_or_default();
            if change.revision <= known {
                continue;
            }
            match change.value {
                Some(value) => {
                    self.revisions.insert(change.key.clone(), change.revision);
                    // A row that is back is not among those that are gone at the end of the page.
                    update.removed.retain(|key| *key != change.key);
                    update.written.push(row(change.key, value, change.revision));
                }
                None => {
                    self.revisions.remove(&change.key);
                    update.removed.push(change.key);
                }
            }
        }
        self.revision = self.revision.max(page.revision);
        update
    }
}

fn row(key: String, value: Bytes, revision: u64) -> Row {
    Row {
        key,
        value,
        revision,
    }
}

impl SpaceUpdate {
    /// True if nothing changed.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}
