//! Two parts of a fleet that never hear each other, both in touch with a store that is well.

use std::time::Duration;

use eyre::Result;
use harrierward_bench::faults::{PartitionReport, run_connected, run_partitioned};

const LENGTH: Duration = Duration::from_secs(60);
const SEEDS: [u64; 3] = [1, 2, 3];

/// Takeovers of one thing in a minute. Each part waits 4 s when it has lost something the first time, then 8, 16 and 32 s: the
/// two take it in turns 4, 8, 16, 24, 40 and 56 s after the first two turns.
const MOST_TAKEOVERS: u64 = 8;

fn reports(run: impl Fn(u64, Duration) -> Result<PartitionReport>) -> Vec<PartitionReport> {
    let reports = SEEDS.map(|seed| run(seed, LENGTH).expect("the simulation runs"));
    for (seed, report) in SEEDS.iter().zip(&reports) {
        println!("seed {seed}: {report:?}");
    }
    reports.to_vec()
}

#[test]
fn parts_that_never_hear_each_other_take_things_in_few_turns_and_end_their_jobs() {
    let reports = reports(run_partitioned);
    for report in &reports {
        assert!(report.max_shard_takeovers <= MOST_TAKEOVERS, "{reports:?}");
        assert!(
            report.max_replica_takeovers <= MOST_TAKEOVERS,
            "{reports:?}"
        );
        assert_eq!(report.open_jobs, 0, "{reports:?}");
        assert!(report.checked.violations.is_empty(), "{reports:?}");
    }
}

#[test]
fn a_fleet_that_hears_itself_ends_the_same_jobs_without_a_takeover() {
    let reports = reports(run_connected);
    for report in &reports {
        assert_eq!(report.takeovers, 0, "{reports:?}");
        assert_eq!(report.open_jobs, 0, "{reports:?}");
        assert!(report.checked.violations.is_empty(), "{reports:?}");
    }
}
