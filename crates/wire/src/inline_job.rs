//! Rows of inline batch jobs: jobs whose items are kept in the table itself.

use std::ops::RangeInclusive;

use crate::{decode, encode, later_fields};

/// One part of an item's prompt.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PromptPartRow {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Its tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// A header that travels with an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderRow {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// One item as it was accepted.
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
    /// Prompt parts.
    #[prost(message, repeated, tag = "5")]
    pub prompt: Vec<PromptPartRow>,
    /// Prompt tokens.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    #[prost(uint32, tag = "7")]
    pub output_tokens: u32,
}

/// All items of a job; kept in pieces, each in a row of its own.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobItemsRow {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemBodyRow>,
}

/// What every daemon knows of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemHeadRow {
    /// Item id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Tokens of prompt and answer that the item may take.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// The job's head: small, watched by every daemon, changed only under its revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobHeadRow {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Route.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Host of the route.
    #[prost(string, tag = "3")]
    pub host: String,
    /// The items.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<ItemHeadRow>,
    /// Item at each position of the results, by its number in `items`.
    #[prost(uint32, repeated, tag = "5")]
    pub listed: Vec<u32>,
    /// Life of the daemon that runs the job; empty if nobody does.
    #[prost(string, tag = "6")]
    pub owner: String,
    /// Raised with each change of the owner.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// Ended by its client.
    #[prost(bool, tag = "8")]
    pub ended: bool,
    /// When it was accepted, on the store's clock, milliseconds.
    #[prost(uint64, tag = "9")]
    pub accepted_ms: u64,
    /// Rows that hold the items; 0 if an object does.
    #[prost(uint32, tag = "10")]
    pub item_rows: u32,
    /// Object that holds the items, if they are too large for rows.
    #[prost(string, tag = "11")]
    pub item_object: String,
    /// Tenant that submitted it; empty if the configuration knew no tenants, or its route asks for no key.
    #[prost(string, tag = "12")]
    pub tenant: String,
    /// Life of the daemon that ran the job last and gave it up; empty if somebody runs it.
    #[prost(string, tag = "13")]
    pub last_owner: String,
    /// Life of a daemon that holds the owner for gone; empty if none does since the owner last wrote the head.
    #[prost(string, tag = "14")]
    pub challenger: String,
    /// Items that replicas have failed and that are not listed.
    #[prost(message, repeated, tag = "15")]
    pub failures: Vec<ItemFailuresRow>,
    /// Takeovers of the job under a challenge.
    #[prost(uint32, tag = "16")]
    pub takeovers: u32,
    /// Fields that a later build has added, as it wrote them; empty in nearly all rows. [`decode_job_header`] fills it and [`encode_job_header`]
    /// writes it back as fields of their own.
    #[prost(bytes = "vec", tag = "536870911")]
    pub later_fields: Vec<u8>,
}

/// Numbers of the fields of a head that this build knows.
const HEAD_FIELDS: RangeInclusive<u32> = 1..=16;

/// Reads a job's head, with whatever a later build has added to it; `None` if the bytes are not one.
pub fn decode_job_header(bytes: &[u8]) -> Option<JobHeadRow> {
    let mut head: JobHeadRow = decode(bytes)?;
    head.later_fields = later_fields(bytes, &HEAD_FIELDS)?;
    Some(head)
}

/// Bytes of a job's head, with whatever a later build has added to it.
pub fn encode_job_header(head: &JobHeadRow) -> Vec<u8> {
    if head.later_fields.is_empty() {
        return encode(head);
    }
    let own = JobHeadRow {
        later_fields: Vec::new(),
        ..head.clone()
    };
    let mut bytes = encode(&own);
    bytes.extend_from_slice(&head.later_fields);
    bytes
}

/// How often replicas have failed an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemFailuresRow {
    /// The item, by its number in the job.
    #[prost(uint32, tag = "1")]
    pub item: u32,
    /// Failed runs.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A piece of a result.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResultPieceRow {
    /// The item failed for good.
    #[prost(bool, tag = "1")]
    pub failed: bool,
    /// Pieces of the result.
    #[prost(uint32, tag = "2")]
    pub pieces: u32,
    /// Text of this piece.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// What was done of an item when its job changed hands.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemProgressRow {
    /// Last event received.
    #[prost(uint64, tag = "1")]
    pub last_event: u64,
    /// Data of the events so far.
    #[prost(string, repeated, tag = "2")]
    pub texts: Vec<String>,
    /// Failed attempts.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
}
