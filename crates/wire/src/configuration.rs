//! Rows and changes of the configuration.

/// The newest revision of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigHead {
    /// Global revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// One object as it stands.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigObjectRow {
    /// Global revision that wrote it.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The object as JSON; empty if removed.
    #[prost(string, tag = "2")]
    pub object: String,
}

/// One changed object within a log entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigChange {
    /// Object id, `kind/name`.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The object as JSON; empty if removed.
    #[prost(string, tag = "2")]
    pub object: String,
}

/// One accepted change of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigLogEntry {
    /// Global revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Operation id, by which a lost answer is settled.
    #[prost(string, tag = "2")]
    pub operation: String,
    /// Who: the tenant of the operator key.
    #[prost(string, tag = "3")]
    pub operator: String,
    /// When, milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub at_ms: u64,
    /// What.
    #[prost(message, repeated, tag = "5")]
    pub changes: Vec<ConfigChange>,
}
