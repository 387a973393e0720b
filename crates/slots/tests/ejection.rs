//! Which replicas of a group are ejected by what their requests come to, and how they return.

use std::collections::HashSet;
use std::time::Duration;

use harrierward_slots::{OutlierDetector, ProbeWork, RequestEnd, StandingChange, StandingEvent};
use harrierward_wire::OutcomeKind;
use proptest::prelude::*;
use tokio::time::Instant;

const GROUP: u32 = 12;

/// Requests served at each replica before a test: enough to say that hardly any fails.
const ROUNDS: u32 = 32;

/// Longest absence plus what a probe waits for work.
const LONG: Duration = Duration::from_secs(40);

/// A group, and a clock that goes on by a little with each request.
struct Group {
    detector: OutlierDetector,
    now: Instant,
    size: u32,
    lease: u32,
}

impl Group {
    fn new(size: u32) -> Self {
        Self {
            detector: OutlierDetector::default(),
            now: Instant::now(),
            size,
            lease: 0,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn end(&mut self, replica: u32, kind: OutcomeKind) -> Option<StandingEvent> {
        self.end_after(replica, kind, Duration::ZERO)
            .map(|change| change.what)
    }

    /// A request at the replica ends; the replica may be out.
    fn end_after(
        &mut self,
        replica: u32,
        kind: OutcomeKind,
        first_event: Duration,
    ) -> Option<StandingChange> {
        self.lease += 1;
        self.pass(Duration::from_millis(1));
        let end = RequestEnd {
            replica,
            lease: (u64::from(self.lease % 8), self.lease),
            kind,
            first_event,
        };
        self.detector.observe(end, self.size as usize, self.now)
    }

    fn serve_all(&mut self, rounds: u32) {
        for _ in 0..rounds {
            for replica in 1..=self.size {
                if !self.is_out(replica) {
                    self.end(replica, OutcomeKind::Served);
                }
            }
        }
    }

    fn is_out(&self, replica: u32) -> bool {
        self.detector.out().contains(&replica)
    }

    /// A probe by this work, if it may be one now.
    fn probe(
        &mut self,
        replica: u32,
        work: ProbeWork,
        kind: OutcomeKind,
    ) -> Option<StandingChange> {
        if !self.detector.probed_by(work, self.now).contains(&replica) {
            return None;
        }
        self.lease += 1;
        let lease = (1, self.lease);
        assert!(self.detector.note_grant(replica, lease, self.now));
        let others = self.detector.probed_by(work, self.now);
        assert!(!others.contains(&replica), "one request at a time");
        let end = RequestEnd {
            replica,
            lease,
            kind,
            first_event: Duration::ZERO,
        };
        self.detector.observe(end, self.size as usize, self.now)
    }
}

/// A group in which replica 1 was ejected.
fn one_out() -> Group {
    let mut group = Group::new(GROUP);
    group.serve_all(ROUNDS);
    while !group.is_out(1) {
        group.end(1, OutcomeKind::Failed);
    }
    group
}

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
        assert!(matches!(third, Some(StandingEvent::Ejected(_))), "{kind:?}");
        assert_eq!(group.detector.out(), HashSet::from([1]));
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
    assert_eq!(group.detector.out(), HashSet::new());
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
        third.map(|change| change.what),
        Some(StandingEvent::Returned)
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
        let Some(StandingEvent::Ejected(absence)) = change.map(|change| change.what) else {
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
            .probed_by(ProbeWork::Item, group.now)
            .is_empty()
    );
    group.pass(Duration::from_secs(1));
    assert_eq!(group.detector.probed_by(ProbeWork::Item, group.now), [1]);
}

#[test]
fn work_that_runs_once_only_is_no_probe_unless_there_is_hardly_any_other() {
    let mut group = one_out();
    group.pass(Duration::from_millis(1_100));
    assert!(
        group
            .detector
            .probed_by(ProbeWork::Repeatable, group.now)
            .is_empty()
    );
    group.pass(Duration::from_millis(100));
    assert_eq!(
        group.detector.probed_by(ProbeWork::Repeatable, group.now),
        [1]
    );
    group.pass(Duration::from_millis(1_900));
    assert!(
        group
            .detector
            .probed_by(ProbeWork::OnceOnly, group.now)
            .is_empty()
    );
    group.pass(Duration::from_millis(2_000));
    assert_eq!(
        group.detector.probed_by(ProbeWork::OnceOnly, group.now),
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
    assert_eq!(group.detector.probed_by(ProbeWork::Item, group.now), [1]);
}

#[test]
fn a_slow_replica_keeps_a_part_of_its_work() {
    let mut group = Group::new(GROUP);
    for _ in 0..20 {
        group.pass(Duration::from_millis(100));
        for replica in 1..=GROUP {
            let time = if replica == 1 {
                500
            } else {
                20 + u64::from(replica)
            };
            group.end_after(replica, OutcomeKind::Served, Duration::from_millis(time));
        }
    }
    assert!(!group.is_out(1));
    let share = group.detector.share(1);
    assert!((0.05..0.5).contains(&share), "{share}");
    assert!((2..=GROUP).all(|replica| group.detector.share(replica) >= 1.0));
    for _ in 0..40 {
        group.pass(Duration::from_millis(100));
        for replica in 1..=GROUP {
            group.end_after(replica, OutcomeKind::Served, Duration::from_millis(25));
        }
    }
    assert!(
        group.detector.is_quiet(),
        "it is as fast as the others again"
    );
}

/// Ejects at three failures in a row without a look at the others and without a bound: the properties must catch it.
#[derive(Default)]
struct Naive {
    rows: std::collections::HashMap<u32, u32>,
    out: HashSet<u32>,
}

impl Naive {
    fn end(&mut self, replica: u32, fails: bool) {
        let row = self.rows.entry(replica).or_default();
        *row = if fails { *row + 1 } else { 0 };
        if *row >= 3 {
            self.out.insert(replica);
        }
    }
}

/// Requests of a group in turn, each with whether it fails; `percent` do, at random.
fn random_ends(seed: u64, percent: u64) -> Vec<(u32, bool)> {
    let mut random = seed;
    let mut ends = Vec::new();
    for _ in 0..150 {
        for replica in 1..=GROUP {
            random = next_random(random);
            ends.push((replica, (random >> 33) % 100 < percent));
        }
    }
    ends
}

fn next_random(random: u64) -> u64 {
    random
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1)
}

proptest! {
    /// Whoever fails, and whatever one holder claims, no more than the bound are out.
    #[test]
    fn never_more_than_half_are_out(
        size in 2_u32..40,
        ends in proptest::collection::vec((0_u32..40, 0_i32..7), 1..600),
    ) {
        let mut group = Group::new(size);
        group.serve_all(1);
        for (replica, kind) in ends {
            let kind = OutcomeKind::try_from(kind).expect("a kind");
            group.end(replica % size + 1, kind);
            prop_assert!(group.detector.out().len() <= (size as usize / 2).max(1));
        }
    }

    /// All fail a few requests at random: hardly any is ejected in 1,800 requests, though many a row of three failures
    /// is among them.
    #[test]
    fn those_that_all_fail_alike_stay(seed in any::<u64>(), percent in 1_u64..12) {
        let mut group = Group::new(GROUP);
        group.serve_all(4);
        let mut out = 0;
        for (replica, fails) in random_ends(seed, percent) {
            let kind = if fails { OutcomeKind::Spoilt } else { OutcomeKind::Served };
            let change = group.end(replica, kind);
            out += u32::from(matches!(change, Some(StandingEvent::Ejected(_))));
        }
        prop_assert!(out <= 2, "{out} ejections");
    }

    /// A replica that fails all is out after few failures, whatever others of the group do, as long as most serve.
    #[test]
    fn one_that_fails_all_is_out_soon(failing in 1_u32..=5, seed in any::<u64>()) {
        let mut group = Group::new(GROUP);
        group.serve_all(ROUNDS);
        let mut random = seed;
        for _ in 0..60 {
            random = next_random(random);
            let replica = u32::try_from((random >> 33) % u64::from(GROUP)).expect("small") + 1;
            if group.is_out(replica) {
                continue;
            }
            let kind = if replica <= failing { OutcomeKind::Failed } else { OutcomeKind::Served };
            group.end(replica, kind);
        }
        for replica in 1..=failing {
            for _ in 0..6 {
                group.end(replica, OutcomeKind::Failed);
            }
            prop_assert!(group.is_out(replica));
        }
        prop_assert!((failing + 1..=GROUP).all(|replica| !group.is_out(replica)));
    }

    /// Whatever happened to a replica, it returns once it serves its probes.
    #[test]
    fn one_that_recovers_returns(failures in 1_u32..12) {
        let mut group = one_out();
        for _ in 0..failures {
            group.pass(LONG);
            group.probe(1, ProbeWork::Item, OutcomeKind::Cut);
        }
        group.pass(LONG);
        for _ in 0..3 {
            group.probe(1, ProbeWork::Item, OutcomeKind::Served);
        }
        prop_assert!(!group.is_out(1));
    }
}

#[test]
fn the_properties_catch_a_detector_that_only_counts_rows() {
    let over = (0..20_u64).filter(|seed| {
        let mut naive = Naive::default();
        for (replica, fails) in random_ends(*seed, 11) {
            naive.end(replica, fails);
        }
        naive.out.len() > 1
    });
    assert!(
        over.count() >= 10,
        "rows of three are common where all fail a few"
    );
    let mut naive = Naive::default();
    for _ in 0..3 {
        (1..=GROUP).for_each(|replica| naive.end(replica, true));
    }
    assert!(naive.out.len() > GROUP as usize / 2, "there is no bound");
}
