//! Guards against losing a reported failure, and against reports that grow without bound.

use std::time::Duration;

use harrierward_inline_jobs::ReportedFailures;
use harrierward_wire::{ItemFailuresRow, JobFailures};
use proptest::prelude::*;
use tokio::time::Instant;

/// Jobs of which reports are kept, and for how long.
const MAX_JOBS: usize = 4_096;
const RETENTION: Duration = Duration::from_secs(600);

fn row(item: u32, count: u32) -> ItemFailuresRow {
    ItemFailuresRow { item, count }
}

fn report(job_id: &str, failures: &[ItemFailuresRow]) -> JobFailures {
    JobFailures {
        job_id: job_id.to_owned(),
        failures: failures.to_vec(),
        age_ms: 0,
    }
}

#[test]
fn a_report_that_raises_no_count_is_not_new() {
    let mut reported = ReportedFailures::default();
    let now = Instant::now();
    assert!(reported.note(&report("job", &[row(3, 2)]), now));
    assert!(!reported.note(&report("job", &[row(3, 2)]), now));
    assert!(!reported.note(&report("job", &[row(3, 1)]), now));
    assert!(reported.note(&report("job", &[row(3, 2), row(4, 1)]), now));
    assert_eq!(reported.of("job"), [row(3, 2), row(4, 1)]);
    assert!(reported.of("other").is_empty());
}

proptest! {
    /// In whatever order reports arrive, and however often, each item has its highest count.
    #[test]
    fn the_highest_count_of_each_item_holds(reports in prop::collection::vec((0_u32..4, 1_u32..4), 0..20)) {
        let mut reported = ReportedFailures::default();
        let now = Instant::now();
        for (item, count) in &reports {
            reported.note(&report("job", &[row(*item, *count)]), now);
        }
        for item in 0..4 {
            let counts = reports.iter().filter(|(other, _)| *other == item).map(|(_, count)| *count);
            let held = reported.of("job").iter().find(|row| row.item == item);
            prop_assert_eq!(held.map(|row| row.count), counts.max());
        }
    }
}

#[test]
fn reports_are_bounded_and_the_oldest_goes_first() {
    let mut reported = ReportedFailures::default();
    let start = Instant::now();
    for number in 0..=MAX_JOBS {
        let now = start + Duration::from_millis(number as u64);
        reported.note(&report(&format!("job{number}"), &[row(0, 1)]), now);
    }
    assert_eq!(reported.current(start).len(), MAX_JOBS);
    assert!(reported.of("job0").is_empty());
    assert_eq!(reported.of("job1"), [row(0, 1)]);
}

#[test]
fn a_report_expires_only_if_it_is_not_repeated() {
    let mut reported = ReportedFailures::default();
    let start = Instant::now();
    reported.note(&report("repeated", &[row(0, 1)]), start);
    reported.note(&report("once", &[row(0, 1)]), start);
    reported.note(&report("repeated", &[row(0, 1)]), start + RETENTION / 2);
    reported.note(&report("new", &[row(0, 1)]), start + RETENTION);
    assert!(reported.of("once").is_empty());
    assert_eq!(reported.of("repeated"), [row(0, 1)]);
}

/// Daemons that pass a report on to each other must not keep it for ever.
#[test]
fn a_report_that_is_passed_on_keeps_its_age() {
    let start = Instant::now();
    let mut daemons = [ReportedFailures::default(), ReportedFailures::default()];
    daemons[0].note(&report("job", &[row(0, 1)]), start);
    for second in 1..=RETENTION.as_secs() {
        let now = start + Duration::from_secs(second);
        for (from, to) in [(0, 1), (1, 0)] {
            for passed_on in daemons[from].current(now) {
                daemons[to].note(&passed_on, now);
            }
        }
    }
    let end = start + RETENTION;
    assert!(
        daemons
            .iter_mut()
            .all(|daemon| daemon.current(end).is_empty())
    );
}
