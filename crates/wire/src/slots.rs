//! Datagrams by which daemons request slot leases from a replica group's coordinator, and report those that they hold.

use crate::PromptPartRow;

/// Requests a lease from the coordinator of a group of replicas.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlotAsk {
    /// Hash of the requester's instance id.
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    /// Number of the lease at the requester; a resent request has the same number.
    #[prost(uint32, tag = "2")]
    pub lease: u32,
    /// Hash of the service's name.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// Number of the group of replicas within the service.
    #[prost(uint32, tag = "4")]
    pub group: u32,
    /// Hash of the requester's zone.
    #[prost(fixed32, tag = "5")]
    pub zone: u32,
    /// The prompt's shared parts, in order.
    #[prost(message, repeated, tag = "6")]
    pub parts: Vec<PromptPartRow>,
    /// Class of the prompt's length: 0 while the service separates no lengths, 1 short, 2 long.
    #[prost(uint32, tag = "7")]
    pub length: u32,
    /// Hashes of replicas that must not be chosen.
    #[prost(fixed32, repeated, tag = "8")]
    pub excluded: Vec<u32>,
    /// Hashes of replicas that the requester avoids.
    #[prost(fixed32, repeated, tag = "9")]
    pub suspected: Vec<u32>,
    /// Set for a batch item.
    #[prost(message, optional, tag = "10")]
    pub item: Option<ItemSlotAsk>,
    /// The online request's objective has passed.
    #[prost(bool, tag = "11")]
    pub overdue: bool,
    /// Hash of the group's zone or region; 0 for a group over all zones.
    #[prost(fixed32, tag = "12")]
    pub group_area: u32,
    /// Hashes of the group's replicas to which the requester keeps a connection.
    #[prost(fixed32, repeated, tag = "13")]
    pub connected: Vec<u32>,
    /// For an online request: remaining time until its response must begin, milliseconds.
    #[prost(uint32, tag = "14")]
    pub objective_ms: u32,
    /// Maximum delay after which its caller still retries, milliseconds; 0 if it must be placed.
    #[prost(uint32, tag = "15")]
    pub may_return_ms: u32,
    /// Hash of the requester's region.
    #[prost(fixed32, tag = "16")]
    pub region: u32,
    /// Regions in which the request may be served; absent if in all.
    #[prost(message, optional, tag = "17")]
    pub allowed_regions: Option<RegionNames>,
    /// Hash of the only software version that may serve the request; absent if any may. Builds before level 7 ignore it,
    /// and the requester doesn't use what they grant of another version.
    #[prost(fixed64, optional, tag = "23")]
    pub version: Option<u64>,
    /// Largest number of members that the requester recently knew; 0 if not more than now.
    #[prost(uint32, tag = "21")]
    pub fleet_members: u32,
    /// Time since it knew that many, milliseconds.
    #[prost(uint32, tag = "22")]
    pub fleet_seen_ms_ago: u32,
    /// The replicas of the requester's own region are full: granted only from spare capacity.
    #[prost(bool, tag = "18")]
    pub spilled: bool,
    /// The request may be retried elsewhere if it fails, so it may probe an ejected replica.
    #[prost(bool, tag = "20")]
    pub may_repeat: bool,
}

/// A list of regions; a message, so that "none" differs from absent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RegionNames {
    /// The names.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
}

/// Part of a request for a batch item's lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemSlotAsk {
    /// Time for which the item can wait if it is preempted now, milliseconds.
    #[prost(uint32, tag = "1")]
    pub slack_ms: u32,
}

/// A coordinator's reply to a [`SlotAsk`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlotGrant {
    /// Number of the lease at the requester.
    #[prost(uint32, tag = "1")]
    pub lease: u32,
    /// Hash of the replica's id; 0 if none was granted.
    #[prost(fixed32, tag = "2")]
    pub replica: u32,
    /// Hash of the id of the replica from which the prefix cache is transferred; 0 if none.
    #[prost(fixed32, tag = "3")]
    pub copy_from: u32,
    /// Requests at the replica, without this one, as counted by the coordinator.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// Slots of the group free for online requests, in thousandths of all its slots.
    #[prost(uint32, tag = "5")]
    pub free_permille: u32,
    /// The receiver does not coordinate the group, or does not know its replicas yet.
    #[prost(bool, tag = "6")]
    pub not_coordinator: bool,
    /// Delay after which the caller is to retry because the request would be late, milliseconds; 0 if none.
    #[prost(uint32, tag = "7")]
    pub come_back_ms: u32,
    /// The replica is cold and the coordinator has counted the request there: it may be sent for a short time.
    #[prost(bool, tag = "8")]
    pub counted_cold: bool,
    /// Nothing was granted because the group's replicas are cold and at their capacity.
    #[prost(bool, tag = "9")]
    pub all_cold: bool,
    /// The request probes an ejected replica: the replica's free capacity is not representative of the group.
    #[prost(bool, tag = "10")]
    pub is_probe: bool,
}

/// A lease in use at a replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeldSlot {
    /// Number of the lease at its holder.
    #[prost(uint32, tag = "1")]
    pub lease: u32,
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "2")]
    pub replica: u32,
    /// True if a batch item holds it.
    #[prost(bool, tag = "3")]
    pub batch: bool,
    /// For an item: time for which it can wait if it is preempted now, milliseconds.
    #[prost(uint32, tag = "4")]
    pub slack_ms: u32,
}

/// A holder's report of its leases to their coordinator.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlotReport {
    /// Hash of the holder's instance id.
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    /// Leases acquired since the last report; in a full report, all leases held with this coordinator.
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<HeldSlot>,
    /// Numbers of released leases.
    #[prost(uint32, repeated, tag = "3")]
    pub released: Vec<u32>,
    /// Set in a full report.
    #[prost(message, optional, tag = "4")]
    pub whole: Option<WholeReport>,
    /// Outcomes of requests whose leases are released.
    #[prost(message, repeated, tag = "5")]
    pub outcomes: Vec<LeaseOutcome>,
}

/// Outcome of a request at a replica, as its holder saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeKind {
    /// Not attributable to the replica: the caller left, the item was preempted, or the request was invalid.
    NoEvidence = 0,
    /// The response was complete.
    Served = 1,
    /// The replica responded with a failure of its own.
    Failed = 2,
    /// The response broke off, or the connection was refused or reset.
    Cut = 3,
    /// The replica did not respond in time.
    Silent = 4,
    /// The response was corrupt, or belonged to another request.
    Spoilt = 5,
    /// The replica reported that it did not run the request.
    NotRun = 6,
    /// Nothing ran under the lease: it was released before anything was sent, or the request itself was refused.
    NotSent = 7,
}

/// Outcome of the request under one lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseOutcome {
    /// Number of the lease at its holder.
    #[prost(uint32, tag = "1")]
    pub lease: u32,
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "2")]
    pub replica: u32,
    /// An [`OutcomeKind`].
    #[prost(enumeration = "OutcomeKind", tag = "3")]
    pub kind: i32,
    /// Time from sending the request to the first event, milliseconds; 0 if none arrived.
    #[prost(uint32, tag = "4")]
    pub first_event_ms: u32,
}

/// Additional part of a full report.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WholeReport {
    /// Rises with each full report of the holder.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Lease numbers from this one on are not assigned yet.
    #[prost(uint32, tag = "2")]
    pub next_lease: u32,
    /// Numbers of leases that were requested and not yet replied to.
    #[prost(uint32, repeated, tag = "3")]
    pub awaited: Vec<u32>,
}
