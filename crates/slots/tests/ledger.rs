//! The coordinator's ledger of leases.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use harrierward_slots::{
    GroupId, GroupLayout, HOLDER_LIFETIME, HeldSlots, SlotCounts, SlotLedger, SlotUse,
    coordinator_of,
};
use harrierward_wire::{LeaseOutcome, OutcomeKind, SlotReport};
use proptest::prelude::*;
use tokio::time::Instant;

const HOLDER: u64 = 7;
const REPLICA: u32 = 40;
const OTHER_REPLICA: u32 = 41;
const ONE_REGION: u32 = 70;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn item(now: Instant, slack_ms: u64) -> SlotUse {
    SlotUse::Batch {
        due: now + millis(slack_ms),
    }
}

fn counts(online: u32, batch: u32) -> SlotCounts {
    SlotCounts { online, batch }
}

#[test]
fn a_lease_counts_once_until_it_is_released() {
    let now = Instant::now();
    let mut ledger = SlotLedger::default();
    ledger.grant(HOLDER, address(1), 1, REPLICA, SlotUse::Online, now);
    ledger.grant(HOLDER, address(1), 2, REPLICA, item(now, 100), now);
    assert_eq!(ledger.replica_of(HOLDER, 1), Some(REPLICA));
    let mut held = HeldSlots::default();
    for _ in 0..2 {
        let lease = held.next_number();
        held.take(lease, REPLICA, SlotUse::Online);
    }
    assert_eq!(ledger.counts(REPLICA), counts(1, 1));
    let released = SlotReport {
        holder: HOLDER,
        released: vec![1],
        ..SlotReport::default()
    };
    ledger.apply_report(&released, address(1), now);
    ledger.apply_report(&released, address(1), now);
    assert_eq!(ledger.counts(REPLICA), counts(0, 1));
}

/// Leases of a holder must expire even if a stalled coordinator receives its next report before it checks for expiry.
#[test]
fn leases_of_an_unresponsive_holder_expire_at_its_next_contact() {
    let now = Instant::now();
    let mut ledger = SlotLedger::default();
    for lease in 1..=3 {
        ledger.grant(HOLDER, address(1), lease, REPLICA, SlotUse::Online, now);
    }
    let released = SlotReport {
        holder: HOLDER,
        released: vec![1],
        ..SlotReport::default()
    };
    let last = now + HOLDER_LIFETIME - millis(1);
    ledger.apply_report(&released, address(1), last);
    assert_eq!(ledger.counts(REPLICA), counts(2, 0), "in time");
    let late = last + HOLDER_LIFETIME;
    ledger.grant(HOLDER, address(1), 4, REPLICA, SlotUse::Online, late);
    assert_eq!(ledger.counts(REPLICA), counts(1, 0), "the new one only");
    assert_eq!(ledger.replica_of(HOLDER, 2), None);
}

/// A lease released unused must not count as a holding time of one round trip.
#[test]
fn an_unused_lease_is_no_holding_time() {
    let now = Instant::now();
    for (kind, expected) in [(OutcomeKind::Served, 1), (OutcomeKind::NotSent, 0)] {
        let mut ledger = SlotLedger::default();
        ledger.grant(HOLDER, address(1), 1, REPLICA, SlotUse::Online, now);
        let released = SlotReport {
            holder: HOLDER,
            released: vec![1],
            outcomes: vec![LeaseOutcome {
                lease: 1,
                replica: REPLICA,
                kind: kind.into(),
                first_event_ms: 0,
            }],
            ..SlotReport::default()
        };
        ledger.apply_report(&released, address(1), now + millis(40));
        assert_eq!(ledger.counts(REPLICA), counts(0, 0));
        assert_eq!(ledger.take_released().len(), expected, "{kind:?}");
    }
}

#[test]
fn a_new_coordinator_learns_all_leases_from_one_full_report() {
    let now = Instant::now();
    let mut held = HeldSlots::default();
    for usage in [SlotUse::Online, item(now, 500)] {
        let lease = held.next_number();
        held.take(lease, REPLICA, usage);
    }
    let elsewhere = held.next_number();
    held.take(elsewhere, OTHER_REPLICA, SlotUse::Online);
    let report = held.full_report(HOLDER, now, |replica| replica == REPLICA);
    let mut ledger = SlotLedger::default();
    ledger.apply_report(&report, address(1), now);
    assert_eq!(ledger.counts(REPLICA), counts(1, 1));
    assert_eq!(ledger.counts(OTHER_REPLICA), counts(0, 0));
}

#[test]
fn a_full_report_keeps_awaited_leases_and_removes_abandoned_ones() {
    let now = Instant::now();
    let mut held = HeldSlots::default();
    let awaited = held.next_number();
    held.wait_for(awaited);
    let abandoned = held.next_number();
    held.wait_for(abandoned);
    held.stop_waiting(abandoned);
    let mut ledger = SlotLedger::default();
    for lease in [awaited, abandoned] {
        ledger.grant(HOLDER, address(1), lease, REPLICA, SlotUse::Online, now);
    }
    let report = held.full_report(HOLDER, now, |_| true);
    let later = held.next_number();
    ledger.grant(HOLDER, address(1), later, REPLICA, SlotUse::Online, now);
    ledger.apply_report(&report, address(1), now);
    assert_eq!(ledger.replica_of(HOLDER, awaited), Some(REPLICA));
    assert_eq!(ledger.replica_of(HOLDER, abandoned), None);
    assert_eq!(ledger.replica_of(HOLDER, later), Some(REPLICA));
    assert_eq!(ledger.counts(REPLICA), counts(2, 0));
}

#[test]
fn the_item_with_most_slack_is_preempted_and_counts_again_if_it_continues() {
    let now = Instant::now();
    let mut ledger = SlotLedger::default();
    ledger.grant(HOLDER, address(1), 1, REPLICA, item(now, 100), now);
    ledger.grant(8, address(2), 1, REPLICA, item(now, 900), now);
    ledger.grant(9, address(3), 1, OTHER_REPLICA, item(now, 5_000), now);
    let preempted = ledger.most_slack(REPLICA, now).expect("an item");
    assert_eq!((preempted.holder, preempted.lease), (address(2), 1));
    ledger.note_preempted(preempted, now);
    ledger.note_preempted(preempted, now);
    assert_eq!(ledger.counts(REPLICA), counts(0, 1));
    let next = ledger.most_slack(REPLICA, now).expect("the other one");
    assert_eq!(next.holder, address(1));

    let mut held = HeldSlots::default();
    let lease = held.next_number();
    held.take(lease, REPLICA, item(now, 900));
    let early = held.full_report(8, now, |_| true);
    ledger.apply_report(&early, address(2), now + millis(100));
    assert_eq!(
        ledger.counts(REPLICA),
        counts(0, 1),
        "within the preemption timeout"
    );
    let late = held.full_report(8, now, |_| true);
    ledger.apply_report(&late, address(2), now + millis(600));
    assert_eq!(
        ledger.counts(REPLICA),
        counts(0, 2),
        "the preemption command was lost"
    );
}

#[test]
fn an_unresponsive_holder_is_removed() {
    let now = Instant::now();
    let mut ledger = SlotLedger::default();
    ledger.grant(HOLDER, address(1), 1, REPLICA, SlotUse::Online, now);
    ledger.take_changed();
    ledger.expire(now + millis(2_000));
    assert_eq!(ledger.counts(REPLICA), counts(1, 0));
    ledger.expire(now + millis(2_500));
    assert_eq!(ledger.counts(REPLICA), counts(0, 0));
    assert_eq!(ledger.take_changed(), [REPLICA]);
}

#[test]
fn all_daemons_choose_the_same_coordinator() {
    let members: Vec<String> = (0..71).map(|number| format!("front-{number}")).collect();
    let mut reversed: Vec<&str> = members.iter().map(String::as_str).collect();
    reversed.reverse();
    let coordinators: HashSet<&str> = (0..8)
        .map(|number| {
            let group = GroupId { area: 0, number };
            let coordinator = coordinator_of(5, group, members.iter().map(String::as_str));
            assert_eq!(
                coordinator,
                coordinator_of(5, group, reversed.iter().copied())
            );
            coordinator.expect("a coordinator")
        })
        .collect();
    assert!(coordinators.len() >= 5, "{coordinators:?}");
}

/// Number of replicas by group, with replicas spread evenly over the zones.
fn group_sizes(replicas: u32, zones: &[u32]) -> BTreeMap<GroupId, usize> {
    let layout = GroupLayout::new(replicas as usize, zones, &[ONE_REGION]);
    let mut sizes: BTreeMap<GroupId, usize> = BTreeMap::new();
    for replica in 0..replicas {
        let hash = replica.wrapping_mul(2_654_435_761);
        let zone = zones[replica as usize % zones.len()];
        let group = layout.group_of(hash, zone, ONE_REGION);
        assert!(layout.contains(group), "{group:?}");
        *sizes.entry(group).or_default() += 1;
    }
    sizes
}

#[test]
fn groups_are_small_and_zonal_in_large_zones() {
    assert_eq!(group_sizes(12, &[1, 2, 3]).len(), 1, "few replicas");
    assert_eq!(
        group_sizes(51, &[1, 2, 3, 4, 5, 6, 7]).len(),
        2,
        "small zones"
    );
    assert_eq!(group_sizes(89, &[1, 2, 3, 4, 5]).len(), 5, "a group a zone");
    assert_eq!(group_sizes(89, &[9]).len(), 4, "one zone of many");
    let target = group_sizes(2_200, &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    assert_eq!(target.len(), 88);
    assert!(target.values().all(|size| *size <= 64), "{target:?}");
    for sizes in [group_sizes(89, &[1, 2, 3, 4, 5]), target] {
        assert!(sizes.keys().all(|group| group.area > 0));
    }
}

#[test]
fn positions_cycle_through_all_groups() {
    let zones = [1, 2, 3, 4, 5];
    for replicas in [12, 51, 200, 2_200] {
        let layout = GroupLayout::new(replicas, &zones, &[ONE_REGION]);
        let visited: HashSet<GroupId> = (0..1_000).map(|position| layout.at(position)).collect();
        let by_replica = group_sizes(u32::try_from(replicas).expect("few"), &zones);
        assert_eq!(visited, by_replica.into_keys().collect());
    }
}

/// Action of a holder, and whether the datagram about it arrives.
#[derive(Debug, Clone)]
enum Event {
    /// A requested lease is granted; if the reply is lost, the lease is abandoned without a report.
    Request { replica: u32, answered: bool },
    /// A lease is taken without a request; the report may be lost.
    Take { replica: u32, reported: bool },
    /// A lease is released; the report may be lost.
    Release { pick: usize, reported: bool },
    /// A full report, which may be lost.
    FullReport { reported: bool },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let replica = 0..3_u32;
    let event = prop_oneof![
        (replica.clone(), any::<bool>())
            .prop_map(|(replica, answered)| Event::Request { replica, answered }),
        (replica, any::<bool>()).prop_map(|(replica, reported)| Event::Take { replica, reported }),
        (any::<usize>(), any::<bool>())
            .prop_map(|(pick, reported)| Event::Release { pick, reported }),
        any::<bool>().prop_map(|reported| Event::FullReport { reported }),
    ];
    proptest::collection::vec(event, 0..60)
}

proptest! {
    #[test]
    fn a_full_report_restores_the_counts_after_any_loss(events in events()) {
        let now = Instant::now();
        let mut held = HeldSlots::default();
        let mut held_replicas: BTreeMap<u32, u32> = BTreeMap::new();
        let mut ledger = SlotLedger::default();
        for event in events {
            match event {
                Event::Request { replica, answered } => {
                    let lease = held.next_number();
                    held.wait_for(lease);
                    ledger.grant(HOLDER, address(1), lease, replica, SlotUse::Online, now);
                    held.stop_waiting(lease);
                    if answered {
                        held.take(lease, replica, SlotUse::Online);
                        held_replicas.insert(lease, replica);
                    }
                }
                Event::Take { replica, reported } => {
                    let lease = held.next_number();
                    held.take(lease, replica, SlotUse::Online);
                    held_replicas.insert(lease, replica);
                    let report = SlotReport {
                        holder: HOLDER,
                        held: held.describe(lease, now).into_iter().collect(),
                        ..SlotReport::default()
                    };
                    if reported {
                        ledger.apply_report(&report, address(1), now);
                    }
                }
                Event::Release { pick, reported } => {
                    let leases: Vec<u32> = held_replicas.keys().copied().collect();
                    let Some(lease) = leases.get(pick % leases.len().max(1)).copied() else {
                        continue;
                    };
                    held_replicas.remove(&lease);
                    held.release(lease);
                    let report = SlotReport {
                        holder: HOLDER,
                        released: vec![lease],
                        ..SlotReport::default()
                    };
                    if reported {
                        ledger.apply_report(&report, address(1), now);
                    }
                }
                Event::FullReport { reported } => {
                    let report = held.full_report(HOLDER, now, |_| true);
                    if reported {
                        ledger.apply_report(&report, address(1), now);
                    }
                }
            }
        }
        let report = held.full_report(HOLDER, now, |_| true);
        ledger.apply_report(&report, address(1), now);
        let mut expected: HashMap<u32, u32> = HashMap::new();
        for replica in held_replicas.values() {
            *expected.entry(*replica).or_default() += 1;
        }
        for replica in 0..3 {
            let online = expected.get(&replica).copied().unwrap_or_default();
            prop_assert_eq!(ledger.counts(replica), counts(online, 0));
        }
    }
}
