//! The shard owner as a pure state machine: jobs, chunks, grants and commits, without clock or I/O.
//!
//! Invariants: an item's result counts once, by the chunk row's `done` set; an at-most-once item is granted only after
//! its intent is committed under the current epoch, and granted again only if the holder of its current attempt
//! returned it unrun; a cancelled job grants nothing.

mod chunk;
mod commit;
mod grants;
mod job;
mod owner;
mod planning;

pub use chunk::FinishedItem;
pub use commit::{ChunkCommit, CommitKind, CommitOutcome, JobFinalization};
pub use job::{StoredChunk, StoredJob};
pub use owner::{ChunkRef, InputLine, OwnerCore, OwnerSettings};
