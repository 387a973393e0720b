//! Simulation of a fleet on virtual time, with a network that loses datagrams and can be partitioned.

use std::collections::VecDeque;
use std::time::Duration;

use harrierward_membership::{MembershipCore, MembershipSettings, OutgoingDatagram};
use harrierward_wire::{DatagramKind, MemberRecord, MemberState, encode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time step of the simulation; a datagram takes one step.
const STEP: Duration = Duration::from_millis(10);

/// Steps between two ticks of a member; matches the daemon's tick interval.
const TICK_STEPS: u64 = 10;

const LOSS_PERCENT: u32 = 1;

/// Poll interval of [`Fleet::seconds_until_complete`].
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Which datagrams between two parts are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum PartitionKind {
    /// Datagrams in both directions.
    BothWays,
    /// Datagrams from a part with a lower number to one with a higher number.
    OneWay,
    /// Datagrams in both directions, in alternating intervals of this length.
    Flapping(Duration),
}

/// A network partition between parts of the fleet.
#[derive(Debug, Clone)]
pub struct Partition {
    /// Which datagrams are dropped.
    pub kind: PartitionKind,
    /// Start, in simulated time.
    pub starts_at: Duration,
    /// Time from the start to the end.
    pub duration: Duration,
    /// Number of the part of each daemon.
    pub part_of: Vec<usize>,
}

impl Partition {
    /// Returns the end, in simulated time.
    pub fn ends_at(&self) -> Duration {
        self.starts_at + self.duration
    }

    fn drops(&self, from: usize, to: usize, now: Duration) -> bool {
        let (from, to) = (self.part_of[from], self.part_of[to]);
        if from == to || now < self.starts_at || now >= self.ends_at() {
            return false;
        }
        match self.kind {
            PartitionKind::BothWays => true,
            PartitionKind::OneWay => from < to,
            PartitionKind::Flapping(interval) => {
                let intervals = (now - self.starts_at).as_millis() / interval.as_millis();
                intervals.is_multiple_of(2)
            }
        }
    }
}

/// An interval in which a daemon neither runs nor receives datagrams.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// Start, in simulated time.
    pub starts_at: Duration,
    /// Time from the start to the end.
    pub duration: Duration,
    /// True for a stopped process, whose clock keeps running; false for a suspended machine, whose monotonic clock
    /// stops.
    pub clock_runs: bool,
}

struct Daemon {
    core: MembershipCore,
    pause: Option<Pause>,
    boot_at: Duration,
    stops_at: Duration,
    phase: u64,
}

impl Daemon {
    fn runs(&self, now: Duration) -> bool {
        let paused =
            |pause: Pause| (pause.starts_at..pause.starts_at + pause.duration).contains(&now);
        (self.boot_at..self.stops_at).contains(&now) && !self.pause.is_some_and(paused)
    }

    /// Returns the daemon's own clock, without the time of suspensions.
    fn clock(&self, now: Duration) -> Duration {
        let suspension = self
            .pause
            .filter(|pause| !pause.clock_runs && now >= pause.starts_at);
        now - suspension.map_or(Duration::ZERO, |pause| pause.duration)
    }
}

/// The simulated daemons and their network.
pub struct Fleet {
    daemons: Vec<Daemon>,
    partition: Option<Partition>,
    in_flight: VecDeque<(Duration, OutgoingDatagram)>,
    random: SmallRng,
    now: Duration,
    /// Bytes sent by all daemons.
    pub bytes: usize,
    /// Datagrams sent by all daemons.
    pub datagrams: usize,
    /// Join datagrams sent by all daemons.
    pub joins: usize,
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

#[allow(dead_code)]
impl Fleet {
    /// Creates `size` daemons that start at random times within `spread`; three of them, spread over the fleet, are
    /// seeds.
    pub fn new(size: usize, spread: Duration) -> Self {
        Self::with_seeds(size, spread, &[0, size / 3, size * 2 / 3])
    }

    /// Creates a fleet whose seeds are the daemons with these indexes.
    pub fn with_seeds(size: usize, spread: Duration, seeds: &[usize]) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|index| address(*index)).collect();
        let mut random = SmallRng::seed_from_u64(11);
        let daemons = (0..size).map(|index| Daemon {
            core: MembershipCore::new(MembershipSettings::quick(), record(index))
                .with_seeds(seeds.clone()),
            pause: None,
            boot_at: random.random_range(Duration::ZERO..spread),
            stops_at: Duration::MAX,
            phase: random.random_range(0..TICK_STEPS),
        });
        Self {
            daemons: daemons.collect(),
            partition: None,
            in_flight: VecDeque::new(),
            random,
            now: Duration::ZERO,
            bytes: 0,
            datagrams: 0,
            joins: 0,
        }
    }

    /// Reseeds the random generator.
    pub fn reseed(&mut self, seed: u64) {
        self.random = SmallRng::seed_from_u64(seed);
    }

    /// Sets the partition of the network.
    pub fn set_partition(&mut self, partition: Partition) {
        self.partition = Some(partition);
    }

    /// Makes a daemon crash at `time`.
    pub fn stop_at(&mut self, index: usize, time: Duration) {
        self.daemons[index].stops_at = time;
    }

    /// Sets the pause of a daemon.
    pub fn pause(&mut self, index: usize, pause: Pause) {
        self.daemons[index].pause = Some(pause);
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingDatagram>) {
        for sent in outgoing {
            self.bytes += encode(&sent.datagram).len();
            self.datagrams += 1;
            self.joins += usize::from(sent.datagram.kind == DatagramKind::Join as i32);
            let lost = self.random.random_range(0..100) < LOSS_PERCENT;
            let to = index_of(&sent.address);
            let partition = self.partition.as_ref();
            let dropped = partition.is_some_and(|partition| partition.drops(from, to, self.now));
            if !lost && !dropped {
                self.in_flight.push_back((self.now + STEP, sent));
            }
        }
    }

    fn deliver(&mut self) {
        while self
            .in_flight
            .front()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let Some((_, sent)) = self.in_flight.pop_front() else {
                return;
            };
            let now = self.now;
            let index = index_of(&sent.address);
            let daemon = &mut self.daemons[index];
            if daemon.runs(now) {
                let clock = daemon.clock(now);
                let (replies, _) = daemon.core.receive(&sent.datagram, clock);
                self.send(index, replies);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let clock = daemon.clock(now);
        let outgoing = daemon.core.tick(clock, &mut self.random);
        self.send(index, outgoing);
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: Duration) {
        let mut step = u64::try_from(self.now.as_millis() / STEP.as_millis()).unwrap_or(0);
        while self.now < end {
            self.now += STEP;
            step += 1;
            self.deliver();
            for index in 0..self.daemons.len() {
                let daemon = &self.daemons[index];
                let due = step % TICK_STEPS == daemon.phase;
                if due && daemon.runs(self.now) {
                    self.tick(index);
                }
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter(|daemon| daemon.runs(self.now))
    }

    /// Returns the size of the smallest view of a running daemon.
    pub fn smallest_view(&self) -> usize {
        let sizes = self.running();
        let sizes = sizes.map(|daemon| daemon.core.view().members.len());
        sizes.min().unwrap_or(0)
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the size of the largest view of these daemons.
    pub fn largest_view(&self, daemons: std::ops::Range<usize>) -> usize {
        let sizes = self.daemons[daemons].iter();
        let sizes = sizes.map(|daemon| daemon.core.view().members.len());
        sizes.max().unwrap_or(0)
    }

    /// True if each running daemon's view contains exactly the running daemons.
    pub fn is_complete(&self) -> bool {
        let size = self.running().count();
        self.running().all(|daemon| {
            let view = daemon.core.view();
            view.members.len() == size
                && self
                    .running()
                    .all(|other| view.member(other.core.id()).is_some())
        })
    }

    /// Runs until all views are complete and returns the seconds it took; `None` after `timeout`.
    pub fn seconds_until_complete(&mut self, timeout: Duration) -> Option<f64> {
        let begin = self.now;
        while !self.is_complete() {
            if self.now >= begin + timeout {
                return None;
            }
            self.run_until(self.now + POLL_INTERVAL);
        }
        Some((self.now - begin).as_secs_f64())
    }

    /// Resets the traffic counters.
    pub fn reset_counters(&mut self) {
        (self.bytes, self.datagrams, self.joins) = (0, 0, 0);
    }

    /// Returns the mean number of bytes sent per daemon.
    pub fn bytes_per_daemon(&self) -> usize {
        self.bytes / self.daemons.len()
    }
}
