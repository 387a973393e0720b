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
                    replica.observe(now, question.answer.revision, Some(age));
                }
                Step::Answer { .. } => {}
                Step::Pull { replica, peer } => {
                    let delta = replicas[peer].delta(replicas[replica].revision());
                    let (revision, age) = (replicas[peer].revision(), replicas[peer].proof_age(now));
                    replicas[replica].adopt(&delta);
                    replicas[replica].observe(now, revision, age);
                }
                Step::Restart { replica } => {
                    replicas[replica] = ConfigReplica::new(bounds);
                    questions.retain(|question| question.replica != replica);
                    restarted = Some(replica);
                }
            }
            for (number, replica) in replicas.iter().enumerate() {
                if restarted != Some(number) {
                    prop_assert!(replica.revision() >= before[number], "replica {number} went back");
                }
                if replica.is_fresh(now) {
                    let due = accepted_at.iter().filter(|at| **at + bounds.safe_after < now).count();
                    prop_assert!(replica.revision() >= due as u64, "replica {number} is called fresh");
                }
            }
        }
    }
}
