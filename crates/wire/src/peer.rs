//! Requests between daemons, carried by HTTP.

use crate::{ConfigLogEntry, ConfigObjectRow};

/// An item that the caller of a pull still holds; naming it renews its grant.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningItem {
    /// Job.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Item number within the job.
    #[prost(uint32, tag = "2")]
    pub item: u32,
    /// Attempt.
    #[prost(string, tag = "3")]
    pub attempt: String,
}

/// A replica owner asks a shard owner for items.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullRequest {
    /// Member that asks.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Service whose items it can run.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Most items wanted.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Items granted by the receiver that the caller still holds.
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<RunningItem>,
    /// Tenants whose items may run; empty means any.
    #[prost(string, repeated, tag = "5")]
    pub tenants: Vec<String>,
}

/// An item given out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// Job.
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
    /// Attempt.
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

/// Answer to a pull.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullReply {
    /// Items granted.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<Grant>,
    /// Items of the service still to be granted.
    #[prost(uint32, tag = "2")]
    pub remaining: u32,
    /// Held items that must be stopped: cancelled, or no longer granted.
    #[prost(message, repeated, tag = "3")]
    pub stop: Vec<RunningItem>,
}

/// Result of an item.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemResult {
    /// Job.
    #[prost(string, tag = "1")]
    pub job_id: String,
    /// Item number within the job.
    #[prost(uint32, tag = "2")]
    pub item: u32,
    /// Attempt.
    #[prost(string, tag = "3")]
    pub attempt: String,
    /// Shard of the job.
    #[prost(uint32, tag = "4")]
    pub shard: u32,
    /// The result line.
    #[prost(string, tag = "5")]
    pub line: String,
    /// The item failed for good.
    #[prost(bool, tag = "6")]
    pub failed: bool,
}

/// An item given back unfinished.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HandBack {
    /// The item.
    #[prost(message, optional, tag = "1")]
    pub item: Option<RunningItem>,
    /// Shard of the job.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// An engine may have run a part of it.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
}

/// A replica owner returns results and hands items back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResultsRequest {
    /// Results.
    #[prost(message, repeated, tag = "1")]
    pub results: Vec<ItemResult>,
    /// Items handed back.
    #[prost(message, repeated, tag = "2")]
    pub handed_back: Vec<HandBack>,
}

/// Which of the results the receiver could not take because it does not own their shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResultsReply {
    /// Shards that are not the receiver's.
    #[prost(uint32, repeated, tag = "1")]
    pub refused_shards: Vec<u32>,
}

/// A job was accepted, or something of it changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobNotice {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Job.
    #[prost(string, tag = "2")]
    pub job_id: String,
    /// Shard.
    #[prost(uint32, tag = "3")]
    pub shard: u32,
}

/// A job's cancel is committed: run nothing more of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelNotice {
    /// The job.
    #[prost(message, optional, tag = "1")]
    pub job: Option<JobNotice>,
    /// Address of a member that the receiver must tell in turn; its answer is passed back.
    #[prost(string, tag = "2")]
    pub relay_to: String,
}

/// Answer to a cancel notice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelReply {
    /// Running items that were stopped.
    #[prost(uint32, tag = "1")]
    pub stopped: u32,
    /// The member that was to be told has taken note.
    #[prost(bool, tag = "2")]
    pub noted: bool,
}

/// Asks for configuration changes above a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDeltaRequest {
    /// Newest revision the caller holds.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// Configuration changes, or all objects if the changes are no longer at hand.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDeltaReply {
    /// Changes in order of revision, without gap.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<ConfigLogEntry>,
    /// True if `objects` holds everything as of `revision`.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// All objects.
    #[prost(message, repeated, tag = "3")]
    pub objects: Vec<ConfigObjectRow>,
    /// Revision the answer leads to.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// A request to a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerRequest {
    /// What is asked.
    #[prost(oneof = "peer_request::Kind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<peer_request::Kind>,
}

/// Kinds of peer request.
pub mod peer_request {
    /// What is asked.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Items wanted.
        #[prost(message, tag = "1")]
        Pull(super::PullRequest),
        /// Results returned.
        #[prost(message, tag = "2")]
        Results(super::ResultsRequest),
        /// A job was accepted.
        #[prost(message, tag = "3")]
        JobNotice(super::JobNotice),
        /// A job was cancelled.
        #[prost(message, tag = "4")]
        Cancel(super::CancelNotice),
        /// Configuration wanted.
        #[prost(message, tag = "5")]
        ConfigDelta(super::ConfigDeltaRequest),
        /// Asks which configuration revision is in force.
        #[prost(bool, tag = "6")]
        ConfigRevision(bool),
    }
}

/// A peer's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerReply {
    /// What is answered.
    #[prost(oneof = "peer_reply::Kind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<peer_reply::Kind>,
}

/// Kinds of peer answer.
pub mod peer_reply {
    /// What is answered.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Items granted.
        #[prost(message, tag = "1")]
        Pull(super::PullReply),
        /// Results taken.
        #[prost(message, tag = "2")]
        Results(super::ResultsReply),
        /// Taken note.
        #[prost(bool, tag = "3")]
        Noted(bool),
        /// Cancel carried out.
        #[prost(message, tag = "4")]
        Cancel(super::CancelReply),
        /// Configuration.
        #[prost(message, tag = "5")]
        ConfigDelta(super::ConfigDeltaReply),
        /// Revision in force.
        #[prost(uint64, tag = "6")]
        ConfigRevision(u64),
    }
}
