//! Datagrams by which daemons request tokens from the coordinator of a tenant's rate.

/// Requests tokens for a tenant's requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RateAsk {
    /// Number of the request at the requester.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Tenant name.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// Tokens wanted, one for each of the tenant's requests.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
    /// Largest number of members recently seen by the requester or reported to it.
    #[prost(uint32, tag = "4")]
    pub fleet_members: u32,
    /// Time since the fleet had that many, milliseconds.
    #[prost(uint32, tag = "5")]
    pub fleet_seen_ms_ago: u32,
    /// Id of the coordinator that is unresponsive to the requester, in a request to the fallback coordinator; else
    /// empty.
    #[prost(string, tag = "6")]
    pub silent: String,
}

/// Reply to a [`RateAsk`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RateGrant {
    /// Number of the request at the requester.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// A [`RateOutcome`].
    #[prost(enumeration = "RateOutcome", tag = "2")]
    pub outcome: i32,
    /// Tokens granted.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Time until a token is available for a refused caller, milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// Datagram address of the coordinator, if the sender is not the coordinator and knows it; else empty.
    #[prost(string, tag = "5")]
    pub coordinator: String,
    /// Largest number of members recently seen by the sender or reported to it.
    #[prost(uint32, tag = "6")]
    pub fleet_members: u32,
    /// Time since the fleet had that many, milliseconds.
    #[prost(uint32, tag = "7")]
    pub fleet_seen_ms_ago: u32,
}

/// Outcome of a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RateOutcome {
    /// The receiver does not coordinate the tenant's rate, or does not know the tenant yet.
    NotCoordinator = 0,
    /// The tokens are granted.
    Granted = 1,
    /// The tenant is at its limit.
    Empty = 2,
}
