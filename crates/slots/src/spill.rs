//! Whether a request leaves its region for another one's replicas.

use std::time::Duration;

/// What is known of the room in some replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Slots that online requests could take, those of items that would give rtt among them, in thousandths of all.
    pub free_permille: u32,
    /// Expected wait for a slot there.
    pub wait: Duration,
}

/// What leaving costs, beside the wait there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpillCost {
    /// Time on the rtt: of the question for a slot, and of the request itself.
    pub rtt: Duration,
    /// What the cost must spare beyond that.
    pub penalty: Duration,
    /// Part of the slots there that must be free, in thousandths.
    pub min_free_permille: u32,
}

/// True if a request of a region with `own` room is better off with the `other` room.
///
/// Why only from a full region to a roomy one: the two conditions exclude each other for the same replicas, so that two
/// regions never swap load, whatever the waits are taken for.
pub fn should_spill(own: &FreeCapacity, other: &FreeCapacity, cost: &SpillCost) -> bool {
    own.free_permille == 0
        && other.free_permille >= cost.min_free_permille.max(1)
        && own.wait > other.wait + cost.rtt + cost.penalty
}
