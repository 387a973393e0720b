//! Messages between Harrierward's own processes and the rows it keeps in the platform's table.
//!
//! The structs carry prost's derive, so the build needs no generator. Field numbers must never be reused.

mod batch;
mod claim;
mod configuration;
mod evacuation;
mod inline_job;
mod known_rows;
mod later_fields;
mod membership;
mod peer;
mod quarantine;
mod quota;
mod rates;
mod slots;
mod space;

pub use batch::{
    ChunkRow, FileRow, JobKeyRow, JobRow, JobState, OpenJobRow, OwnershipRow, ProgressRow,
    ResultObject, ShardCountRow,
};
pub use claim::{ClaimRow, ClaimState};
pub use configuration::{ConfigChange, ConfigHead, ConfigLogEntry, ConfigObjectRow};
pub use evacuation::{EvacuatedZone, Evacuations};
pub use inline_job::{
    HeaderRow, ItemBodyRow, ItemFailuresRow, ItemHeadRow, ItemProgressRow, JobHeadRow, JobItemsRow,
    PromptPartRow, ResultPieceRow, decode_job_header, encode_job_header,
};
pub use known_rows::{KnownRow, KnownRows};
pub use later_fields::later_fields;
pub use membership::{
    Datagram, DatagramKind, LoadNotice, MemberRecord, MemberState, NodeDatagram, OnlineCount,
    OnlineNotice, ReplicaCount, ReplicaReport, ReplicaReports, ServiceBacklog, YieldRequest,
    node_datagram,
};
pub use peer::{
    CancelNotice, CancelReply, ConfigDeltaReply, ConfigDeltaRequest, Grant, HandBack, ItemResult,
    JobNotice, PeerReply, PeerRequest, PullReply, PullRequest, ResultsReply, ResultsRequest,
    RunningItem, peer_reply, peer_request,
};
pub use quarantine::{CrashNews, CrashNewsRow, CrashedContent, ReplicaEnd};
pub use quota::{QuotaAnswer, QuotaAsk, QuotaFenceRow, QuotaOutcome};
pub use rates::{RateAsk, RateGrant, RateOutcome};
pub use slots::{
    HeldSlot, ItemSlotAsk, LeaseOutcome, OutcomeKind, RegionNames, SlotAsk, SlotGrant, SlotReport,
    WholeReport,
};
pub use space::{SpaceContent, SpaceQuestion, SpaceReply, SpaceRow};

/// Level of the formats of rows and messages, raised with each change of what a build writes, reads or keeps: 1 knows no failures in
/// heads, 2 does, 3 keeps fields of later builds in heads and failures in the items' own rows too, 4 answers peers from its copies of the
/// store's spaces. Builds of all levels work side by
/// side; it tells an operator which are there.
pub const FORMAT_LEVEL: u32 = 4;

/// Reads a message; `None` if the bytes are not one.
pub fn decode<M: prost::Message + Default>(bytes: &[u8]) -> Option<M> {
    M::decode(bytes).ok()
}

/// Bytes of a message.
pub fn encode<M: prost::Message>(message: &M) -> Vec<u8> {
    message.encode_to_vec()
}
