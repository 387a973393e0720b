//! Simulation of daemons that own resources in one store, with partitions, crashes, pauses and slow writes. Daemons
//! see a record after the lag of their watch.

use std::time::Duration;

use harrierward_ownership::{OwnerStatus, OwnershipRecord, Step, TakeoverBounds, Takeovers};
use proptest::prelude::*;

/// Granularity of the simulation: interval at which daemons poll for resources to take over.
const STEP: Duration = Duration::from_millis(50);

/// Additional delay of each further daemon in the order.
const RANK_DELAY: Duration = Duration::from_millis(400);

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Record {
    owner: usize,
    challenger: Option<usize>,
    epoch: u64,
    takeovers: u32,
    revision: u64,
}

#[derive(Debug, Clone)]
struct Write {
    arrives: Duration,
    by: usize,
    sent: Duration,
    record: Record,
}

/// Conditions of the daemons and the store.
#[derive(Debug, Clone)]
struct Scenario {
    daemons: usize,
    /// Partition of each daemon; daemons only see members of their own.
    partitions: Vec<usize>,
    /// Time until each daemon's watch reports a write.
    watch_lags: Vec<Duration>,
    /// Latency of writes.
    write_latency: Duration,
    /// A paused daemon, with the start and the end of the pause.
    paused: Option<(usize, Duration, Duration)>,
    /// A daemon that crashes, the time of the crash, and the time until others detect it.
    crash: Option<(usize, Duration, Duration)>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Changes of the owner: when, and to which daemon.
    takeovers: Vec<(Duration, usize)>,
    writes: usize,
}

struct Simulation {
    scenario: Scenario,
    state_machines: Vec<Takeovers>,
    history: Vec<(Duration, Record)>,
    seen: Vec<Record>,
    writes: Vec<Write>,
    outcome: Outcome,
}

/// Returns a distinct, fixed draw for each daemon.
fn draw(daemon: usize) -> f64 {
    (daemon * 7 % 10) as f64 / 10.0
}

fn name(daemon: usize) -> String {
    format!("daemon-{daemon}")
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let first = Record {
            epoch: 1,
            revision: 1,
            ..Record::default()
        };
        Self {
            state_machines: (0..scenario.daemons)
                .map(|daemon| Takeovers::new(TakeoverBounds::default(), draw(daemon)))
                .collect(),
            history: vec![(Duration::ZERO, first.clone())],
            seen: vec![first; scenario.daemons],
            writes: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn is_running(&self, daemon: usize, now: Duration) -> bool {
        let is_paused = self
            .scenario
            .paused
            .is_some_and(|(one, from, until)| one == daemon && (from..until).contains(&now));
        let has_crashed = self
            .scenario
            .crash
            .is_some_and(|(one, at, _)| one == daemon && now >= at);
        !is_paused && !has_crashed
    }

    fn status(&self, of: usize, at: usize, now: Duration) -> OwnerStatus {
        let is_detected = self
            .scenario
            .crash
            .is_some_and(|(one, when, detection_delay)| one == of && now >= when + detection_delay);
        if is_detected || self.scenario.partitions[of] != self.scenario.partitions[at] {
            OwnerStatus::Absent
        } else {
            OwnerStatus::Present
        }
    }

    fn complete_writes(&mut self, now: Duration) {
        let (due, rest) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|write| write.arrives <= now);
        self.writes = rest;
        let due: Vec<Write> = due;
        for write in due {
            let current = self.history.last().expect("a record").1.clone();
            if write.record.revision != current.revision {
                // A rejected write returns the current record.
                self.observe(write.by, current, now);
                continue;
            }
            let revision = current.revision + 1;
            if write.record.owner != current.owner {
                self.outcome.takeovers.push((now, write.record.owner));
            }
            if write.record.challenger == Some(write.by) {
                let took = now - write.sent;
                let record = Record {
                    revision,
                    ..write.record.clone()
                };
                let names = Names::of(&record);
                self.state_machines[write.by].note_challenge(names.ownership(&record), took, now);
            }
            let record = Record {
                revision,
                ..write.record
            };
            self.history.push((now, record.clone()));
            self.observe(write.by, record, now);
        }
    }

    fn poll_watch(&mut self, daemon: usize, now: Duration) {
        let lag = self.scenario.watch_lags[daemon];
        let newest = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .map(|(_, record)| record.clone());
        if let Some(newest) = newest {
            self.observe(daemon, newest, now);
        }
    }

    /// Applies a record that a daemon receives from its watch or in the response to a write.
    fn observe(&mut self, daemon: usize, newest: Record, now: Duration) {
        if newest.revision <= self.seen[daemon].revision || !self.is_running(daemon, now) {
            return;
        }
        let before = std::mem::replace(&mut self.seen[daemon], newest.clone());
        let is_present = before.owner == daemon
            || self.status(before.owner, daemon, now) == OwnerStatus::Present;
        let names = Names::of(&before);
        let after = Names::of(&newest);
        self.state_machines[daemon].note_change(
            names.ownership(&before),
            after.ownership(&newest),
            is_present,
            now,
        );
    }

    fn act(&mut self, daemon: usize, now: Duration) {
        let record = self.seen[daemon].clone();
        let is_waiting = self.writes.iter().any(|write| write.by == daemon);
        if is_waiting {
            return;
        }
        if record.owner == daemon {
            if record.challenger.is_some() {
                self.send(
                    daemon,
                    now,
                    Record {
                        challenger: None,
                        ..record
                    },
                );
            }
            return;
        }
        // Daemons are ordered among the members of their partition.
        let partitions = &self.scenario.partitions;
        let before = (0..daemon).filter(|other| partitions[*other] == partitions[daemon]);
        let before = before.filter(|other| *other != record.owner);
        let rank = u32::try_from(before.count()).expect("a small number");
        let status = self.status(record.owner, daemon, now);
        let names = Names::of(&record);
        let delay = || RANK_DELAY * rank;
        let step = self.state_machines[daemon].step(names.ownership(&record), status, delay, now);
        match step {
            Step::Wait => {}
            Step::Challenge => self.send(
                daemon,
                now,
                Record {
                    challenger: Some(daemon),
                    ..record
                },
            ),
            Step::TakeOver => self.send(
                daemon,
                now,
                Record {
                    owner: daemon,
                    takeovers: record.takeovers + u32::from(record.challenger.is_some()),
                    challenger: None,
                    epoch: record.epoch + 1,
                    ..record
                },
            ),
        }
    }

    fn send(&mut self, by: usize, now: Duration, record: Record) {
        self.outcome.writes += 1;
        self.writes.push(Write {
            arrives: now + self.scenario.write_latency,
            by,
            sent: now,
            record,
        });
    }

    fn run_until(mut self, end: Duration) -> Outcome {
        let mut now = Duration::ZERO;
        while now < end {
            now += STEP;
            self.complete_writes(now);
            for daemon in 0..self.scenario.daemons {
                if self.is_running(daemon, now) {
                    self.poll_watch(daemon, now);
                    self.act(daemon, now);
                }
            }
        }
        self.outcome
    }
}

struct Names {
    owner: String,
    challenger: String,
}

impl Names {
    fn of(record: &Record) -> Self {
        Self {
            owner: name(record.owner),
            challenger: record.challenger.map(name).unwrap_or_default(),
        }
    }

    fn ownership(&self, record: &Record) -> OwnershipRecord<'_> {
        OwnershipRecord {
            resource: "thing",
            owner: &self.owner,
            challenger: &self.challenger,
            epoch: record.epoch,
            takeovers: record.takeovers,
            revision: record.revision,
        }
    }
}

fn healthy(daemons: usize) -> Scenario {
    Scenario {
        daemons,
        partitions: vec![0; daemons],
        watch_lags: vec![Duration::from_millis(600); daemons],
        write_latency: Duration::from_millis(10),
        paused: None,
        crash: None,
    }
}

/// Maximum lag of watches.
const MAX_WATCH_LAG: Duration = Duration::from_millis(800);

const SIMULATED_TIME: Duration = Duration::from_secs(300);

#[test]
fn a_healthy_fleet_writes_nothing() {
    let outcome = Simulation::new(healthy(8)).run_until(SIMULATED_TIME);
    assert_eq!(outcome.writes, 0);
}

#[test]
fn a_live_owner_keeps_ownership_in_a_partition() {
    let scenario = Scenario {
        partitions: vec![0, 1, 0, 1, 0, 1],
        watch_lags: vec![MAX_WATCH_LAG; 6],
        ..healthy(6)
    };
    let outcome = Simulation::new(scenario).run_until(SIMULATED_TIME);
    assert_eq!(outcome.takeovers, Vec::new());
    // One challenge and one refutation per cooldown, which lasts at least 16 s from the fourth on.
    assert!(outcome.writes <= 60, "{} writes", outcome.writes);
}

#[test]
fn a_crashed_owner_is_replaced_within_a_second_of_a_takeover_by_view() {
    let detection_delay = Duration::from_millis(1_800);
    let crashed_at = Duration::from_secs(10);
    let scenario = Scenario {
        crash: Some((0, crashed_at, detection_delay)),
        ..healthy(6)
    };
    let outcome = Simulation::new(scenario).run_until(Duration::from_secs(40));
    let [(at, by)] = outcome.takeovers[..] else {
        panic!("{outcome:?}");
    };
    assert_eq!(by, 1);
    // A takeover without a challenge would come 0.3 s after the detection, plus the delay of the second daemon.
    let by_view = crashed_at + detection_delay + Duration::from_millis(300) + RANK_DELAY;
    assert!(at <= by_view + Duration::from_secs(1), "at {at:?}");
}

#[test]
fn the_next_daemon_takes_over_if_the_challenger_pauses() {
    let crashed_at = Duration::from_secs(10);
    let scenario = Scenario {
        crash: Some((0, crashed_at, Duration::from_millis(1_800))),
        paused: Some((1, Duration::from_secs(13), Duration::from_secs(60))),
        ..healthy(6)
    };
    let outcome = Simulation::new(scenario).run_until(Duration::from_secs(20));
    let [(at, by)] = outcome.takeovers[..] else {
        panic!("{outcome:?}");
    };
    assert_eq!(by, 2);
    assert!(at <= crashed_at + Duration::from_secs(6), "at {at:?}");
}

proptest! {
    /// A live owner that reaches the store must lose ownership at most once, in spite of partitions, slow writes and
    /// a pause.
    #[test]
    fn a_live_owner_loses_ownership_at_most_once(
        partitions in proptest::collection::vec(0_usize..3, 6),
        lags_ms in proptest::collection::vec(0_u64..=800, 6),
        write_ms in 1_u64..=4_000,
        paused in 0_usize..6,
        pause_at_ms in 1_000_u64..60_000,
        pause_ms in 0_u64..8_000,
    ) {
        let from = Duration::from_millis(pause_at_ms);
        let scenario = Scenario {
            partitions,
            watch_lags: lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect(),
            write_latency: Duration::from_millis(write_ms),
            paused: Some((paused, from, from + Duration::from_millis(pause_ms))),
            ..healthy(6)
        };
        let outcome = Simulation::new(scenario).run_until(SIMULATED_TIME);
        prop_assert!(outcome.takeovers.len() <= 1, "{outcome:?}");
    }

    /// A crashed owner must be replaced soon by members of its partition, whatever other partitions did before.
    #[test]
    fn a_crashed_owner_is_replaced_soon_in_any_partition(
        mut partitions in proptest::collection::vec(0_usize..3, 6),
        lags_ms in proptest::collection::vec(0_u64..=800, 6),
        write_ms in 1_u64..=500,
        crashed_at_ms in 100_u64..100_000,
    ) {
        partitions[0] = 0;
        partitions[5] = 0;
        let crashed_at = Duration::from_millis(crashed_at_ms);
        let detection_delay = Duration::from_millis(1_800);
        let scenario = Scenario {
            partitions,
            watch_lags: lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect(),
            write_latency: Duration::from_millis(write_ms),
            crash: Some((0, crashed_at, detection_delay)),
            ..healthy(6)
        };
        let outcome = Simulation::new(scenario).run_until(crashed_at + Duration::from_secs(30));
        prop_assert!(!outcome.takeovers.is_empty());
        let (at, _) = outcome.takeovers[0];
        prop_assert!(at >= crashed_at, "{outcome:?}");
        prop_assert!(at <= crashed_at + detection_delay + Duration::from_secs(6), "{outcome:?}");
    }

    /// Watches that lag longer than a challenge lasts must not cause endless takeovers.
    #[test]
    fn ownership_settles_although_watches_lag(
        partitions in proptest::collection::vec(0_usize..6, 6),
        lags_ms in proptest::collection::vec(0_u64..=3_500, 6),
        write_ms in 1_u64..=100,
    ) {
        let scenario = Scenario {
            partitions,
            watch_lags: lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect(),
            write_latency: Duration::from_millis(write_ms),
            ..healthy(6)
        };
        let outcome = Simulation::new(scenario).run_until(SIMULATED_TIME);
        prop_assert!(outcome.takeovers.len() <= 3, "{outcome:?}");
    }
}

/// Each daemon is alone in its partition and so the first in its own order.
#[test]
fn many_isolated_daemons_leave_a_live_owner_in_place() {
    const DAEMONS: usize = 71;
    let scenario = Scenario {
        partitions: (0..DAEMONS).collect(),
        watch_lags: vec![MAX_WATCH_LAG; DAEMONS],
        ..healthy(DAEMONS)
    };
    let outcome = Simulation::new(scenario).run_until(SIMULATED_TIME);
    assert_eq!(outcome.takeovers, Vec::new());
    // Each of 70 daemons writes at most once per cooldown, which lasts at least 16 s from the fourth on.
    assert!(outcome.writes <= 70 * 22, "{} writes", outcome.writes);
}

/// An owner whose machine runs a later instance must be replaced at once, even after it refuted a challenge.
#[test]
fn a_superseded_owner_is_replaced_during_its_cooldown() {
    let mut state_machine = Takeovers::new(TakeoverBounds::default(), 1.0);
    let record_of = |challenger: &'static str, revision| OwnershipRecord {
        resource: "thing",
        owner: "daemon-0",
        challenger,
        epoch: 1,
        takeovers: 0,
        revision,
    };
    let now = Duration::from_secs(10);
    state_machine.note_change(record_of("daemon-1", 1), record_of("", 2), false, now);
    let step = |state_machine: &mut Takeovers, status, at| {
        state_machine.step(record_of("", 2), status, || RANK_DELAY, at)
    };
    let later = now + Duration::from_secs(1);
    assert_eq!(
        step(&mut state_machine, OwnerStatus::Absent, later),
        Step::Wait
    );
    let later = later + RANK_DELAY;
    assert_eq!(
        step(&mut state_machine, OwnerStatus::Absent, later),
        Step::Wait
    );
    assert_eq!(
        step(&mut state_machine, OwnerStatus::Superseded, later),
        Step::TakeOver
    );
}
