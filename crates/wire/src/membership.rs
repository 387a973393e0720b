//! Datagrams of the membership protocol.

/// States of a member as others see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// Answers probes.
    Alive = 0,
    /// Did not answer lately.
    Suspect = 1,
    /// Said that it leaves: gets no new work.
    Leaving = 2,
    /// Taken for dead, or gone.
    Dead = 3,
}

/// Kinds of datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum DatagramKind {
    /// Asks the receiver to answer.
    Ping = 0,
    /// Answers a ping.
    Ack = 1,
    /// Asks the receiver to ping `target` and pass its answer on.
    PingRequest = 2,
    /// Sent to seeds by a member that has just started and knows nobody.
    Join = 3,
    /// Asks for the records of all buckets in which the receiver's view differs from the sender's.
    SyncRequest = 4,
    /// Whole buckets of the sender's view, in answer to a sync request.
    SyncReply = 5,
    /// Records that the receiver's sync reply showed to be missing there.
    SyncReturn = 6,
}

/// Batch work that a member's shards have left for a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceBacklog {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Items ready to be granted, in steps of a power of two.
    #[prost(uint32, tag = "2")]
    pub items: u32,
}

/// What is known of a member. A higher (incarnation, version) replaces a lower one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MemberRecord {
    /// Member id, unique for each start of a daemon.
    #[prost(string, tag = "1")]
    pub id: String,
    /// UDP address.
    #[prost(string, tag = "2")]
    pub udp_address: String,
    /// HTTP address for peers.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// Zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Raised only by the member itself, to refute a suspicion or spread news of itself.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// State.
    #[prost(enumeration = "MemberState", tag = "7")]
    pub state: i32,
    /// Batch work left at its shards.
    #[prost(message, repeated, tag = "8")]
    pub backlog: Vec<ServiceBacklog>,
    /// The member cannot reach the store while most others can: what it owns there goes on elsewhere.
    #[prost(bool, tag = "9")]
    pub detached: bool,
}

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Kind.
    #[prost(enumeration = "DatagramKind", tag = "1")]
    pub kind: i32,
    /// Sender's member id.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Number of the probe that this belongs to.
    #[prost(uint64, tag = "3")]
    pub probe: u64,
    /// Member to probe, in a ping or a ping request; empty if whoever has the address may answer.
    #[prost(string, tag = "4")]
    pub target: String,
    /// Records passed on.
    #[prost(message, repeated, tag = "5")]
    pub records: Vec<MemberRecord>,
    /// Sender's configuration revision.
    #[prost(uint64, tag = "6")]
    pub config_revision: u64,
    /// Age of the sender's proof that this revision is the newest, milliseconds plus one; 0 if it has none.
    #[prost(uint64, tag = "7")]
    pub config_age_ms: u64,
    /// Jobs cancelled lately: nothing of them may be started.
    #[prost(string, repeated, tag = "8")]
    pub cancelled_jobs: Vec<String>,
    /// Digest of the sender's view: two views with the same one hold the same members.
    #[prost(fixed64, tag = "9")]
    pub view_digest: u64,
    /// Members in the sender's view; 0 if it does not say.
    #[prost(uint32, tag = "10")]
    pub view_size: u32,
    /// In a sync request: digests of the buckets of the sender's view, two bytes each, little-endian.
    #[prost(bytes = "vec", tag = "11")]
    pub bucket_digests: Vec<u8>,
    /// In a sync reply: number of buckets into which both views are divided.
    #[prost(uint32, tag = "12")]
    pub bucket_count: u32,
    /// In a sync reply: buckets whose records are all in this datagram.
    #[prost(uint32, repeated, tag = "13")]
    pub whole_buckets: Vec<u32>,
}

/// Online requests of one gateway at one replica, for the replica's owner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OnlineCount {
    /// Replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens of them not yet prefilled.
    #[prost(uint32, tag = "3")]
    pub prefill_tokens: u32,
}

/// A gateway tells a replica owner of its online requests; the owner answers with [`ReplicaReports`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OnlineNotice {
    /// Sender's member id.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Sender's UDP address.
    #[prost(string, tag = "2")]
    pub reply_to: String,
    /// Counts by replica.
    #[prost(message, repeated, tag = "3")]
    pub counts: Vec<OnlineCount>,
    /// Sender's clock, milliseconds; comes back with the reports, so that their age is known.
    #[prost(uint64, tag = "4")]
    pub sent_at_ms: u64,
}

/// Load of one replica as its owner knows it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaReport {
    /// Replica.
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
    /// Age of the numbers, milliseconds.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
    /// The replica must get no new work.
    #[prost(bool, tag = "7")]
    pub unavailable: bool,
}

/// Reports of a replica owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaReports {
    /// The reports.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<ReplicaReport>,
    /// `sent_at_ms` of the notice that is answered.
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

/// A daemon tells its peers what it has in progress; replicas not named have nothing.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadNotice {
    /// Sender's member id.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Rises with each notice of the sender.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Counts by replica.
    #[prost(message, repeated, tag = "3")]
    pub counts: Vec<ReplicaCount>,
    /// Age of the sender's proof that its copy of the jobs' heads is true, milliseconds plus one; 0 if it has none.
    #[prost(uint32, tag = "4")]
    pub proof_age_ms: u32,
    /// What the sender knows of evacuated zones, for those that the store turns away.
    #[prost(message, optional, tag = "5")]
    pub evacuations: Option<crate::Evacuations>,
    /// Version of the configuration that the sender has in force; 0 if none.
    #[prost(uint64, tag = "6")]
    pub configuration_version: u64,
}

/// An online request found no free slot at a replica: the receiver's batch items there shall give some back.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct YieldRequest {
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "1")]
    pub replica: u32,
    /// Slots wanted.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Number, at the receiver, of the lease whose item shall end; 0 for any item at the replica.
    #[prost(uint32, tag = "3")]
    pub lease: u32,
}

/// Any datagram between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeDatagram {
    /// What it carries.
    #[prost(
        oneof = "node_datagram::Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub kind: Option<node_datagram::Kind>,
}

/// Kinds of datagram between daemons.
pub mod node_datagram {
    /// What a datagram carries.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Membership protocol.
        #[prost(message, tag = "1")]
        Membership(super::Datagram),
        /// Online requests at replicas.
        #[prost(message, tag = "2")]
        OnlineNotice(super::OnlineNotice),
        /// Loads of replicas.
        #[prost(message, tag = "3")]
        ReplicaReports(super::ReplicaReports),
        /// Requests in progress of an edge daemon.
        #[prost(message, tag = "4")]
        LoadNotice(super::LoadNotice),
        /// Batch items are to give slots back.
        #[prost(message, tag = "5")]
        YieldRequest(super::YieldRequest),
        /// Where may a request go?
        #[prost(message, tag = "6")]
        SlotAsk(crate::SlotAsk),
        /// It may go there.
        #[prost(message, tag = "7")]
        SlotGrant(crate::SlotGrant),
        /// Slots held and given back.
        #[prost(message, tag = "8")]
        SlotReport(crate::SlotReport),
        /// A job wants its tokens of a quota.
        #[prost(message, tag = "9")]
        QuotaAsk(crate::QuotaAsk),
        /// What became of that.
        #[prost(message, tag = "10")]
        QuotaAnswer(crate::QuotaAnswer),
        /// A daemon wants tokens of a tenant's rate.
        #[prost(message, tag = "11")]
        RateAsk(crate::RateAsk),
        /// What became of that.
        #[prost(message, tag = "12")]
        RateGrant(crate::RateGrant),
        /// Contents under which replicas ended.
        #[prost(message, tag = "13")]
        CrashNews(crate::CrashNews),
    }
}
