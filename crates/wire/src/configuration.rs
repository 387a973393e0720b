//! Rows and log entries of the configuration.

/// A revision of the configuration: the newest one in the head row, the one that a change was given in the row of its
/// operation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigHead {
    /// Global revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// Current state of one object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigObjectRow {
    /// Global revision of its last change.
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
    /// Global revision that the change was given.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Operation id, by which a resent change is recognized.
    #[prost(string, tag = "2")]
    pub operation: String,
    /// Tenant of the operator key; empty for the fleet's own set-up.
    #[prost(string, tag = "3")]
    pub operator: String,
    /// Time of the change, milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub at_ms: u64,
    /// Changed objects.
    #[prost(message, repeated, tag = "5")]
    pub changes: Vec<ConfigChange>,
}
