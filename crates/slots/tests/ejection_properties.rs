//! What holds of ejection whatever the replicas and the holders do.

mod outliers;

use std::collections::HashSet;

use harrierward_slots::{ProbeWork, StatusEvent};
use harrierward_wire::OutcomeKind;
use outliers::{GROUP, Group, LONG, ROUNDS, one_out};
use proptest::prelude::*;

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
            prop_assert!(group.detector.ejected().len() <= (size as usize / 2).max(1));
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
            out += u32::from(matches!(change, Some(StatusEvent::Ejected(_))));
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
