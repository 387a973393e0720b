//! Datagrams by which daemons ask a replica's slot coordinator for a lease, and tell it what they hold.

use crate::PromptPartRow;

/// Where a request may go: a question to the coordinator of a group of replicas.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlotAsk {
    /// Hash of the asker's life.
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    /// Number of the lease at the asker; the same question asked again has the same number.
    #[prost(uint32, tag = "2")]
    pub lease: u32,
    /// Hash of the service's name.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// Number of the group of replicas within the service.
    #[prost(uint32, tag = "4")]
    pub group: u32,
    /// Hash of the asker's zone.
    #[prost(fixed32, tag = "5")]
    pub zone: u32,
    /// The prompt's shared parts, in order.
    #[prost(message, repeated, tag = "6")]
    pub parts: Vec<PromptPartRow>,
    /// How the prompt's length stands among the service's: 0 alike, 1 short, 2 long.
    #[prost(uint32, tag = "7")]
    pub length: u32,
    /// Hashes of replicas that must not be chosen.
    #[prost(fixed32, repeated, tag = "8")]
    pub excluded: Vec<u32>,
    /// Hashes of replicas that the asker avoids.
    #[prost(fixed32, repeated, tag = "9")]
    pub suspected: Vec<u32>,
    /// Set for a batch item.
    #[prost(message, optional, tag = "10")]
    pub item: Option<ItemSlotAsk>,
    /// Set for an online request whose objective has passed.
    #[prost(bool, tag = "11")]
    pub overdue: bool,
    /// Hash of the zone or the region that the group lies in; 0 for a group over all places.
    #[prost(fixed32, tag = "12")]
    pub group_area: u32,
    /// Hashes of replicas of the group to which the asker keeps a connection.
    #[prost(fixed32, repeated, tag = "13")]
    pub connected: Vec<u32>,
    /// For an online request: time within which its answer must begin, milliseconds.
    #[prost(uint32, tag = "14")]
    pub objective_ms: u32,
    /// Longest time after which its caller still comes back, milliseconds; 0 if it must be placed.
    #[prost(uint32, tag = "15")]
    pub may_return_ms: u32,
    /// Hash of the asker's region.
    #[prost(fixed32, tag = "16")]
    pub region: u32,
    /// Regions in which the request may be served; not set if in all.
    #[prost(message, optional, tag = "17")]
    pub allowed_regions: Option<RegionNames>,
    /// Most members that the asker knew lately; 0 if not more than now.
    #[prost(uint32, tag = "21")]
    pub fleet_members: u32,
    /// Time since it knew so many, milliseconds.
    #[prost(uint32, tag = "22")]
    pub fleet_seen_ms_ago: u32,
    /// The asker's own region has replicas too, which are full: granted only where there is room to spare.
    #[prost(bool, tag = "18")]
    pub spilled: bool,
    /// The request may be sent again elsewhere if it fails: it may try a replica that was ejected.
    #[prost(bool, tag = "20")]
    pub may_repeat: bool,
}

/// Names of regions.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RegionNames {
    /// The names.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
}

/// What a batch item adds to its question.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemSlotAsk {
    /// Time until the item must run again if it is ended now, milliseconds.
    #[prost(uint32, tag = "1")]
    pub slack_ms: u32,
}

/// A coordinator's answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlotGrant {
    /// Number of the lease at the asker.
    #[prost(uint32, tag = "1")]
    pub lease: u32,
    /// Hash of the replica's id; 0 if there is none for the request.
    #[prost(fixed32, tag = "2")]
    pub replica: u32,
    /// Hash of the id of a replica from which the prompt's memory is copied; 0 if none.
    #[prost(fixed32, tag = "3")]
    pub copy_from: u32,
    /// Requests at the replica before this one, as the coordinator counts them.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// Slots of the group that online requests may still take, in thousandths of all its slots.
    #[prost(uint32, tag = "5")]
    pub free_permille: u32,
    /// The receiver keeps no such group, or does not know its replicas yet.
    #[prost(bool, tag = "6")]
    pub not_coordinator: bool,
    /// The request would be late: its caller is to come back after so long, milliseconds; 0 if not.
    #[prost(uint32, tag = "7")]
    pub come_back_ms: u32,
    /// The replica is cold, and the coordinator has counted the request there: it may be sent for a short time.
    #[prost(bool, tag = "8")]
    pub counted_cold: bool,
    /// Nothing was granted because the group's replicas are cold and have got what they bear now.
    #[prost(bool, tag = "9")]
    pub all_cold: bool,
    /// The replica is tried for its return to service: its room says nothing of the group's.
    #[prost(bool, tag = "10")]
    pub is_probe: bool,
}

/// A lease held at a replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeldSlot {
    /// Number of the lease at its holder.
    #[prost(uint32, tag = "1")]
    pub lease: u32,
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "2")]
    pub replica: u32,
    /// A batch item holds it.
    #[prost(bool, tag = "3")]
    pub batch: bool,
    /// For an item: time until it must run again if it is ended now, milliseconds.
    #[prost(uint32, tag = "4")]
    pub slack_ms: u32,
}

/// What a daemon tells a coordinator of its leases.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlotReport {
    /// Hash of the holder's life.
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    /// SlotLeases that were taken or, in a whole report, all leases held with this coordinator.
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<HeldSlot>,
    /// SlotLeases given back.
    #[prost(uint32, repeated, tag = "3")]
    pub released: Vec<u32>,
    /// Set in a report that names all leases.
    #[prost(message, optional, tag = "4")]
    pub whole: Option<WholeReport>,
    /// What became of requests whose leases are given back.
    #[prost(message, repeated, tag = "5")]
    pub outcomes: Vec<LeaseOutcome>,
}

/// How a request at a replica ended, as its holder saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeKind {
    /// Nothing can be said of the replica: the caller left, the item was ended, or the request itself was at fault.
    NoEvidence = 0,
    /// The replica answered in full.
    Served = 1,
    /// It answered with a failure of its own.
    Failed = 2,
    /// Its answer broke off, or its connection was refused or reset.
    Cut = 3,
    /// Nothing came from it.
    Silent = 4,
    /// Its bytes formed no answer, or that of another request.
    Spoilt = 5,
    /// It said that it did not run the request.
    NotRun = 6,
    /// The lease was given back before anything was sent under it.
    NotSent = 7,
}

/// The end of one lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseOutcome {
    /// Number of the lease at its holder.
    #[prost(uint32, tag = "1")]
    pub lease: u32,
    /// Hash of the replica's id.
    #[prost(fixed32, tag = "2")]
    pub replica: u32,
    /// How it ended.
    #[prost(enumeration = "OutcomeKind", tag = "3")]
    pub kind: i32,
    /// Time from sending it to the first event, milliseconds; 0 if none came.
    #[prost(uint32, tag = "4")]
    pub first_event_ms: u32,
}

/// What a report that names all leases adds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WholeReport {
    /// Rises with each whole report of the holder.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Numbers of leases from this one on were not given out yet.
    #[prost(uint32, tag = "2")]
    pub next_lease: u32,
    /// SlotLeases asked for whose answer has not come.
    #[prost(uint32, repeated, tag = "3")]
    pub awaited: Vec<u32>,
}
