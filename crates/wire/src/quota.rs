//! The coordinator of a route's quota: its fence in the store, and the datagrams by which jobs get their share.

/// Who keeps the quota of a route. It lies in each partition of the jobs' heads; a job is kept only under the
/// revision of this row, so that what an earlier coordinator granted comes to nothing.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaFenceRow {
    /// Route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Life of the daemon that keeps the quota.
    #[prost(string, tag = "2")]
    pub coordinator: String,
}

/// A job wants its tokens.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaAsk {
    /// Number of the question at the asker.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Route.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Job.
    #[prost(string, tag = "3")]
    pub job: String,
    /// Tokens of its items.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
    /// The job will certainly not be kept: its tokens go back, and nothing is answered.
    #[prost(bool, tag = "5")]
    pub returned: bool,
    /// Tenant whose tokens they are; empty without tenants.
    #[prost(string, tag = "6")]
    pub tenant: String,
    /// Which submission of the job asks, a number that no other one has.
    #[prost(fixed64, tag = "7")]
    pub submission: u64,
}

/// A coordinator's answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaAnswer {
    /// Number of the question at the asker.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// What became of it.
    #[prost(enumeration = "QuotaOutcome", tag = "2")]
    pub outcome: i32,
    /// Revision of the fence under which a granted job is to be kept.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// What became of a question for a job's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum QuotaOutcome {
    /// The receiver does not keep the quota, or cannot tell what waits.
    NotCoordinator = 0,
    /// The tokens are the job's.
    Granted = 1,
    /// The job does not fit.
    Full = 2,
    /// The receiver has just become the coordinator and reads what waits.
    Wait = 3,
}
