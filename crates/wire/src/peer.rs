//! Requests and replies between daemons, carried by HTTP.

use crate::{ConfigLogEntry, ConfigObjectRow};

/// An item that the sender of a pull still holds; listing it renews its grant.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningItem {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Item number within the job.
    #[prost(uint32, tag = "2")]
    pub item: u32,
    /// Attempt id of the grant.
    #[prost(string, tag = "3")]
    pub attempt: String,
}

/// A replica owner requests items from a shard owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullRequest {
    /// Member id of the requester.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Service whose items the requester can run.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Maximum number of items wanted.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Items granted by the receiver that the requester still holds.
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<RunningItem>,
    /// Tenants whose items may run; empty means any.
    #[prost(string, repeated, tag = "5")]
    pub tenants: Vec<String>,
}

/// An item granted to a replica owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Tenant of the job.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// Shard of the job.
    #[prost(uint32, tag = "3")]
    pub shard: u32,
    /// Item number within the job.
    #[prost(uint32, tag = "4")]
    pub item: u32,
    /// Attempt id, unique for each grant.
    #[prost(string, tag = "5")]
    pub attempt: String,
    /// The item's input line.
    #[prost(string, tag = "6")]
    pub line: String,
    /// The item must run at most once.
    #[prost(bool, tag = "7")]
    pub at_most_once: bool,
    /// Deadline of the job, milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    pub deadline_at_ms: u64,
}

/// Reply to a [`PullRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullReply {
    /// Items granted.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<Grant>,
    /// Items of the service not yet granted.
    #[prost(uint32, tag = "2")]
    pub remaining: u32,
    /// Held items that must be stopped: cancelled, or no longer granted.
    #[prost(message, repeated, tag = "3")]
    pub stop: Vec<RunningItem>,
}

/// Result of an item.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemResult {
    /// Job id.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Item number within the job.
    #[prost(uint32, tag = "2")]
    pub item: u32,
    /// Attempt id of the grant.
    #[prost(string, tag = "3")]
    pub attempt: String,
    /// Shard of the job.
    #[prost(uint32, tag = "4")]
    pub shard: u32,
    /// The result line.
    #[prost(string, tag = "5")]
    pub line: String,
    /// True if the item failed permanently.
    #[prost(bool, tag = "6")]
    pub failed: bool,
}

/// An unfinished item that is returned.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HandBack {
    /// The item.
    #[prost(message, optional, tag = "1")]
    pub item: Option<RunningItem>,
    /// Shard of the job.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// True if an engine may have run a part of it.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
}

/// A replica owner delivers results and returns unfinished items.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResultsRequest {
    /// Results of finished items.
    #[prost(message, repeated, tag = "1")]
    pub results: Vec<ItemResult>,
    /// Returned items.
    #[prost(message, repeated, tag = "2")]
    pub handed_back: Vec<HandBack>,
}

/// Results that the receiver refused because it does not own their shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResultsReply {
    /// Shards that the receiver does not own.
    #[prost(uint32, repeated, tag = "1")]
    pub refused_shards: Vec<u32>,
}

/// Notifies a peer that a job was accepted or changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobNotice {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Job id.
    #[prost(string, tag = "2")]
    pub job_id: String,
    /// Shard.
    #[prost(uint32, tag = "3")]
    pub shard: u32,
}

/// Notifies a peer that a job's cancellation is committed: none of its items may start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelNotice {
    /// The job.
    #[prost(message, optional, tag = "1")]
    pub job: Option<JobNotice>,
    /// Address of a member to which the receiver must relay the notice, returning that member's reply; empty if none.
    #[prost(string, tag = "2")]
    pub relay_to: String,
}

/// Reply to a [`CancelNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelReply {
    /// Running items that were stopped.
    #[prost(uint32, tag = "1")]
    pub stopped: u32,
    /// True if the addressed member has noted the cancellation: the receiver, or the member to which it relayed.
    #[prost(bool, tag = "2")]
    pub noted: bool,
}

/// Requests configuration changes above a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDeltaRequest {
    /// Newest revision that the requester holds.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// Configuration changes, or all objects if the changes are no longer available.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDeltaReply {
    /// Changes in order of revision, without gaps.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<ConfigLogEntry>,
    /// True if `objects` is the full configuration at `revision`.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// All objects; empty in a delta.
    #[prost(message, repeated, tag = "3")]
    pub objects: Vec<ConfigObjectRow>,
    /// Revision after the changes are applied.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// A request to a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerRequest {
    /// The request; `None` if its kind is unknown to this build.
    #[prost(oneof = "peer_request::Kind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<peer_request::Kind>,
}

/// Kinds of [`PeerRequest`].
pub mod peer_request {
    /// Content of a request.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Requests batch items.
        #[prost(message, tag = "1")]
        Pull(super::PullRequest),
        /// Delivers results.
        #[prost(message, tag = "2")]
        Results(super::ResultsRequest),
        /// Notifies a peer that a job was accepted or changed.
        #[prost(message, tag = "3")]
        JobNotice(super::JobNotice),
        /// Notifies of a job's cancellation.
        #[prost(message, tag = "4")]
        Cancel(super::CancelNotice),
        /// Requests configuration changes.
        #[prost(message, tag = "5")]
        ConfigDelta(super::ConfigDeltaRequest),
        /// Requests the configuration revision in force.
        #[prost(bool, tag = "6")]
        ConfigRevision(bool),
    }
}

/// A peer's reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerReply {
    /// The reply; `None` if its kind is unknown to this build.
    #[prost(oneof = "peer_reply::Kind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<peer_reply::Kind>,
}

/// Kinds of [`PeerReply`].
pub mod peer_reply {
    /// Content of a reply.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Items granted.
        #[prost(message, tag = "1")]
        Pull(super::PullReply),
        /// Results accepted, but for those of refused shards.
        #[prost(message, tag = "2")]
        Results(super::ResultsReply),
        /// Acknowledges a notice.
        #[prost(bool, tag = "3")]
        Noted(bool),
        /// Acknowledges a cancellation.
        #[prost(message, tag = "4")]
        Cancel(super::CancelReply),
        /// Configuration changes.
        #[prost(message, tag = "5")]
        ConfigDelta(super::ConfigDeltaReply),
        /// Configuration revision in force.
        #[prost(uint64, tag = "6")]
        ConfigRevision(u64),
    }
}
