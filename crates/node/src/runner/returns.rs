//! Sends results and returned items to the owners of their shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_batch::shard_key;
use harrierward_wire::{ItemResult, PeerRequest, ResultsRequest, peer_reply, peer_request};
use tokio::time::{sleep, timeout};

use super::{PEER_TIMEOUT, QueuedGrant, StopReason, returned_item};
use crate::node::{Shared, lock};

const SEND_INTERVAL: Duration = Duration::from_millis(50);

/// Expected results per message; a round takes up to eight times as many and sends one message to each owner.
const RESULTS_PER_MESSAGE: usize = 256;

/// Time for running items to finish when the daemon drains.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends results and returned items; results are resent until a shard owner accepts them.
pub(crate) async fn run_results(shared: Arc<Shared>) {
    loop {
        send_results(&shared).await;
        sleep(SEND_INTERVAL).await;
    }
}

async fn send_results(shared: &Arc<Shared>) {
    let (results, returned_items) = {
        let mut runner = lock(&shared.runner);
        let count = runner.results.len().min(RESULTS_PER_MESSAGE * 8);
        let results: Vec<ItemResult> = runner.results.drain(..count).collect();
        (results, std::mem::take(&mut runner.returned_items))
    };
    let mut by_owner: BTreeMap<String, ResultsRequest> = BTreeMap::new();
    let mut unowned = Vec::new();
    for result in results {
        match shared.owner_of(&shard_key(result.shard)) {
            Some(owner) => by_owner.entry(owner).or_default().results.push(result),
            None => unowned.push(result),
        }
    }
    for returned_item in returned_items {
        if let Some(owner) = shared.owner_of(&shard_key(returned_item.shard)) {
            by_owner
                .entry(owner)
                .or_default()
                .handed_back
                .push(returned_item);
        }
    }
    let sends = by_owner
        .into_iter()
        .map(|(owner, request)| send_to_owner(shared, owner, request));
    let rejected: Vec<ItemResult> = futures::future::join_all(sends).await.concat();
    lock(&shared.runner)
        .results
        .extend(unowned.into_iter().chain(rejected));
}

/// Sends results to a shard owner and returns those that it did not accept.
async fn send_to_owner(
    shared: &Arc<Shared>,
    owner: String,
    request: ResultsRequest,
) -> Vec<ItemResult> {
    let reply = if owner == shared.identity.member {
        Some(shared.owner.results(&request))
    } else {
        match shared.peer_address(&owner) {
            Some(address) => {
                let request = PeerRequest {
                    kind: Some(peer_request::Kind::Results(request.clone())),
                };
                let call = timeout(PEER_TIMEOUT, shared.network.call(&address, request)).await;
                match call {
                    Ok(Ok(reply)) => match reply.kind {
                        Some(peer_reply::Kind::Results(reply)) => Some(reply),
                        _ => None,
                    },
                    _ => None,
                }
            }
            None => None,
        }
    };
    match reply {
        None => request.results,
        Some(reply) => request
            .results
            .into_iter()
            .filter(|result| reply.refused_shards.contains(&result.shard))
            .collect(),
    }
}

/// Returns queued items to their shard owners at once, and running ones that don't finish within [`DRAIN_TIMEOUT`].
pub(crate) async fn return_all(shared: &Arc<Shared>) {
    {
        let mut runner = lock(&shared.runner);
        let queues = std::mem::take(&mut runner.queues);
        let queued: Vec<QueuedGrant> = queues.into_values().flatten().collect();
        let returned_items = queued
            .iter()
            .map(|queued| returned_item(&queued.grant, false));
        runner.returned_items.extend(returned_items);
    }
    let deadline = shared.now() + DRAIN_TIMEOUT;
    while shared.now() < deadline && lock(&shared.runner).running_count() > 0 {
        sleep(SEND_INTERVAL).await;
    }
    for running in lock(&shared.runner).running_mut() {
        running.stop(StopReason::Preempt);
    }
    sleep(SEND_INTERVAL).await;
    let limit = shared.now() + PEER_TIMEOUT;
    while shared.now() < limit {
        send_results(shared).await;
        if lock(&shared.runner).is_all_sent() {
            return;
        }
        sleep(SEND_INTERVAL).await;
    }
}
