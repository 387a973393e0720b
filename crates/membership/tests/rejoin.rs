//! Whom a daemon asks for members, besides those it knows.

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

/// How addresses of many members begin that all answer.
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

/// A daemon whose peer, and the crowd, answer all probes, while nobody else answers.
struct Play {
    core: MembershipCore,
    random: SmallRng,
    now: Duration,
}

impl Play {
    fn new(seeds: &[&str]) -> Self {
        let own = record("own", OWN, MemberState::Alive);
        let seeds = seeds.iter().map(|seed| (*seed).to_owned()).collect();
        Self {
            core: MembershipCore::new(MembershipSettings::quick(), own).with_seeds(seeds),
            random: SmallRng::seed_from_u64(3),
            now: Duration::ZERO,
        }
    }

    fn hear(&mut self, kind: DatagramKind, probe: u64, records: Vec<MemberRecord>) {
        let datagram = Datagram {
            kind: kind as i32,
            from: "peer".to_owned(),
            probe,
            records,
            ..Datagram::default()
        };
        self.core.receive(&datagram, self.now);
    }

    fn hear_of(&mut self, records: Vec<MemberRecord>) {
        self.hear(DatagramKind::Ping, 0, records);
    }

    /// Addresses that are asked for members in that time.
    fn asked_in(&mut self, time: Duration) -> BTreeSet<String> {
        let mut asked = BTreeSet::new();
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for action in self.core.tick(self.now, &mut self.random) {
                let kind = DatagramKind::try_from(action.datagram.kind);
                match kind {
                    Ok(DatagramKind::Join) => {
                        asked.insert(action.address);
                    }
                    Ok(DatagramKind::Ping)
                        if action.address == PEER || is_in_crowd(&action.address) =>
                    {
                        self.hear(DatagramKind::Ack, action.datagram.probe, Vec::new());
                    }
                    _ => {}
                }
            }
        }
        asked
    }
}

/// Time in which a member that does not answer is dead and forgotten, and its address has had many turns.
const FORGOTTEN: Duration = Duration::from_secs(300);

#[test]
fn one_that_was_lost_is_asked_for_an_hour_and_one_that_left_is_not() {
    let mut play = Play::new(&[OWN, PEER]);
    play.hear_of(vec![
        record("peer", PEER, MemberState::Alive),
        record("lost", LOST, MemberState::Alive),
        record("left", LEFT, MemberState::Leaving),
    ]);
    let lost = BTreeSet::from([LOST.to_owned()]);
    assert_eq!(play.asked_in(FORGOTTEN), lost);
    assert_eq!(play.asked_in(FORGOTTEN), lost);
    play.asked_in(Duration::from_secs(3_600));
    assert_eq!(play.asked_in(FORGOTTEN), BTreeSet::new());
}

#[test]
fn the_address_of_a_present_member_is_not_asked() {
    let mut play = Play::new(&[PEER]);
    play.hear_of(vec![
        record("peer", PEER, MemberState::Alive),
        record("earlier", RESTARTED, MemberState::Alive),
    ]);
    assert!(play.asked_in(FORGOTTEN).contains(RESTARTED));
    for _ in 0..100 {
        // It does not answer here, but the peer goes on to hear it.
        let mut later = record("later", RESTARTED, MemberState::Alive);
        later.incarnation = u64::try_from(play.now.as_millis()).unwrap_or(1);
        play.hear_of(vec![later]);
        assert_eq!(play.asked_in(TICK * 5), BTreeSet::new());
    }
}

#[test]
fn a_seed_at_which_nobody_is_known_is_asked_for_as_long_as_that_is_so() {
    let mut play = Play::new(&[PEER, SEED]);
    play.hear_of(vec![record("peer", PEER, MemberState::Alive)]);
    for _ in 0..20 {
        let asked = play.asked_in(FORGOTTEN);
        assert_eq!(asked, BTreeSet::from([SEED.to_owned()]));
    }
}

#[test]
fn a_member_that_is_alone_asks_its_seeds_at_each_tick() {
    let mut play = Play::new(&[PEER, SEED]);
    for _ in 0..50 {
        let asked = play.asked_in(TICK);
        assert_eq!(asked, BTreeSet::from([PEER.to_owned(), SEED.to_owned()]));
    }
}

/// Seconds between asks of a seed, in a fleet of the daemon and so many others.
fn gaps(others: usize) -> Vec<f64> {
    let mut play = Play::new(&[SEED]);
    play.hear_of(crowd(others));
    let mut asked_at = Vec::new();
    while asked_at.len() < 200 {
        if !play.asked_in(TICK).is_empty() {
            asked_at.push(play.now.as_secs_f64());
        }
    }
    asked_at.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// All daemons together ask 50 times a second, a daemon each 2 s at most, and not in step.
#[test]
fn asks_are_rarer_in_a_large_fleet_and_never_regular() {
    for (others, mean) in [(2, 2.0), (70, 2.0), (299, 6.0), (519, 10.4)] {
        let gaps = gaps(others);
        let count = f64::from(u32::try_from(gaps.len()).unwrap_or(u32::MAX));
        let seen = gaps.iter().sum::<f64>() / count;
        assert!((seen / mean - 1.0).abs() < 0.1, "{others} others: {seen} s");
        let (least, most) = gaps.iter().fold((f64::MAX, 0.0_f64), |(least, most), gap| {
            (least.min(*gap), most.max(*gap))
        });
        assert!(least < mean * 0.7, "{others} others: at least {least} s");
        assert!(most > mean * 1.3, "{others} others: at most {most} s");
    }
}
