//! Copies of the store's spaces: kept up to date by watches, and relayed between the daemons of a zone.
//!
//! In a large zone few daemons read the store, and the others follow them along a [tree](RelayTree), so that the
//! store's traffic doesn't grow with daemons x rows. Each reply carries the age of its freshness proof, so that old
//! rows aren't taken for new ones, whichever source replied.

mod audit;
mod first_read;
mod pace;
mod peer_copies;
mod publisher;
mod relay;
mod shared_space;
mod sources;
mod space_copy;
mod space_update;
mod tree;
mod watch;

pub use audit::{
    AuditComparison, AuditState, AuditStatement, Auditor, Repair, RepairScope, audit_interval,
    audit_rank, is_audit_due,
};
pub use first_read::FirstReadCheck;
pub use pace::{
    FullReadPace, WatchPace, coalescing_interval, full_read_interval, unpaced, unpaced_reads,
};
pub use peer_copies::{PeerCopies, RelayReply, SpaceRequest};
pub use publisher::{Published, SpacePublisher};
pub use relay::Relay;
pub use shared_space::{HeldReply, SharedSpace};
pub use sources::{RelayMode, Source, SourceFailure, Sources};
pub use space_copy::{CopyReply, SpaceCopy};
pub use space_update::{Reading, SpaceUpdate, UpdateSource};
pub use tree::{RelayPeer, RelayTree};
pub use watch::{Watch, WatchSettings};
