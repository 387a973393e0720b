//! Guards against joins that are missing, sent to needless addresses, or synchronized between daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use harrierward_membership::{MembershipCore, MembershipSettings};
use harrierward_wire::{Datagram, DatagramKind, MemberRecord, MemberState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK: Duration = Duration::from_millis(100);

const OWN: &str = "10.0.0.1:1";
const PEER: &str = "10.0.0.2:1";
const LOST: &str = "10.0.0.3:1";
const LEFT: &str = "10.0.0.4:1";
const RESTARTED: &str = "10.0.0.5:1";
const SEED: &str = "10.0.0.6:1";

/// Prefix of the addresses of members that acknowledge all probes.
const CROWD: &str = "10.1.";

fn record(id: &str, address: &str, state: MemberState) -> MemberRecord {
    MemberRecord {
        id: id.to_owned(),
        udp_address: address.to_owned(),
        incarnation: 1,
        state: state as i32,
        ..MemberRecord::default()
    }
}

fn crowd(size: usize) -> Vec<MemberRecord> {
    let member = |number: usize| {
        let address = format!("{CROWD}{}.{}:1", number / 100, number % 100);
        record(&format!("crowd-{number}"), &address, MemberState::Alive)
    };
    (0..size).map(member).collect()
}

fn is_in_crowd(address: &str) -> bool {
    address.starts_with(CROWD)
}

/// A daemon whose probes only the peer and the crowd acknowledge.
struct Simulation {
    core: MembershipCore,
    random: SmallRng,
    now: Duration,
}

impl Simulation {
    fn new(seeds: &[&str]) -> Self {
        let own = record("own", OWN, MemberState::Alive);
        let seeds = seeds.iter().map(|seed| (*seed).to_owned()).collect();
        Self {
            core: MembershipCore::new(MembershipSettings::quick(), own).with_seeds(seeds),
            random: SmallRng::seed_from_u64(3),
            now: Duration::ZERO,
        }
    }

    fn receive_from_peer(&mut self, kind: DatagramKind, probe: u64, records: Vec<MemberRecord>) {
        let datagram = Datagram {
            kind: kind as i32,
            from: "peer".to_owned(),
            probe,
            records,
            ..Datagram::default()
        };
        self.core.receive(&datagram, self.now);
    }

    fn receive_records(&mut self, records: Vec<MemberRecord>) {
        self.receive_from_peer(DatagramKind::Ping, 0, records);
    }

    /// Runs for `time` and returns the addresses that got a join.
    fn joins_within(&mut self, time: Duration) -> BTreeSet<String> {
        let mut joined = BTreeSet::new();
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for sent in self.core.tick(self.now, &mut self.random) {
                let kind = DatagramKind::try_from(sent.datagram.kind);
                match kind {
                    Ok(DatagramKind::Join) => {
                        joined.insert(sent.address);
                    }
                    Ok(DatagramKind::Ping)
                        if sent.address == PEER || is_in_crowd(&sent.address) =>
                    {
                        self.receive_from_peer(DatagramKind::Ack, sent.datagram.probe, Vec::new());
                    }
                    _ => {}
                }
            }
        }
        joined
    }
}

/// Time after which an unresponsive member is forgotten and its address has got joins.
const FORGET_TIME: Duration = Duration::from_secs(300);

#[test]
fn a_lost_member_gets_joins_for_an_hour_and_one_that_left_gets_none() {
    let mut simulation = Simulation::new(&[OWN, PEER]);
    simulation.receive_records(vec![
        record("peer", PEER, MemberState::Alive),
        record("lost", LOST, MemberState::Alive),
        record("left", LEFT, MemberState::Leaving),
    ]);
    let lost = BTreeSet::from([LOST.to_owned()]);
    assert_eq!(simulation.joins_within(FORGET_TIME), lost);
    assert_eq!(simulation.joins_within(FORGET_TIME), lost);
    simulation.joins_within(Duration::from_secs(3_600));
    assert_eq!(simulation.joins_within(FORGET_TIME), BTreeSet::new());
}

#[test]
fn the_address_of_a_present_member_gets_no_join() {
    let mut simulation = Simulation::new(&[PEER]);
    simulation.receive_records(vec![
        record("peer", PEER, MemberState::Alive),
        record("earlier", RESTARTED, MemberState::Alive),
    ]);
    assert!(simulation.joins_within(FORGET_TIME).contains(RESTARTED));
    for _ in 0..100 {
        // It doesn't reply to this daemon, but the peer still reports it alive.
        let mut later = record("later", RESTARTED, MemberState::Alive);
        later.incarnation = u64::try_from(simulation.now.as_millis()).unwrap_or(1);
        simulation.receive_records(vec![later]);
        assert_eq!(simulation.joins_within(TICK * 5), BTreeSet::new());
    }
}

#[test]
fn a_seed_without_a_known_member_gets_joins_indefinitely() {
    let mut simulation = Simulation::new(&[PEER, SEED]);
    simulation.receive_records(vec![record("peer", PEER, MemberState::Alive)]);
    for _ in 0..20 {
        let joined = simulation.joins_within(FORGET_TIME);
        assert_eq!(joined, BTreeSet::from([SEED.to_owned()]));
    }
}

#[test]
fn a_member_that_is_alone_joins_all_seeds_at_each_tick() {
    let mut simulation = Simulation::new(&[PEER, SEED]);
    for _ in 0..50 {
        let joined = simulation.joins_within(TICK);
        assert_eq!(joined, BTreeSet::from([PEER.to_owned(), SEED.to_owned()]));
    }
}

/// Returns the seconds between joins to a seed, in a fleet of the daemon and `others` more.
fn join_gaps(others: usize) -> Vec<f64> {
    let mut simulation = Simulation::new(&[SEED]);
    simulation.receive_records(crowd(others));
    let mut joined_at = Vec::new();
    while joined_at.len() < 200 {
        if !simulation.joins_within(TICK).is_empty() {
            joined_at.push(simulation.now.as_secs_f64());
        }
    }
    joined_at.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// The join interval grows with the fleet, has a minimum, and is jittered.
#[test]
fn joins_are_rarer_in_a_large_fleet_and_jittered() {
    for (others, mean) in [(2, 2.0), (70, 2.0), (299, 6.0), (519, 10.4)] {
        let join_gaps = join_gaps(others);
        let count = f64::from(u32::try_from(join_gaps.len()).unwrap_or(u32::MAX));
        let observed_mean = join_gaps.iter().sum::<f64>() / count;
        assert!(
            (observed_mean / mean - 1.0).abs() < 0.1,
            "{others} others: {observed_mean} s"
        );
        let (min, max) = join_gaps
            .iter()
            .fold((f64::MAX, 0.0_f64), |(min, max), gap| {
                (min.min(*gap), max.max(*gap))
            });
        assert!(min < mean * 0.7, "{others} others: at least {min} s");
        assert!(max > mean * 1.3, "{others} others: at most {max} s");
    }
}
