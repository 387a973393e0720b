//! Rows of inline batch jobs, whose items are stored in rows of the store itself.

use std::ops::RangeInclusive;

use crate::{decode, encode, later_fields};

/// One part of an item's prompt.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PromptPartRow {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Length in tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// An HTTP header of an item's request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderRow {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Request of one item, as accepted.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemBodyRow {
    /// Item id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path and query.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderRow>,
    /// Body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Shared parts of the prompt.
    #[prost(message, repeated, tag = "5")]
    pub prompt: Vec<PromptPartRow>,
    /// Length of the prompt in tokens.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    #[prost(uint32, tag = "7")]
    pub output_tokens: u32,
}

/// All items of a job; stored in pieces, each in its own row.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobItemsRow {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemBodyRow>,
}

/// Summary of an item in its job's header.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemHeadRow {
    /// Item id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Maximum number of tokens of its prompt and response.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// A job's header: small, watched by every daemon, and changed only under its revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobHeadRow {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Route name.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Host of the route.
    #[prost(string, tag = "3")]
    pub host: String,
    /// Summaries of the items.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<ItemHeadRow>,
    /// For each position of the listing, the item's index in `items`.
    #[prost(uint32, repeated, tag = "5")]
    pub listed: Vec<u32>,
    /// Instance id of the daemon that runs the job; empty without an owner.
    #[prost(string, tag = "6")]
    pub owner: String,
    /// Fencing epoch, raised with each change of the owner.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// True once its client has cancelled it.
    #[prost(bool, tag = "8")]
    pub ended: bool,
    /// Time of acceptance on the store's clock, milliseconds.
    #[prost(uint64, tag = "9")]
    pub accepted_ms: u64,
    /// Number of rows that hold the items; 0 if an object does.
    #[prost(uint32, tag = "10")]
    pub item_rows: u32,
    /// Name of the object that holds the items, if they are too large for rows; else empty.
    #[prost(string, tag = "11")]
    pub item_object: String,
    /// Tenant that submitted it; empty if the configuration has no tenants, or its route needs no key.
    #[prost(string, tag = "12")]
    pub tenant: String,
    /// Instance id of the last owner, which released the job; empty while it has an owner.
    #[prost(string, tag = "13")]
    pub last_owner: String,
    /// Instance id of a daemon that considers the owner departed; empty if none has since the owner last wrote the
    /// header.
    #[prost(string, tag = "14")]
    pub challenger: String,
    /// Failure counts of items that are not listed.
    #[prost(message, repeated, tag = "15")]
    pub failures: Vec<ItemFailuresRow>,
    /// Number of takeovers of the job under a challenge.
    #[prost(uint32, tag = "16")]
    pub takeovers: u32,
    /// True if each owner before the present one released the job with all failed runs of its items stored. Only builds
    /// of format level 5 set it, on acceptance, and clear it when they take over a job that was not released. Builds
    /// that store failures keep it through their rewrites, except those of level 2; the others drop it.
    #[prost(bool, tag = "17")]
    pub failures_are_complete: bool,
    /// Encoded unknown fields of later builds. [`decode_job_header`] fills it, [`encode_job_header`] appends them to
    /// the known fields.
    #[prost(bytes = "vec", tag = "536870911")]
    pub later_fields: Vec<u8>,
}

/// Field numbers of a job header that this build knows.
const HEADER_FIELDS: RangeInclusive<u32> = 1..=17;

/// Decodes a job header and keeps its unknown fields; `None` if the bytes are not one.
pub fn decode_job_header(bytes: &[u8]) -> Option<JobHeadRow> {
    let mut header: JobHeadRow = decode(bytes)?;
    header.later_fields = later_fields(bytes, &HEADER_FIELDS)?;
    Some(header)
}

/// Encodes a job header, with its unknown fields.
pub fn encode_job_header(header: &JobHeadRow) -> Vec<u8> {
    if header.later_fields.is_empty() {
        return encode(header);
    }
    let known = JobHeadRow {
        later_fields: Vec::new(),
        ..header.clone()
    };
    let mut bytes = encode(&known);
    bytes.extend_from_slice(&header.later_fields);
    bytes
}

/// Number of failed runs of an item at replicas.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemFailuresRow {
    /// Index of the item in its job.
    #[prost(uint32, tag = "1")]
    pub item: u32,
    /// Failed runs.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Failure counts of a job's items that the job's header may not hold.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobFailures {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Counts that the header may not hold, of items that are not listed.
    #[prost(message, repeated, tag = "2")]
    pub failures: Vec<ItemFailuresRow>,
    /// Time since the job's owner last reported them, milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Failures that the store may not hold yet, for a daemon that may adopt the jobs.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailureReport {
    /// Member id of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The jobs with such failures.
    #[prost(message, repeated, tag = "2")]
    pub jobs: Vec<JobFailures>,
}

/// A piece of a result; results too large for one row are split.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResultPieceRow {
    /// True if the item failed permanently.
    #[prost(bool, tag = "1")]
    pub failed: bool,
    /// Total number of pieces of the result.
    #[prost(uint32, tag = "2")]
    pub pieces: u32,
    /// Text of this piece.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// Progress of an unfinished item, stored when its job is handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemProgressRow {
    /// Number of the last event received.
    #[prost(uint64, tag = "1")]
    pub last_event: u64,
    /// Data of all events received.
    #[prost(string, repeated, tag = "2")]
    pub texts: Vec<String>,
    /// Failed attempts.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Hash of the name of the service that wrote the events.
    #[prost(fixed32, tag = "4")]
    pub service: u32,
    /// Hash of the software version that wrote the events; absent if unknown, as in rows of builds before level 7.
    #[prost(fixed64, optional, tag = "5")]
    pub version: Option<u64>,
}
