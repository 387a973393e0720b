//! One open job of an owned shard.

use harrierward_wire::{ChunkRow, JobRow, JobState};

use super::chunk::ActiveChunk;
use crate::keys::CHUNK_ITEMS;

/// A chunk row as read from the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredChunk {
    /// Chunk number.
    pub number: u32,
    /// The row.
    pub row: ChunkRow,
    /// The row's revision.
    pub revision: u64,
}

/// A job as read from the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// The job row.
    pub row: JobRow,
    /// The job row's revision.
    pub revision: u64,
    /// Chunk rows that exist; `None` if they were not read, because the job was held already.
    pub chunks: Option<Vec<StoredChunk>>,
}

#[derive(Debug, Clone)]
pub(super) enum ChunkState {
    /// Nothing of it is done or in work.
    Untouched,
    /// In work.
    Active(Box<ActiveChunk>),
    /// All committed.
    Complete { completed: u32, failed: u32 },
}

#[derive(Debug, Clone)]
pub(super) struct JobWork {
    pub row: JobRow,
    pub revision: u64,
    pub chunks: Vec<ChunkState>,
    pub cancelled: bool,
    /// The ending is being written.
    pub ending: bool,
    /// An ending was written or may have been: its counts stand, so nothing more is committed.
    pub closed: bool,
}

impl JobWork {
    pub fn new(row: JobRow, revision: u64, stored_chunks: Vec<StoredChunk>) -> Self {
        let count = row.items.div_ceil(CHUNK_ITEMS) as usize;
        let mut chunks = vec![ChunkState::Untouched; count];
        for stored in stored_chunks {
            let size = chunk_size(row.items, stored.number);
            let Some(slot) = chunks.get_mut(stored.number as usize) else {
                continue;
            };
            let chunk = ActiveChunk::from_row(size, &stored.row, stored.revision);
            *slot = if chunk.all_done() {
                ChunkState::Complete {
                    completed: chunk.completed,
                    failed: chunk.failed,
                }
            } else {
                ChunkState::Active(Box::new(chunk))
            };
        }
        let cancelled = row.state != JobState::InProgress as i32;
        Self {
            row,
            revision,
            chunks,
            cancelled,
            ending: false,
            closed: false,
        }
    }

    pub fn active_mut(&mut self, chunk: u32) -> Option<&mut ActiveChunk> {
        match self.chunks.get_mut(chunk as usize) {
            Some(ChunkState::Active(active)) => Some(active),
            _ => None,
        }
    }

    /// The chunk in work; one that nobody touched under this owner is opened, since an earlier owner may have.
    pub fn touch(&mut self, chunk: u32) -> Option<&mut ActiveChunk> {
        let size = chunk_size(self.row.items, chunk);
        let state = self.chunks.get_mut(chunk as usize)?;
        if matches!(state, ChunkState::Untouched) {
            *state = ChunkState::Active(Box::new(ActiveChunk::new(size)));
        }
        self.active_mut(chunk)
    }

    pub fn actives(&self) -> impl Iterator<Item = (u32, &ActiveChunk)> {
        (0u32..)
            .zip(&self.chunks)
            .filter_map(|(number, chunk)| match chunk {
                ChunkState::Active(active) => Some((number, active.as_ref())),
                _ => None,
            })
    }

    pub fn actives_mut(&mut self) -> impl Iterator<Item = (u32, &mut ActiveChunk)> {
        (0u32..)
            .zip(&mut self.chunks)
            .filter_map(|(number, chunk)| match chunk {
                ChunkState::Active(active) => Some((number, active.as_mut())),
                _ => None,
            })
    }

    /// Items that nobody holds and that are not finished.
    pub fn open_items(&self) -> u32 {
        if self.cancelled {
            return 0;
        }
        (0u32..)
            .zip(&self.chunks)
            .map(|(number, chunk)| match chunk {
                ChunkState::Untouched => chunk_size(self.row.items, number),
                ChunkState::Active(active) => match active.body {
                    super::chunk::Body::Loaded(_) => active.open_items(),
                    _ => active.size - active.done.len(),
                },
                ChunkState::Complete { .. } => 0,
            })
            .sum()
    }

    /// Committed counts: completed and failed.
    pub fn committed(&self) -> Counts {
        let mut counts = Counts::default();
        for chunk in &self.chunks {
            let (completed, failed) = match chunk {
                ChunkState::Untouched => (0, 0),
                ChunkState::Active(active) => (active.completed, active.failed),
                ChunkState::Complete { completed, failed } => (*completed, *failed),
            };
            counts.completed += completed;
            counts.failed += failed;
        }
        counts
    }

    pub fn all_complete(&self) -> bool {
        self.chunks
            .iter()
            .all(|chunk| matches!(chunk, ChunkState::Complete { .. }))
    }
}

/// Committed items of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub completed: u32,
    pub failed: u32,
}

pub(super) fn chunk_size(items: u32, chunk: u32) -> u32 {
    items.saturating_sub(chunk * CHUNK_ITEMS).min(CHUNK_ITEMS)
}
