//! Guards against an earlier daemon instance that stays in views after a restart at the same address.

use std::time::Duration;

use harrierward_membership::{MembershipCore, MembershipSettings, OutgoingDatagram};
use harrierward_wire::{MemberRecord, MemberState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK: Duration = Duration::from_millis(100);

/// Maximum time until the earlier instance is dead in all views.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(8);

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

    /// Delivers datagrams and all replies to them without delay.
    fn deliver(&mut self, mut outgoing: Vec<OutgoingDatagram>) {
        while let Some(sent) = outgoing.pop() {
            let target = self
                .members
                .iter_mut()
                .find(|member| member.own_record().udp_address == sent.address);
            if let Some(member) = target {
                let (replies, _) = member.receive(&sent.datagram, self.now);
                outgoing.extend(replies);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.members.len() {
                let outgoing = self.members[index].tick(self.now, &mut self.random);
                self.deliver(outgoing);
            }
        }
    }

    fn join(&mut self, index: usize, seed: &str) {
        let outgoing = self.members[index].join(&[seed.to_owned()]);
        self.deliver(outgoing);
    }
}

fn member(id: &str, address: &str) -> MembershipCore {
    MembershipCore::new(MembershipSettings::default(), record(id, address))
}

fn is_in_view(fleet: &Fleet, index: usize, id: &str) -> bool {
    fleet.members[index].view().member(id).is_some()
}

#[test]
fn an_earlier_instance_at_the_same_address_is_removed_from_all_views() {
    let mut fleet = Fleet::new(vec![
        member("a@1", "10.0.0.1:1"),
        member("b@1", "10.0.0.2:1"),
        member("c@1", "10.0.0.3:1"),
    ]);
    fleet.join(1, "10.0.0.1:1");
    fleet.join(2, "10.0.0.1:1");
    fleet.run(Duration::from_secs(3));
    assert!(is_in_view(&fleet, 0, "c@1") && is_in_view(&fleet, 1, "c@1"));

    fleet.members[2] = member("c@2", "10.0.0.3:1");
    fleet.join(2, "10.0.0.1:1");
    fleet.run(MAX_DETECTION_TIME);
    for index in 0..3 {
        assert!(
            !is_in_view(&fleet, index, "c@1"),
            "member {index} holds the earlier instance alive"
        );
        assert!(
            is_in_view(&fleet, index, "c@2"),
            "member {index} does not know the new instance"
        );
    }
}

/// Changes of the detached flag must reach all views within a few probes.
#[test]
fn the_detached_flag_reaches_all_views() {
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
            assert!(is_in_view(&fleet, index, "c@1"));
        }
    }
}
