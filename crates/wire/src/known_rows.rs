//! What a daemon knows of the store's rows, for one that starts while the store cannot be read.

/// A row as the store had it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KnownRow {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Content.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Revision.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Rows by which a daemon can serve.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KnownRows {
    /// The configuration, if it is known.
    #[prost(message, optional, tag = "1")]
    pub configuration: Option<KnownRow>,
    /// The replicas.
    #[prost(message, repeated, tag = "2")]
    pub replicas: Vec<KnownRow>,
    /// The evacuated zones.
    #[prost(message, optional, tag = "3")]
    pub evacuations: Option<crate::Evacuations>,
}
