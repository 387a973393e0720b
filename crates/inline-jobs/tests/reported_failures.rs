//! Guards against losing a reported failure, and against reports that grow without bound.

use std::time::Duration;

use harrierward_inline_jobs::ReportedFailures;
use harrierward_wire::ItemFailuresRow;
use proptest::prelude::*;
use tokio::time::Instant;

/// Jobs of which reports are kept, and for how long.
const MAX_JOBS: usize = 4_096;
const RETENTION: Duration = Duration::from_secs(600);

fn row(item: u32, count: u32) -> ItemFailuresRow {
    ItemFailuresRow { item, count }
}

#[test]
fn a_report_that_raises_no_count_is_not_new() {
    let mut reported = ReportedFailures::default();
    let now = Instant::now();
    assert!(reported.note("job", &[row(3, 2)], now));
    assert!(!reported.note("job", &[row(3, 2)], now));
    assert!(!reported.note("job", &[row(3, 1)], now));
    assert!(reported.note("job", &[row(3, 2), row(4, 1)], now));
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
            reported.note("job", &[row(*item, *count)], now);
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
        reported.note(&format!("job{number}"), &[row(0, 1)], now);
    }
    assert_eq!(reported.all().len(), MAX_JOBS);
    assert!(reported.of("job0").is_empty());
    assert_eq!(reported.of("job1"), [row(0, 1)]);
}

#[test]
fn a_report_expires_only_if_it_is_not_repeated() {
    let mut reported = ReportedFailures::default();
    let start = Instant::now();
    reported.note("repeated", &[row(0, 1)], start);
    reported.note("once", &[row(0, 1)], start);
    reported.note("repeated", &[row(0, 1)], start + RETENTION / 2);
    reported.note("new", &[row(0, 1)], start + RETENTION);
    assert!(reported.of("once").is_empty());
    assert_eq!(reported.of("repeated"), [row(0, 1)]);
}
