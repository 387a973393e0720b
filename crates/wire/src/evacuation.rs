//! Messages on evacuated zones.

/// Evacuation state of one zone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EvacuatedZone {
    /// Zone name.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Revision of the row that evacuates it.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// True if that row was removed: the zone is back in service.
    #[prost(bool, tag = "3")]
    pub is_over: bool,
}

/// All evacuations known to a daemon.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Evacuations {
    /// Revision at which all rows were read together; 0 if never. Older rows that are not listed are removed.
    #[prost(uint64, tag = "1")]
    pub complete_at: u64,
    /// Zones, evacuated or back in service.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<EvacuatedZone>,
}
