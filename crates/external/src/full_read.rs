//! Reading a whole space page by page, so that a page which the store refuses costs that page and not all before it.
//!
//! Why: after a loss of all daemons each one reads everything. Where the store takes fewer calls than that a second,
//! some page of every read is refused, and reads that begin anew each time hardly ever end (300 daemons before 3,000
//! replicas: not within 30 s).

use crate::watch::{SpacePage, SpaceSnapshot};

/// Next page to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageStart<'a> {
    /// Partition.
    pub partition: &'a str,
    /// Least key within the partition.
    pub from: &'a str,
    /// Most rows wanted; the store may give fewer.
    pub max_rows: usize,
}

/// A whole read under way.
#[derive(Debug, Clone, Default)]
pub struct FullRead {
    partitions: Vec<String>,
    position: usize,
    from: String,
    snapshot: SpaceSnapshot,
    pages: usize,
}

impl FullRead {
    /// A read of these partitions.
    pub fn new(partitions: &[String]) -> Self {
        Self {
            partitions: partitions.to_vec(),
            ..Self::default()
        }
    }

    /// The page to read next; `None` once all were read.
    pub fn next_page(&self) -> Option<PageStart<'_>> {
        let partition = self.partitions.get(self.position)?;
        Some(PageStart {
            partition,
            from: &self.from,
            max_rows: usize::MAX,
        })
    }

    /// Takes the page that was to be read next.
    pub fn take(&mut self, page: SpacePage) {
        self.pages += 1;
        if page.proof.is_some() {
            self.take_whole(page);
            return;
        }
        // The snapshot is as old as its oldest page; changes after that follow from the feed.
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

    /// Takes a peer's answer, which holds all partitions: pages that were read before are not needed.
    fn take_whole(&mut self, page: SpacePage) {
        self.position = self.partitions.len();
        self.snapshot = SpaceSnapshot {
            rows: page.rows,
            revision: page.revision,
            store_time_ms: page.store_time_ms,
            proof: page.proof,
        };
    }

    /// Pages read so far.
    pub fn pages(&self) -> usize {
        self.pages
    }

    /// What was read.
    pub fn into_snapshot(self) -> SpaceSnapshot {
        self.snapshot
    }
}
