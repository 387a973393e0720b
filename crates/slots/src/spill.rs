//! Decides when a request spills over to another region's replicas.

use std::time::Duration;

/// Free capacity of a group of replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Share of slots available to online requests, including those of preemptible items, in thousandths.
    pub free_permille: u32,
    /// Expected wait for a slot.
    pub wait: Duration,
}

/// Cost of leaving the region, besides the wait for a slot there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpillCost {
    /// Network delay of the slot query and of the request.
    pub network_delay: Duration,
    /// Gain that is required beyond the network delay.
    pub penalty: Duration,
    /// Minimum share of free slots in the other region, in thousandths.
    pub min_free_permille: u32,
}

/// True if a request of a region with `own` capacity should run at the `other` region.
///
/// Only a full region spills, and only to one with free slots. A region can't be both, so that two regions never
/// exchange load, however wrong the waits are.
pub fn should_spill(own: &FreeCapacity, other: &FreeCapacity, cost: &SpillCost) -> bool {
    own.free_permille == 0
        && other.free_permille >= cost.min_free_permille.max(1)
        && own.wait > other.wait + cost.network_delay + cost.penalty
}
