//! Which newcomers are sent away, and when they are to come back.

use std::time::Duration;

use harrierward_slots::{GroupAdmission, QueuedRequest};
use proptest::prelude::*;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_600);

/// Coordinators know that requests hold their slots for so long.
fn observed(hold: Duration, now: Instant) -> GroupAdmission {
    let mut admission = GroupAdmission::new(now);
    for _ in 0..40 {
        admission.observe_hold(hold);
    }
    admission
}

fn newcomer(position: u32) -> QueuedRequest {
    QueuedRequest {
        position,
        replica_slots: 6,
        group_slots: 144,
        objective: OBJECTIVE,
        max_retry_after: MAX_RETRY_AFTER,
    }
}

#[test]
fn a_newcomer_is_let_in_while_it_can_be_in_time() {
    let now = Instant::now();
    let mut admission = observed(Duration::from_millis(700), now);
    // A slot of six is given back each 117 ms.
    assert_eq!(admission.schedule_retry(&newcomer(1), 0.5, now), None);
    assert_eq!(admission.schedule_retry(&newcomer(2), 0.5, now), None);
    assert!(admission.schedule_retry(&newcomer(3), 0.5, now).is_some());
}

/// A coordinator that has just started has seen no request end: it sends nobody away for what it does not know.
#[test]
fn nobody_is_sent_away_before_requests_were_seen_to_end() {
    let now = Instant::now();
    let mut admission = GroupAdmission::new(now);
    admission.observe_hold(Duration::from_secs(9));
    assert_eq!(admission.schedule_retry(&newcomer(20), 0.5, now), None);
}

proptest! {
    /// Whatever was observed, a caller is never sent beyond what it heeds, and never earlier than its slot is expected.
    #[test]
    fn callers_are_sent_to_moments_that_they_heed(
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
        let newcomer = newcomer(position);
        let wait = admission.expected_wait(&newcomer).expect("enough was observed");
        for _ in 0..refused {
            match admission.schedule_retry(&newcomer, draw, now) {
                None => prop_assert!(wait <= OBJECTIVE),
                Some(after) => {
                    prop_assert!(wait > OBJECTIVE);
                    prop_assert!(after <= MAX_RETRY_AFTER);
                    prop_assert!(after >= wait.min(MAX_RETRY_AFTER.mul_f64(0.75)));
                }
            }
        }
    }
}

/// Callers that are sent away together come back one after the other.
#[test]
fn callers_come_back_at_different_moments() {
    let now = Instant::now();
    let mut admission = observed(Duration::from_millis(700), now);
    let mut moments: Vec<Duration> = (0..10)
        .filter_map(|_| admission.schedule_retry(&newcomer(3), 0.5, now))
        .collect();
    assert_eq!(moments.len(), 10);
    moments.dedup();
    assert_eq!(moments.len(), 10, "{moments:?}");
}

/// Callers that come when they were told to are known as such, each once; others that are late are not.
#[test]
fn a_caller_that_was_told_to_come_is_known_when_it_does() {
    let now = Instant::now();
    let mut admission = observed(Duration::from_millis(700), now);
    assert!(!admission.claim_retry(now), "nobody was sent away");
    let after = admission
        .schedule_retry(&newcomer(4), 0.5, now)
        .expect("it would be late");
    assert!(!admission.claim_retry(now), "long before its moment");
    assert!(admission.claim_retry(now + after));
    assert!(!admission.claim_retry(now + after), "another one");
    let after = admission
        .schedule_retry(&newcomer(4), 0.5, now)
        .expect("it would be late");
    assert!(!admission.claim_retry(now + after + Duration::from_secs(1)));
}
