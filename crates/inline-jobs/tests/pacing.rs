//! Guards against wrong urgencies of items near the target of their job.

use std::time::Duration;

use harrierward_inline_jobs::{RunLength, Urgency, urgency};

const TARGET: Duration = Duration::from_secs(20);

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn urgency_rises_with_age_until_the_target_is_missed() {
    let remaining = seconds(5);
    let order = [
        urgency(seconds(1), remaining, TARGET),
        urgency(seconds(9), remaining, TARGET),
        urgency(seconds(14), remaining, TARGET),
        urgency(seconds(16), remaining, TARGET),
    ];
    let expected = [
        Urgency::Relaxed,
        Urgency::Pressing,
        Urgency::Late,
        Urgency::Missed,
    ];
    assert_eq!(order, expected);
}

#[test]
fn an_item_whose_output_is_nearly_complete_can_still_be_in_time() {
    let mut run_length = RunLength::default();
    for _ in 0..100 {
        run_length.observe(seconds(6), 240);
    }
    let nearly_complete = run_length.remaining(230);
    let untouched = run_length.remaining(0);
    assert_eq!(urgency(seconds(18), nearly_complete, TARGET), Urgency::Late);
    assert_eq!(urgency(seconds(18), untouched, TARGET), Urgency::Missed);
}
