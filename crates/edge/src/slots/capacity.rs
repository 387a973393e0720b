//! Free capacity of groups, as their coordinators reported it.

use std::time::Duration;

use harrierward_serving::{SlotQuery, SlotReply, expected_wait_ms};
use harrierward_slots::{FreeCapacity, GroupId};
use harrierward_wire::SlotGrant;
use tokio::time::Instant;

use super::SlotService;

/// How long a reported capacity is used; a group skipped because of it is tried again after that.
const CAPACITY_TTL: Duration = Duration::from_secs(1);

/// Free slots assumed for a group without a recent report, in thousandths.
pub(super) const UNREPORTED_PERMILLE: u32 = 500;

#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedCapacity {
    capacity: FreeCapacity,
    received_at: Instant,
}

impl SlotService {
    /// Returns the group's capacity if it was reported recently.
    pub(super) fn reported_capacity(&self, service: u32, group: GroupId) -> Option<FreeCapacity> {
        let state = self.lock();
        let reported = state.capacities.get(&(service, group))?;
        (harrierward_clock::age(reported.received_at) < CAPACITY_TTL).then_some(reported.capacity)
    }

    pub(super) fn capacity(&self, service: u32, group: GroupId) -> FreeCapacity {
        self.reported_capacity(service, group)
            .unwrap_or(FreeCapacity {
                free_permille: UNREPORTED_PERMILLE,
                wait: Duration::ZERO,
            })
    }

    /// Records the capacity in a reply. Replies without a choice and repeated ones carry none.
    pub(super) fn note_capacity(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        group: GroupId,
        grant: &SlotGrant,
    ) {
        if query.version.is_some() {
            // The reply counts the replicas of one version only.
            return;
        }
        let must_retry = grant.come_back_ms > 0;
        if !must_retry && grant.load == 0 && grant.free_permille == 0 {
            return;
        }
        let wait = if must_retry {
            query.objective
        } else {
            let view = self.replicas.view();
            let slots = view.by_hash(grant.replica).map(|replica| replica.slots());
            slots.map_or(Duration::ZERO, |slots| self.queue_wait(grant.load, slots))
        };
        let capacity = FreeCapacity {
            free_permille: grant.free_permille,
            wait,
        };
        self.set_capacity(service, group, capacity);
    }

    /// Returns the expected wait for a slot at a replica with `load` earlier requests.
    pub(super) fn queue_wait(&self, load: u32, slots: u32) -> Duration {
        let wait = expected_wait_ms(&self.costs, load, slots);
        Duration::from_secs_f64(wait.max(0.0) / 1_000.0)
    }

    /// Records a group's capacity with the current time.
    pub(super) fn set_capacity(&self, service: u32, group: GroupId, capacity: FreeCapacity) {
        let reported = ReportedCapacity {
            capacity,
            received_at: harrierward_clock::now(),
        };
        self.lock().capacities.insert((service, group), reported);
    }

    /// Records the capacity of a group that this daemon coordinates.
    pub(super) fn note_own_capacity(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        group: GroupId,
        reply: &SlotReply,
    ) {
        if query.version.is_some() {
            // The reply counts the replicas of one version only.
            return;
        }
        let (free_permille, wait) = match reply {
            // A probed replica is idle even if its group is full.
            SlotReply::Granted { choice, .. } if choice.is_probe => return,
            SlotReply::Granted { choice, .. } => {
                let slots = choice.replica.slots();
                (choice.free_permille, self.queue_wait(choice.load, slots))
            }
            SlotReply::RetryLater { .. } => (0, query.objective),
            SlotReply::NoCapacity | SlotReply::NoCoordinator | SlotReply::AllCold => return,
        };
        let capacity = FreeCapacity {
            free_permille,
            wait,
        };
        self.set_capacity(service, group, capacity);
    }
}
