//! Capacity sharing: batch slots on each replica, their preemption by online requests, and the tenants' lending
//! policies.
//!
//! Online and batch requests never share a queue. Batch runs within a slot budget that shrinks at once and grows
//! slowly; a plan, computed off the request path from the tenants' programs, decides whose items may use it.

mod plan;
mod policy;
mod slots;

pub use plan::{
    CapacityPlan, CapacityPlanner, PlanInput, PolicyFailure, ServiceLoad, ServicePlan, TenantShare,
    compute_plan,
};
pub use policy::{
    PolicyEngine, PolicyError, PolicyLimits, PolicyNumbers, PolicyOffer, PolicyRun, check_program,
};
pub use slots::{RunningBatchItem, SlotBudget, SlotSettings, select_victims};
