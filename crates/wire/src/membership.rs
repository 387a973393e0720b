//! Datagrams of the membership protocol, of load reports and notices, and of preemption.

/// States of a member in the views of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// Acknowledges probes.
    Alive = 0,
    /// Failed to acknowledge recent probes.
    Suspect = 1,
    /// Announced that it leaves; receives no new work.
    Leaving = 2,
    /// Considered dead, or departed.
    Dead = 3,
}

/// Kinds of [`Datagram`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum DatagramKind {
    /// Probes the receiver, which replies with an ack.
    Ping = 0,
    /// Acknowledges a ping.
    Ack = 1,
    /// Indirect probe: the receiver pings `target` and relays its ack.
    PingRequest = 2,
    /// Sent to seeds by a member that has just started and knows no others.
    Join = 3,
    /// Requests the records of all buckets in which the receiver's view differs from the sender's.
    SyncRequest = 4,
    /// Full buckets of the sender's view, in reply to a sync request.
    SyncReply = 5,
    /// Records that were missing in a sync reply, sent back to its sender.
    SyncReturn = 6,
}

/// Batch work of a service left at a member's shards.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceBacklog {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Items ready to be granted, rounded up to a power of two.
    #[prost(uint32, tag = "2")]
    pub items: u32,
}

/// State of a member. A higher (incarnation, version) replaces a lower one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MemberRecord {
    /// Member id, unique for each daemon instance; also called instance id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// UDP address.
    #[prost(string, tag = "2")]
    pub udp_address: String,
    /// HTTP address for requests of peers.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// Zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Raised only by the member itself, to refute a suspicion or announce a change.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// A [`MemberState`].
    #[prost(enumeration = "MemberState", tag = "7")]
    pub state: i32,
    /// Batch work left at its shards.
    #[prost(message, repeated, tag = "8")]
    pub backlog: Vec<ServiceBacklog>,
    /// The member cannot reach the store while most others can: what it owns there is taken over.
    #[prost(bool, tag = "9")]
    pub detached: bool,
}

/// One datagram of the membership protocol.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// A [`DatagramKind`].
    #[prost(enumeration = "DatagramKind", tag = "1")]
    pub kind: i32,
    /// Member id of the sender.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Sequence number of the probe.
    #[prost(uint64, tag = "3")]
    pub probe: u64,
    /// Member to probe, in a ping or a ping request; empty if any process at the address may reply.
    #[prost(string, tag = "4")]
    pub target: String,
    /// Gossiped records.
    #[prost(message, repeated, tag = "5")]
    pub records: Vec<MemberRecord>,
    /// Configuration revision of the sender.
    #[prost(uint64, tag = "6")]
    pub config_revision: u64,
    /// Age of the sender's proof that this revision is the newest, milliseconds plus one; 0 without one.
    #[prost(uint64, tag = "7")]
    pub config_age_ms: u64,
    /// Recently cancelled jobs, whose items must not start.
    #[prost(string, repeated, tag = "8")]
    pub cancelled_jobs: Vec<String>,
    /// Digest of the sender's view; equal digests mean equal views.
    #[prost(fixed64, tag = "9")]
    pub view_digest: u64,
    /// Members in the sender's view; 0 if unknown.
    #[prost(uint32, tag = "10")]
    pub view_size: u32,
    /// In a sync request: digests of the buckets of the sender's view, two bytes each, little-endian.
    #[prost(bytes = "vec", tag = "11")]
    pub bucket_digests: Vec<u8>,
    /// In a sync reply: number of buckets of both views.
    #[prost(uint32, tag = "12")]
    pub bucket_count: u32,
    /// In a sync reply: buckets whose records are all in this datagram.
    #[prost(uint32, repeated, tag = "13")]
    pub whole_buckets: Vec<u32>,
}

/// Online requests of one gateway at one replica, sent to the replica's owner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OnlineCount {
    /// Replica id.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens of them not yet prefilled.
    #[prost(uint32, tag = "3")]
    pub prefill_tokens: u32,
}

/// A gateway reports its online requests to a replica owner, which replies with [`ReplicaReports`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OnlineNotice {
    /// Member id of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// UDP address of the sender.
    #[prost(string, tag = "2")]
    pub reply_to: String,
    /// Counts by replica.
    #[prost(message, repeated, tag = "3")]
    pub counts: Vec<OnlineCount>,
    /// Sender's clock, milliseconds; echoed in the reply, so that its age is known.
    #[prost(uint64, tag = "4")]
    pub sent_at_ms: u64,
}

/// Load of one replica, reported by its owner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaReport {
    /// Replica id.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Online sequences running.
    #[prost(uint32, tag = "2")]
    pub running_online: u32,
    /// Batch sequences running.
    #[prost(uint32, tag = "3")]
    pub running_batch: u32,
    /// Online sequences waiting.
    #[prost(uint32, tag = "4")]
    pub waiting_online: u32,
    /// Prompt tokens of online sequences not yet prefilled.
    #[prost(uint32, tag = "5")]
    pub waiting_prompt_tokens: u32,
    /// Age of the counts, milliseconds.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
    /// True if the replica must get no new work.
    #[prost(bool, tag = "7")]
    pub unavailable: bool,
}

/// A replica owner's reply to an [`OnlineNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaReports {
    /// Loads by replica.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<ReplicaReport>,
    /// `sent_at_ms` of the notice.
    #[prost(uint64, tag = "2")]
    pub echo_ms: u64,
}

/// Requests of one daemon at one replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaCount {
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "1")]
    pub replica: u32,
    /// Online requests in progress.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Batch items in progress.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
}

/// A daemon's report of its requests in progress to its peers; it has none at replicas not listed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadNotice {
    /// Member id of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Rises with each notice of the sender.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Counts by replica.
    #[prost(message, repeated, tag = "3")]
    pub counts: Vec<ReplicaCount>,
    /// Age of the freshness proof of the sender's copy of the job headers, milliseconds plus one; 0 without one.
    #[prost(uint32, tag = "4")]
    pub proof_age_ms: u32,
    /// Evacuated zones known to the sender, for daemons that the store rejects.
    #[prost(message, optional, tag = "5")]
    pub evacuations: Option<crate::Evacuations>,
    /// Version of the configuration in force at the sender; 0 if none.
    #[prost(uint64, tag = "6")]
    pub configuration_version: u64,
}

/// An online request found no free slot at a replica: the receiver is to preempt batch items there.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct YieldRequest {
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "1")]
    pub replica: u32,
    /// Number of slots wanted.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Lease number, at the receiver, of the item to preempt; 0 for any item at the replica.
    #[prost(uint32, tag = "3")]
    pub lease: u32,
}

/// Envelope of all datagrams between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeDatagram {
    /// The content; `None` if its kind is unknown to this build.
    #[prost(
        oneof = "node_datagram::Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub kind: Option<node_datagram::Kind>,
}

/// Kinds of [`NodeDatagram`].
pub mod node_datagram {
    /// Content of a datagram.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Membership protocol.
        #[prost(message, tag = "1")]
        Membership(super::Datagram),
        /// Online requests at replicas, for the replicas' owner.
        #[prost(message, tag = "2")]
        OnlineNotice(super::OnlineNotice),
        /// Loads of replicas.
        #[prost(message, tag = "3")]
        ReplicaReports(super::ReplicaReports),
        /// Requests in progress of a daemon, by replica.
        #[prost(message, tag = "4")]
        LoadNotice(super::LoadNotice),
        /// Requests the preemption of batch items.
        #[prost(message, tag = "5")]
        YieldRequest(super::YieldRequest),
        /// Requests a slot lease.
        #[prost(message, tag = "6")]
        SlotAsk(crate::SlotAsk),
        /// Reply to a request for a slot lease.
        #[prost(message, tag = "7")]
        SlotGrant(crate::SlotGrant),
        /// Leases held and released.
        #[prost(message, tag = "8")]
        SlotReport(crate::SlotReport),
        /// Requests a job's tokens of a route's quota.
        #[prost(message, tag = "9")]
        QuotaAsk(crate::QuotaAsk),
        /// Reply to a request for a job's tokens.
        #[prost(message, tag = "10")]
        QuotaAnswer(crate::QuotaAnswer),
        /// Requests tokens of a tenant's rate.
        #[prost(message, tag = "11")]
        RateAsk(crate::RateAsk),
        /// Reply to a request for a rate's tokens.
        #[prost(message, tag = "12")]
        RateGrant(crate::RateGrant),
        /// Contents under which replicas crashed.
        #[prost(message, tag = "13")]
        CrashNews(crate::CrashNews),
        /// Failures of items that the store may not hold yet.
        #[prost(message, tag = "14")]
        FailureReport(crate::FailureReport),
        /// Result of an audit of a copy of the store's rows.
        #[prost(message, tag = "15")]
        SpaceAudit(crate::SpaceAudit),
        /// Where streams began.
        #[prost(message, tag = "16")]
        StreamNotice(crate::StreamNotice),
        /// Asks where a stream began.
        #[prost(message, tag = "17")]
        StreamAsk(crate::StreamAsk),
        /// Reply to a question where a stream began.
        #[prost(message, tag = "18")]
        StreamAnswer(crate::StreamAnswer),
    }
}
