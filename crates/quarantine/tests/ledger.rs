//! Detection of the contents that cause crashes, on one daemon and on several.

use std::time::Duration;

use harrierward_quarantine::{ContentId, CrashLedger, ReplicaInstance, Status, Statuses};
use proptest::prelude::*;
use tokio::time::Instant;

const CULPRIT: ContentId = ContentId(1);
const BYSTANDER: ContentId = ContentId(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A time well after the clock's epoch, so that ages can be subtracted.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(10_000)
}

fn crash(ledger: &mut CrashLedger, contents: &[ContentId], replica: u32, at: Instant) {
    for content in contents {
        ledger.note_crash(*content, ReplicaInstance(replica), at, at);
    }
}

/// Returns the status of a request whose prompt has no shared parts.
fn status_of(statuses: &Statuses, content: ContentId, now: Instant) -> Status {
    statuses.of(&content.into(), now, Duration::ZERO)
}

fn is_quarantined(ledger: &CrashLedger, content: ContentId, now: Instant) -> bool {
    matches!(
        status_of(&ledger.statuses(), content, now),
        Status::Quarantined(_)
    )
}

#[test]
fn a_content_is_quarantined_from_its_third_crash_on() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=2 {
        crash(&mut ledger, &[CULPRIT], replica, now);
        assert!(!is_quarantined(&ledger, CULPRIT, now));
    }
    crash(&mut ledger, &[CULPRIT], 2, now + ms(5));
    assert!(
        !is_quarantined(&ledger, CULPRIT, now),
        "a crash counts once"
    );
    crash(&mut ledger, &[CULPRIT], 3, now + ms(9));
    assert!(is_quarantined(&ledger, CULPRIT, now + ms(10)));
}

/// A bystander of three crashes must not be quarantined once the culprit has one crash more.
#[test]
fn a_bystander_is_not_quarantined() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=3 {
        crash(&mut ledger, &[CULPRIT, BYSTANDER], replica, now);
    }
    crash(&mut ledger, &[CULPRIT], 4, now);
    assert!(is_quarantined(&ledger, CULPRIT, now));
    assert_eq!(status_of(&ledger.statuses(), BYSTANDER, now), Status::Clear);
}

#[test]
fn a_complete_response_clears_and_older_reports_do_not_undo_it() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    crash(&mut ledger, &[BYSTANDER], 1, now);
    crash(&mut ledger, &[BYSTANDER], 2, now + ms(300));
    let reports = ledger.to_announce(&ledger.statuses(), now + ms(310), 10);
    assert!(ledger.clear(BYSTANDER, 7, now + ms(400)));
    // The report was delayed for half a second.
    ledger.merge(&reports, now + ms(810));
    assert_eq!(
        status_of(&ledger.statuses(), BYSTANDER, now + ms(810)),
        Status::Clear
    );
    crash(&mut ledger, &[BYSTANDER], 3, now + ms(2_000));
    let status = status_of(&ledger.statuses(), BYSTANDER, now + ms(2_000));
    assert_eq!(status, Status::Suspect { crashes: 1 });
}

#[test]
fn a_quarantine_expires_and_doubles_with_each_further_crash() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=3 {
        crash(&mut ledger, &[CULPRIT], replica, now);
    }
    let minutes = |count: u64| Duration::from_secs(count * 60);
    assert!(is_quarantined(&ledger, CULPRIT, now + minutes(9)));
    assert!(!is_quarantined(&ledger, CULPRIT, now + minutes(10)));
    let again = now + minutes(11);
    crash(&mut ledger, &[CULPRIT], 4, again);
    assert!(is_quarantined(&ledger, CULPRIT, again + minutes(19)));
    assert!(!is_quarantined(&ledger, CULPRIT, again + minutes(20)));
}

#[test]
fn an_operator_can_release_a_content() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=3 {
        crash(&mut ledger, &[CULPRIT], replica, now);
    }
    assert!(ledger.clear(CULPRIT, 1, now + ms(2_000)));
    assert!(!is_quarantined(&ledger, CULPRIT, now + ms(2_000)));
    assert!(
        !ledger.clear(CULPRIT, 2, now + ms(2_001)),
        "nothing is left"
    );
}

/// Stored reports are read much later: they must not restore crashes that were cleared.
#[test]
fn clearings_outlast_stored_crashes_and_expired_crashes_are_ignored() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=3 {
        crash(&mut ledger, &[CULPRIT], replica, now);
    }
    let crashes = ledger.to_store(&ledger.statuses(), now, 8);
    assert!(ledger.clear(CULPRIT, 7, now + ms(10)));
    let later = now + Duration::from_secs(600);
    ledger.expire(later);
    assert!(ledger.to_announce(&ledger.statuses(), later, 8).is_empty());
    let stored = ledger.to_store(&ledger.statuses(), later, 8);
    assert_eq!(stored.len(), 1);
    let aged = |by: Duration| {
        let mut crashes = crashes.clone();
        for crash in &mut crashes[0].crashes {
            crash.age += by;
        }
        crashes
    };
    let mut other = CrashLedger::default();
    other.merge(&stored, later);
    assert!(!other.merge(&aged(later - now), later), "cleared");
    let mut other = CrashLedger::default();
    assert!(
        !other.merge(&aged(Duration::from_secs(3_600)), later),
        "old"
    );
    assert!(other.is_empty());
    ledger.expire(now + Duration::from_secs(3_601));
    assert!(ledger.is_empty(), "everything expires");
}

#[test]
fn eviction_bounds_memory_and_keeps_the_culprit() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    for replica in 1..=3 {
        crash(&mut ledger, &[CULPRIT], replica, now);
    }
    for content in 100..10_000 {
        crash(&mut ledger, &[ContentId(content)], 50, now + ms(content));
    }
    assert!(ledger.len() <= 2_048);
    assert!(is_quarantined(&ledger, CULPRIT, now));
    assert!(
        ledger
            .to_announce(&ledger.statuses(), now + ms(10_000), 8)
            .len()
            <= 8
    );
}

/// Guards against an item that is never placed again: it may run once after each crash, after a rest that doubles from 5 s
/// to 20 s at most.
#[test]
fn an_item_has_a_trial_after_each_crash() {
    let (mut ledger, now) = (CrashLedger::default(), start());
    let allows =
        |ledger: &CrashLedger, at: Instant| match status_of(&ledger.statuses(), CULPRIT, at) {
            Status::Quarantined(period) => period.allows_trial(at),
            _ => true,
        };
    for replica in 1..=3 {
        crash(&mut ledger, &[CULPRIT], replica, now);
    }
    assert!(!allows(&ledger, now + ms(4_900)));
    assert!(allows(&ledger, now + ms(5_100)));
    let mut last_crash = now;
    for (replica, rest_ms) in [
        (4, 10_000),
        (5, 20_000),
        (6, 20_000),
        (7, 20_000),
        (20, 20_000),
    ] {
        last_crash += ms(30_000);
        crash(&mut ledger, &[CULPRIT], replica, last_crash);
        assert!(!allows(&ledger, last_crash + ms(rest_ms - 100)));
        assert!(allows(&ledger, last_crash + ms(rest_ms)));
    }
}

#[derive(Debug, Clone)]
enum Event {
    Crash {
        content: u64,
        replica: u32,
        at_ms: u64,
    },
    CompleteResponse {
        content: u64,
        at_ms: u64,
        number: u32,
    },
}

/// A replica crashes once; daemons date the crash slightly differently.
fn any_event() -> impl Strategy<Value = Event> {
    let crash = (1_u64..6, 1_u32..9, 0_u64..400).prop_map(|(content, replica, error_ms)| {
        let at_ms = u64::from(replica) * 600 + error_ms;
        Event::Crash {
            content,
            replica,
            at_ms,
        }
    });
    let response = (2_u64..6, 0_u64..5_000, any::<u32>());
    let response = response.prop_map(|(content, at_ms, number)| Event::CompleteResponse {
        content,
        at_ms,
        number,
    });
    prop_oneof![4 => crash, 1 => response]
}

fn apply(ledger: &mut CrashLedger, event: &Event, start: Instant) {
    match event {
        Event::Crash {
            content,
            replica,
            at_ms,
        } => {
            let at = start + ms(*at_ms);
            ledger.note_crash(ContentId(*content), ReplicaInstance(*replica), at, at);
        }
        Event::CompleteResponse {
            content,
            at_ms,
            number,
        } => {
            ledger.clear(ContentId(*content), *number, start + ms(*at_ms));
        }
    }
}

proptest! {
    /// Daemons with different observations must agree on the quarantine in spite of lost reports.
    #[test]
    fn ledgers_converge(
        events in prop::collection::vec((0_usize..3, any_event()), 0..40),
        lost in prop::collection::vec(any::<bool>(), 12),
    ) {
        let start = start();
        let mut ledgers = vec![CrashLedger::default(); 3];
        let mut ordered = events.clone();
        ordered.sort_by_key(|(_, event)| match event {
            Event::Crash { at_ms, .. } | Event::CompleteResponse { at_ms, .. } => *at_ms,
        });
        for (observer, event) in &ordered {
            apply(&mut ledgers[*observer], event, start);
        }
        let now = start + ms(6_000);
        let mut losses = lost.into_iter();
        for round in 0..6 {
            for from in 0..3 {
                for to in (0..3).filter(|to| *to != from) {
                    if round < 4 && losses.next().unwrap_or(false) {
                        continue;
                    }
                    let reports = ledgers[from].to_announce(&ledgers[from].statuses(), now, 100);
                    ledgers[to].merge(&reports, now);
                }
            }
        }
        let statuses: Vec<_> = ledgers.iter().map(CrashLedger::statuses).collect();
        for content in 1..6 {
            // Times aren't compared: daemons date crashes differently.
            let of = |index: usize| match status_of(&statuses[index], ContentId(content), now) {
                Status::Clear => (false, 0),
                Status::Suspect { crashes } => (false, crashes),
                Status::Quarantined(period) => (true, period.crashes),
            };
            prop_assert_eq!(of(0), of(1));
            prop_assert_eq!(of(1), of(2));
        }
    }

    /// A content with the most crashes and no complete response must be quarantined, whatever ran next to it.
    #[test]
    fn the_culprit_is_always_quarantined(
        bystanders in prop::collection::vec(prop::collection::vec(2_u64..20, 0..10), 3..10),
    ) {
        let (mut ledger, now) = (CrashLedger::default(), start());
        for (replica, contents) in (1..).zip(&bystanders) {
            crash(&mut ledger, &[CULPRIT], replica, now);
            let others: Vec<ContentId> = contents.iter().map(|content| ContentId(*content)).collect();
            crash(&mut ledger, &others, replica, now);
        }
        prop_assert!(is_quarantined(&ledger, CULPRIT, now));
        // The culprit explains all crashes.
        for content in 2..20 {
            prop_assert!(!is_quarantined(&ledger, ContentId(content), now));
        }
    }
}
