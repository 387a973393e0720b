//! Items that end where online requests need their slots.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{Choice, Mechanism, Replica, WorkClass};
use harrierward_slots::SlotUse;
use harrierward_wire::{YieldRequest, node_datagram::Kind};

use super::{SlotService, class_of};

impl SlotService {
    /// An online request was given a lease where all are taken: an item ends for it.
    pub(super) fn make_room(&self, choice: &Choice, usage: SlotUse) {
        let replica = &choice.replica;
        let may_preempt = self.costs.policy.has(Mechanism::Preemption);
        let online = may_preempt && class_of(usage) == WorkClass::Online;
        if online && choice.load >= replica.slots() && replica.batch() > 0 {
            self.end_an_item(replica);
        }
    }

    /// The item at the replica with most time left gives its lease back.
    pub(super) fn end_an_item(&self, replica: &Arc<Replica>) {
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
        if let Some(slack) = slack.or(peers.map(|ended| ended.slack)) {
            self.log_end(replica, slack, own.is_none());
        }
        if let (Some((lease, _)), Some(items)) = (own, self.yielding.get()) {
            self.lock().held.release(lease);
            items.yield_lease(lease);
        } else if let Some(ended) = peers {
            self.lock().ledger.note_preempted(ended, now);
            self.publish();
            let request = YieldRequest {
                replica: replica.hash,
                slots: 1,
                lease: ended.lease,
            };
            self.send(Kind::YieldRequest(request), ended.holder);
        }
    }

    pub(super) fn log_end(&self, replica: &Replica, slack: Duration, of_peer: bool) {
        self.log.record(&Record::ItemEndOrdered {
            replica: &replica.record.id,
            online: replica.online(),
            batch: replica.batch(),
            slots: replica.slots(),
            slack_ms: u64::try_from(slack.as_millis()).unwrap_or(u64::MAX),
            of_peer,
        });
    }

    /// A coordinator, or a daemon that found none, wants items of this daemon to end.
    pub(super) fn take_yield(&self, request: &YieldRequest) {
        let Some(items) = self.yielding.get() else {
            return;
        };
        if request.lease > 0 {
            items.yield_lease(request.lease);
            return;
        }
        let view = self.replicas.view();
        if let Some(replica) = view.by_hash(request.replica) {
            items.yield_at(&replica.record.id, request.slots);
        }
    }
}
