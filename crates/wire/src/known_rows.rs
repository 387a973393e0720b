//! Copies of store rows, for a daemon that starts while the store is unreachable.

/// A row as read from the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KnownRow {
    /// Key in the store.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Encoded content.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Store revision of its last write.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// The rows that a daemon needs to serve.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KnownRows {
    /// The configuration; absent if unknown.
    #[prost(message, optional, tag = "1")]
    pub configuration: Option<KnownRow>,
    /// Rows of the replicas.
    #[prost(message, repeated, tag = "2")]
    pub replicas: Vec<KnownRow>,
    /// The evacuated zones; absent if unknown.
    #[prost(message, optional, tag = "3")]
    pub evacuations: Option<crate::Evacuations>,
}
