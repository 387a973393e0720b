//! The configuration replica never goes back, and "fresh" means that everything accepted before the bound is held.

use std::time::Duration;

use harrierward_config::{ConfigReplica, FreshnessBounds};
use harrierward_wire::{ConfigDeltaReply, ConfigLogEntry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const REPLICAS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Accept,
    Pass { millis: u64 },
    Ask { replica: usize },
    Answer { question: usize },
    Pull { replica: usize, peer: usize },
    Restart { replica: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        1 => Just(Step::Accept),
        3 => (1..3000u64).prop_map(|millis| Step::Pass { millis }),
        3 => replica.clone().prop_map(|replica| Step::Ask { replica }),
        4 => any::<usize>().prop_map(|question| Step::Answer { question }),
        3 => (replica.clone(), replica.clone()).prop_map(|(replica, peer)| Step::Pull { replica, peer }),
        1 => replica.prop_map(|replica| Step::Restart { replica }),
    ]
}

/// A question to the table: who asked, when, and the answer, which may arrive at any later time.
struct Question {
    replica: usize,
    asked_at: Duration,
    answer: ConfigDeltaReply,
}

fn entries(after: u64, head: u64) -> Vec<ConfigLogEntry> {
    (after + 1..=head)
        .map(|revision| ConfigLogEntry {
            revision,
            ..ConfigLogEntry::default()
        })
        .collect()
}

/// Times are of each daemon's own clock, which starts at zero with it.
#[test]
fn a_proof_older_than_the_daemon_keeps_its_age() {
    let bounds = FreshnessBounds::default();
    let millis = Duration::from_millis;
    let mut young = ConfigReplica::new(bounds);
    young.adopt(&ConfigDeltaReply {
        entries: entries(0, 10),
        revision: 10,
        ..ConfigDeltaReply::default()
    });

    young.observe(millis(1_003), 10, Some(millis(9_653)));
    let shown = (
        young.is_fresh(millis(1_003)),
        young.proof_age(millis(1_003)),
        young.proof_age(millis(1_313)),
    );
    assert_eq!(shown, (false, Some(millis(9_653)), Some(millis(9_963))));

    // A proof that counts is of use, though it is older than the daemon too; an older one does not replace it.
    young.observe(millis(2_000), 10, Some(millis(7_500)));
    young.observe(millis(2_100), 10, Some(millis(9_000)));
    assert!(young.is_fresh(millis(2_500)));
    assert_eq!(young.proof_age(millis(2_500)), Some(millis(8_000)));
    assert!(!young.is_fresh(millis(2_501)));
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(815),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn never_back_and_fresh_only_if_complete(steps in prop::collection::vec(step(), 1..200)) {
        let bounds = FreshnessBounds::default();
        let mut replicas: Vec<ConfigReplica> = (0..REPLICAS).map(|_| ConfigReplica::new(bounds)).collect();
        let mut accepted_at: Vec<Duration> = Vec::new();
        let mut questions: Vec<Question> = Vec::new();
        let mut now = Duration::from_secs(100);
        // Each replica's clock starts at zero with it.
        let mut started_at = [now; REPLICAS];
        for step in steps {
            let before: Vec<u64> = replicas.iter().map(ConfigReplica::revision).collect();
            let mut restarted = None;
            match step {
                Step::Accept => accepted_at.push(now),
                Step::Pass { millis } => now += Duration::from_millis(millis),
                Step::Ask { replica } => {
                    let after = replicas[replica].revision();
                    let head = accepted_at.len() as u64;
                    let answer = ConfigDeltaReply {
                        entries: entries(after, head),
                        revision: head,
                        ..ConfigDeltaReply::default()
                    };
                    questions.push(Question { replica, asked_at: now, answer });
                }
                Step::Answer { question } if !questions.is_empty() => {
                    let question = questions.swap_remove(question % questions.len());
                    let replica = &mut replicas[question.replica];
                    replica.adopt(&question.answer);
                    let age = now - question.asked_at;
                    let own_now = now - started_at[question.replica];
                    replica.observe(own_now, question.answer.revision, Some(age));
                }
                Step::Answer { .. } => {}
                Step::Pull { replica, peer } => {
                    let delta = replicas[peer].delta(replicas[replica].revision());
                    let (revision, age) = (replicas[peer].revision(), replicas[peer].proof_age(now - started_at[peer]));
                    replicas[replica].adopt(&delta);
                    replicas[replica].observe(now - started_at[replica], revision, age);
                }
                Step::Restart { replica } => {
                    replicas[replica] = ConfigReplica::new(bounds);
                    started_at[replica] = now;
                    questions.retain(|question| question.replica != replica);
                    restarted = Some(replica);
                }
            }
            for (number, replica) in replicas.iter().enumerate() {
                if restarted != Some(number) {
                    prop_assert!(replica.revision() >= before[number], "replica {number} went back");
                }
                if replica.is_fresh(now - started_at[number]) {
                    let due = accepted_at.iter().filter(|at| **at + bounds.safe_after < now).count();
                    prop_assert!(replica.revision() >= due as u64, "replica {number} is called fresh");
                }
            }
        }
    }
}
