//! What daemons of a zone tell each other of a space of the store.

use bytes::Bytes;

/// Asks a peer for what is new in its copy of a space.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceQuestion {
    /// Space.
    #[prost(string, tag = "1")]
    pub space: String,
    /// Revision of the asker's copy; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// How long the question may be held until there is something new, milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Age of the proof of the asker's copy, milliseconds.
    #[prost(uint32, tag = "4")]
    pub known_age_ms: u32,
}

/// A peer's answer. Its numbers begin where those of [`crate::KnownRows`] end: builds that do not know the question answer it
/// with such rows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceReply {
    /// Revision of the copy.
    #[prost(uint64, tag = "10")]
    pub revision: u64,
    /// Digest of the keys and revisions of its rows.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
    /// The store's steady clock at the copy's proof, milliseconds.
    #[prost(uint64, tag = "12")]
    pub store_time_ms: u64,
    /// Age of the copy's proof when the answer was made, milliseconds, rounded up.
    #[prost(uint32, tag = "13")]
    pub proof_age_ms: u32,
    /// How long the question was held, milliseconds, rounded down.
    #[prost(uint32, tag = "14")]
    pub held_ms: u32,
    /// 1; 0 says that this is no such answer.
    #[prost(uint32, tag = "15")]
    pub format: u32,
    /// The copy no longer knows what changed since the asker's revision: the asker must ask for all rows.
    #[prost(bool, tag = "16")]
    pub is_history_lost: bool,
    /// A [`SpaceContent`].
    #[prost(bytes = "bytes", tag = "17")]
    pub content: Bytes,
    /// `content` is compressed (zlib).
    #[prost(bool, tag = "18")]
    pub is_compressed: bool,
}

/// Rows of a space: those that changed, or all.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceContent {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<SpaceRow>,
}

/// A row, or the word that it is gone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SpaceRow {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Content; absent if the row is gone.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Revision of the last write, or one by which the row was gone.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}
