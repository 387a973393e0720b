//! What daemons tell each other of evacuated zones.

/// What is known of one zone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EvacuatedZone {
    /// Zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Revision at which the row that evacuates it was written.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// That row is gone: the zone is back in service.
    #[prost(bool, tag = "3")]
    pub is_over: bool,
}

/// All that a daemon knows of evacuations.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Evacuations {
    /// Revision at which all rows were read together; 0 if never. An older row that is not named here is gone.
    #[prost(uint64, tag = "1")]
    pub complete_at: u64,
    /// The zones.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<EvacuatedZone>,
}
