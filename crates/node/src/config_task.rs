//! Keeps the configuration replica: pulls from peers that are ahead, polls of the table, and its adoption.

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

/// Wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer's word came with a heartbeat.
pub(crate) fn heard(shared: &Arc<Shared>, received: &PeerReport, now: Duration) {
    let word = received.config;
    // The age counts from the sending of the probe: the answer may have waited since, but not longer.
    let age = received.probe_sent_at.zip(word.proof_age);
    let age = age.map(|(sent_at, age)| now.saturating_sub(sent_at) + age);
    let observation = lock(&shared.config_replica).observe(now, word.revision, age);
    if observation == Observation::Behind {
        let _ = shared.config_pulls.send(received.from.clone());
    }
}

/// Takes a delta, if it leads forward, and puts it in force.
pub(crate) fn adopt(shared: &Arc<Shared>, delta: &ConfigDeltaReply) -> Adoption {
    let (adoption, snapshot) = {
        let mut replica = lock(&shared.config_replica);
        (replica.adopt(delta), replica.snapshot().clone())
    };
    if adoption == Adoption::Adopted {
        // Whoever stores last must store the newest, though several tasks may adopt at once.
        shared.config.rcu(|current| {
            if current.revision() < snapshot.revision() {
                snapshot.clone()
            } else {
                current.clone()
            }
        });
        shared.gateway.configure(&shared.config.load());
        log::info!("{PREFIX} revision {} is in force", snapshot.revision());
        membership_task::spread_config(shared);
    }
    adoption
}

/// Pulls from peers that said they are ahead.
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

/// Asks the table now and then: few members of each zone regularly, all others only without newer proof.
pub(crate) async fn run_polls(shared: Arc<Shared>) {
    let mut asked_at = Duration::ZERO;
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
            ask_poller(&shared, now, &mut asked_at).await;
        }
        sleep(TICK).await;
    }
}

/// Asks one of the zone's pollers, so that the table need not be asked.
async fn ask_poller(shared: &Arc<Shared>, now: Duration, asked_at: &mut Duration) {
    let age = lock(&shared.config_replica).proof_age(now);
    let young = age.is_some_and(|age| age < QUERY_POLLER_AFTER);
    if young || now.saturating_sub(*asked_at) < POLLER_QUERY_INTERVAL {
        return;
    }
    *asked_at = now;
    let pollers = pollers(shared);
    let chosen = shared.with_random(|random| pollers.choose(random).cloned());
    if let Some(poller) = chosen {
        membership_task::probe_poller(shared, &poller).await;
    }
}

/// True for the few members of a zone that read the table on behalf of the others.
pub(crate) fn is_poller(shared: &Arc<Shared>) -> bool {
    pollers(shared).contains(&shared.identity.member)
}

/// The members of the zone that ask the table regularly.
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

/// The proof counts from before the question, so that it never flatters.
async fn poll(shared: &Arc<Shared>, asked_at: Duration) {
    let revision = lock(&shared.config_replica).revision();
    let result = if revision == 0 {
        shared.config_store.read_all().await
    } else {
        shared.config_store.delta(revision).await
    };
    let delta = match result {
        Ok(delta) => delta,
        Err(error) => {
            log::debug!("{PREFIX} cannot ask the table: {error}");
            return;
        }
    };
    if adopt(shared, &delta) == Adoption::Gap
        && let Ok(whole) = shared.config_store.read_all().await
    {
        adopt(shared, &whole);
    }
    let now = shared.now();
    let age = now.saturating_sub(asked_at);
    lock(&shared.config_replica).observe(now, delta.revision, Some(age));
}

/// Asks every member in view which revision is in force there.
pub(crate) async fn in_force(shared: &Arc<Shared>) -> BTreeMap<String, Option<u64>> {
    let view = shared.view.load_full();
    let questions = view.members.iter().map(|member| async {
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
    futures::future::join_all(questions)
        .await
        .into_iter()
        .collect()
}
