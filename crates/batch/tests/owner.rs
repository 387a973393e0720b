//! The shard owner under takeovers, lost outcomes, expired grants and late results: no item's result counts twice, and
//! no at-most-once item is granted again unless it was returned unrun.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harrierward_batch::core::{
    ChunkCommit, CommitOutcome, InputLine, OwnerCore, OwnerSettings, StoredChunk, StoredJob,
};
use harrierward_wire::{
    ChunkRow, Grant, HandBack, ItemResult, JobRow, PullRequest, ResultsRequest, RunningItem,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ITEMS: u32 = 230;
const CHUNK: u32 = 200;
const OWNERS: usize = 2;

/// True for every fifth item, which is at-most-once.
fn is_once(item: u32) -> bool {
    item % 5 == 2
}

#[derive(Debug, Clone)]
enum Transition {
    Pull {
        owner: usize,
        slots: u32,
    },
    Finish {
        grant: usize,
        owner: usize,
    },
    HandBack {
        grant: usize,
        owner: usize,
        may_have_run: bool,
        repeated: bool,
    },
    Reload {
        owner: usize,
    },
    AdvanceTime {
        seconds: u64,
    },
    Commit {
        owner: usize,
        committed: bool,
        acknowledged: bool,
    },
    TakeOver {
        owner: usize,
    },
}

struct Transitions;

impl ReferenceStateMachine for Transitions {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Transition> {
        let owner = 0..OWNERS;
        prop_oneof![
            6 => (owner.clone(), 1..40u32).prop_map(|(owner, slots)| Transition::Pull { owner, slots }),
            8 => (any::<usize>(), owner.clone()).prop_map(|(grant, owner)| Transition::Finish { grant, owner }),
            3 => (any::<usize>(), owner.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(grant, owner, may_have_run, repeated)|
                    Transition::HandBack { grant, owner, may_have_run, repeated }),
            1 => owner.clone().prop_map(|owner| Transition::Reload { owner }),
            2 => (1..20u64).prop_map(|seconds| Transition::AdvanceTime { seconds }),
            5 => (owner.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(owner, committed, acknowledged)| Transition::Commit { owner, committed, acknowledged }),
            1 => owner.prop_map(|owner| Transition::TakeOver { owner }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Transition) {
        state
    }
}

/// Model of the table: applies chunk commits on the conditions of their transaction.
#[derive(Default)]
struct TableModel {
    revision: u64,
    shard_revision: u64,
    epoch: u64,
    chunks: BTreeMap<u32, (u64, ChunkRow)>,
    counted: BTreeMap<u32, u32>,
}

impl TableModel {
    fn apply(&mut self, commit: &ChunkCommit) -> CommitOutcome {
        if commit.shard_revision != self.shard_revision {
            return CommitOutcome::ShardLost;
        }
        let current = self
            .chunks
            .get(&commit.chunk)
            .map(|(revision, _)| *revision);
        if current != commit.chunk_revision {
            return CommitOutcome::Stale;
        }
        self.revision += 1;
        let row = commit.row.clone();
        self.chunks.insert(commit.chunk, (self.revision, row));
        for item in &commit.items {
            *self
                .counted
                .entry(commit.chunk * CHUNK + item.item)
                .or_default() += 1;
        }
        CommitOutcome::Committed {
            revision: self.revision,
        }
    }
}

struct System {
    owners: Vec<OwnerCore>,
    table: TableModel,
    now: Duration,
    /// Grants whose holder may still send a result or return the item.
    grants: Vec<Grant>,
    returned_unrun: BTreeSet<String>,
    /// Attempts that were granted for each at-most-once item.
    attempts: BTreeMap<u32, BTreeSet<String>>,
    in_flight: Vec<(usize, ChunkCommit)>,
}

impl System {
    fn take_over(&mut self, owner: usize) {
        self.table.revision += 1;
        self.table.epoch += 1;
        self.table.shard_revision = self.table.revision;
        let core = &mut self.owners[owner];
        core.drop_shard(0);
        core.take_shard(0, self.table.epoch, self.table.shard_revision);
        self.reload(owner);
    }

    /// Loads the job from the table unless it is loaded already, as discovery does.
    fn reload(&mut self, owner: usize) {
        let core = &mut self.owners[owner];
        if core.has_job("job") {
            return;
        }
        let chunks = self
            .table
            .chunks
            .iter()
            .map(|(number, (revision, row))| StoredChunk {
                number: *number,
                row: row.clone(),
                revision: *revision,
            });
        core.load_job(StoredJob {
            row: JobRow {
                job_id: "job".to_owned(),
                tenant: "tenant".to_owned(),
                service: "service".to_owned(),
                items: ITEMS,
                ..JobRow::default()
            },
            revision: 1,
            chunks: Some(chunks.collect()),
        });
    }

    fn load_inputs(&mut self, owner: usize) {
        for chunk_ref in self.owners[owner].take_chunk_loads() {
            let first = chunk_ref.chunk * CHUNK;
            let lines = (first..(first + CHUNK).min(ITEMS)).map(|item| InputLine {
                text: format!("{{\"custom_id\":\"{item}\"}}"),
                at_most_once: is_once(item),
            });
            self.owners[owner].input_loaded(&chunk_ref, lines.collect(), self.now);
        }
    }

    fn pull(&mut self, owner: usize, slots: u32) {
        let request = PullRequest {
            member: "runner".to_owned(),
            service: "service".to_owned(),
            slots,
            ..PullRequest::default()
        };
        let reply = self.owners[owner].pull(&request, self.now);
        for grant in reply.grants {
            if grant.at_most_once {
                let attempts = self.attempts.entry(grant.item).or_default();
                attempts.insert(grant.attempt.clone());
            }
            self.grants.push(grant);
        }
    }

    fn settle(&mut self, owner: usize, committed: bool, acknowledged: bool) {
        let plans = self.owners[owner].plan_commits(self.now);
        self.in_flight
            .extend(plans.into_iter().map(|plan| (owner, plan)));
        let commits = std::mem::take(&mut self.in_flight);
        for (planner, commit) in commits {
            if planner != owner || !acknowledged {
                // The outcome stays unknown, so the driver sends the same commit again later.
                if committed && planner == owner {
                    self.apply_unacknowledged(&commit);
                }
                self.in_flight.push((planner, commit));
                continue;
            }
            let outcome = if self.is_applied(&commit) {
                let (revision, _) = self.table.chunks[&commit.chunk];
                CommitOutcome::Committed { revision }
            } else if committed {
                self.table.apply(&commit)
            } else {
                CommitOutcome::NotCommitted
            };
            self.owners[planner].commit_finished(&commit, outcome);
        }
    }

    fn is_applied(&self, commit: &ChunkCommit) -> bool {
        let current = self.table.chunks.get(&commit.chunk);
        let same = current.is_some_and(|(_, row)| *row == commit.row);
        same && commit.shard_revision == self.table.shard_revision
    }

    fn apply_unacknowledged(&mut self, commit: &ChunkCommit) {
        if !self.is_applied(commit) {
            self.table.apply(commit);
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = Transitions;

    fn init_test(_: &()) -> System {
        let owners = (0..OWNERS)
            .map(|owner| OwnerCore::new(format!("owner-{owner}"), OwnerSettings::default()));
        let mut system = System {
            owners: owners.collect(),
            table: TableModel::default(),
            now: Duration::from_secs(1),
            grants: Vec::new(),
            returned_unrun: BTreeSet::new(),
            attempts: BTreeMap::new(),
            in_flight: Vec::new(),
        };
        system.take_over(0);
        system
    }

    fn apply(mut system: System, _: &(), transition: Transition) -> System {
        match transition {
            Transition::Pull { owner, slots } => {
                system.pull(owner, slots);
                system.load_inputs(owner);
            }
            Transition::Finish { grant, owner } => {
                if system.grants.is_empty() {
                    return system;
                }
                let grant = system.grants.swap_remove(grant % system.grants.len());
                if system.returned_unrun.contains(&grant.attempt) {
                    return system;
                }
                let result = ItemResult {
                    job_id: grant.job_id,
                    item: grant.item,
                    attempt: grant.attempt,
                    shard: grant.shard,
                    line: format!("{{\"custom_id\":\"{}\"}}", grant.item),
                    failed: false,
                };
                let request = ResultsRequest {
                    results: vec![result],
                    handed_back: Vec::new(),
                };
                let now = system.now;
                system.owners[owner].results(&request, now);
            }
            Transition::HandBack {
                grant,
                owner,
                may_have_run,
                repeated,
            } => {
                if system.grants.is_empty() {
                    return system;
                }
                let index = grant % system.grants.len();
                // The message may be duplicated later, although its holder has stopped the run.
                let grant = if repeated && !may_have_run {
                    system.grants[index].clone()
                } else {
                    system.grants.swap_remove(index)
                };
                if !may_have_run {
                    system.returned_unrun.insert(grant.attempt.clone());
                }
                let request = ResultsRequest {
                    results: Vec::new(),
                    handed_back: vec![HandBack {
                        item: Some(RunningItem {
                            job_id: grant.job_id,
                            item: grant.item,
                            attempt: grant.attempt,
                        }),
                        shard: grant.shard,
                        may_have_run,
                    }],
                };
                let now = system.now;
                system.owners[owner].results(&request, now);
            }
            Transition::AdvanceTime { seconds } => {
                system.now += Duration::from_secs(seconds);
                let now = system.now;
                for owner in &mut system.owners {
                    owner.expire(now);
                }
            }
            Transition::Commit {
                owner,
                committed,
                acknowledged,
            } => system.settle(owner, committed, acknowledged),
            Transition::TakeOver { owner } => system.take_over(owner),
            Transition::Reload { owner } => system.reload(owner),
        }
        system
    }

    fn check_invariants(system: &System, _: &()) {
        for (item, count) in &system.table.counted {
            assert_eq!(*count, 1, "item {item} counts {count} times");
        }
        for (item, attempts) in &system.attempts {
            let may_have_run = attempts
                .iter()
                .filter(|attempt| !system.returned_unrun.contains(*attempt));
            let may_have_run = may_have_run.count();
            assert!(
                may_have_run <= 1,
                "item {item} was given out {may_have_run} times"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(4711),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_item_counts_twice(sequential 1..120 => System);
}
