//! Guards against views that stay incomplete after a network partition has healed.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Fleet, Partition, PartitionKind};

const MEMBERS: usize = 71;

/// Window of the random start times.
const SPREAD: Duration = Duration::from_secs(1);

/// Time by which all views of an unpartitioned fleet are complete.
const SETTLED: Duration = Duration::from_secs(8);

/// Maximum time from the end of a partition until all views are complete.
const COMPLETE_WITHIN: Duration = Duration::from_secs(10);

/// When removed seeds stop; views are complete by then.
const SEEDS_STOP_AT: Duration = Duration::from_secs(6);

/// Number of seeds.
const SEEDS: usize = 3;

/// How a partition divides the fleet.
#[derive(Debug, Clone, Copy)]
enum Parts {
    /// This many parts of equal size.
    Even(usize),
    /// Each of this many last daemons alone, and the remaining ones.
    Single(usize),
    /// This many last daemons together, and the remaining ones.
    Few(usize),
}

impl Parts {
    fn of(self, members: usize) -> Vec<usize> {
        let part = |index: usize| match self {
            Self::Even(parts) => index * parts / members,
            Self::Single(count) => (index + count + 1).saturating_sub(members),
            Self::Few(count) => usize::from(index + count >= members),
        };
        (0..members).map(part).collect()
    }
}

/// Placement of the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seeds {
    /// All in the first part.
    OnePart,
    /// Spread over the fleet.
    Spread,
    /// Stopped before the partition.
    Removed,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    members: usize,
    kind: PartitionKind,
    parts: Parts,
    seeds: Seeds,
    starts_at: Duration,
    duration: Duration,
}

impl Scenario {
    fn halves(starts_at: Duration, duration: Duration) -> Self {
        Self {
            members: MEMBERS,
            kind: PartitionKind::BothWays,
            parts: Parts::Even(2),
            seeds: Seeds::Spread,
            starts_at,
            duration,
        }
    }

    fn fleet(self) -> Fleet {
        let members = self.members;
        let seeds = match self.seeds {
            Seeds::Spread => [0, members / 3, members * 2 / 3],
            Seeds::OnePart | Seeds::Removed => [0, 1, 2],
        };
        let mut fleet = Fleet::with_seeds(members, SPREAD, &seeds);
        if self.seeds == Seeds::Removed {
            for seed in 0..SEEDS {
                fleet.stop_at(seed, SEEDS_STOP_AT);
            }
        }
        fleet.set_partition(Partition {
            kind: self.kind,
            starts_at: self.starts_at,
            duration: self.duration,
            part_of: self.parts.of(members),
        });
        fleet
    }

    /// Returns the seconds from the end of the partition until all views are complete; `None` after the timeout.
    fn seconds_until_complete(self) -> Option<f64> {
        let mut fleet = self.fleet();
        fleet.run_until(self.starts_at + self.duration);
        let seconds = fleet.seconds_until_complete(COMPLETE_WITHIN);
        println!("{self:?}: complete after {seconds:?} s");
        seconds
    }
}

/// Runs all scenarios before it fails, so that all failures are reported.
fn assert_all_rejoin(scenarios: impl IntoIterator<Item = Scenario>) {
    let failed = scenarios
        .into_iter()
        .filter(|scenario| scenario.seconds_until_complete().is_none());
    let failed: Vec<Scenario> = failed.collect();
    assert!(failed.is_empty(), "views never complete again: {failed:#?}");
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The partition ends before dead members are forgotten.
#[test]
fn parts_rejoin_after_a_short_partition() {
    let both = [5, 30, 55].map(|duration| Scenario::halves(SETTLED, seconds(duration)));
    let one_way = both.map(|scenario| Scenario {
        kind: PartitionKind::OneWay,
        ..scenario
    });
    assert_all_rejoin(both.into_iter().chain(one_way));
}

/// The parts have never met, so that only seeds connect them.
#[test]
fn parts_rejoin_after_a_partition_from_the_start() {
    let both = [5, 70].map(|duration| Scenario::halves(Duration::ZERO, seconds(duration)));
    let one_way = both.map(|scenario| Scenario {
        kind: PartitionKind::OneWay,
        ..scenario
    });
    let seeds_beyond = both.map(|scenario| Scenario {
        seeds: Seeds::OnePart,
        ..scenario
    });
    let thirds = both.map(|scenario| Scenario {
        parts: Parts::Even(3),
        ..scenario
    });
    let scenarios = both.into_iter().chain(one_way);
    assert_all_rejoin(scenarios.chain(seeds_beyond).chain(thirds));
}

/// Each part has forgotten the other; the seeds may be unreachable or removed.
#[test]
fn parts_that_forgot_each_other_rejoin() {
    let both = [70, 120, 600].map(|duration| Scenario::halves(SETTLED, seconds(duration)));
    let mut scenarios = both.to_vec();
    for seeds in [Seeds::OnePart, Seeds::Removed] {
        scenarios.extend(both.map(|scenario| Scenario { seeds, ..scenario }));
    }
    let long = Scenario {
        seeds: Seeds::Removed,
        ..Scenario::halves(SETTLED, seconds(120))
    };
    for parts in [Parts::Even(3), Parts::Single(5), Parts::Few(2)] {
        scenarios.push(Scenario { parts, ..long });
    }
    let flapping = PartitionKind::Flapping(seconds(7));
    for kind in [PartitionKind::OneWay, flapping] {
        scenarios.push(Scenario { kind, ..long });
    }
    assert_all_rejoin(scenarios);
}

/// Number of runs with different datagram losses.
const RUNS: u64 = 60;

/// Maximum time until the views are complete in any of them.
const MAX_TIME_UNTIL_COMPLETE: Duration = Duration::from_secs(6);

/// Members that lack the same member have equal digests and must still detect it.
#[test]
fn views_are_complete_in_time_under_any_datagram_losses() {
    let scenario = Scenario::halves(Duration::ZERO, seconds(5));
    let slow = (0..RUNS).filter(|run| {
        let mut fleet = scenario.fleet();
        fleet.reseed(*run);
        fleet.run_until(scenario.starts_at + scenario.duration);
        fleet
            .seconds_until_complete(MAX_TIME_UNTIL_COMPLETE)
            .is_none()
    });
    let slow: Vec<u64> = slow.collect();
    assert!(slow.is_empty(), "not complete in time: {slow:?} of {RUNS}");
}

fn any_scenario() -> impl Strategy<Value = Scenario> {
    let kind = prop_oneof![
        Just(PartitionKind::BothWays),
        Just(PartitionKind::OneWay),
        (1_u64..20).prop_map(|interval| PartitionKind::Flapping(seconds(interval))),
    ];
    let parts = prop_oneof![
        (2_usize..5).prop_map(Parts::Even),
        (1_usize..6).prop_map(Parts::Single),
        (2_usize..5).prop_map(Parts::Few),
    ];
    let seeds = prop_oneof![
        Just(Seeds::OnePart),
        Just(Seeds::Spread),
        Just(Seeds::Removed)
    ];
    let starts_at = prop_oneof![Just(0_u64), 0_u64..30];
    let duration = prop_oneof![1_u64..60, 60_u64..200, 200_u64..600];
    (12_usize..40, kind, parts, seeds, starts_at, duration).prop_map(
        |(members, kind, parts, seeds, starts_at, duration)| {
            // A daemon that knows neither other members nor a running seed can't rejoin.
            let first = if seeds == Seeds::Removed {
                SETTLED
            } else {
                Duration::ZERO
            };
            Scenario {
                members,
                kind,
                parts,
                seeds,
                starts_at: seconds(starts_at).max(first),
                duration: seconds(duration),
            }
        },
    )
}

const CASES: u32 = 24;

/// Random partitions of any kind, length and placement.
#[test]
fn views_are_complete_after_any_partition() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&any_scenario(), |scenario| {
        prop_assert!(
            scenario.seconds_until_complete().is_some(),
            "views never complete again"
        );
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Joins from members that can't be reached must not add them to the view repeatedly.
#[test]
fn unreachable_joining_members_stay_out_of_views() {
    let scenario = Scenario {
        kind: PartitionKind::OneWay,
        ..Scenario::halves(SETTLED, seconds(200))
    };
    let own_part = scenario.parts.of(scenario.members);
    let own_part = own_part.iter().filter(|part| **part == 0).count();
    let mut fleet = scenario.fleet();
    // The other part is dead and forgotten by then.
    fleet.run_until(SETTLED + seconds(90));
    let mut largest_view_size = 0;
    while fleet.now() < scenario.starts_at + scenario.duration {
        fleet.run_until(fleet.now() + Duration::from_millis(200));
        largest_view_size = largest_view_size.max(fleet.largest_view(0..own_part));
    }
    println!("largest view of {own_part} that receive from the others: {largest_view_size}");
    assert_eq!(largest_view_size, own_part);
}

/// Duration of each traffic measurement.
const MEASURED: Duration = Duration::from_secs(10);

/// Time by which an unpartitioned fleet only probes.
const STEADY: Duration = Duration::from_secs(20);

/// Maximum number of bytes per daemon in [`MEASURED`].
const MAX_BYTES: usize = 90_000;

/// Maximum number of joins per part of the fleet in [`MEASURED`].
const MAX_JOINS: usize = 600;

/// Maximum number of datagrams per daemon in [`MEASURED`].
const MAX_DATAGRAMS: usize = 120;

#[derive(Debug)]
struct Traffic {
    bytes_per_daemon: usize,
    datagrams: usize,
    joins: usize,
}

/// Measures the fleet's traffic in [`MEASURED`] from `begin` on.
fn measure_traffic(fleet: &mut Fleet, begin: Duration) -> Traffic {
    fleet.run_until(begin);
    fleet.reset_counters();
    fleet.run_until(begin + MEASURED);
    Traffic {
        bytes_per_daemon: fleet.bytes_per_daemon(),
        datagrams: fleet.datagrams,
        joins: fleet.joins,
    }
}

/// A complete fleet sends no joins while its seeds are present, and a bounded number without them.
fn assert_steady_traffic_is_bounded(members: usize) {
    let scenario = Scenario {
        members,
        ..Scenario::halves(SETTLED, Duration::ZERO)
    };
    let present = measure_traffic(&mut scenario.fleet(), STEADY);
    println!("{members} members, steady: {present:?}");
    assert_eq!(present.joins, 0, "joins of a complete fleet");
    let removed = Scenario {
        seeds: Seeds::Removed,
        ..scenario
    };
    // The stopped seeds are forgotten by then.
    let removed = measure_traffic(&mut removed.fleet(), seconds(75));
    println!("{members} members, steady, seeds removed: {removed:?}");
    assert!((1..=MAX_JOINS).contains(&removed.joins), "{removed:?}");
    assert!(removed.bytes_per_daemon <= MAX_BYTES / 2, "{removed:?}");
}

/// Joins and traffic stay bounded during a partition and after it has healed.
fn assert_partition_traffic_is_bounded(members: usize) {
    let scenario = Scenario {
        members,
        ..Scenario::halves(SETTLED, seconds(70))
    };
    let mut fleet = scenario.fleet();
    let end = scenario.starts_at + scenario.duration;
    let during = measure_traffic(&mut fleet, end - MEASURED);
    println!("{members} members, last 10 s of a partition of 70 s: {during:?}");
    let after = measure_traffic(&mut fleet, end);
    println!("{members} members, 10 s after it: {after:?}");
    assert!(fleet.is_complete());
    for traffic in [during, after] {
        assert!(traffic.joins <= 2 * MAX_JOINS, "{traffic:?}");
        assert!(traffic.bytes_per_daemon <= MAX_BYTES, "{traffic:?}");
        let datagrams = traffic.datagrams / members;
        assert!(datagrams <= MAX_DATAGRAMS, "{datagrams} a daemon");
    }
}

#[test]
fn a_complete_fleet_sends_no_joins() {
    assert_steady_traffic_is_bounded(MEMBERS);
}

#[test]
fn a_healed_partition_causes_no_thundering_herd() {
    assert_partition_traffic_is_bounded(MEMBERS);
}

#[test]
#[ignore = "takes minutes"]
fn traffic_at_the_maximum_fleet_size() {
    for members in [300, 520] {
        assert_steady_traffic_is_bounded(members);
        assert_partition_traffic_is_bounded(members);
    }
}
