//! Messages and rows on contents and prompt parts under which replicas crashed.

/// Crash of a replica while a content was in progress there.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaEnd {
    /// Hash of the replica instance.
    #[prost(fixed32, tag = "1")]
    pub replica: u32,
    /// Time since the crash, milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Crashes under one content, and its last completion.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedContent {
    /// Digest of path, caller and body.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Crashes of replicas.
    #[prost(message, repeated, tag = "2")]
    pub ends: Vec<ReplicaEnd>,
    /// Time since its response completed or an operator released it, milliseconds plus one; 0 if neither happened.
    #[prost(uint32, tag = "3")]
    pub cleared_ms: u32,
    /// Id of that completion or release.
    #[prost(fixed32, tag = "4")]
    pub clearing: u32,
}

/// Crashes under one shared part of prompts, and the last completion of a request with it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedPart {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Crashes of replicas.
    #[prost(message, repeated, tag = "2")]
    pub ends: Vec<ReplicaEnd>,
    /// Time since a response with it completed or an operator released it, milliseconds plus one; 0 if neither happened.
    #[prost(uint32, tag = "3")]
    pub cleared_ms: u32,
    /// Id of that completion or release.
    #[prost(fixed32, tag = "4")]
    pub clearing: u32,
    /// Other shared parts that all requests with it had at crashes.
    #[prost(fixed64, repeated, tag = "5")]
    pub companions: Vec<u64>,
}

/// A daemon's crash reports, stored for the daemons that its datagrams don't reach.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNewsRow {
    /// Instance id of the daemon.
    #[prost(string, tag = "1")]
    pub life: String,
    /// Time of the write on the store's clock, milliseconds; ages are relative to it.
    #[prost(uint64, tag = "2")]
    pub written_ms: u64,
    /// Contents known at that time.
    #[prost(message, optional, tag = "3")]
    pub news: Option<CrashNews>,
}

/// Crash reports on contents and parts; not all that the sender knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNews {
    /// The reported contents.
    #[prost(message, repeated, tag = "1")]
    pub contents: Vec<CrashedContent>,
    /// The reported parts; builds that know contents only ignore them.
    #[prost(message, repeated, tag = "2")]
    pub parts: Vec<CrashedPart>,
}
