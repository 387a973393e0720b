//! Which items go first, and how many slots they leave free.

use std::time::Duration;

use harrierward_inline_jobs::{OnlinePeaks, RunLength, Urgency, urgency};
use tokio::time::Instant;

const TARGET: Duration = Duration::from_secs(20);

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn an_item_that_cannot_be_in_time_goes_after_all_others() {
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
fn an_item_whose_output_is_nearly_whole_can_still_be_in_time() {
    let mut run_length = RunLength::default();
    for _ in 0..100 {
        run_length.observe(seconds(6), 240);
    }
    let nearly_whole = run_length.remaining(230);
    let untouched = run_length.remaining(0);
    assert_eq!(urgency(seconds(18), nearly_whole, TARGET), Urgency::Late);
    assert_eq!(urgency(seconds(18), untouched, TARGET), Urgency::Missed);
}

#[test]
fn slots_follow_the_last_peak_and_come_back_with_time() {
    let start = Instant::now();
    let mut peaks = OnlinePeaks::default();
    peaks.observe("service", 30.0, start);
    let relaxed = Urgency::Relaxed.pace().peak_share;
    let at_peak = peaks.free_slots("service", relaxed, start);
    peaks.observe("service", 1.0, start + seconds(3));
    let after_burst = peaks.free_slots("service", relaxed, start + seconds(3));
    let much_later = peaks.free_slots("service", relaxed, start + seconds(60));
    assert!(
        at_peak >= 10 && after_burst + 2 >= at_peak,
        "{at_peak} {after_burst}"
    );
    assert!(much_later < at_peak, "{much_later}");
    let late = peaks.free_slots("service", Urgency::Late.pace().peak_share, start);
    assert!(late < at_peak, "{late}");
}
