//! A whole fleet starts within a second, as after a loss of power everywhere: all views must agree soon, and what
//! that costs must stay within the daemons' share of the network.

use std::collections::VecDeque;
use std::time::Duration;

use harrierward_membership::{Action, MembershipCore, MembershipSettings};
use harrierward_wire::{MemberRecord, MemberState, encode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Granularity of the simulation; a datagram takes one step.
const STEP: Duration = Duration::from_millis(10);

/// Steps between two ticks of a member, as the daemon's driver has it.
const TICK_STEPS: u64 = 10;

/// Datagrams lost of a hundred.
const LOSS_PERCENT: u32 = 1;

/// How often a member that knows nobody asks its seeds again.
const JOIN_EVERY: Duration = Duration::from_millis(400);

struct Daemon {
    core: MembershipCore,
    starts_at: Duration,
    joined_at: Option<Duration>,
    phase: u64,
}

struct Fleet {
    daemons: Vec<Daemon>,
    seeds: Vec<String>,
    under_way: VecDeque<(Duration, Action)>,
    random: SmallRng,
    now: Duration,
    bytes: usize,
    datagrams: usize,
}

fn address(index: usize) -> String {
    format!("10.{}.0.{}:7720", index / 60 + 1, index % 60 + 10)
}

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        id: format!("front-sala-etna-{index}@19abcdef012-{index:04x}"),
        udp_address: address(index),
        peer_address: address(index),
        zone: format!("sala-{}", index % 5),
        region: "sicilia-est".to_owned(),
        incarnation: 1,
        state: MemberState::Alive as i32,
        backlog: Vec::new(),
        detached: false,
    }
}

fn index_of(address: &str) -> usize {
    let mut parts = address.split(['.', ':']);
    let zone: usize = parts.nth(1).and_then(|part| part.parse().ok()).unwrap_or(1);
    let host: usize = parts
        .nth(1)
        .and_then(|part| part.parse().ok())
        .unwrap_or(10);
    (zone - 1) * 60 + host - 10
}

impl Fleet {
    /// `size` daemons that start at random moments of `spread`.
    fn new(size: usize, spread: Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(11);
        let daemons = (0..size).map(|index| Daemon {
            core: MembershipCore::new(MembershipSettings::quick(), record(index)),
            starts_at: random.random_range(Duration::ZERO..spread),
            joined_at: None,
            phase: random.random_range(0..TICK_STEPS),
        });
        Self {
            daemons: daemons.collect(),
            seeds: vec![address(0), address(size / 3), address(size * 2 / 3)],
            under_way: VecDeque::new(),
            random,
            now: Duration::ZERO,
            bytes: 0,
            datagrams: 0,
        }
    }

    fn send(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.bytes += encode(&action.datagram).len();
            self.datagrams += 1;
            if self.random.random_range(0..100) >= LOSS_PERCENT {
                self.under_way.push_back((self.now + STEP, action));
            }
        }
    }

    fn deliver(&mut self) {
        while self
            .under_way
            .front()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let Some((_, action)) = self.under_way.pop_front() else {
                return;
            };
            let now = self.now;
            let daemon = &mut self.daemons[index_of(&action.address)];
            if daemon.starts_at <= now {
                let (answers, _) = daemon.core.receive(&action.datagram, now);
                self.send(answers);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let mut actions = Vec::new();
        let alone = daemon.core.view().members.len() <= 1;
        let due = daemon.joined_at.is_none_or(|at| now - at >= JOIN_EVERY);
        if alone && due {
            daemon.joined_at = Some(now);
            actions.extend(daemon.core.join(&self.seeds));
        }
        actions.extend(daemon.core.tick(now, &mut self.random));
        self.send(actions);
    }

    fn run_until(&mut self, end: Duration) {
        let mut step = u64::try_from(self.now.as_millis() / STEP.as_millis()).unwrap_or(0);
        while self.now < end {
            self.now += STEP;
            step += 1;
            self.deliver();
            for index in 0..self.daemons.len() {
                let daemon = &self.daemons[index];
                let due = step % TICK_STEPS == daemon.phase;
                if due && daemon.starts_at <= self.now {
                    self.tick(index);
                }
            }
        }
    }

    /// The least number of members that any daemon knows.
    fn smallest_view(&self) -> usize {
        let sizes = self.daemons.iter();
        let sizes = sizes.map(|daemon| daemon.core.view().members.len());
        sizes.min().unwrap_or(0)
    }

    fn bytes_a_daemon(&self) -> usize {
        self.bytes / self.daemons.len()
    }
}

/// Time in which the daemons start.
const SPREAD: Duration = Duration::from_secs(1);

/// Two seconds after the last start, views are within one in a hundred of the fleet.
#[test]
fn views_agree_two_seconds_after_three_hundred_start_together() {
    let mut fleet = Fleet::new(300, SPREAD);
    fleet.run_until(SPREAD + Duration::from_secs(2));
    let after_two = fleet.smallest_view();
    assert!(after_two >= 297, "{after_two} of 300 known after 2 s");
    fleet.run_until(SPREAD + Duration::from_secs(5));
    assert_eq!(fleet.smallest_view(), 300);
}

/// The whole start costs each daemon no more than ten seconds of its share (9 KB/s), and after it there is silence
/// but for probes.
#[test]
fn a_start_together_costs_little() {
    let mut fleet = Fleet::new(300, SPREAD);
    fleet.run_until(Duration::from_secs(10));
    let start = fleet.bytes_a_daemon();
    assert!(start <= 90_000, "{start} bytes a daemon in the first 10 s");
    fleet.bytes = 0;
    fleet.run_until(Duration::from_secs(20));
    let steady = fleet.bytes_a_daemon() / 10;
    assert!(
        steady <= 1_500,
        "{steady} bytes a second and daemon afterwards"
    );
}

/// The same with as many daemons as the target has.
#[test]
fn views_agree_two_seconds_after_the_target_fleet_starts_together() {
    let mut fleet = Fleet::new(520, SPREAD);
    fleet.run_until(SPREAD + Duration::from_secs(2));
    let after_two = fleet.smallest_view();
    assert!(after_two >= 514, "{after_two} of 520 known after 2 s");
}
