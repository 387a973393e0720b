//! Messages between Harrierward's processes, and rows that it keeps in the store.
//!
//! The structs carry prost's derives, so that no code generator is needed. Field numbers must never be reused.

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
mod streams;

pub use batch::{
    ChunkRow, FileRow, JobKeyRow, JobRow, JobState, OpenJobRow, OwnershipRow, ProgressRow,
    ResultObject, ShardCountRow,
};
pub use claim::{ClaimRow, ClaimState};
pub use configuration::{ConfigChange, ConfigHead, ConfigLogEntry, ConfigObjectRow};
pub use evacuation::{EvacuatedZone, Evacuations};
pub use inline_job::{
    FailureReport, HeaderRow, ItemBodyRow, ItemFailuresRow, ItemHeadRow, ItemProgressRow,
    JobFailures, JobHeadRow, JobItemsRow, PromptPartRow, ResultPieceRow, decode_job_header,
    encode_job_header,
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
pub use quarantine::{CrashNews, CrashNewsRow, CrashedContent, CrashedPart, ReplicaEnd};
pub use quota::{QuotaAnswer, QuotaAsk, QuotaFenceRow, QuotaOutcome};
pub use rates::{RateAsk, RateGrant, RateOutcome};
pub use slots::{
    HeldSlot, ItemSlotAsk, LeaseOutcome, OutcomeKind, RegionNames, SlotAsk, SlotGrant, SlotReport,
    WholeReport,
};
pub use space::{SpaceAudit, SpaceContent, SpaceQuestion, SpaceReply, SpaceRow};
pub use streams::{
    OriginSetRow, StoredStreamsRow, StreamAnswer, StreamAsk, StreamNotice, StreamRecord,
};

/// Version of the formats of rows and messages, raised with each change of what a build writes, reads or keeps. Builds
/// of all levels interoperate; the level shows an operator which builds run.
///
/// Level 1 has no failures in job headers, 2 has them, 3 keeps unknown fields in headers and failures in the items'
/// rows, 4 serves peers from its copies of the store's spaces, 5 says in headers whether failures are complete and reports
/// failures that the store does not hold yet to peers, 6 audits its copies of the store's spaces and announces that, 7
/// holds streams and items to the software version that began them, 8 reports prompt parts that crash replicas, 9 stores the software versions
/// of each service, the services of each host, and where streams began.
pub const FORMAT_LEVEL: u32 = 9;

/// Decodes a message; `None` if the bytes are not one.
pub fn decode<M: prost::Message + Default>(bytes: &[u8]) -> Option<M> {
    M::decode(bytes).ok()
}

/// Encodes a message.
pub fn encode<M: prost::Message>(message: &M) -> Vec<u8> {
    message.encode_to_vec()
}
