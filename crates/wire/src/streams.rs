//! Datagrams by which daemons remember where streams began, so that another daemon can continue them.

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
    /// Time within which its caller may take it up, milliseconds.
    #[prost(uint32, tag = "4")]
    pub remaining_ms: u32,
    /// Time since the sender learned it, milliseconds.
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
    /// Hashes of the software versions of the service that the sender saw in the time within which the stream can have
    /// begun.
    #[prost(fixed64, repeated, tag = "3")]
    pub versions: Vec<u64>,
    /// True if the sender can't have missed a version.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// Age of the proof of the sender's list of replicas, milliseconds.
    #[prost(uint32, tag = "5")]
    pub proof_age_ms: u32,
}
