//! Messages by which daemons of a zone relay a space of the store to each other. A space is all rows whose keys have
//! the same first segment.

use bytes::Bytes;

/// A long poll for changes of a peer's copy of a space.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceQuestion {
    /// Name of the space.
    #[prost(string, tag = "1")]
    pub space: String,
    /// Revision of the requester's copy; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Maximum time to hold the request until there are changes, milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Age of the freshness proof of the requester's copy, milliseconds.
    #[prost(uint32, tag = "4")]
    pub known_age_ms: u32,
}

/// A daemon compared its copy of a space with the store's current state and states what it holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceAudit {
    /// Member id of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Name of the space.
    #[prost(string, tag = "2")]
    pub space: String,
    /// Revision of the store up to which the sender's copy includes changes.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Highest revision at which a row of that copy changed.
    #[prost(uint64, tag = "4")]
    pub changed_at: u64,
    /// Digest of the keys and revisions of its rows.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Time since the store was asked, milliseconds, rounded up.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
    /// True if the sender's copy was not audited: it holds changes that the receiver, which audits, has not announced.
    #[prost(bool, tag = "7")]
    pub is_unaudited: bool,
}

/// Reply to a [`SpaceQuestion`]. Its field numbers are above those of [`crate::KnownRows`], which builds without this
/// request send instead.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceReply {
    /// Revision of the sender's copy.
    #[prost(uint64, tag = "10")]
    pub revision: u64,
    /// Digest of the keys and revisions of its rows.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
    /// Monotonic clock of the store at the copy's freshness proof, milliseconds.
    #[prost(uint64, tag = "12")]
    pub store_time_ms: u64,
    /// Age of that proof when the reply was made, milliseconds, rounded up.
    #[prost(uint32, tag = "13")]
    pub proof_age_ms: u32,
    /// Time for which the request was held, milliseconds, rounded down.
    #[prost(uint32, tag = "14")]
    pub held_ms: u32,
    /// 1; 0 marks a message that is not such a reply.
    #[prost(uint32, tag = "15")]
    pub format: u32,
    /// The changes since the requester's revision are no longer available: it must request all rows.
    #[prost(bool, tag = "16")]
    pub is_history_lost: bool,
    /// An encoded [`SpaceContent`].
    #[prost(bytes = "bytes", tag = "17")]
    pub content: Bytes,
    /// True if `content` is compressed with zlib.
    #[prost(bool, tag = "18")]
    pub is_compressed: bool,
}

/// Rows of a space: the changed ones, or all.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceContent {
    /// Rows, with tombstones of removed ones.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<SpaceRow>,
}

/// A row, or the tombstone of a removed one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceRow {
    /// Key in the store.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Encoded content; absent in a tombstone.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Revision of the last write; in a tombstone, one at which the row was already removed.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}
