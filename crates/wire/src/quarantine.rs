//! What daemons tell each other of contents under which replicas ended.

/// A replica that ended while a content was in progress there.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaEnd {
    /// Hash of the replica's start.
    #[prost(fixed32, tag = "1")]
    pub replica: u32,
    /// How long ago, milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// One content.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedContent {
    /// Digest of path, caller and body.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Replicas that ended.
    #[prost(message, repeated, tag = "2")]
    pub ends: Vec<ReplicaEnd>,
    /// How long ago it came to a whole answer or was released, milliseconds plus one; 0 if it never did.
    #[prost(uint32, tag = "3")]
    pub cleared_ms: u32,
    /// Tells that answer or release from any other one.
    #[prost(fixed32, tag = "4")]
    pub clearing: u32,
}

/// What a daemon keeps in the store, for those whom its datagrams don't reach.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNewsRow {
    /// Life of the daemon.
    #[prost(string, tag = "1")]
    pub life: String,
    /// When it was written, by the store's clock, milliseconds; ages count from here.
    #[prost(uint64, tag = "2")]
    pub written_ms: u64,
    /// What it knew.
    #[prost(message, optional, tag = "3")]
    pub news: Option<CrashNews>,
}

/// Some of what the sender knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNews {
    /// Contents.
    #[prost(message, repeated, tag = "1")]
    pub contents: Vec<CrashedContent>,
}
