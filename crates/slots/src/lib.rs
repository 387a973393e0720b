//! Slot leases at replicas, granted by one coordinator for each group of replicas. Pure: callers do the I/O.
//!
//! Daemons that choose replicas by stale load notices of each other choose the same ones at the same time, and batch
//! items would occupy slots unseen. A coordinator serializes the grants of its group. Its state is a hint, rebuilt
//! from the holders' reports within a second.

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
