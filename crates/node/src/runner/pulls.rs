//! Pulls items from shard owners and renews the grants held.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use harrierward_batch::shard_key;
use harrierward_wire::{
    PeerRequest, PullReply, PullRequest, RunningItem, peer_reply, peer_request,
};
use rand::Rng;
use tokio::time::timeout;

use super::{PEER_TIMEOUT, QueuedGrant};
use crate::node::{Shared, lock};

/// Items pulled beyond the free slots of a service.
const PULL_AHEAD: usize = 8;

const MAX_PULLED_ITEMS: usize = 64;

const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Pause after a pull that returned no items.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// Pulls stop while more results than this wait to be sent.
const MAX_PENDING_RESULTS: usize = 20_000;

/// Starts a pull for each service with free capacity.
pub(super) fn start_pulls(shared: &Arc<Shared>) {
    let now = shared.now();
    let plan = shared.plan.load();
    let mut pulls: Vec<(String, usize)> = Vec::new();
    {
        let mut runner = lock(&shared.runner);
        if runner.results.len() > MAX_PENDING_RESULTS {
            return;
        }
        let mut free_slots: BTreeMap<String, usize> = BTreeMap::new();
        for work in runner.replicas.values_mut() {
            let service = work.replica.machine.service.clone();
            let limit = work.budget.limit(now) as usize;
            let free = limit.saturating_sub(work.running.len());
            if work.is_usable(now) {
                *free_slots.entry(service).or_default() += free;
            }
        }
        for (service, free) in free_slots {
            let queued = runner.queues.get(&service).map_or(0, VecDeque::len);
            let target = if free > 0 { free + PULL_AHEAD } else { 0 };
            let slots = target.saturating_sub(queued).min(MAX_PULLED_ITEMS);
            let pull = runner.pulls.entry(service.clone()).or_default();
            if slots == 0 || pull.in_flight || now < pull.paused_until {
                continue;
            }
            pull.in_flight = true;
            pulls.push((service, slots));
        }
    }
    for (service, slots) in pulls {
        let tenants = plan
            .services
            .get(&service)
            .map(|plan| plan.tenants())
            .unwrap_or_default();
        let shared = shared.clone();
        tokio::spawn(async move { pull(&shared, &service, slots, tenants).await });
    }
}

/// Chooses the member to pull from: this one if it has a backlog, else a random one that advertises one.
fn choose_source(shared: &Arc<Shared>, service: &str) -> Option<String> {
    if shared.owner.backlog().contains_key(service) {
        return Some(shared.identity.member.clone());
    }
    let view = shared.view.load();
    let candidates: Vec<&str> = view
        .members
        .iter()
        .filter(|member| member.id != shared.identity.member)
        .filter(|member| {
            member
                .backlog
                .iter()
                .any(|backlog| backlog.service == service)
        })
        .map(|member| member.id.as_str())
        .collect();
    if candidates.is_empty() {
        return None;
    }
    let index = shared.with_random(|random| random.random_range(0..candidates.len()));
    Some(candidates[index].to_owned())
}

async fn pull(shared: &Arc<Shared>, service: &str, slots: usize, tenants: Vec<String>) {
    let reply = match choose_source(shared, service) {
        // Without a capacity plan no tenant may run items.
        Some(source) if !tenants.is_empty() => {
            let request = PullRequest {
                member: shared.identity.member.clone(),
                service: service.to_owned(),
                slots: u32::try_from(slots).unwrap_or(u32::MAX),
                held: Vec::new(),
                tenants,
            };
            pull_from(shared, &source, request).await
        }
        _ => None,
    };
    let now = shared.now();
    let mut runner = lock(&shared.runner);
    let grants = reply.map(|reply| reply.grants).unwrap_or_default();
    let pull = runner.pulls.entry(service.to_owned()).or_default();
    pull.in_flight = false;
    if grants.is_empty() {
        pull.paused_until = now + EMPTY_PAUSE;
    }
    let queue = runner.queues.entry(service.to_owned()).or_default();
    queue.extend(grants.into_iter().map(|grant| QueuedGrant {
        grant,
        pulled_at: now,
    }));
    drop(runner);
    shared.runner_wake.notify_one();
}

async fn pull_from(shared: &Arc<Shared>, source: &str, request: PullRequest) -> Option<PullReply> {
    if source == shared.identity.member {
        return Some(shared.owner.pull(&request));
    }
    let address = shared.peer_address(source)?;
    let request = PeerRequest {
        kind: Some(peer_request::Kind::Pull(request)),
    };
    let reply = timeout(PEER_TIMEOUT, shared.network.call(&address, request)).await;
    match reply.ok()?.ok()?.kind? {
        peer_reply::Kind::Pull(reply) => Some(reply),
        _ => None,
    }
}

/// Renews the grants held at the owners of their shards.
pub(super) fn renew(shared: &Arc<Shared>) {
    let now = shared.now();
    let held = {
        let mut runner = lock(&shared.runner);
        if now.saturating_sub(runner.renewed_at) < RENEWAL_INTERVAL {
            return;
        }
        runner.renewed_at = now;
        runner.held()
    };
    let mut by_owner: BTreeMap<String, Vec<RunningItem>> = BTreeMap::new();
    for (shard, items) in held {
        if let Some(owner) = shared.owner_of(&shard_key(shard)) {
            by_owner.entry(owner).or_default().extend(items);
        }
    }
    for (owner, held) in by_owner {
        let shared = shared.clone();
        tokio::spawn(async move {
            let request = PullRequest {
                member: shared.identity.member.clone(),
                held,
                ..PullRequest::default()
            };
            if let Some(reply) = pull_from(&shared, &owner, request).await {
                lock(&shared.runner).stop_items(&reply.stop);
            }
        });
    }
}
