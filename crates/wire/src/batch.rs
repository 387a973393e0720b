//! Rows of files, jobs, chunks and shards.

/// States of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum JobState {
    /// Items are being run.
    InProgress = 0,
    /// Cancel is committed; running items are being stopped.
    Cancelling = 1,
    /// Stopped; what had finished stays readable.
    Cancelled = 2,
    /// Every item has its result.
    Completed = 3,
}

/// An uploaded file, stored as parts of a fixed number of lines.
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
    /// Number of parts.
    #[prost(uint32, tag = "6")]
    pub parts: u32,
    /// Prefix of the part objects' names.
    #[prost(string, tag = "7")]
    pub object_prefix: String,
    /// Upload time, milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    pub created_at_ms: u64,
    /// Models the lines name.
    #[prost(string, repeated, tag = "9")]
    pub models: Vec<String>,
    /// URLs the lines name.
    #[prost(string, repeated, tag = "10")]
    pub urls: Vec<String>,
    /// Digest of the content, for resent uploads.
    #[prost(bytes = "vec", tag = "11")]
    pub digest: Vec<u8>,
    /// True once the caller deleted it.
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
    /// Prefix of the input's part objects.
    #[prost(string, tag = "6")]
    pub object_prefix: String,
    /// Number of items.
    #[prost(uint32, tag = "7")]
    pub items: u32,
    /// Shard the job belongs to.
    #[prost(uint32, tag = "8")]
    pub shard: u32,
    /// State.
    #[prost(enumeration = "JobState", tag = "9")]
    pub state: i32,
    /// Times in milliseconds since 1970; 0 if not reached.
    #[prost(uint64, tag = "10")]
    pub created_at_ms: u64,
    /// Deadline.
    #[prost(uint64, tag = "11")]
    pub deadline_at_ms: u64,
    /// When cancel was committed.
    #[prost(uint64, tag = "12")]
    pub cancelling_at_ms: u64,
    /// When the job reached its last state.
    #[prost(uint64, tag = "13")]
    pub ended_at_ms: u64,
    /// Items completed, final once the job ended.
    #[prost(uint32, tag = "14")]
    pub completed: u32,
    /// Items failed, final once the job ended.
    #[prost(uint32, tag = "15")]
    pub failed: u32,
    /// Completion window as the caller gave it.
    #[prost(string, tag = "16")]
    pub completion_window: String,
    /// Caller's metadata as JSON.
    #[prost(string, tag = "17")]
    pub metadata: String,
}

/// Finds a job or file again by the key its caller sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobKeyRow {
    /// Id given at first.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Digest of the first request's body.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// Index row: the job is open and belongs to the shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OpenJobRow {
    /// Tenant, by which the job row is found.
    #[prost(string, tag = "1")]
    pub tenant: String,
}

/// Progress of an open job, written with chunk commits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgressRow {
    /// Items completed.
    #[prost(uint32, tag = "1")]
    pub completed: u32,
    /// Items failed.
    #[prost(uint32, tag = "2")]
    pub failed: u32,
}

/// An object with results that count.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResultObject {
    /// Object name; carries the attempt that wrote it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Lines in it.
    #[prost(uint32, tag = "2")]
    pub lines: u32,
}

/// State of a chunk. Absent means that nothing of it is done.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChunkRow {
    /// Shard epoch of the last writer.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// One bit an item: its result is committed.
    #[prost(bytes = "vec", tag = "2")]
    pub done: Vec<u8>,
    /// One bit an item: an at-most-once item may have been dispatched.
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

/// Ownership of a shard or a replica. Whoever changes it raises the epoch; commits and orders of an older
/// epoch are refused.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OwnershipRow {
    /// Member that owns it; empty if handed back.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Fencing epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// Number of shards, fixed when the first daemon starts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardCountRow {
    /// Number of shards.
    #[prost(uint32, tag = "1")]
    pub shards: u32,
}
