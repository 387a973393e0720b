//! Preemption of runs when online requests need the slots.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::WorkClass;
use tokio::time::Instant;

use crate::registry::PreemptedItem;
use crate::service::InlineJobs;

/// Pause before a preempted item is started again.
const PREEMPTION_PAUSE: Duration = Duration::from_millis(800);

/// Minimum time between two preemptions at a replica, so that the other daemons' counts arrive in between.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);

impl InlineJobs {
    /// Preempts runs at overcommitted replicas whose slots have no coordinator.
    pub(crate) fn preempt_for_online(&self) {
        let view = self.inner.forwarder.replicas().view();
        let leases = self.inner.forwarder.leases();
        for replica in view.all() {
            let own = replica.own_in_progress(WorkClass::Batch);
            if own == 0 {
                continue;
            }
            let in_use = replica.online() + replica.batch();
            let slots = replica.slots();
            if in_use <= slots + slots / 2 || leases.is_coordinated(replica) {
                continue;
            }
            if !self.may_preempt_at(&replica.record.id) {
                continue;
            }
            // Each daemon preempts its share; further rounds follow while the excess lasts.
            let excess = in_use - slots;
            let share = f64::from(excess * own) / f64::from(replica.batch().max(1));
            self.preempt_runs_at(&replica.record.id, round_stochastically(share));
        }
    }

    /// Preempts `slots` of this daemon's runs at a replica.
    pub fn preempt_slots(&self, replica: &str, slots: u32) {
        self.preempt_runs_at(replica, slots as usize);
    }

    /// Preempts the run that holds a slot lease.
    pub fn preempt_lease(&self, lease: u32) {
        let preempted_items = self.registry().preempt_lease(lease, PREEMPTION_PAUSE);
        self.log_preempted(preempted_items);
    }

    fn preempt_runs_at(&self, replica: &str, count: usize) {
        let preempted_items = self
            .registry()
            .preempt_runs(replica, count, PREEMPTION_PAUSE);
        self.log_preempted(preempted_items);
    }

    fn log_preempted(&self, preempted_items: impl IntoIterator<Item = PreemptedItem>) {
        for preempted in preempted_items {
            self.inner.log.record(&Record::ItemRun {
                job: &preempted.job,
                item: &preempted.item,
                replica: &preempted.replica,
                outcome: "yielded to online",
                events: preempted.events,
            });
        }
    }

    /// True if the preemption interval has passed at the replica; if so, records a new preemption.
    fn may_preempt_at(&self, replica: &str) -> bool {
        let mut registry = self.registry();
        let last = registry.preempted_at.get(replica);
        let is_due = last.is_none_or(|last| last.elapsed() >= PREEMPTION_INTERVAL);
        if is_due {
            registry
                .preempted_at
                .insert(replica.to_owned(), Instant::now());
        }
        is_due
    }
}

/// Rounds stochastically, so that the daemons' shares add up to the excess on average.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_stochastically(share: f64) -> usize {
    let rounds_up = rand::random::<f64>() < share.fract();
    share.floor() as usize + usize::from(rounds_up)
}
