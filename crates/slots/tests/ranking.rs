//! The choice of coordinators must not change between builds: groups would have two coordinators during an upgrade.

use harrierward_slots::{GroupId, coordinator_of};

#[test]
fn coordinators_match_the_recorded_ones() {
    let members: Vec<String> = (0..20)
        .map(|number| format!("node-{number}@1a2b"))
        .collect();
    let coordinator = |service: u32, group: GroupId| {
        let ids = members.iter().map(String::as_str);
        coordinator_of(service, group, ids)
            .unwrap_or_default()
            .to_owned()
    };
    let found: Vec<String> = (0..4)
        .map(|number| coordinator(7, GroupId { area: 3, number }))
        .collect();
    assert_eq!(
        found,
        ["node-3@1a2b", "node-17@1a2b", "node-9@1a2b", "node-5@1a2b"]
    );
}
