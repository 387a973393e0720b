//! Which replicas of a group are ejected by what their requests come to, and how they return.

mod outliers;

use std::collections::HashSet;
use std::time::Duration;

use harrierward_slots::{ProbeWork, RequestOutcome, StatusEvent};
use harrierward_wire::OutcomeKind;
use outliers::{GROUP, Group, LONG, ROUNDS, one_out};

#[test]
fn a_replica_that_fails_in_each_way_is_out_after_three_failures() {
    for kind in [
        OutcomeKind::Failed,
        OutcomeKind::Cut,
        OutcomeKind::Silent,
        OutcomeKind::Spoilt,
        OutcomeKind::NotRun,
    ] {
        let mut group = Group::new(GROUP);
        group.serve_all(ROUNDS);
        assert_eq!(group.end(1, kind), None);
        assert_eq!(group.end(1, kind), None);
        let third = group.end(1, kind);
        assert!(matches!(third, Some(StatusEvent::Ejected(_))), "{kind:?}");
        assert_eq!(group.detector.ejected(), HashSet::from([1]));
    }
}

#[test]
fn ends_that_say_nothing_eject_nobody() {
    let mut group = Group::new(GROUP);
    group.serve_all(2);
    for _ in 0..100 {
        assert_eq!(group.end(1, OutcomeKind::NoEvidence), None);
    }
}

#[test]
fn a_group_that_fails_as_a_whole_has_no_outlier() {
    let mut group = Group::new(GROUP);
    for _ in 0..50 {
        for replica in 1..=GROUP {
            group.end(replica, OutcomeKind::Failed);
        }
    }
    assert_eq!(group.detector.ejected(), HashSet::new());
}

#[test]
fn a_replica_that_fails_half_of_its_requests_is_out() {
    let mut group = Group::new(GROUP);
    let mut sent = 0;
    while !group.is_out(1) {
        group.serve_all(1);
        group.end(1, OutcomeKind::Cut);
        sent += 2;
        assert!(sent < 40, "still in service");
    }
}

#[test]
fn a_lone_replica_stays() {
    let mut group = Group::new(1);
    group.end(1, OutcomeKind::Served);
    for _ in 0..20 {
        assert_eq!(group.end(1, OutcomeKind::Failed), None);
    }
}

#[test]
fn one_that_recovers_returns_by_single_probes() {
    let mut group = one_out();
    assert!(
        group
            .probe(1, ProbeWork::Item, OutcomeKind::Served)
            .is_none()
    );
    assert!(group.is_out(1), "before its time");
    group.pass(Duration::from_millis(1_001));
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
    assert!(!group.is_out(1));
}

#[test]
fn each_absence_is_longer_up_to_a_bound() {
    let mut group = one_out();
    let mut last = Duration::from_secs(1);
    for _ in 0..8 {
        group.pass(LONG);
        let change = group.probe(1, ProbeWork::Item, OutcomeKind::Silent);
        let Some(StatusEvent::Ejected(absence)) = change.map(|change| change.event) else {
            panic!("{change:?}");
        };
        assert!(
            absence == last * 2 || absence == Duration::from_secs(32),
            "{absence:?}"
        );
        last = absence;
    }
}

#[test]
fn a_probe_whose_end_is_never_told_is_followed_by_another() {
    let mut group = one_out();
    group.pass(LONG);
    assert!(group.detector.note_grant(1, (1, 1_000), group.now));
    assert!(
        group
            .detector
            .probe_candidates(ProbeWork::Item, group.now)
            .is_empty()
    );
    group.pass(Duration::from_secs(1));
    assert_eq!(
        group.detector.probe_candidates(ProbeWork::Item, group.now),
        [1]
    );
}

/// Where all others are excluded a request is granted the ejected replica although a probe runs there.
#[test]
fn a_request_sent_beside_a_probe_does_not_take_its_place() {
    let mut group = one_out();
    for lease in [1_000, 2_000, 3_000] {
        group.pass(LONG);
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
    assert!(!group.is_out(1), "three probes were served");
}

#[test]
fn work_that_runs_once_only_is_no_probe_unless_there_is_hardly_any_other() {
    let mut group = one_out();
    group.pass(Duration::from_millis(1_100));
    assert!(
        group
            .detector
            .probe_candidates(ProbeWork::Repeatable, group.now)
            .is_empty()
    );
    group.pass(Duration::from_millis(100));
    assert_eq!(
        group
            .detector
            .probe_candidates(ProbeWork::Repeatable, group.now),
        [1]
    );
    group.pass(Duration::from_millis(1_900));
    assert!(
        group
            .detector
            .probe_candidates(ProbeWork::OnceOnly, group.now)
            .is_empty()
    );
    group.pass(Duration::from_millis(2_000));
    assert_eq!(
        group
            .detector
            .probe_candidates(ProbeWork::OnceOnly, group.now),
        [1]
    );
}

#[test]
fn requests_sent_before_an_ejection_do_not_prolong_it() {
    let mut group = one_out();
    for _ in 0..10 {
        assert_eq!(group.end(1, OutcomeKind::Failed), None);
    }
    group.pass(Duration::from_millis(1_001));
    assert_eq!(
        group.detector.probe_candidates(ProbeWork::Item, group.now),
        [1]
    );
}

/// Long prompts of others hold single requests up for long.
#[test]
fn a_replica_with_some_late_first_events_is_not_slow() {
    let mut group = Group::new(GROUP);
    for round in 0..60_u64 {
        group.pass(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let is_late = replica == 1 && round % 3 == 0;
            let time = Duration::from_millis(if is_late { 900 } else { 20 });
            let change = group.end_after(replica, OutcomeKind::Served, time);
            assert_eq!(change, None, "round {round}");
        }
    }
    assert!(group.detector.has_no_outliers());
}

#[test]
fn a_slow_replica_keeps_a_part_of_its_work() {
    let mut group = Group::new(GROUP);
    let mut told = Vec::new();
    for _ in 0..20 {
        group.pass(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let time = if replica == 1 {
                500
            } else {
                20 + u64::from(replica)
            };
            let time = Duration::from_millis(time);
            told.extend(group.end_after(replica, OutcomeKind::Served, time));
        }
    }
    assert!(!group.is_out(1));
    let share = group.detector.share(1);
    assert!((0.05..0.5).contains(&share), "{share}");
    assert!((2..=GROUP).all(|replica| group.detector.share(replica) >= 1.0));
    for _ in 0..40 {
        group.pass(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let time = Duration::from_millis(25);
            told.extend(group.end_after(replica, OutcomeKind::Served, time));
        }
    }
    assert!(
        group.detector.has_no_outliers(),
        "it is as fast as the others again"
    );
    let told: Vec<_> = told
        .iter()
        .map(|change| (change.replica, change.event))
        .collect();
    assert!(
        matches!(
            told[..],
            [(1, StatusEvent::Slowed(_)), (1, StatusEvent::Restored)]
        ),
        "{told:?}"
    );
}
