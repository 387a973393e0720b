//! A replica's revision never decreases, and a fresh replica holds every change accepted before the bound.

use std::time::Duration;

use harrierward_config::{ConfigReplica, FreshnessBounds};
use harrierward_wire::{ConfigDeltaReply, ConfigLogEntry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const REPLICAS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Accept,
    Advance { millis: u64 },
    Poll { replica: usize },
    Reply { poll: usize },
    Pull { replica: usize, peer: usize },
    Restart { replica: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        1 => Just(Step::Accept),
        3 => (1..3000u64).prop_map(|millis| Step::Advance { millis }),
        3 => replica.clone().prop_map(|replica| Step::Poll { replica }),
        4 => any::<usize>().prop_map(|poll| Step::Reply { poll }),
        3 => (replica.clone(), replica.clone()).prop_map(|(replica, peer)| Step::Pull { replica, peer }),
        1 => replica.prop_map(|replica| Step::Restart { replica }),
    ]
}

/// A poll of the table whose reply may arrive at any later time.
struct PendingPoll {
    replica: usize,
    sent_at: Duration,
    reply: ConfigDeltaReply,
}

fn entries(after: u64, head: u64) -> Vec<ConfigLogEntry> {
    (after + 1..=head)
        .map(|revision| ConfigLogEntry {
            revision,
            ..ConfigLogEntry::default()
        })
        .collect()
}

/// Each daemon's clock starts at zero, so a proof may be older than the clock; its age must not be cut short.
#[test]
fn a_proof_older_than_the_daemon_keeps_its_age() {
    let bounds = FreshnessBounds::default();
    let millis = Duration::from_millis;
    let mut replica = ConfigReplica::new(bounds);
    replica.adopt(&ConfigDeltaReply {
        entries: entries(0, 10),
        revision: 10,
        ..ConfigDeltaReply::default()
    });

    replica.observe(millis(1_003), 10, Some(millis(9_653)));
    let observed = (
        replica.is_fresh(millis(1_003)),
        replica.proof_age(millis(1_003)),
        replica.proof_age(millis(1_313)),
    );
    assert_eq!(observed, (false, Some(millis(9_653)), Some(millis(9_963))));

    // A proof within the bound is used even if it is older than the daemon; an older proof does not replace it.
    replica.observe(millis(2_000), 10, Some(millis(7_500)));
    replica.observe(millis(2_100), 10, Some(millis(9_000)));
    assert!(replica.is_fresh(millis(2_500)));
    assert_eq!(replica.proof_age(millis(2_500)), Some(millis(8_000)));
    assert!(!replica.is_fresh(millis(2_501)));
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(815),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn never_decreases_and_is_fresh_only_if_complete(steps in prop::collection::vec(step(), 1..200)) {
        let bounds = FreshnessBounds::default();
        let mut replicas: Vec<ConfigReplica> = (0..REPLICAS).map(|_| ConfigReplica::new(bounds)).collect();
        let mut accepted_at: Vec<Duration> = Vec::new();
        let mut polls: Vec<PendingPoll> = Vec::new();
        let mut now = Duration::from_secs(100);
        // Each replica's clock starts at zero.
        let mut started_at = [now; REPLICAS];
        for step in steps {
            let before: Vec<u64> = replicas.iter().map(ConfigReplica::revision).collect();
            let mut restarted = None;
            match step {
                Step::Accept => accepted_at.push(now),
                Step::Advance { millis } => now += Duration::from_millis(millis),
                Step::Poll { replica } => {
                    let after = replicas[replica].revision();
                    let head = accepted_at.len() as u64;
                    let reply = ConfigDeltaReply {
                        entries: entries(after, head),
                        revision: head,
                        ..ConfigDeltaReply::default()
                    };
                    polls.push(PendingPoll { replica, sent_at: now, reply });
                }
                Step::Reply { poll } if !polls.is_empty() => {
                    let poll = polls.swap_remove(poll % polls.len());
                    let replica = &mut replicas[poll.replica];
                    replica.adopt(&poll.reply);
                    let age = now - poll.sent_at;
                    let own_now = now - started_at[poll.replica];
                    replica.observe(own_now, poll.reply.revision, Some(age));
                }
                Step::Reply { .. } => {}
                Step::Pull { replica, peer } => {
                    let delta = replicas[peer].delta(replicas[replica].revision());
                    let (revision, age) = (replicas[peer].revision(), replicas[peer].proof_age(now - started_at[peer]));
                    replicas[replica].adopt(&delta);
                    replicas[replica].observe(now - started_at[replica], revision, age);
                }
                Step::Restart { replica } => {
                    replicas[replica] = ConfigReplica::new(bounds);
                    started_at[replica] = now;
                    polls.retain(|poll| poll.replica != replica);
                    restarted = Some(replica);
                }
            }
            for (number, replica) in replicas.iter().enumerate() {
                if restarted != Some(number) {
                    prop_assert!(replica.revision() >= before[number], "replica {number} decreased its revision");
                }
                if replica.is_fresh(now - started_at[number]) {
                    let due = accepted_at.iter().filter(|at| **at + bounds.safe_after < now).count();
                    prop_assert!(replica.revision() >= due as u64, "replica {number} is fresh but incomplete");
                }
            }
        }
    }
}
