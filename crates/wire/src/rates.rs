//! Datagrams by which daemons ask the coordinator of a tenant's rate for tokens.

/// A daemon wants tokens for a tenant's requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RateAsk {
    /// Number of the question at the asker.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Tenant.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// Tokens wanted, one for each request.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
    /// Most members that the asker lately saw or was told of.
    #[prost(uint32, tag = "4")]
    pub fleet_members: u32,
    /// Time since the fleet had them, milliseconds.
    #[prost(uint32, tag = "5")]
    pub fleet_seen_ms_ago: u32,
    /// Id of the coordinator that does not answer the asker, when it asks the member that follows; else empty.
    #[prost(string, tag = "6")]
    pub silent: String,
}

/// The answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RateGrant {
    /// Number of the question at the asker.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// What became of it.
    #[prost(enumeration = "RateOutcome", tag = "2")]
    pub outcome: i32,
    /// Tokens given out.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// When a token will be there for the caller that is refused, milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// Address for datagrams of the coordinator, if the receiver is not the one and knows it.
    #[prost(string, tag = "5")]
    pub coordinator: String,
    /// Most members that the receiver lately saw or was told of.
    #[prost(uint32, tag = "6")]
    pub fleet_members: u32,
    /// Time since the fleet had them, milliseconds.
    #[prost(uint32, tag = "7")]
    pub fleet_seen_ms_ago: u32,
}

/// What became of a question for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RateOutcome {
    /// The receiver does not coordinate the tenant, or does not know it yet.
    NotCoordinator = 0,
    /// The tokens may be used.
    Granted = 1,
    /// The tenant is at its limit.
    Empty = 2,
}
