//! Rows of batch files, jobs, chunks and shards.

/// States of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum JobState {
    /// Items are queued or running.
    InProgress = 0,
    /// The cancellation is committed; running items are being stopped.
    Cancelling = 1,
    /// Terminal; results of items that had finished stay readable.
    Cancelled = 2,
    /// Terminal: every item has its result.
    Completed = 3,
}

/// An uploaded file, stored as objects of a fixed number of lines each.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FileRow {
    /// File id.
    #[prost(string, tag = "1")]
    pub file_id: String,
    /// Name given by the caller.
    #[prost(string, tag = "2")]
    pub filename: String,
    /// Purpose given by the caller.
    #[prost(string, tag = "3")]
    pub purpose: String,
    /// Size in bytes.
    #[prost(uint64, tag = "4")]
    pub bytes: u64,
    /// Number of lines.
    #[prost(uint32, tag = "5")]
    pub lines: u32,
    /// Number of part objects.
    #[prost(uint32, tag = "6")]
    pub parts: u32,
    /// Prefix of the part objects' names.
    #[prost(string, tag = "7")]
    pub object_prefix: String,
    /// Upload time, milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    pub created_at_ms: u64,
    /// Models that the lines name.
    #[prost(string, repeated, tag = "9")]
    pub models: Vec<String>,
    /// URLs that the lines name.
    #[prost(string, repeated, tag = "10")]
    pub urls: Vec<String>,
    /// Digest of the content, by which a resent upload is recognized.
    #[prost(bytes = "vec", tag = "11")]
    pub digest: Vec<u8>,
    /// True once the caller has deleted it.
    #[prost(bool, tag = "12")]
    pub deleted: bool,
}

/// An accepted job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRow {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Tenant that owns the job.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// URL that each item calls.
    #[prost(string, tag = "3")]
    pub url: String,
    /// Service that runs the items.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Input file.
    #[prost(string, tag = "5")]
    pub input_file_id: String,
    /// Prefix of the names of the input's part objects.
    #[prost(string, tag = "6")]
    pub object_prefix: String,
    /// Number of items.
    #[prost(uint32, tag = "7")]
    pub items: u32,
    /// Shard the job belongs to.
    #[prost(uint32, tag = "8")]
    pub shard: u32,
    /// A [`JobState`].
    #[prost(enumeration = "JobState", tag = "9")]
    pub state: i32,
    /// Time of creation, milliseconds since 1970.
    #[prost(uint64, tag = "10")]
    pub created_at_ms: u64,
    /// Deadline, milliseconds since 1970.
    #[prost(uint64, tag = "11")]
    pub deadline_at_ms: u64,
    /// When the cancellation was committed, milliseconds since 1970; 0 if it was not.
    #[prost(uint64, tag = "12")]
    pub cancelling_at_ms: u64,
    /// When the job reached a terminal state, milliseconds since 1970; 0 before.
    #[prost(uint64, tag = "13")]
    pub ended_at_ms: u64,
    /// Items completed; final once the job ended.
    #[prost(uint32, tag = "14")]
    pub completed: u32,
    /// Items failed; final once the job ended.
    #[prost(uint32, tag = "15")]
    pub failed: u32,
    /// Completion window as given by the caller.
    #[prost(string, tag = "16")]
    pub completion_window: String,
    /// Caller's metadata as JSON.
    #[prost(string, tag = "17")]
    pub metadata: String,
}

/// Maps an idempotency key to the job or file that its first request created.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobKeyRow {
    /// Id of the job or file.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Digest of the first request's body.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// Index row of an open job, under its shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OpenJobRow {
    /// Tenant, part of the job row's key.
    #[prost(string, tag = "1")]
    pub tenant: String,
}

/// Progress of an open job, written with each chunk commit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgressRow {
    /// Items completed.
    #[prost(uint32, tag = "1")]
    pub completed: u32,
    /// Items failed.
    #[prost(uint32, tag = "2")]
    pub failed: u32,
}

/// An object that holds committed results.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResultObject {
    /// Object name; contains the attempt that wrote it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of result lines.
    #[prost(uint32, tag = "2")]
    pub lines: u32,
}

/// State of a chunk of items. Without a row none of its items is done.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChunkRow {
    /// Shard epoch of the last writer.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Bitmap by item: its result is committed.
    #[prost(bytes = "vec", tag = "2")]
    pub done: Vec<u8>,
    /// Bitmap by item: an at-most-once item may have been dispatched.
    #[prost(bytes = "vec", tag = "3")]
    pub intents: Vec<u8>,
    /// Objects that hold the results.
    #[prost(message, repeated, tag = "4")]
    pub results: Vec<ResultObject>,
    /// Items that completed.
    #[prost(uint32, tag = "5")]
    pub completed: u32,
    /// Items that failed.
    #[prost(uint32, tag = "6")]
    pub failed: u32,
}

/// Ownership of a shard or a replica. Each takeover raises the epoch, which fences commits and commands of earlier
/// owners.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OwnershipRow {
    /// Member id of the owner; empty if released.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Fencing epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// Number of shards, fixed by the first daemon that starts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardCountRow {
    /// The number.
    #[prost(uint32, tag = "1")]
    pub shards: u32,
}
