//! The coordinator's ledger of the leases that other daemons hold at its replicas.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use harrierward_wire::{HeldSlot, OutcomeKind, SlotReport};
use tokio::time::Instant;

/// How long a holder's leases stay valid after its last report.
pub const HOLDER_LIFETIME: Duration = Duration::from_millis(2_500);

/// How long a preempted item may still be reported before its lease counts again: the command may have been lost.
const PREEMPTION_TIMEOUT: Duration = Duration::from_millis(400);

/// What a lease is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// An online request.
    Online,
    /// A batch item, which can be preempted.
    Batch {
        /// Latest time at which it must run again if it is preempted.
        due: Instant,
    },
}

impl SlotUse {
    /// Returns for how long a batch item could be deferred if it were preempted now; `None` for online requests.
    pub fn slack(&self, now: Instant) -> Option<Duration> {
        match self {
            Self::Online => None,
            Self::Batch { due } => Some(due.saturating_duration_since(now)),
        }
    }

    fn reported(held: &HeldSlot, now: Instant) -> Self {
        if held.batch {
            let due = now + Duration::from_millis(u64::from(held.slack_ms));
            Self::Batch { due }
        } else {
            Self::Online
        }
    }
}

/// Number of leases at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Online requests.
    pub online: u32,
    /// Batch items that weren't preempted.
    pub batch: u32,
}

/// A batch item chosen for preemption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptedLease {
    /// Address of its holder.
    pub holder: SocketAddr,
    /// The holder's number for it.
    pub lease: u32,
    /// How long it can be deferred.
    pub slack: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    replica: u32,
    usage: SlotUse,
    granted_at: Instant,
    preempted_at: Option<Instant>,
}

/// A released lease of an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasedLease {
    /// Hash that identifies the replica.
    pub replica: u32,
    /// Time from the grant to the release.
    pub held: Duration,
}

#[derive(Debug)]
struct Holder {
    address: SocketAddr,
    last_full_report: u64,
    last_report_at: Instant,
    leases: HashMap<u32, Lease>,
}

impl Holder {
    fn is_unresponsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_report_at) >= HOLDER_LIFETIME
    }
}

/// True if nothing ran under the lease: its duration isn't a slot holding time.
fn is_unused(report: &SlotReport, lease: u32) -> bool {
    let outcomes = report.outcomes.iter();
    let mut outcomes = outcomes.filter(|outcome| outcome.lease == lease);
    outcomes.any(|outcome| matches!(outcome.kind(), OutcomeKind::NotSent | OutcomeKind::NotRun))
}

/// Leases of the other daemons by holder, and their counts by replica.
#[derive(Debug, Default)]
pub struct SlotLedger {
    holders: HashMap<u64, Holder>,
    counts: HashMap<u32, SlotCounts>,
    changed: HashSet<u32>,
    released: Vec<ReleasedLease>,
}

impl SlotLedger {
    /// Returns the replica of a known lease.
    pub fn replica_of(&self, holder: u64, lease: u32) -> Option<u32> {
        let lease = self.holders.get(&holder)?.leases.get(&lease)?;
        Some(lease.replica)
    }

    /// Returns the number of leases at a replica.
    pub fn counts(&self, replica: u32) -> SlotCounts {
        self.counts.get(&replica).copied().unwrap_or_default()
    }

    /// Returns and clears the set of replicas whose counts have changed.
    pub fn take_changed(&mut self) -> Vec<u32> {
        self.changed.drain().collect()
    }

    /// Returns and clears the leases that online requests have released.
    pub fn take_released(&mut self) -> Vec<ReleasedLease> {
        std::mem::take(&mut self.released)
    }

    /// Records the grant of a lease; replaces one of the same number.
    pub fn grant(
        &mut self,
        holder: u64,
        address: SocketAddr,
        number: u32,
        replica: u32,
        usage: SlotUse,
        now: Instant,
    ) {
        self.refresh_holder(holder, address, now);
        self.set(holder, number, replica, usage, now);
    }

    /// Applies a holder's report. A full report also removes the leases that were numbered before it and that it lists
    /// neither as held nor as awaited; it is ignored if it or a later one was applied before.
    pub fn apply_report(&mut self, report: &SlotReport, address: SocketAddr, now: Instant) {
        let holder = report.holder;
        let known = self.refresh_holder(holder, address, now);
        if let Some(full) = &report.whole {
            if full.number <= known.last_full_report {
                return;
            }
            known.last_full_report = full.number;
            let reported: HashSet<u32> = report.held.iter().map(|held| held.lease).collect();
            let stale = known.leases.keys().copied().filter(|lease| {
                *lease < full.next_lease
                    && !reported.contains(lease)
                    && !full.awaited.contains(lease)
            });
            let stale: Vec<u32> = stale.collect();
            for lease in stale {
                self.remove(holder, lease);
            }
        }
        for held in &report.held {
            self.apply_held(holder, held, now);
        }
        for lease in &report.released {
            if !is_unused(report, *lease) {
                self.note_released(holder, *lease, now);
            }
            self.remove(holder, *lease);
        }
    }

    /// Removes holders whose last report is older than [`HOLDER_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        let unresponsive = self.holders.iter();
        let unresponsive = unresponsive.filter(|(_, holder)| holder.is_unresponsive(now));
        let unresponsive: Vec<u64> = unresponsive.map(|(holder, _)| *holder).collect();
        for holder in unresponsive {
            self.remove_holder(holder);
        }
    }

    fn remove_holder(&mut self, holder: u64) {
        let Some(removed) = self.holders.remove(&holder) else {
            return;
        };
        for lease in removed.leases.values() {
            self.adjust_count(lease, false);
        }
    }

    /// Returns the batch item at the replica with the most slack: the best one to preempt.
    pub fn most_slack(&self, replica: u32, now: Instant) -> Option<PreemptedLease> {
        let all = self.holders.values().flat_map(|holder| {
            let leases = holder.leases.iter();
            leases.map(move |(number, lease)| (holder.address, *number, lease))
        });
        let items = all.filter_map(|(holder, number, lease)| {
            let slack = lease.usage.slack(now)?;
            let fits = lease.replica == replica && lease.preempted_at.is_none();
            fits.then_some(PreemptedLease {
                holder,
                lease: number,
                slack,
            })
        });
        items.max_by_key(|item| item.slack)
    }

    /// Marks an item as preempted: its lease doesn't count any more.
    pub fn note_preempted(&mut self, item: PreemptedLease, now: Instant) {
        let lease = self
            .holders
            .values_mut()
            .filter(|holder| holder.address == item.holder)
            .find_map(|holder| holder.leases.get_mut(&item.lease));
        let Some(lease) = lease.filter(|lease| lease.preempted_at.is_none()) else {
            return;
        };
        let counted = *lease;
        lease.preempted_at = Some(now);
        self.adjust_count(&counted, false);
    }

    /// Records contact with a holder. The leases of one that was unresponsive for too long have expired and are
    /// removed.
    fn refresh_holder(&mut self, holder: u64, address: SocketAddr, now: Instant) -> &mut Holder {
        let known = self.holders.get(&holder);
        if known.is_some_and(|known| known.is_unresponsive(now)) {
            self.remove_holder(holder);
        }
        let known = self.holders.entry(holder).or_insert_with(|| Holder {
            address,
            last_full_report: 0,
            last_report_at: now,
            leases: HashMap::new(),
        });
        known.last_report_at = now;
        known
    }

    fn apply_held(&mut self, holder: u64, held: &HeldSlot, now: Instant) {
        let leases = self.holders.get_mut(&holder).map(|known| &mut known.leases);
        let known = leases.and_then(|leases| leases.get_mut(&held.lease));
        match known {
            Some(lease) if lease.replica == held.replica => {
                let preempted_at = lease.preempted_at;
                if preempted_at
                    .is_some_and(|since| now.saturating_duration_since(since) >= PREEMPTION_TIMEOUT)
                {
                    lease.preempted_at = None;
                    let counted = *lease;
                    self.adjust_count(&counted, true);
                }
            }
            _ => self.set(
                holder,
                held.lease,
                held.replica,
                SlotUse::reported(held, now),
                now,
            ),
        }
    }

    fn note_released(&mut self, holder: u64, lease: u32, now: Instant) {
        let leases = self.holders.get(&holder).map(|known| &known.leases);
        let Some(lease) = leases.and_then(|leases| leases.get(&lease)) else {
            return;
        };
        if lease.usage == SlotUse::Online {
            self.released.push(ReleasedLease {
                replica: lease.replica,
                held: now.saturating_duration_since(lease.granted_at),
            });
        }
    }

    fn set(&mut self, holder: u64, number: u32, replica: u32, usage: SlotUse, now: Instant) {
        self.remove(holder, number);
        let lease = Lease {
            replica,
            usage,
            granted_at: now,
            preempted_at: None,
        };
        if let Some(known) = self.holders.get_mut(&holder) {
            known.leases.insert(number, lease);
            self.adjust_count(&lease, true);
        }
    }

    fn remove(&mut self, holder: u64, number: u32) {
        let leases = self.holders.get_mut(&holder).map(|known| &mut known.leases);
        if let Some(lease) = leases.and_then(|leases| leases.remove(&number)) {
            self.adjust_count(&lease, false);
        }
    }

    /// Adds a lease to the counts or removes it; a preempted one was already removed.
    fn adjust_count(&mut self, lease: &Lease, is_added: bool) {
        if lease.preempted_at.is_some() {
            return;
        }
        let counts = self.counts.entry(lease.replica).or_default();
        let count = match lease.usage {
            SlotUse::Online => &mut counts.online,
            SlotUse::Batch { .. } => &mut counts.batch,
        };
        *count = if is_added {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *counts == SlotCounts::default() {
            self.counts.remove(&lease.replica);
        }
        self.changed.insert(lease.replica);
    }
}
