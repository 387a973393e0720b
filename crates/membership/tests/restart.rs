//! A daemon that is restarted at its address has a new id; its earlier life must soon be dead to all.

use std::time::Duration;

use harrierward_membership::{Action, MembershipCore, MembershipSettings};
use harrierward_wire::{MemberRecord, MemberState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK: Duration = Duration::from_millis(100);

/// Time within which the earlier life must be dead: a probe, its suspicion, and some slack.
const BOUND: Duration = Duration::from_secs(8);

fn record(id: &str, address: &str) -> MemberRecord {
    MemberRecord {
        id: id.to_owned(),
        udp_address: address.to_owned(),
        peer_address: address.to_owned(),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        incarnation: 1,
        state: MemberState::Alive as i32,
        backlog: Vec::new(),
        detached: false,
    }
}

struct Fleet {
    members: Vec<MembershipCore>,
    random: SmallRng,
    now: Duration,
}

impl Fleet {
    fn new(members: Vec<MembershipCore>) -> Self {
        Self {
            members,
            random: SmallRng::seed_from_u64(7),
            now: Duration::ZERO,
        }
    }

    /// Delivers datagrams at once, and the answers to them.
    fn deliver(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let target = self
                .members
                .iter_mut()
                .find(|member| member.own_record().udp_address == action.address);
            if let Some(member) = target {
                let (answers, _) = member.receive(&action.datagram, self.now);
                actions.extend(answers);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.members.len() {
                let actions = self.members[index].tick(self.now, &mut self.random);
                self.deliver(actions);
            }
        }
    }

    fn join(&mut self, index: usize, seed: &str) {
        let actions = self.members[index].join(&[seed.to_owned()]);
        self.deliver(actions);
    }
}

fn member(id: &str, address: &str) -> MembershipCore {
    MembershipCore::new(MembershipSettings::default(), record(id, address))
}

fn lives_at(fleet: &Fleet, index: usize, id: &str) -> bool {
    fleet.members[index].view().member(id).is_some()
}

#[test]
fn an_earlier_life_at_the_same_address_is_dead_to_all() {
    let mut fleet = Fleet::new(vec![
        member("a@1", "10.0.0.1:1"),
        member("b@1", "10.0.0.2:1"),
        member("c@1", "10.0.0.3:1"),
    ]);
    fleet.join(1, "10.0.0.1:1");
    fleet.join(2, "10.0.0.1:1");
    fleet.run(Duration::from_secs(3));
    assert!(lives_at(&fleet, 0, "c@1") && lives_at(&fleet, 1, "c@1"));

    fleet.members[2] = member("c@2", "10.0.0.3:1");
    fleet.join(2, "10.0.0.1:1");
    fleet.run(BOUND);
    for index in 0..3 {
        assert!(
            !lives_at(&fleet, index, "c@1"),
            "member {index} holds the earlier life alive"
        );
        assert!(
            lives_at(&fleet, index, "c@2"),
            "member {index} does not know the new life"
        );
    }
}

/// A member that says it cannot reach the store is detached to all within a few probes, and no more once it can.
#[test]
fn a_detached_member_is_known_as_such_to_all_until_it_is_attached_again() {
    let mut fleet = Fleet::new(vec![
        member("a@1", "10.0.0.1:1"),
        member("b@1", "10.0.0.2:1"),
        member("c@1", "10.0.0.3:1"),
    ]);
    fleet.join(1, "10.0.0.1:1");
    fleet.join(2, "10.0.0.1:1");
    fleet.run(Duration::from_secs(3));
    let is_detached = |fleet: &Fleet, index: usize| {
        let view = fleet.members[index].view();
        view.member("c@1").is_some_and(|member| member.detached)
    };
    for detached in [true, false] {
        fleet.members[2].set_detached(detached);
        fleet.run(Duration::from_secs(4));
        for index in 0..3 {
            assert_eq!(is_detached(&fleet, index), detached, "member {index}");
            assert!(lives_at(&fleet, index, "c@1"));
        }
    }
}
