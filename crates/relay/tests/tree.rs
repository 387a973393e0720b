//! Guards against relay trees with too many followers, too many levels, or cycles.

use std::collections::HashMap;

use harrierward_relay::{RelayPeer, RelayTree};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn zone(members: usize) -> Vec<RelayPeer> {
    let peer = |number| RelayPeer {
        id: format!("front-{number}@19ad0{number:x}"),
        address: format!("10.0.0.1:{number}"),
    };
    (0..members).map(peer).collect()
}

#[test]
fn followers_and_depth_are_bounded() {
    for (members, max_depth) in [(32, 2), (197, 3), (400, 3), (1_000, 4), (2_000, 4)] {
        let zone = zone(members);
        let trees: Vec<RelayTree> = zone
            .iter()
            .map(|own| RelayTree::new(&own.id, &zone))
            .collect();
        let mut followers: HashMap<&str, usize> = HashMap::new();
        let mut readers = 0;
        for tree in &trees {
            match tree.ancestors.first() {
                Some(followed) => *followers.entry(&followed.id).or_default() += 1,
                None => readers += 1,
            }
            assert!(
                tree.ancestors.len() <= max_depth,
                "{}",
                tree.ancestors.len()
            );
        }
        assert_eq!(readers, 1, "of {members}");
        assert!(followers.values().all(|count| *count <= 8));
    }
}

/// Different views must never form a cycle, so that each member is connected to a reader.
#[test]
fn different_views_form_no_cycle() {
    let all = zone(200);
    let mut random = SmallRng::seed_from_u64(7);
    for _ in 0..20 {
        let follows: HashMap<String, Option<String>> = all
            .iter()
            .map(|own| {
                let share = random.random_range(1..=all.len());
                let view: Vec<RelayPeer> =
                    all.choose_multiple(&mut random, share).cloned().collect();
                let tree = RelayTree::new(&own.id, &view);
                let followed = tree.ancestors.first().map(|peer| peer.id.clone());
                (own.id.clone(), followed)
            })
            .collect();
        for own in follows.keys() {
            let mut current = own;
            let mut steps = 0;
            while let Some(Some(next)) = follows.get(current) {
                current = next;
                steps += 1;
                assert!(steps <= all.len(), "a circle at {own}");
            }
        }
    }
}

#[test]
fn a_joining_member_changes_few_parents() {
    let before = zone(197);
    let mut after = before.clone();
    after.push(RelayPeer {
        id: "front-new@1".to_owned(),
        address: "10.0.0.2:1".to_owned(),
    });
    let changed = before.iter().filter(|own| {
        let followed =
            |zone: &[RelayPeer]| RelayTree::new(&own.id, zone).ancestors.first().cloned();
        followed(&before) != followed(&after)
    });
    let changed = changed.count();
    assert!(changed <= before.len() / 4, "{changed} of {}", before.len());
}
