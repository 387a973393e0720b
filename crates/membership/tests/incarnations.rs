//! Guards against records of an incarnation that no member can have raised.

use std::time::Duration;

use harrierward_membership::{MembershipCore, MembershipSettings};
use harrierward_wire::{Datagram, DatagramKind, MemberRecord, MemberState};

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

fn gossip(record: MemberRecord) -> Datagram {
    Datagram {
        kind: DatagramKind::Ping as i32,
        from: "b".to_owned(),
        records: vec![record],
        ..Datagram::default()
    }
}

/// Guards against a daemon that receives no more datagrams, or that stays dead in all views, after one datagram with the
/// highest number.
#[test]
fn a_record_of_the_highest_incarnation_is_ignored() {
    let mut core = MembershipCore::new(MembershipSettings::default(), record("a", "10.0.0.1:1"));
    core.receive(&gossip(record("b", "10.0.0.2:1")), Duration::ZERO);
    for id in ["a", "b"] {
        let dead = MemberRecord {
            incarnation: u64::MAX,
            state: MemberState::Dead as i32,
            ..record(id, "10.0.0.9:1")
        };
        core.receive(&gossip(dead), Duration::ZERO);
        assert!(core.view().member(id).is_some(), "{id}");
    }
    assert_eq!(core.own_record().incarnation, 1);
    let suspected = MemberRecord {
        incarnation: 7,
        state: MemberState::Suspect as i32,
        ..record("a", "10.0.0.1:1")
    };
    core.receive(&gossip(suspected), Duration::ZERO);
    assert_eq!(core.own_record().incarnation, 8, "others are refuted");
}
