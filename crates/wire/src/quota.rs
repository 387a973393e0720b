//! The fence row of a route's quota, and the datagrams by which its coordinator grants tokens to jobs.

/// Coordinator of a route's quota, one row in each partition of the job headers. A job is committed only under this
/// row's revision, which fences grants of earlier coordinators.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaFenceRow {
    /// Route name.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Instance id of the coordinating daemon.
    #[prost(string, tag = "2")]
    pub coordinator: String,
}

/// Requests tokens for a job, or returns them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaAsk {
    /// Number of the request at the requester.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Route name.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Job id.
    #[prost(string, tag = "3")]
    pub job: String,
    /// Tokens of all its items.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
    /// The job will certainly not be committed: its tokens are returned, without a reply.
    #[prost(bool, tag = "5")]
    pub returned: bool,
    /// Tenant that the tokens count for; empty without tenants.
    #[prost(string, tag = "6")]
    pub tenant: String,
    /// Unique number of the submission of the job.
    #[prost(fixed64, tag = "7")]
    pub submission: u64,
}

/// A coordinator's reply to a [`QuotaAsk`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaAnswer {
    /// Number of the request at the requester.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// A [`QuotaOutcome`].
    #[prost(enumeration = "QuotaOutcome", tag = "2")]
    pub outcome: i32,
    /// Revision of the fence row under which a granted job is to be committed.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// Outcome of a request for a job's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum QuotaOutcome {
    /// The receiver does not coordinate the quota, or does not know which jobs are waiting.
    NotCoordinator = 0,
    /// The tokens are reserved for the job.
    Granted = 1,
    /// The job exceeds the free quota.
    Full = 2,
    /// The receiver has just become the coordinator and still reads the waiting jobs.
    Wait = 3,
}
