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

/// Some of what the sender knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNews {
    /// Contents.
    #[prost(message, repeated, tag = "1")]
    pub contents: Vec<CrashedContent>,
}
