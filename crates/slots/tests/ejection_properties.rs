//! Properties of outlier detection for arbitrary outcomes.

mod outliers;

use std::collections::HashSet;

use harrierward_slots::{ProbeWork, StatusEvent};
use harrierward_wire::OutcomeKind;
use outliers::{GROUP, Group, PAST_EJECTION, WARMUP_ROUNDS, group_with_ejected};
use proptest::prelude::*;

/// Ejects after three consecutive failures, without a comparison or a limit: the properties must reject it.
#[derive(Default)]
struct NaiveDetector {
    runs: std::collections::HashMap<u32, u32>,
    ejected: HashSet<u32>,
}

impl NaiveDetector {
    fn complete(&mut self, replica: u32, fails: bool) {
        let run = self.runs.entry(replica).or_default();
        *run = if fails { *run + 1 } else { 0 };
        if *run >= 3 {
            self.ejected.insert(replica);
        }
    }
}

/// Outcomes at the replicas in turn, as (replica, whether it fails); `percent` of them fail at random.
fn random_outcomes(seed: u64, percent: u64) -> Vec<(u32, bool)> {
    let mut random = seed;
    let mut outcomes = Vec::new();
    for _ in 0..150 {
        for replica in 1..=GROUP {
            random = next_random(random);
            outcomes.push((replica, (random >> 33) % 100 < percent));
        }
    }
    outcomes
}

fn next_random(random: u64) -> u64 {
    random
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1)
}

proptest! {
    /// Guards the limit of ejections against arbitrary outcomes.
    #[test]
    fn at_most_half_are_ejected(
        size in 2_u32..40,
        outcomes in proptest::collection::vec((0_u32..40, 0_i32..7), 1..600),
    ) {
        let mut group = Group::new(size);
        group.serve_all(1);
        for (replica, kind) in outcomes {
            let kind = OutcomeKind::try_from(kind).expect("a kind");
            group.complete(replica % size + 1, kind);
            prop_assert!(group.detector.ejected().len() <= (size as usize / 2).max(1));
        }
    }

    /// A failure rate that all replicas share must cause hardly any ejections, although it contains runs of three
    /// failures.
    #[test]
    fn uniform_failures_eject_hardly_any_replica(seed in any::<u64>(), percent in 1_u64..12) {
        let mut group = Group::new(GROUP);
        group.serve_all(4);
        let mut ejections = 0;
        for (replica, fails) in random_outcomes(seed, percent) {
            let kind = if fails { OutcomeKind::Spoilt } else { OutcomeKind::Served };
            let change = group.complete(replica, kind);
            ejections += u32::from(matches!(change, Some(StatusEvent::Ejected(_))));
        }
        prop_assert!(ejections <= 2, "{ejections} ejections");
    }

    /// A replica that always fails must be ejected soon while most others serve.
    #[test]
    fn a_replica_that_fails_everything_is_ejected_soon(failing in 1_u32..=5, seed in any::<u64>()) {
        let mut group = Group::new(GROUP);
        group.serve_all(WARMUP_ROUNDS);
        let mut random = seed;
        for _ in 0..60 {
            random = next_random(random);
            let replica = u32::try_from((random >> 33) % u64::from(GROUP)).expect("small") + 1;
            if group.is_ejected(replica) {
                continue;
            }
            let kind = if replica <= failing { OutcomeKind::Failed } else { OutcomeKind::Served };
            group.complete(replica, kind);
        }
        for replica in 1..=failing {
            for _ in 0..6 {
                group.complete(replica, OutcomeKind::Failed);
            }
            prop_assert!(group.is_ejected(replica));
        }
        prop_assert!((failing + 1..=GROUP).all(|replica| !group.is_ejected(replica)));
    }

    /// A replica must return once its probes succeed, however often they failed before.
    #[test]
    fn a_recovered_replica_returns(failures in 1_u32..12) {
        let mut group = group_with_ejected();
        for _ in 0..failures {
            group.advance(PAST_EJECTION);
            group.probe(1, ProbeWork::Item, OutcomeKind::Cut);
        }
        group.advance(PAST_EJECTION);
        for _ in 0..3 {
            group.probe(1, ProbeWork::Item, OutcomeKind::Served);
        }
        prop_assert!(!group.is_ejected(1));
    }
}

#[test]
fn the_properties_reject_a_detector_that_only_counts_runs() {
    let failing_seeds = (0..20_u64).filter(|seed| {
        let mut naive = NaiveDetector::default();
        for (replica, fails) in random_outcomes(*seed, 11) {
            naive.complete(replica, fails);
        }
        naive.ejected.len() > 1
    });
    assert!(
        failing_seeds.count() >= 10,
        "runs of three are common where all fail a few"
    );
    let mut naive = NaiveDetector::default();
    for _ in 0..3 {
        (1..=GROUP).for_each(|replica| naive.complete(replica, true));
    }
    assert!(
        naive.ejected.len() > GROUP as usize / 2,
        "there is no bound"
    );
}
