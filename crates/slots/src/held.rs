//! The leases that this daemon holds, and those that it waits for.

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

/// A daemon's own leases, by number.
#[derive(Debug, Default)]
pub struct HeldSlots {
    leases: HashMap<u32, HeldLease>,
    awaited: HashSet<u32>,
    last_number: u32,
    last_report: u64,
}

impl HeldSlots {
    /// A number for a lease that is asked for or taken next.
    pub fn next_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    /// A coordinator is asked for the lease.
    pub fn wait_for(&mut self, lease: u32) {
        self.awaited.insert(lease);
    }

    /// The coordinator's answer has come, or is not waited for any more.
    pub fn stop_waiting(&mut self, lease: u32) {
        self.awaited.remove(&lease);
    }

    /// The lease is held.
    pub fn take(&mut self, lease: u32, replica: u32, usage: SlotUse) {
        self.leases.insert(lease, HeldLease { replica, usage });
    }

    /// The lease is given back. Returns its replica.
    pub fn release(&mut self, lease: u32) -> Option<u32> {
        self.leases.remove(&lease).map(|held| held.replica)
    }

    /// The item at the replica that can best be ended: the one with most time left. Its lease does not count as an
    /// item's any more.
    pub fn most_slack(&self, replica: u32, now: Instant) -> Option<(u32, Duration)> {
        let items = self.leases.iter().filter_map(|(lease, held)| {
            let slack = held.usage.slack(now)?;
            (held.replica == replica).then_some((*lease, slack))
        });
        items.max_by_key(|(_, slack)| *slack)
    }

    /// Replicas at which leases are held, each once.
    pub fn replicas(&self) -> HashSet<u32> {
        self.leases.values().map(|held| held.replica).collect()
    }

    /// One lease as it is reported to coordinators.
    pub fn describe(&self, lease: u32, now: Instant) -> Option<HeldSlot> {
        self.leases
            .get(&lease)
            .map(|held| describe(lease, held, now))
    }

    /// Names all leases at replicas for which `is_kept` holds.
    pub fn full_report(
        &mut self,
        holder: u64,
        now: Instant,
        is_kept: impl Fn(u32) -> bool,
    ) -> SlotReport {
        self.last_report += 1;
        let kept = self.leases.iter().filter(|(_, held)| is_kept(held.replica));
        SlotReport {
            holder,
            held: kept
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
