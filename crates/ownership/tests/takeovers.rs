//! Daemons that own things before one store, on a clock of the test's own: views differ, owners die and stop, and the store is
//! slow. A model of the driver: it sees the record after the watch's lag, and writes after the store's.

use std::time::Duration;

use harrierward_ownership::{OwnerStatus, OwnershipRecord, Step, TakeoverBounds, Takeovers};
use proptest::prelude::*;

/// Granularity of the simulation: how often a daemon looks for things without an owner.
const STEP: Duration = Duration::from_millis(50);

/// How much longer each further daemon waits.
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

/// How the daemons and the store are.
#[derive(Debug, Clone)]
struct World {
    daemons: usize,
    /// Part of the fleet that each daemon is in; daemons hear their own part only.
    parts: Vec<usize>,
    /// Time from a write to its sight by each daemon.
    watch_lags: Vec<Duration>,
    /// Time that a write takes.
    write_takes: Duration,
    /// A daemon that is stopped for this time.
    stopped: Option<(usize, Duration, Duration)>,
    /// A daemon that dies then, and how long its peers need to hold it for gone.
    dies: Option<(usize, Duration, Duration)>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// When the owner changed, and to whom.
    takeovers: Vec<(Duration, usize)>,
    writes: usize,
}

struct Run {
    world: World,
    cores: Vec<Takeovers>,
    history: Vec<(Duration, Record)>,
    seen: Vec<Record>,
    writes: Vec<Write>,
    outcome: Outcome,
}

/// A draw of each daemon's own.
fn draw(daemon: usize) -> f64 {
    (daemon * 7 % 10) as f64 / 10.0
}

fn name(daemon: usize) -> String {
    format!("daemon-{daemon}")
}

impl Run {
    fn new(world: World) -> Self {
        let first = Record {
            epoch: 1,
            revision: 1,
            ..Record::default()
        };
        Self {
            cores: (0..world.daemons)
                .map(|daemon| Takeovers::new(TakeoverBounds::default(), draw(daemon)))
                .collect(),
            history: vec![(Duration::ZERO, first.clone())],
            seen: vec![first; world.daemons],
            writes: Vec::new(),
            outcome: Outcome::default(),
            world,
        }
    }

    fn acts(&self, daemon: usize, now: Duration) -> bool {
        let is_stopped = self
            .world
            .stopped
            .is_some_and(|(one, from, until)| one == daemon && (from..until).contains(&now));
        let is_dead = self
            .world
            .dies
            .is_some_and(|(one, at, _)| one == daemon && now >= at);
        !is_stopped && !is_dead
    }

    fn status(&self, of: usize, at: usize, now: Duration) -> OwnerStatus {
        let is_held_for_dead = self
            .world
            .dies
            .is_some_and(|(one, when, noticed)| one == of && now >= when + noticed);
        if is_held_for_dead || self.world.parts[of] != self.world.parts[at] {
            OwnerStatus::Absent
        } else {
            OwnerStatus::Present
        }
    }

    fn settle_writes(&mut self, now: Duration) {
        let (due, rest) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|write| write.arrives <= now);
        self.writes = rest;
        let due: Vec<Write> = due;
        for write in due {
            let current = self.history.last().expect("a record").1.clone();
            if write.record.revision != current.revision {
                // The refusal holds the record as it stands.
                self.take(write.by, current, now);
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
                self.cores[write.by].note_challenge(names.claim(&record), took, now);
            }
            let record = Record {
                revision,
                ..write.record
            };
            self.history.push((now, record.clone()));
            self.take(write.by, record, now);
        }
    }

    fn look(&mut self, daemon: usize, now: Duration) {
        let lag = self.world.watch_lags[daemon];
        let newest = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .map(|(_, record)| record.clone());
        if let Some(newest) = newest {
            self.take(daemon, newest, now);
        }
    }

    /// A daemon learns of a record, from its watch or from the answer to a write.
    fn take(&mut self, daemon: usize, newest: Record, now: Duration) {
        if newest.revision <= self.seen[daemon].revision || !self.acts(daemon, now) {
            return;
        }
        let before = std::mem::replace(&mut self.seen[daemon], newest.clone());
        let is_present = before.owner == daemon
            || self.status(before.owner, daemon, now) == OwnerStatus::Present;
        let names = Names::of(&before);
        let after = Names::of(&newest);
        self.cores[daemon].note_change(names.claim(&before), after.claim(&newest), is_present, now);
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
        // A daemon knows its own part only, and is the first in order where it is alone.
        let parts = &self.world.parts;
        let before = (0..daemon).filter(|other| parts[*other] == parts[daemon]);
        let before = before.filter(|other| *other != record.owner);
        let rank = u32::try_from(before.count()).expect("a small number");
        let status = self.status(record.owner, daemon, now);
        let names = Names::of(&record);
        let delay = || RANK_DELAY * rank;
        let step = self.cores[daemon].step(names.claim(&record), status, delay, now);
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
            arrives: now + self.world.write_takes,
            by,
            sent: now,
            record,
        });
    }

    fn until(mut self, end: Duration) -> Outcome {
        let mut now = Duration::ZERO;
        while now < end {
            now += STEP;
            self.settle_writes(now);
            for daemon in 0..self.world.daemons {
                if self.acts(daemon, now) {
                    self.look(daemon, now);
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

    fn claim(&self, record: &Record) -> OwnershipRecord<'_> {
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

fn calm(daemons: usize) -> World {
    World {
        daemons,
        parts: vec![0; daemons],
        watch_lags: vec![Duration::from_millis(600); daemons],
        write_takes: Duration::from_millis(10),
        stopped: None,
        dies: None,
    }
}

/// Longest lag of a watch: changes are gathered for so long in the largest fleets.
const LONGEST_LAG: Duration = Duration::from_millis(800);

const WATCHED: Duration = Duration::from_secs(300);

#[test]
fn a_calm_fleet_writes_nothing() {
    let outcome = Run::new(calm(8)).until(WATCHED);
    assert_eq!(outcome.writes, 0);
}

#[test]
fn a_live_owner_that_half_the_fleet_does_not_hear_keeps_what_it_owns() {
    let world = World {
        parts: vec![0, 1, 0, 1, 0, 1],
        watch_lags: vec![LONGEST_LAG; 6],
        ..calm(6)
    };
    let outcome = Run::new(world).until(WATCHED);
    assert_eq!(outcome.takeovers, Vec::new());
    // One challenge and one refutation a rest of 16 s, after four shorter ones.
    assert!(outcome.writes <= 60, "{} writes", outcome.writes);
}

#[test]
fn a_dead_owner_is_followed_within_a_second_of_what_a_view_alone_would_take() {
    let noticed = Duration::from_millis(1_800);
    let died = Duration::from_secs(10);
    let world = World {
        dies: Some((0, died, noticed)),
        ..calm(6)
    };
    let outcome = Run::new(world).until(Duration::from_secs(40));
    let [(at, by)] = outcome.takeovers[..] else {
        panic!("{outcome:?}");
    };
    assert_eq!(by, 1);
    // A view alone: 0.3 s after it notices, and 0.4 s for the second daemon in the order.
    let by_view = died + noticed + Duration::from_millis(300) + RANK_DELAY;
    assert!(at <= by_view + Duration::from_secs(1), "at {at:?}");
}

#[test]
fn the_next_follows_where_a_challenger_stops() {
    let died = Duration::from_secs(10);
    let world = World {
        dies: Some((0, died, Duration::from_millis(1_800))),
        stopped: Some((1, Duration::from_secs(13), Duration::from_secs(60))),
        ..calm(6)
    };
    let outcome = Run::new(world).until(Duration::from_secs(20));
    let [(at, by)] = outcome.takeovers[..] else {
        panic!("{outcome:?}");
    };
    assert_eq!(by, 2);
    assert!(at <= died + Duration::from_secs(6), "at {at:?}");
}

proptest! {
    /// Whoever lives and reaches the store is taken over from once at most, however the fleet is cut, the store slow, and one
    /// daemon stopped.
    #[test]
    fn a_live_owner_is_taken_over_from_once_at_most(
        parts in proptest::collection::vec(0_usize..3, 6),
        lags_ms in proptest::collection::vec(0_u64..=800, 6),
        write_ms in 1_u64..=4_000,
        stopped in 0_usize..6,
        stop_at_ms in 1_000_u64..60_000,
        stop_ms in 0_u64..8_000,
    ) {
        let from = Duration::from_millis(stop_at_ms);
        let world = World {
            parts,
            watch_lags: lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect(),
            write_takes: Duration::from_millis(write_ms),
            stopped: Some((stopped, from, from + Duration::from_millis(stop_ms))),
            ..calm(6)
        };
        let outcome = Run::new(world).until(WATCHED);
        prop_assert!(outcome.takeovers.len() <= 1, "{outcome:?}");
    }

    /// An owner that dies is followed soon by those that heard it, whatever others beyond a cut have made of it before.
    #[test]
    fn a_dead_owner_is_followed_soon_in_any_cut(
        mut parts in proptest::collection::vec(0_usize..3, 6),
        lags_ms in proptest::collection::vec(0_u64..=800, 6),
        write_ms in 1_u64..=500,
        died_ms in 100_u64..100_000,
    ) {
        parts[0] = 0;
        parts[5] = 0;
        let died = Duration::from_millis(died_ms);
        let noticed = Duration::from_millis(1_800);
        let world = World {
            parts,
            watch_lags: lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect(),
            write_takes: Duration::from_millis(write_ms),
            dies: Some((0, died, noticed)),
            ..calm(6)
        };
        let outcome = Run::new(world).until(died + Duration::from_secs(30));
        prop_assert!(!outcome.takeovers.is_empty());
        let (at, _) = outcome.takeovers[0];
        prop_assert!(at >= died, "{outcome:?}");
        prop_assert!(at <= died + noticed + Duration::from_secs(6), "{outcome:?}");
    }

    /// Watches that lag by far more than a challenge stands for: the thing changes hands a few times and then stays.
    #[test]
    fn owners_whose_watches_lag_too_much_take_few_turns(
        parts in proptest::collection::vec(0_usize..6, 6),
        lags_ms in proptest::collection::vec(0_u64..=3_500, 6),
        write_ms in 1_u64..=100,
    ) {
        let world = World {
            parts,
            watch_lags: lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect(),
            write_takes: Duration::from_millis(write_ms),
            ..calm(6)
        };
        let outcome = Run::new(world).until(WATCHED);
        prop_assert!(outcome.takeovers.len() <= 3, "{outcome:?}");
    }
}

/// Each daemon is alone, and so the first in its own order.
#[test]
fn many_daemons_that_each_hear_nobody_leave_a_live_owner_alone() {
    const DAEMONS: usize = 71;
    let world = World {
        parts: (0..DAEMONS).collect(),
        watch_lags: vec![LONGEST_LAG; DAEMONS],
        ..calm(DAEMONS)
    };
    let outcome = Run::new(world).until(WATCHED);
    assert_eq!(outcome.takeovers, Vec::new());
    // Each of 70 daemons writes in a round at most, a round a rest, and rests are 16 s and longer after the first four.
    assert!(outcome.writes <= 70 * 22, "{} writes", outcome.writes);
}

/// An owner whose machine runs a later start is gone for certain, also where it had refuted a challenge just before.
#[test]
fn a_thing_of_an_owner_that_was_started_again_is_taken_in_its_rest() {
    let mut core = Takeovers::new(TakeoverBounds::default(), 1.0);
    let claim = |challenger: &'static str, revision| OwnershipRecord {
        resource: "thing",
        owner: "daemon-0",
        challenger,
        epoch: 1,
        takeovers: 0,
        revision,
    };
    let now = Duration::from_secs(10);
    core.note_change(claim("daemon-1", 1), claim("", 2), false, now);
    let step =
        |core: &mut Takeovers, status, at| core.step(claim("", 2), status, || RANK_DELAY, at);
    let later = now + Duration::from_secs(1);
    assert_eq!(step(&mut core, OwnerStatus::Absent, later), Step::Wait);
    let later = later + RANK_DELAY;
    assert_eq!(step(&mut core, OwnerStatus::Absent, later), Step::Wait);
    assert_eq!(
        step(&mut core, OwnerStatus::Superseded, later),
        Step::TakeOver
    );
}
