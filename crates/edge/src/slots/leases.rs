//! Leases as requests ask for them: the groups asked in turn, and leases that this daemon takes itself.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_serving::{
    CrossRegionReason, ItemSlack, Mechanism, ReleaseReport, Replica, SlotLeases, SlotQuery,
    SlotReply, WorkClass, short_hash,
};
use harrierward_wire::{SlotReport, node_datagram::Kind};

use super::{Coordinator, SlotService, usage_of};

#[async_trait]
impl SlotLeases for SlotService {
    async fn acquire(&self, query: SlotQuery<'_>) -> SlotReply {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return SlotReply::NoCoordinator;
        }
        self.forget_over_suspension();
        let service = short_hash(query.service);
        let mut target = self.group_to_ask(&query, service);
        let mut answer = self.ask_group(&query, service, target).await;
        let mut answered_by = target;
        let was_refused = matches!(answer, SlotReply::NoCoordinator);
        if was_refused && target.left == Some(CrossRegionReason::Full) {
            // The room there was taken meanwhile, or nobody there answers: the own region takes it after all.
            target = self.group_at_home(&query, service);
            answered_by = target;
            answer = self.ask_group(&query, service, target).await;
        }
        let other = match answer {
            SlotReply::RetryLater { .. } => self.roomier_group(&query, target.group),
            SlotReply::AllCold => self.warmer_group(&query, target.group),
            _ => None,
        };
        if let Some(roomier) = other {
            let second = self.ask_group(&query, service, roomier).await;
            if !matches!(second, SlotReply::NoCoordinator) || roomier.left.is_none() {
                answer = second;
                answered_by = roomier;
            }
        }
        if let SlotReply::Granted { lease, .. } = answer
            && answered_by.left.is_none()
            && let Some(elsewhere) = self
                .leave_the_queue(&query, service, answered_by, lease)
                .await
        {
            answer = elsewhere;
        }
        if query.item.is_some() && matches!(answer, SlotReply::NoCapacity | SlotReply::AllCold) {
            let mut state = self.lock();
            state
                .no_room_at
                .insert((service, target.group), harrierward_clock::now());
        }
        answer
    }

    fn acquire_locally(&self, replica: &Arc<Replica>, item: Option<ItemSlack>) -> u32 {
        let now = harrierward_clock::now();
        let coordinator = self.peer_coordinating(replica.hash);
        let mut state = self.lock();
        let lease = state.held.next_number();
        state.held.take(lease, replica.hash, usage_of(item, now));
        let held = state.held.describe(lease, now);
        drop(state);
        if let Some(coordinator) = coordinator {
            let report = SlotReport {
                holder: self.holder,
                held: held.into_iter().collect(),
                ..SlotReport::default()
            };
            self.send(Kind::SlotReport(report), coordinator);
        }
        lease
    }

    fn release(&self, lease: u32, end: ReleaseReport) {
        let replica = self.lock().held.release(lease);
        if let Some(replica) = replica {
            self.report_end(lease, replica, end);
        }
    }

    fn is_reported_cold(&self, replica: &Replica) -> bool {
        self.was_told_cold(replica)
    }

    fn is_coordinated(&self, replica: &Replica) -> bool {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return false;
        }
        let service = short_hash(&replica.record.service);
        match self.coordinator(service, self.group(replica)) {
            Coordinator::Own => true,
            Coordinator::Peer(peer) => peer.address.is_some() && !self.is_silent(&peer.id),
            Coordinator::Nobody => false,
        }
    }

    fn preempt_item(&self, replica: &Arc<Replica>) {
        if self.coordinates(replica) {
            self.end_an_item(replica);
        } else if let Some(items) = self.yielding.get() {
            if replica.own_in_progress(WorkClass::Batch) > 0 {
                items.yield_at(&replica.record.id, 1);
            } else {
                items.ask_peer(replica);
            }
        }
    }
}
