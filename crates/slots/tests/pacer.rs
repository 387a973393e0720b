//! Simulation of the rate limit at a cold replica: it must hold over all daemons during crashes, starts, pauses,
//! partitions and delayed datagrams, and the rate must be usable.

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

/// Requests per second that the replica sustains.
const SUSTAINED_RATE: f64 = 2.0;

const STEP: Duration = Duration::from_millis(10);
const TICK_STEPS: u64 = 10;

/// Time until a member detects that others departed, returned or were partitioned, milliseconds.
const DETECTION_DELAY: std::ops::Range<u64> = 1_000..2_000;

const DAEMONS: usize = 5;

fn limit(sustained_rate: f64) -> RateLimit {
    RateLimit::new(sustained_rate, 0.0).expect("a rate")
}

/// Deliberate error of a variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Coordinators grant the full rate, whatever share of the fleet they see.
    IgnoresShare,
    /// Daemons send granted requests regardless of the grant's age.
    IgnoresLifetime,
}

struct Daemon {
    pacer: ColdPacer<u32>,
    fleet: FleetSizes,
    view: BTreeSet<usize>,
    refresh_at: Option<Instant>,
    is_alive: bool,
    paused_until: Option<Instant>,
    side: usize,
    queries: VecDeque<(usize, Instant)>,
    /// Query times of the granted requests.
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
            is_alive: true,
            paused_until: None,
            side,
            queries: VecDeque::new(),
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
    sustained_rate: f64,
    /// Mean number of requests of each daemon per step.
    loads: [f64; DAEMONS],
    sent: VecDeque<Instant>,
    max_in_window: usize,
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
            sustained_rate: SUSTAINED_RATE,
            loads: [0.2; DAEMONS],
            sent: VecDeque::new(),
            max_in_window: 0,
            total: 0,
        }
    }

    fn is_running(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.is_alive && daemon.paused_until.is_none()
    }

    /// Schedules the detection of a change at each daemon, at different times.
    fn schedule_refresh(&mut self) {
        for daemon in &mut self.daemons {
            let after = Duration::from_millis(self.random.random_range(DETECTION_DELAY));
            daemon.refresh_at.get_or_insert(self.now + after);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Crash(daemon) => self.daemons[daemon].is_alive = false,
            Event::Start(daemon) => {
                let side = self.daemons[daemon].side;
                let view = self.reachable(side);
                self.daemons[daemon] = Daemon::start(side, view, self.now);
                self.daemons[daemon].view.insert(daemon);
            }
            Event::Isolate(daemon) => self.daemons[daemon].side = 1 + daemon,
            Event::Split(daemon) => {
                for other in 0..daemon {
                    self.daemons[other].side = 1;
                }
            }
            Event::Heal => self.daemons.iter_mut().for_each(|daemon| daemon.side = 0),
            Event::Pause(daemon, ms) => {
                let until = self.now + Duration::from_millis(ms);
                self.daemons[daemon].paused_until = Some(until);
            }
        }
        self.schedule_refresh();
    }

    fn reachable(&self, side: usize) -> BTreeSet<usize> {
        let all = 0..DAEMONS;
        all.filter(|other| self.is_running(*other) && self.daemons[*other].side == side)
            .collect()
    }

    /// Returns the coordinator among the members in a daemon's view.
    fn coordinator(&self, daemon: usize) -> usize {
        let view = self.daemons[daemon].view.iter();
        view.copied().max().unwrap_or(daemon)
    }

    fn refresh(&mut self) {
        for number in 0..DAEMONS {
            let paused_until = self.daemons[number].paused_until;
            if paused_until.is_some_and(|at| at <= self.now) {
                self.daemons[number].paused_until = None;
                self.schedule_refresh();
            }
            let due = self.daemons[number].refresh_at;
            if self.is_running(number) && due.is_some_and(|at| at <= self.now) {
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
            if self.is_running(number) {
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
        ColdPace::of(&BOUNDS, limit(self.sustained_rate), share)
    }

    fn grant(&mut self, coordinator: usize) -> bool {
        let pace = self.pace(coordinator);
        let (now, usage) = (self.now, ColdUse::Online);
        let pacer = &mut self.daemons[coordinator].pacer;
        pacer.has_capacity(&GROUP, REPLICA, pace, usage, &BOUNDS, now)
            && pacer.take(&GROUP, REPLICA, pace, &BOUNDS, now)
    }

    fn send(&mut self, queried_at: Instant) {
        let expired = self.now >= queried_at + COLD_GRANT_LIFETIME;
        if expired && self.fault != Fault::IgnoresLifetime {
            return;
        }
        self.total += 1;
        self.sent.push_back(self.now);
        let begin = self.now - BOUNDS.window;
        while self.sent.front().is_some_and(|at| *at < begin) {
            self.sent.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.sent.len());
    }

    /// Sends a request: granted locally, or queried from the coordinator, whose reply may be late.
    fn request(&mut self, daemon: usize) {
        let coordinator = self.coordinator(daemon);
        if coordinator == daemon {
            if self.grant(daemon) {
                self.send(self.now);
            }
        } else if self.daemons[coordinator].is_alive {
            let query = (daemon, self.now);
            self.daemons[coordinator].queries.push_back(query);
        }
    }

    /// Delivers datagrams after random delays; those for a paused daemon wait.
    fn deliver(&mut self) {
        for number in 0..DAEMONS {
            while self.is_running(number) && self.random.random_bool(0.7) {
                let Some((from, queried_at)) = self.daemons[number].queries.pop_front() else {
                    break;
                };
                let reaches = self.daemons[from].side == self.daemons[number].side;
                let is_own = self.coordinator(number) == number;
                if reaches && is_own && self.grant(number) {
                    self.daemons[from].granted.push_back(queried_at);
                }
            }
            while self.is_running(number) && self.random.random_bool(0.7) {
                let Some(queried_at) = self.daemons[number].granted.pop_front() else {
                    break;
                };
                self.send(queried_at);
            }
        }
    }

    fn advance(&mut self, time: Duration) {
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
                while self.is_running(daemon) && due > 0.0 {
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
    Crash(usize),
    Start(usize),
    Isolate(usize),
    Split(usize),
    Heal,
    Pause(usize, u64),
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        daemon.clone().prop_map(Event::Crash),
        daemon.clone().prop_map(Event::Start),
        daemon.clone().prop_map(Event::Isolate),
        daemon.clone().prop_map(Event::Split),
        Just(Event::Heal),
        (daemon, 200_u64..4_000).prop_map(|(daemon, ms)| Event::Pause(daemon, ms)),
    ]
}

fn run(seed: u64, fault: Fault, events: &[(u64, Event)]) -> usize {
    run_fleet(Fleet::new(seed, fault), events)
}

fn run_fleet(mut fleet: Fleet, events: &[(u64, Event)]) -> usize {
    fleet.advance(Duration::from_secs(5));
    for (after, event) in events {
        fleet.advance(Duration::from_millis(*after));
        fleet.apply(*event);
    }
    fleet.advance(Duration::from_secs(5));
    fleet.max_in_window
}

fn bound() -> f64 {
    BOUNDS.max_in_window(limit(SUSTAINED_RATE))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    #[allow(clippy::cast_precision_loss)]
    fn a_cold_replica_never_exceeds_its_rate(
        seed: u64,
        events in prop::collection::vec((0_u64..4_000, event()), 0..12),
    ) {
        let max_in_window = run(seed, Fault::None, &events);
        prop_assert!(max_in_window as f64 <= bound(), "{max_in_window} of {}", bound());
    }

    /// Two concurrent coordinators together, and all sides of a partition together, must stay within the bound.
    #[test]
    fn paces_of_all_coordinators_stay_within_the_bound(
        per_second in 0.0_f64..200.0,
        over in 0.0_f64..2.0,
        slack in 0.0_f64..30.0,
        shares in prop::collection::vec(0.01_f64..1.0, 1..8),
    ) {
        let bounds = RateBounds { window: Duration::from_secs(1), excess: over, slack };
        let limit = RateLimit::new(per_second, 0.0).expect("a rate");
        let max_in_window = bounds.max_in_window(limit);
        let counted_over = (bounds.window + COLD_GRANT_LIFETIME).as_secs_f64();
        let granted_total = |share: f64| {
            let pace = ColdPace::of(&bounds, limit, share);
            if pace.burst < 1.0 { 0.0 } else { pace.burst + pace.per_second * counted_over }
        };
        prop_assert!(granted_total(1.0) * 2.0 <= max_in_window + 1e-9);
        let all: f64 = shares.iter().sum();
        let sides: f64 = shares.iter().map(|share| granted_total(share / all)).sum();
        prop_assert!(granted_total(1.0) + sides <= max_in_window + 1e-9);
    }
}

/// Each isolated daemon considers itself the coordinator; granting the full rate at each must exceed the bound.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_variant_that_ignores_its_share_of_the_fleet_is_detected() {
    let events: Vec<(u64, Event)> = (0..DAEMONS - 1)
        .map(|daemon| (0, Event::Isolate(daemon)))
        .collect();
    let max_in_window = |fault| (0..8).map(|seed| run(seed, fault, &events)).max();
    assert!(max_in_window(Fault::None).expect("runs") as f64 <= bound());
    assert!(max_in_window(Fault::IgnoresShare).expect("runs") as f64 > bound());
}

/// A requester paused while its coordinator grants its queries must not send all of them when it resumes.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_variant_that_ignores_the_grant_lifetime_is_detected() {
    const BUSY: f64 = 20.0;
    let mut loads = [0.0; DAEMONS];
    loads[0] = 6.0;
    let events = [(0, Event::Pause(0, 4_000))];
    let max_in_window = |fault| {
        let runs = (0..8).map(|seed| {
            let fleet = Fleet {
                sustained_rate: BUSY,
                loads,
                ..Fleet::new(seed, fault)
            };
            run_fleet(fleet, &events)
        });
        runs.max().expect("runs") as f64
    };
    let bound = BOUNDS.max_in_window(limit(BUSY));
    assert!(max_in_window(Fault::None) <= bound);
    let max_without_lifetime = max_in_window(Fault::IgnoresLifetime);
    assert!(
        max_without_lifetime > bound,
        "{max_without_lifetime} of {bound}"
    );
}

/// The limit must not keep the replica below its rate in a healthy fleet.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_cold_replica_receives_its_rate() {
    let mut fleet = Fleet::new(1, Fault::None);
    fleet.advance(Duration::from_secs(5));
    let before = fleet.total;
    fleet.advance(Duration::from_secs(10));
    let per_second = (fleet.total - before) as f64 / 10.0;
    assert!(per_second > SUSTAINED_RATE * 0.9, "{per_second} a second");
}

/// Batch items must leave tokens to online requests.
#[test]
fn a_batch_item_takes_only_overflowing_tokens() {
    let start = Instant::now();
    let mut pacer = ColdPacer::new(start);
    let pace = ColdPace::of(&BOUNDS, limit(SUSTAINED_RATE), 1.0);
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

/// A coordinator that is new or was stalled must not grant what its predecessor may have granted already.
#[test]
fn a_new_coordinator_waits_for_the_handover_delay() {
    let start = Instant::now();
    let mut pacer = ColdPacer::new(start);
    let pace = ColdPace::of(&BOUNDS, limit(SUSTAINED_RATE), 1.0);
    let at = |ms| start + Duration::from_millis(ms);
    let own = || HashSet::from([GROUP]);
    let is_granted = |pacer: &mut ColdPacer<u32>, ms| {
        pacer.has_capacity(&GROUP, REPLICA, pace, ColdUse::Online, &BOUNDS, at(ms))
    };
    for tick in 0..60 {
        pacer.tick(HashSet::new(), 1.0, &BOUNDS, at(tick * 100));
    }
    assert!(!is_granted(&mut pacer, 5_950), "not its group");
    for tick in 60..90 {
        pacer.tick(own(), 1.0, &BOUNDS, at(tick * 100));
        // The check 50 ms after tick 72 comes exactly at the end of the delay.
        let waited = tick * 100 - 6_000 >= 1_250;
        assert_eq!(
            is_granted(&mut pacer, tick * 100 + 50),
            waited || tick == 72,
            "tick {tick}"
        );
    }
    assert!(!is_granted(&mut pacer, 12_000), "it was stalled");
    pacer.tick(own(), 1.0, &BOUNDS, at(12_000));
    assert!(!is_granted(&mut pacer, 12_050));
    for tick in 121..140 {
        pacer.tick(own(), 1.0, &BOUNDS, at(tick * 100));
    }
    assert!(is_granted(&mut pacer, 13_950));
}

/// A grown share must count after a delay, as returned members may follow another coordinator; a smaller one at once.
#[test]
fn a_grown_share_counts_after_the_handover_delay() {
    let start = Instant::now();
    let mut pacer: ColdPacer<u32> = ColdPacer::new(start);
    for tick in 0..60_u64 {
        let share = if tick < 20 { 0.25 } else { 1.0 };
        let now = start + Duration::from_millis(tick * 100);
        pacer.tick(HashSet::new(), share, &BOUNDS, now);
        // The smaller share was last seen at 1,900 ms and counts for 1,250 ms more.
        let expected = if tick < 33 { 0.25 } else { 1.0 };
        assert!((pacer.share(share) - expected).abs() < 1e-9, "tick {tick}");
        assert!((pacer.share(0.1) - 0.1).abs() < 1e-9);
    }
}
