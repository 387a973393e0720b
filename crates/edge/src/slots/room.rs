//! What coordinators told of the room in their groups.

use std::time::Duration;

use harrierward_serving::{SlotQuery, SlotReply, expected_wait_ms};
use harrierward_slots::{FreeCapacity, GroupId};
use harrierward_wire::SlotGrant;
use tokio::time::Instant;

use super::SlotService;

/// How long the word of a coordinator on its group's room holds: a few times as long as a short request takes. A group
/// that is passed over for it is tried again then.
const ROOM_LASTS: Duration = Duration::from_secs(1);

/// A group's free slots where its coordinator has not told them lately, in thousandths.
pub(super) const UNTOLD_PERMILLE: u32 = 500;

/// What a coordinator told of the room in its group.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldRoom {
    room: FreeCapacity,
    at: Instant,
}

impl SlotService {
    /// What a group's coordinator told lately.
    pub(super) fn told_room(&self, service: u32, group: GroupId) -> Option<FreeCapacity> {
        let state = self.lock();
        let told = state.rooms.get(&(service, group))?;
        (harrierward_clock::age(told.at) < ROOM_LASTS).then_some(told.room)
    }

    pub(super) fn room(&self, service: u32, group: GroupId) -> FreeCapacity {
        self.told_room(service, group).unwrap_or(FreeCapacity {
            free_permille: UNTOLD_PERMILLE,
            wait: Duration::ZERO,
        })
    }

    /// Takes what an answer tells of its group. An answer without a choice, or one that is given again, tells nothing.
    pub(super) fn note_room(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        group: GroupId,
        grant: &SlotGrant,
    ) {
        let is_sent_away = grant.come_back_ms > 0;
        if !is_sent_away && grant.load == 0 && grant.free_permille == 0 {
            return;
        }
        let wait = if is_sent_away {
            query.objective
        } else {
            let view = self.replicas.view();
            let slots = view.by_hash(grant.replica).map(|replica| replica.slots());
            slots.map_or(Duration::ZERO, |slots| self.queue(grant.load, slots))
        };
        let room = FreeCapacity {
            free_permille: grant.free_permille,
            wait,
        };
        self.set_room(service, group, room);
    }

    /// Expected wait for a slot at a replica with so many requests before.
    pub(super) fn queue(&self, load: u32, slots: u32) -> Duration {
        let wait = expected_wait_ms(&self.costs, load, slots);
        Duration::from_secs_f64(wait.max(0.0) / 1_000.0)
    }

    /// Takes what is known of a group's room.
    pub(super) fn set_room(&self, service: u32, group: GroupId, room: FreeCapacity) {
        let told = ToldRoom {
            room,
            at: harrierward_clock::now(),
        };
        self.lock().rooms.insert((service, group), told);
    }

    /// Takes what an own group's answer tells of its room.
    pub(super) fn note_own_room(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        group: GroupId,
        answer: &SlotReply,
    ) {
        let (free_permille, wait) = match answer {
            // The replica that is tried is empty, whatever its group is.
            SlotReply::Granted { choice, .. } if choice.is_probe => return,
            SlotReply::Granted { choice, .. } => {
                let slots = choice.replica.slots();
                (choice.free_permille, self.queue(choice.load, slots))
            }
            SlotReply::RetryLater { .. } => (0, query.objective),
            SlotReply::NoCapacity | SlotReply::NoCoordinator | SlotReply::AllCold => return,
        };
        let room = FreeCapacity {
            free_permille,
            wait,
        };
        self.set_room(service, group, room);
    }
}
