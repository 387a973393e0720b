//! Conditional writes of a shard owner, and their outcomes.

use harrierward_external::{Condition, Transaction};
use harrierward_wire::{ChunkRow, JobRow, ProgressRow, encode};

use super::chunk::FinishedItem;
use crate::keys::{chunk_key, job_key, open_key, progress_key, shard_key};

/// Reason for a write of a chunk row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitKind {
    /// Records at-most-once items before they are granted.
    Intents,
    /// Records results, whose object is stored first.
    Results,
}

/// A chunk row to write, conditional on the shard's ownership row and the chunk row being unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct ChunkCommit {
    /// Id, unique within this owner; matches the outcome to the chunk's commit in flight.
    pub id: u64,
    /// Reason for the write.
    pub kind: CommitKind,
    /// Shard of the job.
    pub shard: u32,
    /// Revision of the shard's ownership row; fences writes of earlier owners.
    pub shard_revision: u64,
    /// Id of the job.
    pub job_id: String,
    /// Chunk number within the job, from 0.
    pub chunk: u32,
    /// Revision of the chunk row; `None` if it does not exist yet.
    pub chunk_revision: Option<u64>,
    /// The row to write.
    pub row: ChunkRow,
    /// Counts of the job after the commit; written only with results.
    pub progress: ProgressRow,
    /// Name of the object for the results; `None` for intents.
    pub object: Option<String>,
    /// Results in the object; empty for intents.
    pub items: Vec<FinishedItem>,
}

impl ChunkCommit {
    /// Returns the body of the result object: one line for each result.
    pub fn object_body(&self) -> Vec<u8> {
        let mut body = Vec::new();
        for item in &self.items {
            body.extend_from_slice(item.line.as_bytes());
            body.push(b'\n');
        }
        body
    }

    /// Returns the key of the chunk row.
    pub fn row_key(&self) -> String {
        chunk_key(&self.job_id, self.chunk)
    }

    /// Returns the transaction that writes the row, and the progress row for results.
    pub fn transaction(&self) -> Transaction {
        let key = self.row_key();
        let chunk_unchanged = match self.chunk_revision {
            None => Condition::Absent { key: key.clone() },
            Some(revision) => Condition::AtRevision {
                key: key.clone(),
                revision,
            },
        };
        let transaction = Transaction::default()
            .require(owner_unchanged(self.shard, self.shard_revision))
            .require(chunk_unchanged)
            .put(key, encode(&self.row));
        match self.kind {
            CommitKind::Intents => transaction,
            CommitKind::Results => {
                transaction.put(progress_key(&self.job_id), encode(&self.progress))
            }
        }
    }
}

/// The last write of a job row, conditional on the shard's ownership row and the job row being unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFinalization {
    /// Shard of the job.
    pub shard: u32,
    /// Revision of the shard's ownership row; fences writes of earlier owners.
    pub shard_revision: u64,
    /// Revision of the job row that `row` replaces.
    pub job_revision: u64,
    /// The row to write; the driver sets its end time.
    pub row: JobRow,
}

impl JobFinalization {
    /// Returns the transaction that writes the job row and removes the job from the open jobs.
    pub fn transaction(&self) -> Transaction {
        let key = job_key(&self.row.tenant, &self.row.job_id);
        Transaction::default()
            .require(owner_unchanged(self.shard, self.shard_revision))
            .require(Condition::AtRevision {
                key: key.clone(),
                revision: self.job_revision,
            })
            .put(key, encode(&self.row))
            .delete(open_key(self.shard, &self.row.job_id))
    }
}

fn owner_unchanged(shard: u32, revision: u64) -> Condition {
    Condition::AtRevision {
        key: shard_key(shard),
        revision,
    }
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write was committed.
    Committed {
        /// Revision of the written row.
        revision: u64,
    },
    /// The ownership row changed: another member owns the shard.
    ShardLost,
    /// The chunk or job row changed, so the job must be read again.
    Stale,
    /// The write was not committed and may be retried.
    NotCommitted,
}
