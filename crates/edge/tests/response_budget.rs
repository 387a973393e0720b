//! Byte rate limit on rows served to starting daemons.

use std::time::Duration;

use harrierward_edge::ResponseBudget;
use tokio::time::Instant;

/// Returns the number of responses of `bytes` each that are served within a second, with a request every millisecond.
fn responses(bytes: usize) -> usize {
    let start = Instant::now();
    let mut budget = ResponseBudget::default();
    let times = (0..1_000).map(|millisecond| start + Duration::from_millis(millisecond));
    let mut served = 0;
    for now in times {
        if budget.is_free(now) {
            budget.spend(bytes, now);
            served += 1;
        }
    }
    served
}

#[test]
fn small_responses_are_served_to_all_starting_daemons() {
    assert!(responses(15_000) >= 400, "{}", responses(15_000));
}

#[test]
fn large_responses_are_limited_to_ten_megabytes_per_second() {
    assert!((9..=11).contains(&responses(1_000_000)));
    assert!(responses(3_000_000) <= 4);
}
