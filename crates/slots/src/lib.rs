//! The leases that requests hold at replicas, as one daemon for each group of replicas keeps them: pure.
//!
//! Why: daemons that choose by what they last heard of each other choose the same replica at the same moment, and a
//! request that meets batch items there does not know that it must ask for a slot. One coordinator that gives out the
//! leases of a group one after the other knows both. What it knows is a hint: it is built anew from the holders'
//! reports within a second, and no promise depends on it.

mod admission;
mod ejection;
mod groups;
mod held;
mod ledger;
mod nearest;
mod outcome_window;
mod pacer;
mod significance;
mod spill;

pub use admission::{GroupAdmission, QueuedRequest};
pub use ejection::{
    LeaseId, OutlierDetector, ProbeWork, RequestOutcome, StatusChange, StatusEvent,
};
pub use groups::{AreaKind, GroupId, GroupLayout, coordinator_of};
pub use held::HeldSlots;
pub use ledger::{HOLDER_LIFETIME, PreemptedLease, ReleasedLease, SlotCounts, SlotLedger, SlotUse};
pub use nearest::{MemberLocation, NearestMembers};
pub use pacer::{COLD_GRANT_LIFETIME, ColdPace, ColdPacer, ColdUse};
pub use spill::{FreeCapacity, SpillCost, should_spill};
