//! Whom a daemon asks first.

use std::collections::HashSet;

use harrierward_membership::{Member, MembershipView};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn member(number: usize) -> Member {
    Member {
        id: format!("member-{number:03}"),
        peer_address: String::new(),
        zone: format!("zone-{}", number % 3),
        region: String::new(),
        leaving: false,
        detached: false,
        backlog: Vec::new(),
    }
}

#[test]
fn daemons_that_need_the_same_ask_different_members_of_their_zone() {
    let view = MembershipView {
        members: (0..300).map(member).collect(),
    };
    let mut first = HashSet::new();
    for number in 0..100 {
        let own = member(number);
        let mut random = SmallRng::seed_from_u64(number as u64);
        let others = view.others_nearest_first(&own.id, &own.zone, &own.region, &mut random);
        assert_eq!(others.len(), 299);
        assert!(others.iter().all(|other| other.id != own.id));
        assert!(others[..99].iter().all(|other| other.zone == own.zone));
        first.insert(others[0].id.clone());
    }
    assert!(first.len() > 60, "{} are asked first", first.len());
}
