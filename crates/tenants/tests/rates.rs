//! A tenant's limit holds over all daemons: whoever dies, freezes, is cut off or starts anew, never more requests are
//! admitted in any window than the bounds allow, and what lies within the limit is admitted.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use harrierward_tenants::{
    FleetMemory, RateBounds, RateDecision, RateLedger, RateLimit, TOKEN_LIFETIME, TokenStock,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const TENANT: &str = "ada";

const BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

/// One step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Delay of a datagram, steps.
const DELAY_STEPS: u64 = 1;

/// Time in which members learn that one is gone or cut off.
const DETECTED_AFTER: Duration = Duration::from_millis(1_500);

/// A daemon: what it believes of the fleet, the tokens that it holds and gives out.
struct Daemon {
    ledger: RateLedger,
    stock: TokenStock,
    fleet: FleetMemory,
    view: Vec<usize>,
    silent_until: Option<Instant>,
    lives: bool,
    /// Side of the cut on which it is.
    side: usize,
}

impl Daemon {
    fn start(side: usize, now: Instant) -> Self {
        Self {
            ledger: RateLedger::default(),
            stock: TokenStock::default(),
            fleet: FleetMemory::new(true, now),
            view: Vec::new(),
            silent_until: None,
            lives: true,
            side,
        }
    }
}

struct Ask {
    from: usize,
    to: usize,
    asked_at: Instant,
    arrives: Instant,
}

/// A fleet before one tenant's callers.
struct Fleet {
    daemons: Vec<Daemon>,
    limit: RateLimit,
    now: Instant,
    asks: VecDeque<Ask>,
    changed_at: Option<Instant>,
    admitted: VecDeque<Instant>,
    most_in_window: usize,
    refused: usize,
    unanswered: usize,
    /// Coordinators give out the whole limit, whatever part of the fleet they see: the variant that is not safe.
    ignores_cuts: bool,
}

impl Fleet {
    fn new(size: usize, limit: RateLimit) -> Self {
        let now = Instant::now();
        let view: Vec<usize> = (0..size).collect();
        let daemons = (0..size).map(|_| {
            let mut daemon = Daemon::start(0, now);
            daemon.view.clone_from(&view);
            daemon.fleet.see(size, now);
            daemon
        });
        Self {
            daemons: daemons.collect(),
            limit,
            now,
            asks: VecDeque::new(),
            changed_at: None,
            admitted: VecDeque::new(),
            most_in_window: 0,
            refused: 0,
            unanswered: 0,
            ignores_cuts: false,
        }
    }

    /// The coordinator among the members that a daemon sees: the first of them in a fixed order.
    fn coordinator(&self, daemon: usize) -> usize {
        let members = &self.daemons[daemon].view;
        let weight = |member: &usize| member.wrapping_mul(0x9E37_79B9) % 1_009;
        members.iter().copied().max_by_key(weight).unwrap_or(daemon)
    }

    fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].lives = false;
        self.changed_at = Some(self.now);
    }

    /// A daemon starts anew and knows at once whom it reaches.
    fn start(&mut self, daemon: usize) {
        let side = self.daemons[daemon].side;
        self.daemons[daemon] = Daemon::start(side, self.now);
        self.refresh_views();
    }

    fn cut(&mut self, daemons: &[usize]) {
        for daemon in daemons {
            self.daemons[*daemon].side = 1 + daemon;
        }
        self.changed_at = Some(self.now);
    }

    fn heal(&mut self) {
        for daemon in &mut self.daemons {
            daemon.side = 0;
        }
        self.changed_at = Some(self.now);
    }

    fn refresh_views(&mut self) {
        let reachable: Vec<(usize, bool)> = self
            .daemons
            .iter()
            .map(|one| (one.side, one.lives))
            .collect();
        for daemon in &mut self.daemons {
            let view = reachable.iter().enumerate();
            let view = view.filter(|(_, (side, lives))| *side == daemon.side && *lives);
            daemon.view = view.map(|(number, _)| number).collect();
            daemon.fleet.see(daemon.view.len(), self.now);
        }
        for number in 0..self.daemons.len() {
            let coordinates = self.coordinator(number) == number;
            self.daemons[number].ledger.retain(|_| coordinates);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.daemons[from], &self.daemons[to]);
        from.lives && to.lives && from.side == to.side
    }

    fn give_out(&mut self, coordinator: usize, wanted: u32) -> RateDecision {
        let daemon = &mut self.daemons[coordinator];
        let share = daemon.fleet.share(daemon.view.len(), self.now);
        let share = if self.ignores_cuts { 1.0 } else { share };
        let (limit, now) = (self.limit, self.now);
        daemon
            .ledger
            .take(TENANT, limit, &BOUNDS, share, wanted, now)
    }

    fn admit(&mut self) {
        self.admitted.push_back(self.now);
        let begin = self.now.checked_sub(BOUNDS.window);
        while self.admitted.front() < begin.as_ref() {
            self.admitted.pop_front();
        }
        self.most_in_window = self.most_in_window.max(self.admitted.len());
    }

    fn request(&mut self, daemon: usize) {
        let now = self.now;
        if !self.daemons[daemon].lives {
            return;
        }
        self.daemons[daemon].stock.note_request(now);
        if self.daemons[daemon].stock.take(now) {
            self.admit();
            return;
        }
        if self.daemons[daemon].stock.refusal(now).is_some() {
            self.refused += 1;
            return;
        }
        let coordinator = self.coordinator(daemon);
        if coordinator == daemon {
            match self.give_out(daemon, 1) {
                RateDecision::Granted { .. } => self.admit(),
                RateDecision::Empty { .. } => self.refused += 1,
            }
            return;
        }
        if self.daemons[daemon].silent_until > Some(now) || !self.reaches(daemon, coordinator) {
            self.daemons[daemon].silent_until = Some(now + Duration::from_secs(1));
            self.unanswered += 1;
            return;
        }
        self.asks.push_back(Ask {
            from: daemon,
            to: coordinator,
            asked_at: now,
            arrives: now + STEP * u32::try_from(DELAY_STEPS).expect("a small number"),
        });
    }

    fn answer_asks(&mut self) {
        while self.asks.front().is_some_and(|ask| ask.arrives <= self.now) {
            let Some(ask) = self.asks.pop_front() else {
                return;
            };
            if !self.reaches(ask.from, ask.to) || self.coordinator(ask.to) != ask.to {
                self.unanswered += 1;
                continue;
            }
            let wanted = self.daemons[ask.from].stock.wanted();
            if let Some(seen) = self.daemons[ask.from].fleet.largest(self.now) {
                self.daemons[ask.to].fleet.take(seen);
            }
            match self.give_out(ask.to, wanted) {
                RateDecision::Granted { tokens, .. } => {
                    self.daemons[ask.from].stock.keep(tokens - 1, ask.asked_at);
                    self.admit();
                }
                RateDecision::Empty { retry_after } => {
                    let now = self.now;
                    self.daemons[ask.from].stock.note_refusal(retry_after, now);
                    self.refused += 1;
                }
            }
        }
    }

    /// Lets time pass while the tenant sends so many requests a second, spread over the daemons by `random`.
    fn pass(&mut self, time: Duration, per_second: f64, random: &mut SmallRng) {
        let until = self.now + time;
        let mut due = 0.0;
        while self.now < until {
            self.now += STEP;
            let detected = self.changed_at.map(|at| at + DETECTED_AFTER);
            if detected.is_some_and(|at| self.now >= at) {
                self.changed_at = None;
                self.refresh_views();
            }
            self.answer_asks();
            due += per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                // Shares are uneven: half of the requests come to a quarter of the daemons.
                let part = if random.random() { 4 } else { 1 };
                let daemon = random.random_range(0..self.daemons.len().div_ceil(part));
                self.request(daemon);
            }
        }
    }

    fn bound(&self) -> f64 {
        BOUNDS.most_in_window(self.limit)
    }
}

fn limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit::new(per_second, burst).expect("a limit")
}

#[derive(Debug, Clone)]
enum Event {
    Kill(usize),
    Start(usize),
    Cut(usize),
    Heal,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..12_usize).prop_map(Event::Kill),
        (0..12_usize).prop_map(Event::Start),
        (1..6_usize).prop_map(Event::Cut),
        Just(Event::Heal),
        (200..4_000_u64).prop_map(Event::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::default())]

    /// A tenant that always sends far above its limit, while daemons die, start, are cut off alone and come back.
    #[test]
    fn no_window_has_more_than_the_bound(
        events in proptest::collection::vec(event(), 1..14),
        rate in 2.0..60.0_f64,
        burst in 0.0..60.0_f64,
        seed: u64,
    ) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(12, limit(rate, burst));
        for event in events {
            match event {
                Event::Kill(daemon) => fleet.kill(daemon),
                Event::Start(daemon) => fleet.start(daemon),
                Event::Cut(count) => fleet.cut(&(0..count).collect::<Vec<usize>>()),
                Event::Heal => fleet.heal(),
                Event::Pass(millis) => {
                    fleet.pass(Duration::from_millis(millis), rate * 4.0, &mut random);
                }
            }
        }
        prop_assert!(fleet.most_in_window as f64 <= fleet.bound(), "{} of {}", fleet.most_in_window, fleet.bound());
    }
}

/// Sizes of the fleets: today's shifted site, a sweep's, and the target's.
const FLEETS: [usize; 3] = [61, 300, 520];

#[test]
fn requests_within_the_limit_are_admitted_and_a_flood_is_held_to_it() {
    for size in FLEETS {
        let mut random = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet::new(size, limit(80.0, 80.0));
        // Peaks above the rate, as far as the burst bears them, as callers send them.
        for _ in 0..6 {
            fleet.pass(Duration::from_millis(3_400), 19.0, &mut random);
            fleet.pass(Duration::from_millis(2_400), 93.0, &mut random);
        }
        let sent = 6.0 * (2.4 * 93.0 + 3.4 * 19.0);
        let lost = (fleet.refused + fleet.unanswered) as f64 / sent;
        assert!(
            lost <= 0.01,
            "{size} daemons refuse {lost} of what is allowed"
        );
        fleet.pass(Duration::from_secs(10), 400.0, &mut random);
        let most = fleet.most_in_window as f64;
        assert!(most <= fleet.bound(), "{most} of {}", fleet.bound());
        assert!(most >= 5.0 * 80.0, "{most} are fewer than the limit");
    }
}

/// A third of the fleet is cut off, each daemon alone, while the tenant floods: each side has its share only. The
/// variant in which each side gives out the whole limit shows that the test can fail.
#[test]
fn daemons_that_are_cut_off_have_their_share_and_no_more() {
    let mut most = Vec::new();
    for ignores_cuts in [false, true] {
        let mut random = SmallRng::seed_from_u64(11);
        let mut fleet = Fleet::new(61, limit(80.0, 80.0));
        fleet.ignores_cuts = ignores_cuts;
        fleet.pass(Duration::from_secs(6), 400.0, &mut random);
        fleet.cut(&(0..21).collect::<Vec<usize>>());
        fleet.pass(Duration::from_secs(12), 400.0, &mut random);
        fleet.heal();
        fleet.pass(Duration::from_secs(6), 400.0, &mut random);
        most.push(fleet.most_in_window as f64);
    }
    let bound = BOUNDS.most_in_window(limit(80.0, 80.0));
    assert!(most[0] <= bound, "{} of {bound}", most[0]);
    assert!(most[1] > bound, "the unsafe variant admits {}", most[1]);
}

#[test]
fn the_share_of_members_that_are_gone_is_given_out_after_a_while() {
    let start = Instant::now();
    let mut fleet = FleetMemory::new(true, start);
    fleet.see(61, start);
    fleet.see(40, start + Duration::from_secs(1));
    let share =
        |fleet: &mut FleetMemory, seconds| fleet.share(40, start + Duration::from_secs(seconds));
    assert!((share(&mut fleet, 5) - 40.0 / 61.0).abs() < 1e-9);
    assert!((share(&mut fleet, 25) - 1.0).abs() < 1e-9);
}

/// A daemon that starts behind a cut must not take itself for the whole fleet.
#[test]
fn a_member_that_expects_others_gives_out_nothing_until_it_finds_them_or_has_looked_for_long() {
    let start = Instant::now();
    let mut fleet = FleetMemory::new(true, start);
    fleet.see(1, start);
    assert!(fleet.share(1, start + Duration::from_secs(19)) == 0.0);
    assert!((fleet.share(1, start + Duration::from_secs(21)) - 1.0).abs() < 1e-9);
    let mut joined = FleetMemory::new(true, start);
    joined.see(2, start + Duration::from_secs(1));
    assert!((joined.share(2, start + Duration::from_secs(1)) - 1.0).abs() < 1e-9);
}

#[test]
fn tokens_lapse_from_the_moment_of_the_question_however_late_the_answer_comes() {
    let asked_at = Instant::now();
    let mut stock = TokenStock::default();
    stock.keep(3, asked_at);
    assert!(stock.take(asked_at + TOKEN_LIFETIME - STEP));
    assert!(!stock.take(asked_at + TOKEN_LIFETIME));
    // A daemon that stood still takes the answer to a question of long ago.
    stock.keep(3, asked_at);
    assert!(!stock.take(asked_at + Duration::from_secs(4)));
}

/// Callers that are refused are sent to different moments, and each finds a token at its own.
#[test]
fn refused_callers_find_a_token_when_they_come_back() {
    let start = Instant::now();
    let limit = limit(10.0, 0.0);
    let mut ledger = RateLedger::default();
    let mut returns: Vec<Instant> = Vec::new();
    for _ in 0..40 {
        match ledger.take(TENANT, limit, &BOUNDS, 1.0, 1, start) {
            RateDecision::Granted { .. } => {}
            RateDecision::Empty { retry_after } => returns.push(start + retry_after),
        }
    }
    assert!(returns.len() >= 20, "{} are refused", returns.len());
    let mut moments: HashMap<u128, usize> = HashMap::new();
    for at in returns.iter().take(20) {
        let since = at.saturating_duration_since(start).as_millis();
        *moments.entry(since).or_default() += 1;
        let decision = ledger.take(TENANT, limit, &BOUNDS, 1.0, 1, *at + STEP);
        assert!(
            matches!(decision, RateDecision::Granted { .. }),
            "at {since} ms"
        );
    }
    assert!(moments.values().all(|count| *count == 1), "{moments:?}");
}
