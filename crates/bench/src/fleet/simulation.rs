//! The event loop of the hollow fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use harrierward_config::{
    ASK_POLLER_AFTER, ASK_POLLER_EVERY, CONFIG_FAN_OUT, ConfigReplica, FreshnessBounds,
    Observation, POLLERS_A_ZONE,
};
use harrierward_membership::{Action, ConfigWord, MembershipCore, MembershipSettings};
use harrierward_routing::rank_by_rendezvous;
use harrierward_wire::{
    ConfigChange, ConfigDeltaReply, ConfigLogEntry, Datagram, MemberRecord, MemberState,
    NodeDatagram, decode, encode, node_datagram,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::links::Placement;

const TICK_MICROS: u64 = 100_000;

/// Overhead of UDP and IP headers, bytes, counted with each datagram.
const HEADER_BYTES: usize = 28;

/// Time of a table call, microseconds.
const TABLE_MICROS: u64 = 4_000;

/// Time between looks whether a scenario has ended.
const LOOK_MICROS: u64 = 500_000;

/// Time between looks whether a change is in force.
const CHANGE_LOOK_MICROS: u64 = 20_000;

/// Longest time that a scenario is waited for, seconds.
const LONGEST_WAIT: f64 = 240.0;

/// Size and chance of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSettings {
    /// Daemons.
    pub daemons: usize,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Seed.
    pub seed: u64,
}

/// What the fleet sent and used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes, headers included.
    pub bytes: u64,
    /// Calls of the table.
    pub table_calls: u64,
    /// Real time of the cores' calls, seconds.
    pub processor_seconds: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Datagram(usize, Vec<u8>),
    /// A daemon's question to a peer arrives there; it holds changes up to the revision.
    Pull {
        from: usize,
        to: usize,
        after: u64,
    },
    Delta(usize, Vec<u8>),
    /// The table answers: newest revision, asked at.
    Polled(usize, u64, Duration),
}

struct Daemon {
    placement: Placement,
    membership: MembershipCore,
    config: ConfigReplica,
    alive: bool,
    asked_poller_at: Duration,
    pulling_until: u64,
    pollers: Vec<usize>,
    bytes_this_second: u64,
    peak_bytes: u64,
    random: StdRng,
}

/// The hollow fleet.
pub struct Fleet {
    settings: FleetSettings,
    daemons: Vec<Daemon>,
    addresses: BTreeMap<String, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    head: u64,
    log: Vec<ConfigLogEntry>,
    cut_region: Option<usize>,
    traffic: Traffic,
    random: StdRng,
    second: u64,
}

fn record(number: usize) -> MemberRecord {
    let placement = Placement::of(number);
    MemberRecord {
        id: format!(
            "10.{}.{}.{}:7000-{number:012x}",
            placement.zone,
            number / 250,
            number % 250
        ),
        udp_address: format!(
            "10.{}.{}.{}:7001",
            placement.zone,
            number / 250,
            number % 250
        ),
        peer_address: format!(
            "10.{}.{}.{}:7000",
            placement.zone,
            number / 250,
            number % 250
        ),
        zone: format!("zone-{}", placement.zone),
        region: format!("region-{}", placement.region),
        incarnation: 1,
        state: MemberState::Alive as i32,
        backlog: Vec::new(),
    }
}

impl Fleet {
    /// A fleet in which everybody knows everybody.
    pub fn new(settings: &FleetSettings) -> Self {
        let records: Vec<MemberRecord> = (0..settings.daemons).map(record).collect();
        let mut fleet = Self {
            settings: *settings,
            daemons: Vec::new(),
            addresses: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            head: 1,
            log: vec![log_entry(1)],
            cut_region: None,
            traffic: Traffic::default(),
            random: StdRng::seed_from_u64(settings.seed),
            second: 0,
        };
        for number in 0..settings.daemons {
            fleet.add(number, &records);
        }
        fleet
    }

    fn add(&mut self, number: usize, records: &[MemberRecord]) {
        let own = record(number);
        self.addresses.insert(own.udp_address.clone(), number);
        let mut membership = MembershipCore::new(MembershipSettings::default(), own);
        membership.preload(records);
        let daemon = Daemon {
            placement: Placement::of(number),
            membership,
            config: ConfigReplica::new(FreshnessBounds::default()),
            alive: true,
            asked_poller_at: Duration::ZERO,
            pulling_until: 0,
            pollers: Vec::new(),
            bytes_this_second: 0,
            peak_bytes: 0,
            random: StdRng::seed_from_u64(self.settings.seed ^ (number as u64 + 1)),
        };
        self.daemons.push(daemon);
        let phase = self.random.random_range(0..TICK_MICROS);
        self.at(self.now + phase, Event::Tick(number));
    }

    fn at(&mut self, micros: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((micros, self.sequence, event)));
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, seconds: f64) {
        self.run_until_true(seconds, |_| false);
    }

    /// Lets time pass until `done`, which is looked at twice a second; the seconds that passed.
    fn run_until_true(&mut self, most: f64, done: impl Fn(&Self) -> bool) -> f64 {
        self.run_looking(most, LOOK_MICROS, done)
    }

    fn run_looking(&mut self, most: f64, look_micros: u64, done: impl Fn(&Self) -> bool) -> f64 {
        let start = self.now;
        let end = start + (most * 1e6) as u64;
        let mut look_at = start;
        while let Some(Reverse((micros, _, _))) = self.queue.peek() {
            let micros = *micros;
            if micros >= look_at {
                if done(self) {
                    return (self.now - start) as f64 / 1e6;
                }
                look_at = micros + look_micros;
            }
            if micros > end {
                break;
            }
            if let Some(Reverse((micros, _, event))) = self.queue.pop() {
                self.now = micros;
                self.close_second();
                self.handle(event);
            }
        }
        self.now = end;
        most
    }

    fn close_second(&mut self) {
        let second = self.now / 1_000_000;
        if second == self.second {
            return;
        }
        self.second = second;
        for daemon in &mut self.daemons {
            daemon.peak_bytes = daemon.peak_bytes.max(daemon.bytes_this_second);
            daemon.bytes_this_second = 0;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(number) => self.tick(number),
            Event::Datagram(to, bytes) => self.receive(to, &bytes),
            Event::Pull { from, to, after } => self.answer_pull(from, to, after),
            Event::Delta(to, bytes) => self.take_delta(to, &bytes),
            Event::Polled(number, head, asked_at) => self.take_poll(number, head, asked_at),
        }
    }

    /// Runs a core's call and counts its real time.
    fn timed<T>(&mut self, call: impl FnOnce(&mut Self) -> T) -> T {
        let started = Instant::now();
        let result = call(self);
        self.traffic.processor_seconds += started.elapsed().as_secs_f64();
        result
    }

    fn tick(&mut self, number: usize) {
        if !self.daemons[number].alive {
            return;
        }
        let now = self.time();
        let actions = self.timed(|fleet| {
            let daemon = &mut fleet.daemons[number];
            daemon
                .membership
                .set_config(config_word(&daemon.config, now));
            let actions = daemon.membership.tick(now, &mut daemon.random);
            if daemon.membership.take_changed() {
                daemon.pollers = pollers(daemon, &fleet.addresses);
            }
            actions
        });
        self.send_all(number, actions);
        self.poll(number, now);
        self.at(self.now + TICK_MICROS, Event::Tick(number));
    }

    fn poll(&mut self, number: usize, now: Duration) {
        let daemon = &mut self.daemons[number];
        let chosen = daemon.pollers.contains(&number);
        if daemon.config.poll_due(now, chosen) {
            daemon.config.polling(now);
            self.traffic.table_calls += 1;
            let head = self.head;
            self.at(self.now + TABLE_MICROS, Event::Polled(number, head, now));
            return;
        }
        let age = daemon.config.proof_age(now);
        let young = age.is_some_and(|age| age < ASK_POLLER_AFTER);
        let lately = now.saturating_sub(daemon.asked_poller_at) < ASK_POLLER_EVERY;
        if chosen || young || lately || daemon.pollers.is_empty() {
            return;
        }
        daemon.asked_poller_at = now;
        let index = daemon.random.random_range(0..daemon.pollers.len());
        let poller = daemon.pollers[index];
        let id = self.daemons[poller].membership.id().to_owned();
        let action = self.daemons[number].membership.probe_member(&id, now);
        self.send_all(number, action.into_iter().collect());
    }

    fn take_poll(&mut self, number: usize, head: u64, asked_at: Duration) {
        let now = self.time();
        let age = now.saturating_sub(asked_at);
        let after = self.daemons[number].config.revision();
        if head > after {
            self.traffic.table_calls += 1;
            let delta = ConfigDeltaReply {
                entries: self.log[after as usize..head as usize].to_vec(),
                revision: head,
                ..ConfigDeltaReply::default()
            };
            self.adopt(number, &delta);
        }
        self.daemons[number].config.observe(now, head, Some(age));
    }

    fn adopt(&mut self, number: usize, delta: &ConfigDeltaReply) {
        let before = self.daemons[number].config.revision();
        self.timed(|fleet| fleet.daemons[number].config.adopt(delta));
        if self.daemons[number].config.revision() > before {
            let now = self.time();
            let actions = self.timed(|fleet| {
                let daemon = &mut fleet.daemons[number];
                daemon
                    .membership
                    .set_config(config_word(&daemon.config, now));
                daemon
                    .membership
                    .spread_config(CONFIG_FAN_OUT, &mut daemon.random)
            });
            self.send_all(number, actions);
        }
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let Some(region) = self.cut_region else {
            return true;
        };
        let cut = |number: usize| self.daemons[number].placement.region == region;
        cut(from) == cut(to)
    }

    fn delay_micros(&self, from: usize, to: usize) -> u64 {
        let placement = self.daemons[from].placement;
        placement.delay_micros(self.daemons[to].placement)
    }

    fn count(&mut self, from: usize, bytes: usize) {
        let bytes = bytes as u64;
        self.traffic.bytes += bytes;
        self.daemons[from].bytes_this_second += bytes;
    }

    fn send_all(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let bytes = self.timed(|_| {
                encode(&NodeDatagram {
                    kind: Some(node_datagram::Kind::Membership(action.datagram)),
                })
            });
            self.traffic.datagrams += 1;
            self.count(from, bytes.len() + HEADER_BYTES);
            let Some(to) = self.addresses.get(&action.address).copied() else {
                continue;
            };
            let lost = self.random.random::<f64>() < self.settings.loss;
            if lost || !self.reachable(from, to) {
                continue;
            }
            let delay = self.delay_micros(from, to);
            self.at(self.now + delay, Event::Datagram(to, bytes));
        }
    }

    fn receive(&mut self, to: usize, bytes: &[u8]) {
        if !self.daemons[to].alive {
            return;
        }
        let now = self.time();
        let received = self.timed(|fleet| {
            let datagram = membership_datagram(bytes)?;
            let daemon = &mut fleet.daemons[to];
            daemon
                .membership
                .set_config(config_word(&daemon.config, now));
            let (actions, word) = daemon.membership.receive(&datagram, now);
            let age = word.answers_probe_of.zip(word.word.proof_age);
            let age = age.map(|(sent_at, age)| now.saturating_sub(sent_at) + age);
            let observation = daemon.config.observe(now, word.word.revision, age);
            Some((actions, observation, datagram.from))
        });
        let Some((actions, observation, from)) = received else {
            return;
        };
        self.send_all(to, actions);
        if observation == Observation::Behind && self.now >= self.daemons[to].pulling_until {
            self.pull(to, &from);
        }
    }

    fn pull(&mut self, from: usize, peer: &str) {
        let Some(address) = self.daemons[from].membership.udp_address(peer) else {
            return;
        };
        let Some(to) = self.addresses.get(&address).copied() else {
            return;
        };
        if !self.reachable(from, to) {
            return;
        }
        let delay = self.delay_micros(from, to);
        self.daemons[from].pulling_until = self.now + delay * 2 + TICK_MICROS;
        self.count(from, HEADER_BYTES * 2);
        let after = self.daemons[from].config.revision();
        self.at(self.now + delay, Event::Pull { from, to, after });
    }

    fn answer_pull(&mut self, from: usize, to: usize, after: u64) {
        if !self.daemons[to].alive || !self.reachable(from, to) {
            return;
        }
        let bytes = self.timed(|fleet| encode(&fleet.daemons[to].config.delta(after)));
        self.count(to, bytes.len() + HEADER_BYTES * 2);
        let delay = self.delay_micros(from, to);
        self.at(self.now + delay, Event::Delta(from, bytes));
    }

    fn take_delta(&mut self, to: usize, bytes: &[u8]) {
        self.daemons[to].pulling_until = 0;
        if let Some(delta) = decode::<ConfigDeltaReply>(bytes) {
            self.adopt(to, &delta);
        }
    }

    /// Forgets what was counted so far.
    pub fn reset_traffic(&mut self) {
        self.traffic = Traffic::default();
        for daemon in &mut self.daemons {
            daemon.peak_bytes = 0;
            daemon.bytes_this_second = 0;
        }
    }

    /// What was counted.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Most bytes a second that a daemon sent since the counters were reset.
    pub fn peak_bytes(&self) -> f64 {
        let peaks = self.daemons.iter().map(|daemon| daemon.peak_bytes);
        peaks.max().unwrap_or_default() as f64
    }

    /// Members that a daemon knows.
    pub fn known(&self, number: usize) -> usize {
        self.daemons[number].membership.known_count()
    }

    /// Oldest proof of freshness of any live daemon, seconds.
    pub fn oldest_proof(&self) -> f64 {
        let now = self.time();
        let live = self.daemons.iter().filter(|daemon| daemon.alive);
        let ages = live.map(|daemon| daemon.config.proof_age(now).unwrap_or(Duration::MAX));
        ages.max().unwrap_or_default().as_secs_f64()
    }

    fn everywhere(&self) -> bool {
        let mut live = self.daemons.iter().filter(|daemon| daemon.alive);
        live.all(|daemon| daemon.config.revision() == self.head)
    }

    /// Accepts changes one after the other at random daemons: median and longest time until each was in force
    /// everywhere.
    pub fn measure_changes(&mut self, count: usize) -> [f64; 2] {
        let mut times = Vec::new();
        for _ in 0..count {
            self.head += 1;
            self.log.push(log_entry(self.head));
            let number = self.random.random_range(0..self.daemons.len());
            let delta = ConfigDeltaReply {
                entries: self.log.clone(),
                revision: self.head,
                ..ConfigDeltaReply::default()
            };
            self.adopt(number, &delta);
            times.push(self.run_looking(LONGEST_WAIT, CHANGE_LOOK_MICROS, Self::everywhere));
            self.run_for(3.0);
        }
        times.sort_by(f64::total_cmp);
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        [median, times.last().copied().unwrap_or_default()]
    }

    /// Daemons of a zone.
    pub fn members_of_zone(&self, zone: usize) -> Vec<usize> {
        let numbers = 0..self.daemons.len();
        numbers
            .filter(|number| self.daemons[*number].placement.zone == zone)
            .collect()
    }

    fn holds_dead(&self, observer: usize, id: &str) -> bool {
        self.daemons[observer]
            .membership
            .state(id)
            .is_none_or(|state| state == MemberState::Dead)
    }

    /// Loses daemons at once: time until the first, and until the last of the others held all of them for dead.
    pub fn measure_loss(&mut self, lost: &[usize]) -> [f64; 2] {
        let ids: Vec<String> = lost
            .iter()
            .map(|number| self.daemons[*number].membership.id().to_owned())
            .collect();
        for number in lost {
            self.daemons[*number].alive = false;
        }
        let sees_all =
            |fleet: &Self, observer: usize| ids.iter().all(|id| fleet.holds_dead(observer, id));
        let live = |fleet: &Self| -> Vec<usize> {
            (0..fleet.daemons.len())
                .filter(|number| fleet.daemons[*number].alive)
                .collect()
        };
        let first = self.run_until_true(LONGEST_WAIT, |fleet| {
            live(fleet)
                .into_iter()
                .any(|observer| sees_all(fleet, observer))
        });
        let rest = self.run_until_true(LONGEST_WAIT, |fleet| {
            live(fleet)
                .into_iter()
                .all(|observer| sees_all(fleet, observer))
        });
        [first, first + rest]
    }

    /// Cuts a region off for a while: time after the end of the cut until every live daemon is in view of all.
    pub fn measure_region_cut(&mut self, region: usize, seconds: f64) -> f64 {
        self.cut_region = Some(region);
        self.run_for(seconds);
        self.cut_region = None;
        self.run_until_true(LONGEST_WAIT, |fleet| {
            let live: Vec<usize> = (0..fleet.daemons.len())
                .filter(|number| fleet.daemons[*number].alive)
                .collect();
            let ids: Vec<&str> = live
                .iter()
                .map(|number| fleet.daemons[*number].membership.id())
                .collect();
            live.iter()
                .all(|observer| ids.iter().all(|id| !fleet.holds_dead(*observer, id)))
        })
    }

    /// Daemons leave and others take their place, spread over `seconds`.
    pub fn rolling_replacement(&mut self, count: usize, seconds: f64) {
        let pause = seconds / count.max(1) as f64;
        for _ in 0..count {
            let live: Vec<usize> = (0..self.daemons.len())
                .filter(|number| self.daemons[*number].alive)
                .collect();
            let leaver = live[self.random.random_range(0..live.len())];
            self.daemons[leaver].membership.leave();
            self.run_for(pause);
            self.daemons[leaver].alive = false;
            let number = self.daemons.len();
            self.add(number, &[]);
            let seeds: Vec<String> = live
                .iter()
                .filter(|number| **number != leaver)
                .take(3)
                .map(|number| record(*number).udp_address)
                .collect();
            let actions = self.daemons[number].membership.join(&seeds);
            self.send_all(number, actions);
        }
    }
}

fn config_word(config: &ConfigReplica, now: Duration) -> ConfigWord {
    ConfigWord {
        revision: config.revision(),
        proof_age: config.proof_age(now),
    }
}

fn membership_datagram(bytes: &[u8]) -> Option<Datagram> {
    match decode::<NodeDatagram>(bytes)?.kind? {
        node_datagram::Kind::Membership(datagram) => Some(datagram),
        _ => None,
    }
}

/// Members of the daemon's zone that ask the table regularly.
fn pollers(daemon: &Daemon, addresses: &BTreeMap<String, usize>) -> Vec<usize> {
    let zone = format!("zone-{}", daemon.placement.zone);
    let view = daemon.membership.view();
    let peers = view
        .members
        .iter()
        .filter(|member| member.zone == zone)
        .map(|member| member.id.as_str());
    let key = format!("config-poller/{zone}");
    rank_by_rendezvous(&key, peers)
        .into_iter()
        .take(POLLERS_A_ZONE)
        .filter_map(|id| daemon.membership.udp_address(id))
        .filter_map(|address| addresses.get(&address).copied())
        .collect()
}

/// A change of the size that a policy has.
fn log_entry(revision: u64) -> ConfigLogEntry {
    const POLICY_BYTES: usize = 600;
    let spec = format!(
        "{{\"name\":\"limits-{revision}\",\"owner\":\"tenant\",\"spec\":{{\"kind\":\"policy\",\"service\":\"s\",\"program\":\"{}\"}}}}",
        "x".repeat(POLICY_BYTES)
    );
    ConfigLogEntry {
        revision,
        operation: format!("operation-{revision}"),
        operator: "tenant".to_owned(),
        at_ms: revision,
        changes: vec![ConfigChange {
            id: format!("policy/limits-{revision}"),
            object: spec,
        }],
    }
}
