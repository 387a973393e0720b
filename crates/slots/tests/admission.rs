//! Admission control: which requests are refused, and for when their retries are scheduled.

use std::time::Duration;

use harrierward_slots::{GroupAdmission, QueuedRequest};
use proptest::prelude::*;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_600);

/// Admission state after enough observations of this holding time.
fn observed(hold: Duration, now: Instant) -> GroupAdmission {
    let mut admission = GroupAdmission::new(now);
    for _ in 0..40 {
        admission.observe_hold(hold);
    }
    admission
}

fn queued_request(position: u32) -> QueuedRequest {
    QueuedRequest {
        position,
        replica_slots: 6,
        group_slots: 144,
        objective: OBJECTIVE,
        max_retry_after: MAX_RETRY_AFTER,
    }
}

#[test]
fn a_request_is_admitted_while_it_can_meet_its_objective() {
    let now = Instant::now();
    let mut admission = observed(Duration::from_millis(700), now);
    // One of six slots is released every 117 ms.
    assert_eq!(admission.schedule_retry(&queued_request(1), 0.5, now), None);
    assert_eq!(admission.schedule_retry(&queued_request(2), 0.5, now), None);
    assert!(
        admission
            .schedule_retry(&queued_request(3), 0.5, now)
            .is_some()
    );
}

/// A new coordinator must not refuse requests without observations.
#[test]
fn nothing_is_refused_before_enough_observations() {
    let now = Instant::now();
    let mut admission = GroupAdmission::new(now);
    admission.observe_hold(Duration::from_secs(9));
    assert_eq!(
        admission.schedule_retry(&queued_request(20), 0.5, now),
        None
    );
}

proptest! {
    /// Retries must stay within the delay that callers accept, and not precede the expected slot.
    #[test]
    fn retries_are_scheduled_within_accepted_delays(
        hold_ms in 10..20_000_u64,
        position in 0..40_u32,
        refused in 1..200_usize,
        draw in 0.0..1.0_f64,
        arrivals in 0..300_u32,
    ) {
        let now = Instant::now();
        let mut admission = observed(Duration::from_millis(hold_ms), now);
        for _ in 0..arrivals {
            admission.observe_arrival(now);
        }
        let queued_request = queued_request(position);
        let wait = admission.expected_wait(&queued_request).expect("enough was observed");
        for _ in 0..refused {
            match admission.schedule_retry(&queued_request, draw, now) {
                None => prop_assert!(wait <= OBJECTIVE),
                Some(delay) => {
                    prop_assert!(wait > OBJECTIVE);
                    prop_assert!(delay <= MAX_RETRY_AFTER);
                    prop_assert!(delay >= wait.min(MAX_RETRY_AFTER.mul_f64(0.75)));
                }
            }
        }
    }
}

/// Callers refused together must not retry at the same time.
#[test]
fn retries_are_spread_over_time() {
    let now = Instant::now();
    let mut admission = observed(Duration::from_millis(700), now);
    let mut delays: Vec<Duration> = (0..10)
        .filter_map(|_| admission.schedule_retry(&queued_request(3), 0.5, now))
        .collect();
    assert_eq!(delays.len(), 10);
    delays.dedup();
    assert_eq!(delays.len(), 10, "{delays:?}");
}

/// A scheduled retry must gain priority once; unscheduled late requests must not.
#[test]
fn a_scheduled_retry_is_recognized_once() {
    let now = Instant::now();
    let mut admission = observed(Duration::from_millis(700), now);
    assert!(!admission.take_retry(now), "no retry was scheduled");
    let delay = admission
        .schedule_retry(&queued_request(4), 0.5, now)
        .expect("it would be late");
    assert!(!admission.take_retry(now), "long before the scheduled time");
    assert!(admission.take_retry(now + delay));
    assert!(!admission.take_retry(now + delay), "already taken");
    let delay = admission
        .schedule_retry(&queued_request(4), 0.5, now)
        .expect("it would be late");
    assert!(!admission.take_retry(now + delay + Duration::from_secs(1)));
}
