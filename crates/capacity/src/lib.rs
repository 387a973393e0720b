//! Sharing capacity: batch slots on each replica, yielding to online, and the partners' lending policies.
//!
//! Online and batch never meet in a queue. What batch may use is a budget that shrinks at once and grows slowly;
//! whose batch may use it is a plan computed off the request path from the partners' programs.

mod plan;
mod policy;
mod slots;

pub use plan::{
    CapacityPlan, Lender, PlanInput, PlanProblem, ServiceLoad, ServicePlan, TenantShare,
    compute_plan,
};
pub use policy::{
    PolicyEngine, PolicyError, PolicyLimits, PolicyNumbers, PolicyOffer, PolicyRun, check_program,
};
pub use slots::{RunningBatchItem, SlotBudget, SlotSettings, select_victims};
