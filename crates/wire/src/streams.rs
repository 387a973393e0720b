//! Datagrams and rows by which daemons remember where streams began, so that another daemon can continue them.

/// Where one stream began.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StreamRecord {
    /// Hash of the caller's tenant and of the attempt that brought the first event.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of the service's name.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// Hash of the software version.
    #[prost(fixed64, tag = "3")]
    pub version: u64,
    /// Time for which it is to be remembered, milliseconds; 0 in rows.
    #[prost(uint32, tag = "4")]
    pub remaining_ms: u32,
    /// Time since the sender learned it, milliseconds; 0 in rows.
    #[prost(uint32, tag = "5")]
    pub known_ms: u32,
}

/// Notifies a daemon where streams began that may be taken up elsewhere.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StreamNotice {
    /// Member id of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The streams.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<StreamRecord>,
}

/// Asks where a stream began.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StreamAsk {
    /// Number of the request at its sender.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Hash of the stream, as in [`StreamRecord`]; 0 if the caller doesn't name it.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
    /// Hash of the name of the only service that can have served it; 0 if there are several.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
}

/// Reply to a [`StreamAsk`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StreamAnswer {
    /// Number of the request.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Where the stream began; absent if the sender doesn't know.
    #[prost(message, optional, tag = "2")]
    pub record: Option<StreamRecord>,
    /// Hashes of the software versions at which streams of the service may have begun, as far as the sender knows. For
    /// builds before level 9, for which another version refutes a sole one; later ones read the store instead.
    #[prost(fixed64, repeated, tag = "3")]
    pub versions: Vec<u64>,
    /// True if the sender can't have missed a version; never set from level 9 on.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// Age of the proof of the sender's list of replicas, milliseconds; not set from level 9 on.
    #[prost(uint32, tag = "5")]
    pub proof_age_ms: u32,
}

/// Software versions at which streams of one service may have begun, or services at which streams of one host may have.
/// In the space of the job headers: the first two fields are of other kinds than a header's, so that builds before level 9
/// don't decode it as one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OriginSetRow {
    /// Format of the row, 1.
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Hash of the service's or host's name.
    #[prost(fixed32, tag = "2")]
    pub subject: u32,
    /// Hashes of the versions or services.
    #[prost(fixed64, repeated, tag = "3")]
    pub members: Vec<u64>,
    /// True if a stream may have begun anywhere.
    #[prost(bool, tag = "4")]
    pub is_any: bool,
}

/// Where recent streams of one daemon began, those of one bucket.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredStreamsRow {
    /// Time of the write on the store's clock, milliseconds.
    #[prost(uint64, tag = "1")]
    pub written_ms: u64,
    /// The streams.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<StreamRecord>,
}
