//! Gateways report their online requests at a replica to the member that owns the replica.
//!
//! Guards against reports to another member: the owner would not stop batch work for online requests of its peers.

mod support;

use std::time::Duration;

use harrierward_node::{Node, NodeStatus};
use support::{POLL_INTERVAL, start_daemon, start_platform};
use tokio::time::{sleep, timeout};

const DAEMONS: usize = 6;
const REPLICA: &str = "engine";

/// Timeout for the daemons to know each other and for one to own the replica.
const SETTLED_WITHIN: Duration = Duration::from_secs(20);

async fn wait_until_settled(nodes: &[Node]) {
    loop {
        let statuses: Vec<NodeStatus> = nodes.iter().map(Node::status).collect();
        let knows_all = statuses.iter().all(|status| status.members == DAEMONS);
        let owners = statuses.iter().filter(|status| status.owned_replicas == 1);
        if knows_all && owners.count() == 1 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn online_counts_go_to_the_owner_of_the_replica() {
    let (_platform, _engine, platform) = start_platform().await;
    let mut nodes = Vec::new();
    let mut seeds = Vec::new();
    for _ in 0..DAEMONS {
        let (node, _, udp_address) = start_daemon(&platform, seeds.clone()).await;
        seeds.push(udp_address);
        nodes.push(node);
    }
    let settled = timeout(SETTLED_WITHIN, wait_until_settled(&nodes)).await;
    assert!(settled.is_ok(), "the replica has no single owner");
    let owner = nodes.iter().map(Node::status);
    let owner = owner.into_iter().find(|status| status.owned_replicas == 1);
    let owner = owner.map(|status| status.member);
    for node in &nodes {
        assert_eq!(node.owner_of_replica(REPLICA), owner);
    }
}
