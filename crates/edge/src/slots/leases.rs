//! [`SlotLeases`] for [`SlotService`]: the order in which groups are tried, and leases taken without a coordinator.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_serving::{
    ItemRoom, LeaseEnd, LeftRegion, Mechanism, Replica, SlotAnswer, SlotLeases, SlotQuery,
    WorkClass, short_hash,
};
use harrierward_wire::{SlotReport, node_datagram::Kind};

use super::{Coordinator, SlotService, usage_of};

#[async_trait]
impl SlotLeases for SlotService {
    async fn ask(&self, query: SlotQuery<'_>) -> SlotAnswer {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return SlotAnswer::NoCoordinator;
        }
        self.expire_after_suspension();
        let service = short_hash(query.service);
        let mut target = self.choose_group(&query, service);
        let mut answer = self.request_from_group(&query, service, target).await;
        let mut replied_by = target;
        let was_refused = matches!(answer, SlotAnswer::NoCoordinator);
        if was_refused && target.left_region == Some(LeftRegion::Full) {
            // The other region has filled up or doesn't reply: fall back to the own region.
            target = self.own_region_target(&query, service);
            replied_by = target;
            answer = self.request_from_group(&query, service, target).await;
        }
        let alternative_group = match answer {
            SlotAnswer::ComeBack { .. } => self.less_loaded_group(&query, target.group),
            SlotAnswer::AllCold => self.warm_group(&query, target.group),
            _ => None,
        };
        if let Some(alternative) = alternative_group {
            let second = self.request_from_group(&query, service, alternative).await;
            if !matches!(second, SlotAnswer::NoCoordinator) || alternative.left_region.is_none() {
                answer = second;
                replied_by = alternative;
            }
        }
        if let SlotAnswer::Given { lease, .. } = answer
            && replied_by.left_region.is_none()
            && let Some(spilled) = self
                .spill_from_queue(&query, service, replied_by, lease)
                .await
        {
            answer = spilled;
        }
        if query.item.is_some() && matches!(answer, SlotAnswer::NoRoom | SlotAnswer::AllCold) {
            let mut state = self.lock();
            state
                .full_for_items_at
                .insert((service, target.group), harrierward_clock::now());
        }
        answer
    }

    fn take(&self, replica: &Arc<Replica>, item: Option<ItemRoom>) -> u32 {
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

    fn release(&self, lease: u32, end: LeaseEnd) {
        let replica = self.lock().held.release(lease);
        if let Some(replica) = replica {
            self.report_completion(lease, replica, end);
        }
    }

    fn is_told_cold(&self, replica: &Replica) -> bool {
        self.was_reported_cold(replica)
    }

    fn is_coordinated(&self, replica: &Replica) -> bool {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return false;
        }
        let service = short_hash(&replica.record.service);
        match self.coordinator(service, self.group(replica)) {
            Coordinator::Own => true,
            Coordinator::Peer(peer) => peer.address.is_some() && !self.is_unresponsive(&peer.id),
            Coordinator::Unknown => false,
        }
    }

    fn free_slot(&self, replica: &Arc<Replica>) {
        if self.coordinates(replica) {
            self.preempt_item(replica);
        } else if let Some(items) = self.preemption.get() {
            if replica.own(WorkClass::Batch) > 0 {
                items.yield_at(&replica.record.id, 1);
            } else {
                items.ask_peer(replica);
            }
        }
    }
}
