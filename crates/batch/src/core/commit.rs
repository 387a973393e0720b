//! What the owner wants written, and what became of it.

use harrierward_external::{Condition, Transaction};
use harrierward_wire::{ChunkRow, JobRow, ProgressRow, encode};

use super::chunk::FinishedItem;
use crate::keys::{chunk_key, job_key, open_key, progress_key, shard_key};

/// Why a chunk row is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitKind {
    /// At-most-once items are about to be granted.
    Intents,
    /// Results are to count.
    Results,
}

/// A chunk row to write, conditional on the shard's ownership row and the chunk row being unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct ChunkCommit {
    /// Id, by which the chunk knows its commit again.
    pub id: u64,
    /// Why.
    pub kind: CommitKind,
    /// Shard.
    pub shard: u32,
    /// Revision of the shard's ownership row.
    pub shard_revision: u64,
    /// Job.
    pub job_id: String,
    /// Chunk number.
    pub chunk: u32,
    /// Revision of the chunk row; `None` if it does not exist yet.
    pub chunk_revision: Option<u64>,
    /// The row to write.
    pub row: ChunkRow,
    /// Progress of the job after the commit.
    pub progress: ProgressRow,
    /// Object to store first, for results.
    pub object: Option<String>,
    /// Results in the object.
    pub items: Vec<FinishedItem>,
}

impl ChunkCommit {
    /// Body of the result object: one line a result.
    pub fn object_body(&self) -> Vec<u8> {
        let mut body = Vec::new();
        for item in &self.items {
            body.extend_from_slice(item.line.as_bytes());
            body.push(b'\n');
        }
        body
    }

    /// Key of the chunk row.
    pub fn row_key(&self) -> String {
        chunk_key(&self.job_id, self.chunk)
    }

    /// The transaction.
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
            .require(still_owner(self.shard, self.shard_revision))
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

/// The last change of a job, conditional on the shard's ownership row and the job row being unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFinalization {
    /// Shard.
    pub shard: u32,
    /// Revision of the shard's ownership row.
    pub shard_revision: u64,
    /// Revision of the job row.
    pub job_revision: u64,
    /// The row to write; its end time is set by the driver.
    pub row: JobRow,
}

impl JobFinalization {
    /// The transaction.
    pub fn transaction(&self) -> Transaction {
        let key = job_key(&self.row.tenant, &self.row.job_id);
        Transaction::default()
            .require(still_owner(self.shard, self.shard_revision))
            .require(Condition::AtRevision {
                key: key.clone(),
                revision: self.job_revision,
            })
            .put(key, encode(&self.row))
            .delete(open_key(self.shard, &self.row.job_id))
    }
}

fn still_owner(shard: u32, revision: u64) -> Condition {
    Condition::AtRevision {
        key: shard_key(shard),
        revision,
    }
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Committed; the row has this revision.
    Committed {
        /// New revision.
        revision: u64,
    },
    /// The shard is no longer this owner's.
    ShardLost,
    /// The chunk or job row is not what this owner knew: it must be read again.
    Stale,
    /// Certainly not committed; may be tried again.
    NotCommitted,
}
