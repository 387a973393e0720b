//! Preemption of batch items by online requests.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{Choice, Mechanism, Replica, WorkClass};
use harrierward_slots::SlotUse;
use harrierward_wire::{YieldRequest, node_datagram::Kind};

use super::{SlotService, class_of};

impl SlotService {
    /// Preempts an item if an online request was granted a lease at a full replica.
    pub(super) fn preempt_if_full(&self, choice: &Choice, usage: SlotUse) {
        let replica = &choice.replica;
        let may_preempt = self.costs.policy.has(Mechanism::Preemption);
        let online = may_preempt && class_of(usage) == WorkClass::Online;
        if online && choice.load >= replica.slots() && replica.batch() > 0 {
            self.preempt_most_slack(replica);
        }
    }

    /// Preempts the item with the most slack at the replica, of this daemon or of a peer.
    pub(super) fn preempt_most_slack(&self, replica: &Arc<Replica>) {
        let now = harrierward_clock::now();
        let (own, peers) = {
            let state = self.lock();
            let own = state.held.most_slack(replica.hash, now);
            (own, state.ledger.most_slack(replica.hash, now))
        };
        let own_first = match (&own, &peers) {
            (Some((_, own)), Some(peers)) => *own >= peers.slack,
            (own, _) => own.is_some(),
        };
        let own = own.filter(|_| own_first);
        let slack = own.map(|(_, slack)| slack);
        if let Some(slack) = slack.or(peers.map(|preempted| preempted.slack)) {
            self.log_preemption(replica, slack, own.is_none());
        }
        if let (Some((lease, _)), Some(items)) = (own, self.preemption.get()) {
            self.lock().held.release(lease);
            items.preempt_lease(lease);
        } else if let Some(preempted) = peers {
            self.lock().ledger.note_preempted(preempted, now);
            self.publish();
            let request = YieldRequest {
                replica: replica.hash,
                slots: 1,
                lease: preempted.lease,
            };
            self.send(Kind::YieldRequest(request), preempted.holder);
        }
    }

    pub(super) fn log_preemption(&self, replica: &Replica, slack: Duration, of_peer: bool) {
        self.log.record(&Record::ItemEndOrdered {
            replica: &replica.record.id,
            online: replica.online(),
            batch: replica.batch(),
            slots: replica.slots(),
            slack_ms: u64::try_from(slack.as_millis()).unwrap_or(u64::MAX),
            of_peer,
        });
    }

    /// Handles a request to preempt items of this daemon, by lease or by replica.
    pub(super) fn handle_preemption(&self, request: &YieldRequest) {
        let Some(items) = self.preemption.get() else {
            return;
        };
        if request.lease > 0 {
            items.preempt_lease(request.lease);
            return;
        }
        let view = self.replicas.view();
        if let Some(replica) = view.by_hash(request.replica) {
            items.preempt_at(&replica.record.id, request.slots);
        }
    }
}
