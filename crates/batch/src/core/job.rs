//! State of an open job of an owned shard.

use harrierward_wire::{ChunkRow, JobRow, JobState};

use super::chunk::ActiveChunk;
use crate::keys::{CHUNK_ITEMS, chunk_size};

/// A chunk row as read from the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredChunk {
    /// Chunk number within the job, from 0.
    pub number: u32,
    /// Chunk row.
    pub row: ChunkRow,
    /// Revision of the row; condition of the next write.
    pub revision: u64,
}

/// A job as read from the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// Job row.
    pub row: JobRow,
    /// Revision of the job row; a loaded job is updated only by a newer one.
    pub revision: u64,
    /// Existing chunk rows; `None` if they were not read, because the job is loaded already.
    pub chunks: Option<Vec<StoredChunk>>,
}

#[derive(Debug, Clone)]
pub(super) enum ChunkState {
    /// The chunk has no row, and none of its items was granted.
    NotStarted,
    Active(Box<ActiveChunk>),
    /// All results are committed.
    Complete {
        completed: u32,
        failed: u32,
    },
}

#[derive(Debug, Clone)]
pub(super) struct ActiveJob {
    pub row: JobRow,
    pub revision: u64,
    pub chunks: Vec<ChunkState>,
    pub cancelled: bool,
    /// True while the finalization is in flight.
    pub finalizing: bool,
    /// True once a finalization was planned: its counts are final, so later results are ignored.
    pub closed: bool,
}

impl ActiveJob {
    pub fn new(row: JobRow, revision: u64, stored_chunks: Vec<StoredChunk>) -> Self {
        let count = row.items.div_ceil(CHUNK_ITEMS) as usize;
        let mut chunks = vec![ChunkState::NotStarted; count];
        for stored in stored_chunks {
            let size = chunk_size(row.items, stored.number);
            let Some(state) = chunks.get_mut(stored.number as usize) else {
                continue;
            };
            let chunk = ActiveChunk::from_row(size, &stored.row, stored.revision);
            *state = if chunk.all_done() {
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
            finalizing: false,
            closed: false,
        }
    }

    pub fn active_mut(&mut self, chunk: u32) -> Option<&mut ActiveChunk> {
        match self.chunks.get_mut(chunk as usize) {
            Some(ChunkState::Active(active)) => Some(active),
            _ => None,
        }
    }

    /// Returns the chunk unless it is complete; starts it if needed, as an earlier owner may have granted its items.
    pub fn activate(&mut self, chunk: u32) -> Option<&mut ActiveChunk> {
        let size = chunk_size(self.row.items, chunk);
        let state = self.chunks.get_mut(chunk as usize)?;
        if matches!(state, ChunkState::NotStarted) {
            *state = ChunkState::Active(Box::new(ActiveChunk::new(size)));
        }
        self.active_mut(chunk)
    }

    pub fn active_chunks(&self) -> impl Iterator<Item = (u32, &ActiveChunk)> {
        (0u32..)
            .zip(&self.chunks)
            .filter_map(|(number, chunk)| match chunk {
                ChunkState::Active(active) => Some((number, active.as_ref())),
                _ => None,
            })
    }

    pub fn active_chunks_mut(&mut self) -> impl Iterator<Item = (u32, &mut ActiveChunk)> {
        (0u32..)
            .zip(&mut self.chunks)
            .filter_map(|(number, chunk)| match chunk {
                ChunkState::Active(active) => Some((number, active.as_mut())),
                _ => None,
            })
    }

    /// Returns the number of items that may be granted now or after their intent is committed; an upper bound for
    /// chunks whose input is not loaded.
    pub fn open_items(&self) -> u32 {
        if self.cancelled {
            return 0;
        }
        (0u32..)
            .zip(&self.chunks)
            .map(|(number, chunk)| match chunk {
                ChunkState::NotStarted => chunk_size(self.row.items, number),
                ChunkState::Active(active) => match active.input {
                    super::chunk::ChunkInput::Loaded(_) => active.open_items(),
                    _ => active.size - active.done.len(),
                },
                ChunkState::Complete { .. } => 0,
            })
            .sum()
    }

    /// Returns the counts of committed results.
    pub fn committed(&self) -> Counts {
        let mut counts = Counts::default();
        for chunk in &self.chunks {
            let (completed, failed) = match chunk {
                ChunkState::NotStarted => (0, 0),
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

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub completed: u32,
    pub failed: u32,
}
