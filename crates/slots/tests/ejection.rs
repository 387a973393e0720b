//! Ejection of outliers, and their return after successful probes.

mod outliers;

use std::collections::HashSet;
use std::time::Duration;

use harrierward_slots::{ProbeWork, RequestOutcome, StatusEvent};
use harrierward_wire::OutcomeKind;
use outliers::{GROUP, Group, PAST_EJECTION, WARMUP_ROUNDS, group_with_ejected};

#[test]
fn each_kind_of_failure_ejects_after_three_in_a_row() {
    for kind in [
        OutcomeKind::Failed,
        OutcomeKind::Cut,
        OutcomeKind::Silent,
        OutcomeKind::Spoilt,
        OutcomeKind::NotRun,
    ] {
        let mut group = Group::new(GROUP);
        group.serve_all(WARMUP_ROUNDS);
        assert_eq!(group.complete(1, kind), None);
        assert_eq!(group.complete(1, kind), None);
        let third = group.complete(1, kind);
        assert!(matches!(third, Some(StatusEvent::Ejected(_))), "{kind:?}");
        assert_eq!(group.detector.ejected(), HashSet::from([1]));
    }
}

#[test]
fn outcomes_without_evidence_eject_no_replica() {
    let mut group = Group::new(GROUP);
    group.serve_all(2);
    for _ in 0..100 {
        assert_eq!(group.complete(1, OutcomeKind::NoEvidence), None);
    }
}

#[test]
fn a_group_that_fails_as_a_whole_has_no_outlier() {
    let mut group = Group::new(GROUP);
    for _ in 0..50 {
        for replica in 1..=GROUP {
            group.complete(replica, OutcomeKind::Failed);
        }
    }
    assert_eq!(group.detector.ejected(), HashSet::new());
}

#[test]
fn a_replica_that_fails_half_of_its_requests_is_ejected() {
    let mut group = Group::new(GROUP);
    let mut sent = 0;
    while !group.is_ejected(1) {
        group.serve_all(1);
        group.complete(1, OutcomeKind::Cut);
        sent += 2;
        assert!(sent < 40, "still in service");
    }
}

#[test]
fn a_single_replica_is_never_ejected() {
    let mut group = Group::new(1);
    group.complete(1, OutcomeKind::Served);
    for _ in 0..20 {
        assert_eq!(group.complete(1, OutcomeKind::Failed), None);
    }
}

#[test]
fn a_recovered_replica_returns_after_successful_probes() {
    let mut group = group_with_ejected();
    assert!(
        group
            .probe(1, ProbeWork::Item, OutcomeKind::Served)
            .is_none()
    );
    assert!(group.is_ejected(1), "before its ejection ends");
    group.advance(Duration::from_millis(1_001));
    for _ in 0..2 {
        assert!(
            group
                .probe(1, ProbeWork::Item, OutcomeKind::Served)
                .is_none()
        );
    }
    let third = group.probe(1, ProbeWork::Item, OutcomeKind::Served);
    assert_eq!(
        third.map(|change| change.event),
        Some(StatusEvent::Returned)
    );
    assert!(!group.is_ejected(1));
}

#[test]
fn ejection_times_double_up_to_a_bound() {
    let mut group = group_with_ejected();
    let mut last = Duration::from_secs(1);
    for _ in 0..8 {
        group.advance(PAST_EJECTION);
        let change = group.probe(1, ProbeWork::Item, OutcomeKind::Silent);
        let Some(StatusEvent::Ejected(ejection_time)) = change.map(|change| change.event) else {
            panic!("{change:?}");
        };
        assert!(
            ejection_time == last * 2 || ejection_time == Duration::from_secs(32),
            "{ejection_time:?}"
        );
        last = ejection_time;
    }
}

#[test]
fn a_lost_probe_is_replaced_after_its_timeout() {
    let mut group = group_with_ejected();
    group.advance(PAST_EJECTION);
    assert!(group.detector.note_grant(1, (1, 1_000), group.now));
    assert!(
        group
            .detector
            .probe_candidates(ProbeWork::Item, group.now)
            .is_empty()
    );
    group.advance(Duration::from_secs(1));
    assert_eq!(
        group.detector.probe_candidates(ProbeWork::Item, group.now),
        [1]
    );
}

/// A grant at an ejected replica during a probe must not replace the probe.
#[test]
fn a_request_during_a_probe_does_not_replace_it() {
    let mut group = group_with_ejected();
    for lease in [1_000, 2_000, 3_000] {
        group.advance(PAST_EJECTION);
        assert!(group.detector.note_grant(1, (1, lease), group.now));
        assert!(!group.detector.note_grant(1, (1, lease + 1), group.now));
        let served = RequestOutcome {
            replica: 1,
            lease: (1, lease),
            kind: OutcomeKind::Served,
            first_event: Duration::ZERO,
        };
        group.detector.observe(served, GROUP as usize, group.now);
    }
    assert!(!group.is_ejected(1), "three probes were served");
}

#[test]
fn once_only_requests_probe_only_without_repeatable_work() {
    let mut group = group_with_ejected();
    group.advance(Duration::from_millis(1_100));
    assert!(
        group
            .detector
            .probe_candidates(ProbeWork::Repeatable, group.now)
            .is_empty()
    );
    group.advance(Duration::from_millis(100));
    assert_eq!(
        group
            .detector
            .probe_candidates(ProbeWork::Repeatable, group.now),
        [1]
    );
    group.advance(Duration::from_millis(1_900));
    assert!(
        group
            .detector
            .probe_candidates(ProbeWork::OnceOnly, group.now)
            .is_empty()
    );
    group.advance(Duration::from_millis(2_000));
    assert_eq!(
        group
            .detector
            .probe_candidates(ProbeWork::OnceOnly, group.now),
        [1]
    );
}

#[test]
fn requests_sent_before_an_ejection_do_not_prolong_it() {
    let mut group = group_with_ejected();
    for _ in 0..10 {
        assert_eq!(group.complete(1, OutcomeKind::Failed), None);
    }
    group.advance(Duration::from_millis(1_001));
    assert_eq!(
        group.detector.probe_candidates(ProbeWork::Item, group.now),
        [1]
    );
}

/// Single requests delayed by long prompts must not mark a replica as slow.
#[test]
fn a_replica_with_some_late_first_events_is_not_slow() {
    let mut group = Group::new(GROUP);
    for round in 0..60_u64 {
        group.advance(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let is_late = replica == 1 && round % 3 == 0;
            let time = Duration::from_millis(if is_late { 900 } else { 20 });
            let change = group.complete_after(replica, OutcomeKind::Served, time);
            assert_eq!(change, None, "round {round}");
        }
    }
    assert!(group.detector.has_no_outliers());
}

#[test]
fn a_slow_replica_keeps_a_part_of_its_work() {
    let mut group = Group::new(GROUP);
    let mut changes = Vec::new();
    for _ in 0..20 {
        group.advance(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let time = if replica == 1 {
                500
            } else {
                20 + u64::from(replica)
            };
            let time = Duration::from_millis(time);
            changes.extend(group.complete_after(replica, OutcomeKind::Served, time));
        }
    }
    assert!(!group.is_ejected(1));
    let share = group.detector.share(1);
    assert!((0.05..0.5).contains(&share), "{share}");
    assert!((2..=GROUP).all(|replica| group.detector.share(replica) >= 1.0));
    for _ in 0..40 {
        group.advance(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let time = Duration::from_millis(25);
            changes.extend(group.complete_after(replica, OutcomeKind::Served, time));
        }
    }
    assert!(
        group.detector.has_no_outliers(),
        "it is as fast as the others again"
    );
    let changes: Vec<_> = changes
        .iter()
        .map(|change| (change.replica, change.event))
        .collect();
    assert!(
        matches!(
            changes[..],
            [(1, StatusEvent::Slowed(_)), (1, StatusEvent::Restored)]
        ),
        "{changes:?}"
    );
}
