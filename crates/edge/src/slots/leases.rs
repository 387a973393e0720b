//! [`SlotLeases`] for [`SlotService`]: the order in which groups are tried, and leases taken without a coordinator.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_serving::{
    AttemptOutcome, CrossRegionReason, ItemSlack, Mechanism, ReleaseReport, Replica, SlotLeases,
    SlotQuery, SlotReply, WorkClass, short_hash,
};
use harrierward_wire::{SlotReport, node_datagram::Kind};

use super::{Coordinator, SlotService, usage_of};

#[async_trait]
impl SlotLeases for SlotService {
    async fn acquire(&self, query: SlotQuery<'_>) -> SlotReply {
        if !self.costs.policy.has(Mechanism::Coordinators) {
            return SlotReply::NoCoordinator;
        }
        self.expire_after_suspension();
        let service = short_hash(query.service);
        let mut target = self.choose_group(&query, service);
        let mut reply = self.request_from_group(&query, service, target).await;
        let mut replied_by = target;
        let was_refused = matches!(reply, SlotReply::NoCoordinator);
        if was_refused && target.left_region == Some(CrossRegionReason::Full) {
            // The other region has filled up or doesn't reply: fall back to the own region.
            target = self.own_region_target(&query, service);
            replied_by = target;
            reply = self.request_from_group(&query, service, target).await;
        }
        let alternative_group = match reply {
            SlotReply::RetryLater { .. } => self.less_loaded_group(&query, target.group),
            SlotReply::AllCold => self.warm_group(&query, target.group),
            _ => None,
        };
        if let Some(alternative) = alternative_group {
            let second_reply = self.request_from_group(&query, service, alternative).await;
            if !matches!(second_reply, SlotReply::NoCoordinator)
                || alternative.left_region.is_none()
            {
                reply = second_reply;
                replied_by = alternative;
            }
        }
        if let SlotReply::Granted { lease, .. } = reply
            && replied_by.left_region.is_none()
            && let Some(spilled) = self
                .spill_from_queue(&query, service, replied_by, lease)
                .await
        {
            reply = spilled;
        }
        let is_unrestricted = query.version.is_none() && query.excluded.is_empty();
        if query.item.is_some()
            && is_unrestricted
            && matches!(reply, SlotReply::NoCapacity | SlotReply::AllCold)
        {
            let mut state = self.lock();
            state
                .full_for_items_at
                .insert((service, target.group), harrierward_clock::now());
        }
        reply
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

    fn release(&self, lease: u32, report: ReleaseReport) {
        let replica = self.lock().held.release(lease);
        if let Some(replica) = replica {
            self.report_completion(lease, replica, report);
        }
    }

    fn report_outcome(&self, lease: u32, replica: u32, outcome: AttemptOutcome) {
        self.report_late_outcome(lease, replica, outcome);
    }

    fn is_reported_cold(&self, replica: &Replica) -> bool {
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

    fn preempt_item(&self, replica: &Arc<Replica>) {
        if self.coordinates(replica) {
            self.preempt_most_slack(replica);
        } else if let Some(items) = self.preemption.get() {
            if replica.own_in_progress(WorkClass::Batch) > 0 {
                items.preempt_at(&replica.record.id, 1);
            } else {
                items.preempt_peer(replica);
            }
        }
    }
}
