//! The way back: results and items handed back go to the owners of their shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_batch::shard_key;
use harrierward_wire::{ItemResult, PeerRequest, ResultsRequest, peer_reply, peer_request};
use tokio::time::{sleep, timeout};

use super::{PEER_TIMEOUT, QueuedGrant, StopReason, hand_back};
use crate::node::{Shared, lock};

/// How often results are sent.
const RESULT_TICK: Duration = Duration::from_millis(50);

/// Most results in one message.
const RESULTS_A_MESSAGE: usize = 256;

/// Time for running items to finish when the daemon leaves.
const LEAVE_WAIT: Duration = Duration::from_secs(10);

/// Returns results and hands items back, until their shards' owners have taken them.
pub(crate) async fn run_results(shared: Arc<Shared>) {
    loop {
        send_results(&shared).await;
        sleep(RESULT_TICK).await;
    }
}

async fn send_results(shared: &Arc<Shared>) {
    let (results, hand_backs) = {
        let mut runner = lock(&shared.runner);
        let count = runner.results.len().min(RESULTS_A_MESSAGE * 8);
        let results: Vec<ItemResult> = runner.results.drain(..count).collect();
        (results, std::mem::take(&mut runner.hand_backs))
    };
    let mut by_owner: BTreeMap<String, ResultsRequest> = BTreeMap::new();
    let mut homeless = Vec::new();
    for result in results {
        match shared.owner_of(&shard_key(result.shard)) {
            Some(owner) => by_owner.entry(owner).or_default().results.push(result),
            None => homeless.push(result),
        }
    }
    for hand_back in hand_backs {
        if let Some(owner) = shared.owner_of(&shard_key(hand_back.shard)) {
            by_owner
                .entry(owner)
                .or_default()
                .handed_back
                .push(hand_back);
        }
    }
    let sends = by_owner
        .into_iter()
        .map(|(owner, request)| send_to_owner(shared, owner, request));
    let back: Vec<ItemResult> = futures::future::join_all(sends).await.concat();
    lock(&shared.runner)
        .results
        .extend(homeless.into_iter().chain(back));
}

/// Sends results to a shard owner; those that it did not take.
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

/// Prepares to leave: what was not started is handed back at once, what runs may finish for a while.
pub(crate) async fn hand_back_all(shared: &Arc<Shared>) {
    {
        let mut runner = lock(&shared.runner);
        let queues = std::mem::take(&mut runner.queues);
        let queued: Vec<QueuedGrant> = queues.into_values().flatten().collect();
        let hand_backs = queued.iter().map(|queued| hand_back(&queued.grant, false));
        runner.hand_backs.extend(hand_backs);
    }
    let deadline = shared.now() + LEAVE_WAIT;
    while shared.now() < deadline && lock(&shared.runner).running_count() > 0 {
        sleep(RESULT_TICK).await;
    }
    for running in lock(&shared.runner).running_mut() {
        running.stop(StopReason::Yield);
    }
    sleep(RESULT_TICK).await;
    let limit = shared.now() + PEER_TIMEOUT;
    while shared.now() < limit {
        send_results(shared).await;
        if lock(&shared.runner).has_returned_all() {
            return;
        }
        sleep(RESULT_TICK).await;
    }
}
