//! Rows of at-most-once claims.

/// States of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// The request may be running, or may have run.
    Open = 0,
    /// The request ran and its response is stored.
    Done = 1,
}

/// A claim to run an at-most-once request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRow {
    /// Digest of the request body.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Attempt that holds the claim.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// A [`ClaimState`].
    #[prost(enumeration = "ClaimState", tag = "3")]
    pub state: i32,
    /// Stored response; empty while the claim is open.
    #[prost(bytes = "vec", tag = "4")]
    pub answer: Vec<u8>,
    /// When the claim was made, milliseconds since 1970.
    #[prost(uint64, tag = "5")]
    pub created_at_ms: u64,
    /// Digest of the request's content, without how its response is to be sent. Empty if written by a daemon that knows
    /// only the digest of the whole body.
    #[prost(bytes = "vec", tag = "6")]
    pub content_digest: Vec<u8>,
}
