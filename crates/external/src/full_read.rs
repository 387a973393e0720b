//! Full read of a space page by page. A page that the store refuses is retried alone: when all daemons read at once,
//! reads that restart from the first page would rarely complete.

use crate::watch::{SpacePage, SpaceSnapshot};

/// Position and size of the next page to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageStart<'a> {
    /// Name of the partition.
    pub partition: &'a str,
    /// First key to return, inclusive; empty for the start of the partition.
    pub from: &'a str,
    /// Upper bound on the rows of the page; the store may return fewer.
    pub max_rows: usize,
}

/// Progress of a full read.
#[derive(Debug, Clone, Default)]
pub struct FullRead {
    partitions: Vec<String>,
    position: usize,
    from: String,
    snapshot: SpaceSnapshot,
    pages: usize,
}

impl FullRead {
    /// Starts a read of the given partitions, in their order.
    pub fn new(partitions: &[String]) -> Self {
        Self {
            partitions: partitions.to_vec(),
            ..Self::default()
        }
    }

    /// Returns the page to read next; `None` once all partitions are read.
    pub fn next_page(&self) -> Option<PageStart<'_>> {
        let partition = self.partitions.get(self.position)?;
        Some(PageStart {
            partition,
            from: &self.from,
            max_rows: usize::MAX,
        })
    }

    /// Adds the page requested by [`Self::next_page`].
    pub fn take(&mut self, page: SpacePage) {
        self.pages += 1;
        if page.proof.is_some() {
            self.take_full_copy(page);
            return;
        }
        // The snapshot is as old as its oldest page; the watch delivers later changes.
        self.snapshot.revision = if self.pages == 1 {
            page.revision
        } else {
            self.snapshot.revision.min(page.revision)
        };
        self.snapshot.store_time_ms = self.snapshot.store_time_ms.max(page.store_time_ms);
        self.snapshot.rows.extend(page.rows);
        match page.next {
            Some(next) => self.from = next,
            None => {
                self.from.clear();
                self.position += 1;
            }
        }
    }

    /// Completes the read with a peer's copy, which holds all partitions and replaces earlier pages.
    fn take_full_copy(&mut self, page: SpacePage) {
        self.position = self.partitions.len();
        self.snapshot = SpaceSnapshot {
            rows: page.rows,
            revision: page.revision,
            store_time_ms: page.store_time_ms,
            proof: page.proof,
        };
    }

    /// Returns the number of pages read so far.
    pub fn pages(&self) -> usize {
        self.pages
    }

    /// Returns the rows read so far; complete once [`Self::next_page`] returns `None`.
    pub fn into_snapshot(self) -> SpaceSnapshot {
        self.snapshot
    }
}
