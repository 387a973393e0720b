//! Keeps the configuration up to date by pulls from peers with a newer revision and polls of the table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_config::{
    Adoption, Observation, POLLER_QUERY_INTERVAL, POLLERS_PER_ZONE, QUERY_POLLER_AFTER,
};
use harrierward_membership::PeerReport;
use harrierward_routing::rank_by_rendezvous;
use harrierward_wire::{
    ConfigDeltaReply, ConfigDeltaRequest, PeerRequest, peer_reply, peer_request,
};
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::membership_task;
use crate::node::{Shared, lock};

const PREFIX: &str = "config:";
const TICK: Duration = Duration::from_millis(100);

const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Applies the configuration status in a peer's datagram; schedules a pull if the peer is ahead.
pub(crate) fn apply_report(shared: &Arc<Shared>, received: &PeerReport, now: Duration) {
    let status = received.config;
    // Counting from the probe overestimates the age of the proof, never underestimates it.
    let age = received.probe_sent_at.zip(status.proof_age);
    let age = age.map(|(sent_at, age)| now.saturating_sub(sent_at) + age);
    let observation = lock(&shared.config_replica).observe(now, status.revision, age);
    if observation == Observation::Behind {
        let _ = shared.config_pulls.send(received.from.clone());
    }
}

/// Applies a delta and puts it in force, if it is newer.
pub(crate) fn adopt(shared: &Arc<Shared>, delta: &ConfigDeltaReply) -> Adoption {
    let (adoption, snapshot) = {
        let mut replica = lock(&shared.config_replica);
        (replica.adopt(delta), replica.snapshot().clone())
    };
    if adoption == Adoption::Adopted {
        // Several tasks may adopt concurrently; an older snapshot must not replace a newer one.
        shared.config.rcu(|current| {
            if current.revision() < snapshot.revision() {
                snapshot.clone()
            } else {
                current.clone()
            }
        });
        shared.gateway.configure(&shared.config.load());
        log::info!("{PREFIX} revision {} is in force", snapshot.revision());
        membership_task::gossip_config(shared);
    }
    adoption
}

/// Pulls the configuration from peers that reported a newer revision.
pub(crate) async fn run_pulls(shared: Arc<Shared>, mut peers: mpsc::UnboundedReceiver<String>) {
    while let Some(peer) = peers.recv().await {
        let after = lock(&shared.config_replica).revision();
        let Some(address) = shared.peer_address(&peer) else {
            continue;
        };
        let request = PeerRequest {
            kind: Some(peer_request::Kind::ConfigDelta(ConfigDeltaRequest {
                after,
            })),
        };
        let reply = timeout(PEER_TIMEOUT, shared.network.call(&address, request)).await;
        if let Ok(Ok(reply)) = reply
            && let Some(peer_reply::Kind::ConfigDelta(delta)) = reply.kind
        {
            adopt(&shared, &delta);
        }
        while peers.try_recv().is_ok() {}
    }
}

/// Polls the table: the pollers of each zone regularly, all other members only if their proof gets too old.
pub(crate) async fn run_polls(shared: Arc<Shared>) {
    let mut queried_at = Duration::ZERO;
    loop {
        let now = shared.now();
        let chosen = is_poller(&shared);
        let due = {
            let mut replica = lock(&shared.config_replica);
            let due = replica.poll_due(now, chosen);
            if due {
                replica.note_poll(now);
            }
            due
        };
        if due {
            poll(&shared, now).await;
        } else if !chosen {
            query_poller(&shared, now, &mut queried_at).await;
        }
        sleep(TICK).await;
    }
}

/// Queries a random poller of the zone if the proof is old, to avoid a read of the table.
async fn query_poller(shared: &Arc<Shared>, now: Duration, queried_at: &mut Duration) {
    let age = lock(&shared.config_replica).proof_age(now);
    let is_recent = age.is_some_and(|age| age < QUERY_POLLER_AFTER);
    if is_recent || now.saturating_sub(*queried_at) < POLLER_QUERY_INTERVAL {
        return;
    }
    *queried_at = now;
    let pollers = pollers(shared);
    let chosen = shared.with_random(|random| pollers.choose(random).cloned());
    if let Some(poller) = chosen {
        membership_task::probe_poller(shared, &poller).await;
    }
}

/// True if this member polls the table on behalf of its zone.
pub(crate) fn is_poller(shared: &Arc<Shared>) -> bool {
    pollers(shared).contains(&shared.identity.member)
}

/// Returns the members of the zone that poll the table, chosen by rendezvous hashing.
fn pollers(shared: &Arc<Shared>) -> Vec<String> {
    let view = shared.view.load();
    let zone = &shared.identity.zone;
    let peers = view
        .members
        .iter()
        .filter(|member| member.zone == *zone)
        .map(|member| member.id.as_str());
    let key = format!("config-poller/{zone}");
    rank_by_rendezvous(&key, peers)
        .into_iter()
        .take(POLLERS_PER_ZONE)
        .map(str::to_owned)
        .collect()
}

/// Reads the table. The age of the proof counts from before the read, so it is never underestimated.
async fn poll(shared: &Arc<Shared>, queried_at: Duration) {
    let revision = lock(&shared.config_replica).revision();
    let result = if revision == 0 {
        shared.config_store.read_all().await
    } else {
        shared.config_store.delta(revision).await
    };
    let delta = match result {
        Ok(delta) => delta,
        Err(error) => {
            log::debug!("{PREFIX} cannot poll the table: {error}");
            return;
        }
    };
    if adopt(shared, &delta) == Adoption::Gap
        && let Ok(full) = shared.config_store.read_all().await
    {
        adopt(shared, &full);
    }
    let now = shared.now();
    let age = now.saturating_sub(queried_at);
    lock(&shared.config_replica).observe(now, delta.revision, Some(age));
}

/// Queries every member in view for the revision in force.
pub(crate) async fn in_force(shared: &Arc<Shared>) -> BTreeMap<String, Option<u64>> {
    let view = shared.view.load_full();
    let queries = view.members.iter().map(|member| async {
        if member.id == shared.identity.member {
            let own = shared.config.load().revision();
            return (member.id.clone(), Some(own));
        }
        let request = PeerRequest {
            kind: Some(peer_request::Kind::ConfigRevision(true)),
        };
        let call = shared.network.call(&member.peer_address, request);
        let revision = match timeout(PEER_TIMEOUT, call).await {
            Ok(Ok(reply)) => match reply.kind {
                Some(peer_reply::Kind::ConfigRevision(revision)) => Some(revision),
                _ => None,
            },
            _ => None,
        };
        (member.id.clone(), revision)
    });
    futures::future::join_all(queries)
        .await
        .into_iter()
        .collect()
}
