//! The effect of rows that were read on a copy.

use std::collections::HashSet;
use std::sync::Arc;

use harrierward_external::{FreshnessProof, Row};
use tokio::time::Instant;

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
    pub(crate) fn of(proof: Option<&FreshnessProof>) -> Self {
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

/// How rows were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reading {
    /// As changes after the copy's revision.
    #[default]
    Feed,
    /// All rows.
    FullRead,
    /// As rows that an audit found changed in the store.
    Audit,
    /// As rows that an audited peer holds and this copy lacked.
    Repair,
}

impl Reading {
    /// Returns the name in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Feed => "feed",
            Self::FullRead => "full read",
            Self::Audit => "audit",
            Self::Repair => "repair",
        }
    }
}

/// The effect of rows that were read on the copy.
#[derive(Debug, Clone, Default)]
pub struct SpaceUpdate {
    /// Rows written, with their revisions; none of them is among the removed ones.
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
    /// How the rows were read.
    pub reading: Reading,
    /// Revision of the copy before the update. A changed row whose revision isn't higher was omitted by the feed.
    pub revision_before: u64,
    /// Time of the copy's proof before the update.
    pub as_of_before: Option<Instant>,
}

impl SpaceUpdate {
    /// True if nothing changed.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }

    /// Forgets an earlier change of a row: only the last one counts.
    pub(crate) fn forget(&mut self, key: &str) {
        self.written.retain(|row| row.key != key);
        self.removed.retain(|removed| removed != key);
    }

    /// Adds the rows of an update that was applied after this one.
    pub(crate) fn append(&mut self, later: SpaceUpdate) {
        let written = later.written.iter().map(|row| row.key.as_str());
        let changed: HashSet<&str> = written
            .chain(later.removed.iter().map(String::as_str))
            .collect();
        self.written
            .retain(|row| !changed.contains(row.key.as_str()));
        self.removed.retain(|key| !changed.contains(key.as_str()));
        self.written.extend(later.written);
        self.removed.extend(later.removed);
    }

    /// Returns the number of written rows that the feed had omitted.
    pub fn omitted(&self) -> usize {
        let written = self.written.iter();
        written.filter(|row| self.is_omitted(row.revision)).count()
    }

    /// True if the feed had omitted a change with this revision: the copy had reached it or a later one before.
    pub fn is_omitted(&self, revision: u64) -> bool {
        self.as_of_before.is_some() && revision <= self.revision_before
    }
}
