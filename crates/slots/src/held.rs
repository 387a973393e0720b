//! The leases that this daemon holds or has requested.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_wire::{HeldSlot, SlotReport, WholeReport};
use tokio::time::Instant;

use crate::ledger::SlotUse;

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    replica: u32,
    usage: SlotUse,
}

/// Leases of this daemon by their number, and the numbers whose grant is pending.
#[derive(Debug, Default)]
pub struct HeldSlots {
    leases: HashMap<u32, HeldLease>,
    awaited: HashSet<u32>,
    last_number: u32,
    last_report: u64,
}

impl HeldSlots {
    /// Allocates the number of the next lease.
    pub fn next_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    /// Marks the lease as requested from a coordinator, so that full reports don't revoke it.
    pub fn wait_for(&mut self, lease: u32) {
        self.awaited.insert(lease);
    }

    /// Removes the mark: the reply was received or isn't awaited any more.
    pub fn stop_waiting(&mut self, lease: u32) {
        self.awaited.remove(&lease);
    }

    /// Records a lease as held.
    pub fn take(&mut self, lease: u32, replica: u32, usage: SlotUse) {
        self.leases.insert(lease, HeldLease { replica, usage });
    }

    /// Removes a lease and returns its replica; `None` if it wasn't held.
    pub fn release(&mut self, lease: u32) -> Option<u32> {
        self.leases.remove(&lease).map(|held| held.replica)
    }

    /// Returns the batch item at the replica with the most slack, and that slack: the best one to preempt.
    pub fn most_slack(&self, replica: u32, now: Instant) -> Option<(u32, Duration)> {
        let items = self.leases.iter().filter_map(|(lease, held)| {
            let slack = held.usage.slack(now)?;
            (held.replica == replica).then_some((*lease, slack))
        });
        items.max_by_key(|(_, slack)| *slack)
    }

    /// Returns the distinct replicas with held leases.
    pub fn replicas(&self) -> HashSet<u32> {
        self.leases.values().map(|held| held.replica).collect()
    }

    /// Returns one lease in the form in which it is reported to coordinators.
    pub fn describe(&self, lease: u32, now: Instant) -> Option<HeldSlot> {
        self.leases
            .get(&lease)
            .map(|held| describe(lease, held, now))
    }

    /// Builds a full report of the leases at replicas for which `is_kept` is true. Its number increases with each
    /// report.
    pub fn full_report(
        &mut self,
        holder: u64,
        now: Instant,
        is_kept: impl Fn(u32) -> bool,
    ) -> SlotReport {
        self.last_report += 1;
        let reported = self.leases.iter().filter(|(_, held)| is_kept(held.replica));
        SlotReport {
            holder,
            held: reported
                .map(|(lease, held)| describe(*lease, held, now))
                .collect(),
            released: Vec::new(),
            outcomes: Vec::new(),
            whole: Some(WholeReport {
                number: self.last_report,
                next_lease: self.last_number + 1,
                awaited: self.awaited.iter().copied().collect(),
            }),
        }
    }
}

fn describe(lease: u32, held: &HeldLease, now: Instant) -> HeldSlot {
    let slack = held.usage.slack(now);
    let slack_ms = slack.map_or(0, |slack| {
        u32::try_from(slack.as_millis()).unwrap_or(u32::MAX)
    });
    HeldSlot {
        lease,
        replica: held.replica,
        batch: slack.is_some(),
        slack_ms,
    }
}
