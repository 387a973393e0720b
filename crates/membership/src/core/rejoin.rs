//! Rejoining after partitions: merges parts of a fleet that never met, or that have forgotten each other's members.
//!
//! Probes reach only known members. So each daemon from time to time sends a join to one address at which it knows no
//! member: a seed, or a forgotten member that didn't leave. One reply is enough, since syncs then exchange the views. A
//! fleet whose seeds are all present, and that has lost no member recently, has no such address and sends no joins.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use harrierward_wire::DatagramKind;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{MemberEntry, MembershipCore, OutgoingDatagram};

/// Minimum mean time between two joins of one daemon, to bound its traffic in a small fleet.
const MIN_JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// Mean time between two joins of all daemons in a view together, which bounds their traffic at any fleet size.
const FLEET_JOIN_SPACING: Duration = Duration::from_millis(20);

/// Range of the time to the next join, as parts of the mean; keeps daemons from synchronizing that start together, or
/// that detect the end of a partition at the same time.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

/// How long the address of a forgotten member still gets joins. Longer partitions are rare: a member that is absent for
/// longer is most likely gone for good.
const FORGOTTEN_TTL: Duration = Duration::from_secs(3_600);

/// Maximum number of addresses of forgotten members, to bound memory.
const MAX_FORGOTTEN: usize = 1_024;

/// Addresses outside the view that may get a join, and the times of the joins.
#[derive(Debug, Clone, Default)]
pub(super) struct RejoinState {
    seeds: Vec<String>,
    seeds_joined_at: Option<Duration>,
    /// Addresses of forgotten members that hadn't left, with the time at which they were forgotten.
    forgotten: BTreeMap<String, Duration>,
    /// `None` before the first tick.
    next_join_at: Option<Duration>,
}

impl RejoinState {
    pub(super) fn new(seeds: Vec<String>) -> Self {
        Self {
            seeds,
            ..Self::default()
        }
    }

    /// Stores the address of a forgotten member, and evicts the oldest one at the limit.
    pub(super) fn remember(&mut self, address: String, now: Duration) {
        self.forgotten.insert(address, now);
        if self.forgotten.len() > MAX_FORGOTTEN {
            let oldest = self.forgotten.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(address, _)| address.clone()) {
                self.forgotten.remove(&oldest);
            }
        }
    }

    /// Drops expired addresses and those at which a member is present.
    fn drop_obsolete(&mut self, present: &HashSet<&str>, now: Duration) {
        self.forgotten.retain(|address, at| {
            !present.contains(address.as_str()) && now.saturating_sub(*at) < FORGOTTEN_TTL
        });
    }

    /// Returns an address at which no member is present. Seeds and forgotten members are equally likely, so that many
    /// stale addresses of one kind don't starve the other.
    fn choose(&self, present: &HashSet<&str>, random: &mut impl Rng) -> Option<String> {
        let absent = self.seeds.iter();
        let absent = absent.filter(|seed| !present.contains(seed.as_str()));
        let seed = absent.choose(random);
        let forgotten = self.forgotten.keys().choose(random);
        let first = if random.random() {
            seed.or(forgotten)
        } else {
            forgotten.or(seed)
        };
        first.cloned()
    }
}

impl MembershipCore {
    /// Returns joins to all seeds while no other member is known, and a periodic one to an address without a known
    /// member.
    pub(super) fn rejoin(&mut self, now: Duration, random: &mut impl Rng) -> Vec<OutgoingDatagram> {
        let mut outgoing = self.join_seeds_if_alone(now);
        if self.is_join_due(now, random) {
            outgoing.extend(self.join_absent_address(now, random));
        }
        outgoing
    }

    fn join_seeds_if_alone(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let interval = self.settings.join_interval;
        let joined_at = self.rejoin.seeds_joined_at;
        let is_due = joined_at.is_none_or(|at| now.saturating_sub(at) >= interval);
        if !is_due || self.view_size() > 1 {
            return Vec::new();
        }
        self.rejoin.seeds_joined_at = Some(now);
        let seeds = self.rejoin.seeds.clone();
        self.join(&seeds)
    }

    /// Returns whether a join is due, and schedules the next one. The schedule also runs without a target, to keep the
    /// jitter between daemons.
    fn is_join_due(&mut self, now: Duration, random: &mut impl Rng) -> bool {
        let next = self.rejoin.next_join_at;
        if next.is_some_and(|at| now < at) {
            return false;
        }
        let mean = MIN_JOIN_INTERVAL.max(FLEET_JOIN_SPACING * self.view_size());
        self.rejoin.next_join_at = Some(now + mean.mul_f64(random.random_range(JITTER)));
        next.is_some()
    }

    fn join_absent_address(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
    ) -> Option<OutgoingDatagram> {
        let present = self.members.values().filter(|entry| entry.is_present());
        let present: HashSet<&str> = present.map(MemberEntry::address).collect();
        self.rejoin.drop_obsolete(&present, now);
        let address = self.rejoin.choose(&present, random)?;
        // Carries no gossip: the datagram most likely reaches nobody and would use up transmissions.
        let mut datagram = self.bare_datagram(DatagramKind::Join, 0, String::new());
        datagram.records.push(self.own.clone());
        Some(OutgoingDatagram { address, datagram })
    }
}
