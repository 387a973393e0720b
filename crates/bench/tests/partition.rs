//! A partition between daemons that all reach the store must not cause endless takeovers or open jobs.

use std::time::Duration;

use eyre::Result;
use harrierward_bench::faults::{PartitionReport, run_connected, run_partitioned};

const DURATION: Duration = Duration::from_secs(60);
const SEEDS: [u64; 3] = [1, 2, 3];

/// Maximum number of takeovers of a resource in a minute: the cooldown after each loss doubles from 4 s to 32 s, which
/// allows two initial takeovers and six more.
const MAX_TAKEOVERS: u64 = 8;

fn reports(run: impl Fn(u64, Duration) -> Result<PartitionReport>) -> Vec<PartitionReport> {
    let reports = SEEDS.map(|seed| run(seed, DURATION).expect("the simulation runs"));
    for (seed, report) in SEEDS.iter().zip(&reports) {
        println!("seed {seed}: {report:?}");
    }
    reports.to_vec()
}

#[test]
fn partitioned_fleet_bounds_takeovers_and_completes_its_jobs() {
    let reports = reports(run_partitioned);
    for report in &reports {
        assert!(report.max_shard_takeovers <= MAX_TAKEOVERS, "{reports:?}");
        assert!(report.max_replica_takeovers <= MAX_TAKEOVERS, "{reports:?}");
        assert_eq!(report.open_jobs, 0, "{reports:?}");
        assert!(report.checked.violations.is_empty(), "{reports:?}");
    }
}

#[test]
fn connected_fleet_completes_the_same_jobs_without_takeovers() {
    let reports = reports(run_connected);
    for report in &reports {
        assert_eq!(report.takeovers, 0, "{reports:?}");
        assert_eq!(report.open_jobs, 0, "{reports:?}");
        assert!(report.checked.violations.is_empty(), "{reports:?}");
    }
}
