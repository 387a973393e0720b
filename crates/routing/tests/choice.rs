//! Guards against prefix affinity that overloads a replica, requests to unusable replicas, and needless ownership
//! changes.

use std::sync::Arc;

use harrierward_routing::{
    CONFIRMATION_TTL_MICROS, CostModel, PrefixIndex, ReplicaEntry, ReplicaLoad, RouteRequest,
    RoutingTable, rank_by_rendezvous, rendezvous_owner,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: u64 = 10_000_000;

fn table(replicas: u32) -> (RoutingTable, Vec<Arc<ReplicaLoad>>) {
    let loads: Vec<Arc<ReplicaLoad>> = (0..replicas).map(|_| Arc::default()).collect();
    let entries = loads.iter().zip(0..).map(|(load, number)| {
        load.set_unavailable(false, NOW);
        ReplicaEntry {
            number,
            distance: 0,
            load: load.clone(),
        }
    });
    let table = RoutingTable::new(entries.collect(), CostModel::default());
    (table, loads)
}

fn choose(table: &RoutingTable, index: &PrefixIndex, blocks: &[u64], seed: u64) -> Option<usize> {
    let request = RouteRequest {
        blocks,
        prompt_tokens: 512,
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    table
        .choose(&request, index, &[], NOW, &mut random)
        .map(|choice| choice.position)
}

#[test]
fn a_prefix_attracts_until_its_replica_is_loaded() {
    let (table, loads) = table(20);
    let blocks: Vec<u64> = (1..=30).collect();
    let mut index = PrefixIndex::new(60_000_000);
    for block in &blocks {
        index.insert(*block, 7, NOW);
    }
    assert!((0..50).all(|seed| choose(&table, &index, &blocks, seed) == Some(7)));
    for _ in 0..40 {
        loads[7].note_sent(500);
    }
    assert!((0..50).all(|seed| choose(&table, &index, &blocks, seed) != Some(7)));
}

#[test]
fn unconfirmed_leaving_and_penalized_replicas_get_nothing() {
    let (table, loads) = table(4);
    let index = PrefixIndex::new(60_000_000);
    loads[0].set_unavailable(true, NOW + 1);
    loads[1].penalize(NOW + 1);
    let fresh = ReplicaLoad::default();
    assert!(!fresh.is_usable(NOW), "no report was received");
    for seed in 0..50 {
        let chosen = choose(&table, &index, &[], seed);
        assert!(matches!(chosen, Some(2 | 3)), "{chosen:?}");
    }
    assert!(!loads[2].is_usable(NOW + CONFIRMATION_TTL_MICROS + 1));
    loads[0].set_unavailable(false, NOW);
    assert!(!loads[0].is_usable(NOW), "an older report does not count");
}

#[test]
fn many_gateways_with_the_same_old_reports_do_not_choose_the_same_replica() {
    let index = PrefixIndex::new(60_000_000);
    let mut chosen = [0u32; 20];
    for gateway in 0..400 {
        let (table, _) = table(20);
        if let Some(position) = choose(&table, &index, &[], gateway) {
            chosen[position] += 1;
        }
    }
    assert!(chosen.iter().all(|count| *count < 60), "{chosen:?}");
}

#[test]
fn ownership_moves_only_from_and_to_members_that_join_or_leave() {
    let members: Vec<String> = (0..50).map(|number| format!("member-{number}")).collect();
    let all = || members.iter().map(String::as_str);
    let fewer = || all().filter(|id| *id != "member-13");
    for resource in 0..500 {
        let key = format!("owner/shard/{resource}");
        let before = rendezvous_owner(&key, all());
        assert_eq!(before, rank_by_rendezvous(&key, all()).first().copied());
        if before != Some("member-13") {
            assert_eq!(before, rendezvous_owner(&key, fewer()));
        }
    }
}
