//! Guards against wrong urgencies of items near the target of their job, and against starts that others use up.

use std::time::Duration;

use harrierward_inline_jobs::{RunLength, StartPacer, Urgency, urgency};
use tokio::time::Instant;

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

const PACE: &str = "model";

/// Guards against items of one service that wait for the start interval of another.
#[test]
fn starts_are_paced_by_name() {
    let mut pacer = StartPacer::default();
    let now = Instant::now();
    pacer.begin(PACE, false, now);
    assert!(!pacer.is_due(PACE, Urgency::Relaxed, now));
    assert!(pacer.is_due("other", Urgency::Relaxed, now));
    assert!(pacer.is_due(PACE, Urgency::Late, now));
    let later = now + Urgency::Relaxed.start_interval();
    assert!(pacer.is_due(PACE, Urgency::Relaxed, later));
}

/// Guards against refused items that use up the starts of those which can run.
#[test]
fn a_start_that_ran_nothing_is_taken_back() {
    let mut pacer = StartPacer::default();
    let now = Instant::now();
    pacer.begin(PACE, false, now);
    pacer.take_back(PACE, now);
    assert!(pacer.is_due(PACE, Urgency::Relaxed, now));
    pacer.begin(PACE, false, now);
    let later = now + Duration::from_millis(50);
    pacer.begin(PACE, false, later);
    pacer.take_back(PACE, now);
    assert!(
        !pacer.is_due(PACE, Urgency::Relaxed, later),
        "an earlier one"
    );
}

#[test]
fn placements_in_flight_are_bounded_by_name() {
    let mut pacer = StartPacer::default();
    let now = Instant::now();
    while pacer.may_place(PACE) {
        pacer.begin(PACE, true, now);
    }
    assert!(
        pacer.is_due(PACE, Urgency::Relaxed, now),
        "trials delay nothing"
    );
    assert!(pacer.may_place("other"));
    pacer.end_placement(PACE);
    assert!(pacer.may_place(PACE));
}
