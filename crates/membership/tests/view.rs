//! Guards against an order of members that concentrates requests on one member or ignores zones and regions.

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
fn daemons_spread_requests_over_the_members_of_their_zone() {
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
    assert!(first.len() > 60, "{} come first", first.len());
}

/// Zones 0 and 1 are in one region, zone 2 in another.
#[test]
fn members_of_the_own_region_come_before_those_of_others() {
    let in_region = |number: usize| Member {
        region: format!("region-{}", number % 3 / 2),
        ..member(number)
    };
    let view = MembershipView {
        members: (0..30).map(in_region).collect(),
    };
    let own = in_region(0);
    let mut random = SmallRng::seed_from_u64(1);
    let others = view.others_nearest_first(&own.id, &own.zone, &own.region, &mut random);
    let matches: Vec<(bool, bool)> = others
        .iter()
        .map(|other| (other.zone == own.zone, other.region == own.region))
        .collect();
    assert!(matches[..9].iter().all(|(zone, _)| *zone));
    assert!(
        matches[9..19]
            .iter()
            .all(|is_match| *is_match == (false, true))
    );
    assert!(matches[19..].iter().all(|(_, region)| !region));
}
