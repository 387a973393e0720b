//! Rows for starting daemons are bounded by their bytes.

use std::time::Duration;

use harrierward_edge::ResponseBudget;
use tokio::time::Instant;

/// Answers given within a second to daemons that ask each millisecond.
fn answers(bytes: usize) -> usize {
    let start = Instant::now();
    let mut budget = ResponseBudget::default();
    let moments = (0..1_000).map(|millisecond| start + Duration::from_millis(millisecond));
    let mut given = 0;
    for now in moments {
        if budget.is_free(now) {
            budget.spend(bytes, now);
            given += 1;
        }
    }
    given
}

#[test]
fn a_small_site_answers_all_that_start_at_once() {
    assert!(answers(15_000) >= 400, "{}", answers(15_000));
}

#[test]
fn a_large_one_gives_out_ten_megabytes_a_second() {
    assert!((9..=11).contains(&answers(1_000_000)));
    assert!(answers(3_000_000) <= 4);
}
