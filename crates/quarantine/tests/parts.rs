//! Detection of the prompt parts that cause crashes.

use std::time::Duration;

use harrierward_quarantine::{
    ContentId, CrashLedger, Fingerprint, PartId, PartProofs, ReplicaInstance, Status,
};
use proptest::prelude::*;
use tokio::time::Instant;

/// Shared by all requests.
const FIRST: u64 = 1;
const CAUSE: u64 = 2;
const OTHER_CAUSE: u64 = 3;
/// In all crashing requests, and only there until a sound one comes.
const COMPANION: u64 = 4;
const SUBJECT: u64 = 5;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A time well after the clock's epoch, so that ages can be subtracted.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(10_000)
}

fn request(content: u64, parts: &[u64]) -> Fingerprint {
    Fingerprint {
        content: ContentId(content),
        parts: parts.iter().copied().map(PartId).collect(),
    }
}

fn crash(ledger: &mut CrashLedger, replica: u32, at: Instant, requests: &[Fingerprint]) {
    for request in requests {
        ledger.note_request_crash(request, ReplicaInstance(replica), at, at);
    }
}

fn complete(ledger: &mut CrashLedger, request: &Fingerprint, at: Instant) {
    let number = u32::try_from(request.content.0).expect("a small number");
    ledger.clear(request.content, number, at);
    for part in request.parts.iter() {
        ledger.clear(*part, number, at);
    }
}

fn is_held(ledger: &CrashLedger, request: &Fingerprint, now: Instant) -> bool {
    let status = ledger.statuses().of(request, now, Duration::ZERO);
    matches!(status, Status::Quarantined(_))
}

/// Guards against crashes by requests that are alike in nothing but one part (rule BUDGET).
#[test]
fn a_part_is_held_from_its_fourth_crash_on_in_whatever_request() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=4 {
        assert!(!is_held(&ledger, &request(99, &[CAUSE]), now));
        let crashing = request(u64::from(replica) + 10, &[u64::from(replica) + 100, CAUSE]);
        crash(&mut ledger, replica, now, &[crashing]);
    }
    assert!(is_held(&ledger, &request(99, &[CAUSE]), now));
    assert!(is_held(&ledger, &request(98, &[77, CAUSE, 78]), now));
    assert!(!is_held(&ledger, &request(97, &[77, 101]), now));
}

/// Guards against holding the part that most sound requests share, while few responses are complete.
#[test]
fn a_part_with_a_recent_complete_response_is_not_held() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=9_u32 {
        let at = now + ms(10) * replica;
        let cause = [CAUSE, OTHER_CAUSE][replica as usize % 2];
        crash(
            &mut ledger,
            replica,
            at,
            &[request(u64::from(replica), &[FIRST, cause])],
        );
    }
    // The response came 10 s before the crashes.
    ledger.prove(PartId(FIRST), 1, now - ms(10_000));
    let now = now + ms(200);
    assert!(is_held(&ledger, &request(99, &[FIRST, CAUSE]), now));
    assert!(is_held(&ledger, &request(99, &[FIRST, OTHER_CAUSE]), now));
    assert!(!is_held(&ledger, &request(99, &[FIRST, SUBJECT]), now));
}

/// Guards against blaming what is only known from crashing requests so far.
#[test]
fn a_companion_is_held_only_with_the_cause() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=5 {
        let crashing = request(u64::from(replica), &[FIRST, CAUSE, COMPANION]);
        crash(&mut ledger, replica, now, &[crashing]);
    }
    assert!(is_held(
        &ledger,
        &request(99, &[FIRST, CAUSE, COMPANION]),
        now
    ));
    for parts in [[FIRST, COMPANION], [FIRST, SUBJECT]] {
        let sound = request(98, &parts);
        assert!(!is_held(&ledger, &sound, now));
        complete(&mut ledger, &sound, now + ms(300));
    }
    assert!(is_held(
        &ledger,
        &request(97, &[FIRST, CAUSE]),
        now + ms(400)
    ));
}

/// Guards against holding sound requests when replicas crash by themselves.
#[test]
fn crashes_without_a_cause_hold_no_part_that_is_served_between_them() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=30_u32 {
        let at = now + ms(2_000) * replica;
        let sound = request(u64::from(replica), &[FIRST, u64::from(replica) % 5 + 50]);
        crash(&mut ledger, replica, at, std::slice::from_ref(&sound));
        assert!(!is_held(&ledger, &sound, at));
        complete(&mut ledger, &sound, at + ms(300));
    }
}

/// Guards against a daemon that doesn't hold what others know to be the cause.
#[test]
fn crashes_that_different_daemons_observed_add_up() {
    let now = start();
    let mut ledgers = vec![CrashLedger::default(); 5];
    for (replica, ledger) in (1..).zip(&mut ledgers) {
        let crashing = request(u64::from(replica), &[FIRST, CAUSE]);
        crash(ledger, replica, now, &[crashing]);
    }
    let reports: Vec<_> = ledgers
        .iter()
        .map(|ledger| ledger.to_announce(&ledger.statuses(), now, 8))
        .collect();
    for ledger in &mut ledgers {
        ledger.prove(PartId(FIRST), 7, now - ms(3_000));
        for report in &reports {
            ledger.merge(report, now);
        }
        assert!(is_held(ledger, &request(99, &[FIRST, CAUSE]), now));
    }
    // The proof arrives with the reports too.
    let mut late = CrashLedger::default();
    late.merge(&ledgers[0].to_store(&ledgers[0].statuses(), now, 8), now);
    assert!(is_held(&late, &request(99, &[FIRST, CAUSE]), now));
    assert!(!is_held(&late, &request(98, &[FIRST]), now));
}

/// Guards against all daemons trying a part again at once.
#[test]
fn a_delay_postpones_the_end_of_a_parts_quarantine() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=4 {
        crash(
            &mut ledger,
            replica,
            now,
            &[request(u64::from(replica), &[CAUSE])],
        );
    }
    let status = |at, delay| ledger.statuses().of(&request(9, &[CAUSE]), at, delay);
    let ends = now + Duration::from_secs(601);
    assert!(matches!(
        status(ends, Duration::ZERO),
        Status::Suspect { .. }
    ));
    assert!(matches!(status(ends, ms(5_000)), Status::Quarantined(_)));
}

#[test]
fn proofs_are_found_by_part_and_are_not_dated_later_than_they_came() {
    let now = start();
    let proofs = PartProofs::new(now);
    assert_eq!(proofs.latest(PartId(1)), None);
    proofs.note(PartId(1), now + ms(1_234));
    let latest = proofs.latest(PartId(1)).expect("noted");
    assert!(latest <= now + ms(1_234) && latest + ms(100) > now + ms(1_234));
    assert_eq!(proofs.latest(PartId(2)), None);
}

proptest! {
    /// Whatever runs beside requests with the cause, and whatever else these share: they are held, and a request that
    /// shares all but the cause is not.
    #[test]
    fn the_cause_is_held_and_nothing_else(
        crashes in prop::collection::vec(prop::collection::vec(prop::collection::vec(10_u64..16, 0..3), 0..6), 4..10),
    ) {
        let (mut ledger, now) = (CrashLedger::default(), start());
        for (replica, others) in (1..).zip(&crashes) {
            let base = u64::from(replica) * 100;
            crash(&mut ledger, replica, now, &[request(base, &[FIRST, CAUSE])]);
            for (content, parts) in (base + 1..).zip(others) {
                let sound = request(content, &[&[FIRST], parts.as_slice()].concat());
                crash(&mut ledger, replica, now, &[sound]);
            }
        }
        ledger.prove(PartId(FIRST), 1, now - ms(2_000));
        prop_assert!(is_held(&ledger, &request(7, &[FIRST, CAUSE]), now));
        for part in 10..16 {
            prop_assert!(!is_held(&ledger, &request(8, &[FIRST, part]), now));
        }
    }
}
