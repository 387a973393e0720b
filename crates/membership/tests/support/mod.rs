//! A fleet on virtual time: cores, a network that loses datagrams and can be cut, and what the daemons' driver does.

use std::collections::VecDeque;
use std::time::Duration;

use harrierward_membership::{Action, MembershipCore, MembershipSettings};
use harrierward_wire::{DatagramKind, MemberRecord, MemberState, encode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Granularity of the simulation; a datagram takes one step.
const STEP: Duration = Duration::from_millis(10);

/// Steps between two ticks of a member, as the daemon's driver has it.
const TICK_STEPS: u64 = 10;

/// Datagrams lost of a hundred.
const LOSS_PERCENT: u32 = 1;

/// How often [`Fleet::seconds_until_whole`] looks.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What a cut holds back between two parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum CutKind {
    /// All datagrams.
    BothWays,
    /// Those from a part with a lower number to one with a higher number.
    OneWay,
    /// All, by turns: so long, and then nothing for as long.
    Flapping(Duration),
}

/// A cut between parts of the fleet.
#[derive(Debug, Clone)]
pub struct Cut {
    /// What is held back.
    pub kind: CutKind,
    /// When it begins.
    pub begins: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Part of each daemon.
    pub part_of: Vec<usize>,
}

impl Cut {
    /// When it is over.
    pub fn ends(&self) -> Duration {
        self.begins + self.lasts
    }

    fn holds_back(&self, from: usize, to: usize, now: Duration) -> bool {
        let (from, to) = (self.part_of[from], self.part_of[to]);
        if from == to || now < self.begins || now >= self.ends() {
            return false;
        }
        match self.kind {
            CutKind::BothWays => true,
            CutKind::OneWay => from < to,
            CutKind::Flapping(turn) => {
                let turns = (now - self.begins).as_millis() / turn.as_millis();
                turns.is_multiple_of(2)
            }
        }
    }
}

/// A time in which a daemon does nothing and hears nothing.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// When it begins.
    pub begins: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The daemon's clock goes on, as if its process were stopped; else it stands, as the steady clock does while a machine is
    /// suspended.
    pub clock_goes_on: bool,
}

struct Daemon {
    core: MembershipCore,
    pause: Option<Pause>,
    starts_at: Duration,
    stops_at: Duration,
    phase: u64,
}

impl Daemon {
    fn runs(&self, now: Duration) -> bool {
        let paused = |pause: Pause| (pause.begins..pause.begins + pause.lasts).contains(&now);
        (self.starts_at..self.stops_at).contains(&now) && !self.pause.is_some_and(paused)
    }

    /// What the daemon's clock says while it runs.
    fn clock(&self, now: Duration) -> Duration {
        let stood = self
            .pause
            .filter(|pause| !pause.clock_goes_on && now >= pause.begins);
        now - stood.map_or(Duration::ZERO, |pause| pause.lasts)
    }
}

/// The daemons and their network.
pub struct Fleet {
    daemons: Vec<Daemon>,
    cut: Option<Cut>,
    under_way: VecDeque<(Duration, Action)>,
    random: SmallRng,
    now: Duration,
    /// Bytes sent by all.
    pub bytes: usize,
    /// Datagrams sent by all.
    pub datagrams: usize,
    /// Those among them that ask an address for members.
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
    /// `size` daemons that start at random moments of `spread`; three of them, far apart, are seeds.
    pub fn new(size: usize, spread: Duration) -> Self {
        Self::with_seeds(size, spread, &[0, size / 3, size * 2 / 3])
    }

    /// The same with the seeds at the addresses of the daemons with these numbers.
    pub fn with_seeds(size: usize, spread: Duration, seeds: &[usize]) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|index| address(*index)).collect();
        let mut random = SmallRng::seed_from_u64(11);
        let daemons = (0..size).map(|index| Daemon {
            core: MembershipCore::new(MembershipSettings::quick(), record(index))
                .with_seeds(seeds.clone()),
            pause: None,
            starts_at: random.random_range(Duration::ZERO..spread),
            stops_at: Duration::MAX,
            phase: random.random_range(0..TICK_STEPS),
        });
        Self {
            daemons: daemons.collect(),
            cut: None,
            under_way: VecDeque::new(),
            random,
            now: Duration::ZERO,
            bytes: 0,
            datagrams: 0,
            joins: 0,
        }
    }

    /// Draws anew from this seed.
    pub fn draw_from(&mut self, seed: u64) {
        self.random = SmallRng::seed_from_u64(seed);
    }

    /// Lets the network be cut.
    pub fn set_cut(&mut self, cut: Cut) {
        self.cut = Some(cut);
    }

    /// Lets a daemon end without a word at that time.
    pub fn stop_at(&mut self, index: usize, time: Duration) {
        self.daemons[index].stops_at = time;
    }

    /// Lets a daemon pause.
    pub fn pause(&mut self, index: usize, pause: Pause) {
        self.daemons[index].pause = Some(pause);
    }

    fn send(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            self.bytes += encode(&action.datagram).len();
            self.datagrams += 1;
            self.joins += usize::from(action.datagram.kind == DatagramKind::Join as i32);
            let lost = self.random.random_range(0..100) < LOSS_PERCENT;
            let to = index_of(&action.address);
            let cut = self.cut.as_ref();
            let held_back = cut.is_some_and(|cut| cut.holds_back(from, to, self.now));
            if !lost && !held_back {
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
            let index = index_of(&action.address);
            let daemon = &mut self.daemons[index];
            if daemon.runs(now) {
                let clock = daemon.clock(now);
                let (answers, _) = daemon.core.receive(&action.datagram, clock);
                self.send(index, answers);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let clock = daemon.clock(now);
        let actions = daemon.core.tick(clock, &mut self.random);
        self.send(index, actions);
    }

    /// Lets time pass until `end`.
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

    /// The least number of members that any daemon knows.
    pub fn smallest_view(&self) -> usize {
        let sizes = self.running();
        let sizes = sizes.map(|daemon| daemon.core.view().members.len());
        sizes.min().unwrap_or(0)
    }

    /// Time since the first start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The most members that any of these daemons knows.
    pub fn largest_view(&self, daemons: std::ops::Range<usize>) -> usize {
        let sizes = self.daemons[daemons].iter();
        let sizes = sizes.map(|daemon| daemon.core.view().members.len());
        sizes.max().unwrap_or(0)
    }

    /// True if each running daemon's view holds just the running daemons.
    pub fn is_whole(&self) -> bool {
        let size = self.running().count();
        self.running().all(|daemon| {
            let view = daemon.core.view();
            view.members.len() == size
                && self
                    .running()
                    .all(|other| view.member(other.core.id()).is_some())
        })
    }

    /// Lets time pass until the views are whole, at most so long; the seconds that it took.
    pub fn seconds_until_whole(&mut self, most: Duration) -> Option<f64> {
        let begin = self.now;
        while !self.is_whole() {
            if self.now >= begin + most {
                return None;
            }
            self.run_until(self.now + LOOK_EVERY);
        }
        Some((self.now - begin).as_secs_f64())
    }

    /// Counts from here on what is sent.
    pub fn count_anew(&mut self) {
        (self.bytes, self.datagrams, self.joins) = (0, 0, 0);
    }

    /// Bytes sent, per daemon.
    pub fn bytes_a_daemon(&self) -> usize {
        self.bytes / self.daemons.len()
    }
}
