//! A cold replica gets no more than it bears from all daemons together, whoever dies, starts, freezes or is cut off, and
//! however late datagrams come; what it bears is given out.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use harrierward_slots::{COLD_GRANT_LIFETIME, ColdPace, ColdPacer, ColdUse};
use harrierward_tenants::{FleetSizes, RateBounds, RateLimit};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const REPLICA: u32 = 7;
const GROUP: u32 = 0;

const BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(1),
    excess: 0.5,
    slack: 5.0,
};

/// Requests a second that the replica bears.
const BEARS: f64 = 2.0;

const STEP: Duration = Duration::from_millis(10);
const TICK_STEPS: u64 = 10;

/// Time in which a member learns that others are gone, back or cut off.
const DETECTED_AFTER: std::ops::Range<u64> = 1_000..2_000;

const DAEMONS: usize = 5;

fn limit(bears: f64) -> RateLimit {
    RateLimit::new(bears, 0.0).expect("a rate")
}

/// What a variant does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Coordinators give out the whole, whatever part of the fleet they see.
    IgnoresShare,
    /// Daemons send what was granted however long ago.
    IgnoresLifetime,
}

struct Daemon {
    pacer: ColdPacer<u32>,
    fleet: FleetSizes,
    view: BTreeSet<usize>,
    refresh_at: Option<Instant>,
    lives: bool,
    frozen_until: Option<Instant>,
    side: usize,
    asks: VecDeque<(usize, Instant)>,
    /// Moments of the questions that were granted.
    granted: VecDeque<Instant>,
}

impl Daemon {
    fn start(side: usize, view: BTreeSet<usize>, now: Instant) -> Self {
        let mut fleet = FleetSizes::new(true, now);
        fleet.observe(view.len(), now);
        Self {
            pacer: ColdPacer::new(now),
            fleet,
            view,
            refresh_at: None,
            lives: true,
            frozen_until: None,
            side,
            asks: VecDeque::new(),
            granted: VecDeque::new(),
        }
    }
}

struct Fleet {
    daemons: Vec<Daemon>,
    now: Instant,
    steps: u64,
    random: SmallRng,
    fault: Fault,
    bears: f64,
    /// Requests of each daemon in a step, on the mean.
    loads: [f64; DAEMONS],
    sent: VecDeque<Instant>,
    most: usize,
    total: usize,
}

impl Fleet {
    fn new(seed: u64, fault: Fault) -> Self {
        let now = Instant::now();
        let view: BTreeSet<usize> = (0..DAEMONS).collect();
        let daemons = (0..DAEMONS).map(|_| Daemon::start(0, view.clone(), now));
        Self {
            daemons: daemons.collect(),
            now,
            steps: 0,
            random: SmallRng::seed_from_u64(seed),
            fault,
            bears: BEARS,
            loads: [0.2; DAEMONS],
            sent: VecDeque::new(),
            most: 0,
            total: 0,
        }
    }

    fn is_awake(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.lives && daemon.frozen_until.is_none()
    }

    /// Everyone learns of a change, each at another moment.
    fn change(&mut self) {
        for daemon in &mut self.daemons {
            let after = Duration::from_millis(self.random.random_range(DETECTED_AFTER));
            daemon.refresh_at.get_or_insert(self.now + after);
        }
    }

    fn strike(&mut self, event: Event) {
        match event {
            Event::Kill(daemon) => self.daemons[daemon].lives = false,
            Event::Start(daemon) => {
                let side = self.daemons[daemon].side;
                let view = self.reachable(side);
                self.daemons[daemon] = Daemon::start(side, view, self.now);
                self.daemons[daemon].view.insert(daemon);
            }
            Event::Cut(daemon) => self.daemons[daemon].side = 1 + daemon,
            Event::Halve(daemon) => {
                for other in 0..daemon {
                    self.daemons[other].side = 1;
                }
            }
            Event::Heal => self.daemons.iter_mut().for_each(|daemon| daemon.side = 0),
            Event::Freeze(daemon, ms) => {
                let until = self.now + Duration::from_millis(ms);
                self.daemons[daemon].frozen_until = Some(until);
            }
        }
        self.change();
    }

    fn reachable(&self, side: usize) -> BTreeSet<usize> {
        let all = 0..DAEMONS;
        all.filter(|other| self.is_awake(*other) && self.daemons[*other].side == side)
            .collect()
    }

    /// The coordinator among the members that a daemon sees.
    fn coordinator(&self, daemon: usize) -> usize {
        let view = self.daemons[daemon].view.iter();
        view.copied().max().unwrap_or(daemon)
    }

    fn refresh(&mut self) {
        for number in 0..DAEMONS {
            let wakes = self.daemons[number].frozen_until;
            if wakes.is_some_and(|at| at <= self.now) {
                self.daemons[number].frozen_until = None;
                self.change();
            }
            let due = self.daemons[number].refresh_at;
            if self.is_awake(number) && due.is_some_and(|at| at <= self.now) {
                let mut view = self.reachable(self.daemons[number].side);
                view.insert(number);
                let daemon = &mut self.daemons[number];
                daemon.fleet.observe(view.len(), self.now);
                daemon.view = view;
                daemon.refresh_at = None;
            }
        }
    }

    fn tick(&mut self) {
        for number in 0..DAEMONS {
            if self.is_awake(number) {
                let own = self.coordinator(number) == number;
                let groups: HashSet<u32> = own.then_some(GROUP).into_iter().collect();
                let daemon = &mut self.daemons[number];
                let share = daemon.fleet.share(daemon.view.len(), self.now);
                daemon.pacer.tick(groups, share, &BOUNDS, self.now);
            }
        }
    }

    fn pace(&mut self, daemon: usize) -> ColdPace {
        let daemon = &mut self.daemons[daemon];
        let share = daemon.fleet.share(daemon.view.len(), self.now);
        let share = daemon.pacer.share(share);
        let share = if self.fault == Fault::IgnoresShare {
            1.0
        } else {
            share
        };
        ColdPace::of(&BOUNDS, limit(self.bears), share)
    }

    fn give(&mut self, coordinator: usize) -> bool {
        let pace = self.pace(coordinator);
        let (now, usage) = (self.now, ColdUse::Online);
        let pacer = &mut self.daemons[coordinator].pacer;
        pacer.has_capacity(&GROUP, REPLICA, pace, usage, &BOUNDS, now)
            && pacer.take(&GROUP, REPLICA, pace, &BOUNDS, now)
    }

    fn send(&mut self, asked_at: Instant) {
        let lapsed = self.now >= asked_at + COLD_GRANT_LIFETIME;
        if lapsed && self.fault != Fault::IgnoresLifetime {
            return;
        }
        self.total += 1;
        self.sent.push_back(self.now);
        let begin = self.now - BOUNDS.window;
        while self.sent.front().is_some_and(|at| *at < begin) {
            self.sent.pop_front();
        }
        self.most = self.most.max(self.sent.len());
    }

    /// A request: asked of the coordinator, whose answer comes now or much later.
    fn request(&mut self, daemon: usize) {
        let coordinator = self.coordinator(daemon);
        if coordinator == daemon {
            if self.give(daemon) {
                self.send(self.now);
            }
        } else if self.daemons[coordinator].lives {
            let asked = (daemon, self.now);
            self.daemons[coordinator].asks.push_back(asked);
        }
    }

    /// Datagrams wait where their receiver is frozen, and otherwise come at any moment.
    fn deliver(&mut self) {
        for number in 0..DAEMONS {
            while self.is_awake(number) && self.random.random_bool(0.7) {
                let Some((from, asked_at)) = self.daemons[number].asks.pop_front() else {
                    break;
                };
                let reaches = self.daemons[from].side == self.daemons[number].side;
                let is_own = self.coordinator(number) == number;
                if reaches && is_own && self.give(number) {
                    self.daemons[from].granted.push_back(asked_at);
                }
            }
            while self.is_awake(number) && self.random.random_bool(0.7) {
                let Some(asked_at) = self.daemons[number].granted.pop_front() else {
                    break;
                };
                self.send(asked_at);
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.steps += 1;
            self.refresh();
            if self.steps.is_multiple_of(TICK_STEPS) {
                self.tick();
            }
            self.deliver();
            for daemon in 0..DAEMONS {
                let mut due = self.loads[daemon];
                while self.is_awake(daemon) && due > 0.0 {
                    if due >= 1.0 || self.random.random_bool(due) {
                        self.request(daemon);
                    }
                    due -= 1.0;
                }
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Kill(usize),
    Start(usize),
    Cut(usize),
    Halve(usize),
    Heal,
    Freeze(usize, u64),
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        daemon.clone().prop_map(Event::Kill),
        daemon.clone().prop_map(Event::Start),
        daemon.clone().prop_map(Event::Cut),
        daemon.clone().prop_map(Event::Halve),
        Just(Event::Heal),
        (daemon, 200_u64..4_000).prop_map(|(daemon, ms)| Event::Freeze(daemon, ms)),
    ]
}

fn play(seed: u64, fault: Fault, events: &[(u64, Event)]) -> usize {
    play_in(Fleet::new(seed, fault), events)
}

fn play_in(mut fleet: Fleet, events: &[(u64, Event)]) -> usize {
    fleet.pass(Duration::from_secs(5));
    for (after, event) in events {
        fleet.pass(Duration::from_millis(*after));
        fleet.strike(*event);
    }
    fleet.pass(Duration::from_secs(5));
    fleet.most
}

fn bound() -> f64 {
    BOUNDS.max_in_window(limit(BEARS))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    #[allow(clippy::cast_precision_loss)]
    fn a_cold_replica_never_gets_more_than_it_bears(
        seed: u64,
        events in prop::collection::vec((0_u64..4_000, event()), 0..12),
    ) {
        let most = play(seed, Fault::None, &events);
        prop_assert!(most as f64 <= bound(), "{most} of {}", bound());
    }

    /// For any rate and bound: what two coordinators give out at once is within the bound, and so is what the sides of
    /// a cut give out.
    #[test]
    fn paces_add_up(
        per_second in 0.0_f64..200.0,
        over in 0.0_f64..2.0,
        slack in 0.0_f64..30.0,
        shares in prop::collection::vec(0.01_f64..1.0, 1..8),
    ) {
        let bounds = RateBounds { window: Duration::from_secs(1), excess: over, slack };
        let limit = RateLimit::new(per_second, 0.0).expect("a rate");
        let most = bounds.max_in_window(limit);
        let counted_over = (bounds.window + COLD_GRANT_LIFETIME).as_secs_f64();
        let given = |share: f64| {
            let pace = ColdPace::of(&bounds, limit, share);
            if pace.burst < 1.0 { 0.0 } else { pace.burst + pace.per_second * counted_over }
        };
        prop_assert!(given(1.0) * 2.0 <= most + 1e-9);
        let all: f64 = shares.iter().sum();
        let sides: f64 = shares.iter().map(|share| given(share / all)).sum();
        prop_assert!(given(1.0) + sides <= most + 1e-9);
    }
}

/// Every daemon is cut off by itself, each takes itself for the coordinator: the variant gives out the whole at each.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_variant_that_ignores_what_part_of_the_fleet_it_sees_is_caught() {
    let events: Vec<(u64, Event)> = (0..DAEMONS - 1)
        .map(|daemon| (0, Event::Cut(daemon)))
        .collect();
    let most = |fault| (0..8).map(|seed| play(seed, fault, &events)).max();
    assert!(most(Fault::None).expect("plays") as f64 <= bound());
    assert!(most(Fault::IgnoresShare).expect("plays") as f64 > bound());
}

/// An asker freezes while a busy coordinator goes on to answer what it asked, and wakes with all of that.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_variant_that_sends_what_was_granted_long_ago_is_caught() {
    const BUSY: f64 = 20.0;
    let mut loads = [0.0; DAEMONS];
    loads[0] = 6.0;
    let events = [(0, Event::Freeze(0, 4_000))];
    let most = |fault| {
        let plays = (0..8).map(|seed| {
            let fleet = Fleet {
                bears: BUSY,
                loads,
                ..Fleet::new(seed, fault)
            };
            play_in(fleet, &events)
        });
        plays.max().expect("plays") as f64
    };
    let bound = BOUNDS.max_in_window(limit(BUSY));
    assert!(most(Fault::None) <= bound);
    let unsafe_one = most(Fault::IgnoresLifetime);
    assert!(unsafe_one > bound, "{unsafe_one} of {bound}");
}

/// In calm, what one coordinator may give out is given out.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_cold_replica_gets_what_it_bears() {
    let mut fleet = Fleet::new(1, Fault::None);
    fleet.pass(Duration::from_secs(5));
    let before = fleet.total;
    fleet.pass(Duration::from_secs(10));
    let per_second = (fleet.total - before) as f64 / 10.0;
    assert!(per_second > BEARS * 0.9, "{per_second} a second");
}

/// Items take only what online leaves.
#[test]
fn an_item_takes_what_would_be_lost() {
    let start = Instant::now();
    let mut pacer = ColdPacer::new(start);
    let pace = ColdPace::of(&BOUNDS, limit(BEARS), 1.0);
    let at = |ms| start + Duration::from_millis(ms);
    for tick in 0..50 {
        pacer.tick(HashSet::from([GROUP]), 1.0, &BOUNDS, at(tick * 100));
    }
    let has_capacity = |pacer: &mut ColdPacer<u32>, usage, ms| {
        pacer.has_capacity(&GROUP, REPLICA, pace, usage, &BOUNDS, at(ms))
    };
    assert!(has_capacity(&mut pacer, ColdUse::Item, 4_900));
    assert!(pacer.take(&GROUP, REPLICA, pace, &BOUNDS, at(4_900)));
    assert!(has_capacity(&mut pacer, ColdUse::Online, 5_300));
    assert!(!has_capacity(&mut pacer, ColdUse::Item, 5_300));
    assert!(has_capacity(&mut pacer, ColdUse::Item, 5_700));
}

/// A coordinator that has just become one, or stood still, gives out nothing at first.
#[test]
fn a_new_coordinator_waits_until_what_others_gave_out_has_passed() {
    let start = Instant::now();
    let mut pacer = ColdPacer::new(start);
    let pace = ColdPace::of(&BOUNDS, limit(BEARS), 1.0);
    let at = |ms| start + Duration::from_millis(ms);
    let own = || HashSet::from([GROUP]);
    let may = |pacer: &mut ColdPacer<u32>, ms| {
        pacer.has_capacity(&GROUP, REPLICA, pace, ColdUse::Online, &BOUNDS, at(ms))
    };
    for tick in 0..60 {
        pacer.tick(HashSet::new(), 1.0, &BOUNDS, at(tick * 100));
    }
    assert!(!may(&mut pacer, 5_950), "not its group");
    for tick in 60..90 {
        pacer.tick(own(), 1.0, &BOUNDS, at(tick * 100));
        let waited = tick * 100 - 6_000 >= 1_250;
        assert_eq!(
            may(&mut pacer, tick * 100 + 50),
            waited || tick == 72,
            "tick {tick}"
        );
    }
    assert!(!may(&mut pacer, 12_000), "it stood still");
    pacer.tick(own(), 1.0, &BOUNDS, at(12_000));
    assert!(!may(&mut pacer, 12_050));
    for tick in 121..140 {
        pacer.tick(own(), 1.0, &BOUNDS, at(tick * 100));
    }
    assert!(may(&mut pacer, 13_950));
}

/// Members that come back may follow another coordinator for a while, so a larger part counts after a wait only; a
/// smaller one counts at once.
#[test]
fn a_part_of_the_fleet_that_has_grown_counts_after_a_wait() {
    let start = Instant::now();
    let mut pacer: ColdPacer<u32> = ColdPacer::new(start);
    for tick in 0..60_u64 {
        let share = if tick < 20 { 0.25 } else { 1.0 };
        let now = start + Duration::from_millis(tick * 100);
        pacer.tick(HashSet::new(), share, &BOUNDS, now);
        // Seen last at 1,900 ms, and for 1,250 ms after.
        let expected = if tick < 33 { 0.25 } else { 1.0 };
        assert!((pacer.share(share) - expected).abs() < 1e-9, "tick {tick}");
        assert!((pacer.share(0.1) - 0.1).abs() < 1e-9);
    }
}
