//! Drives the membership protocol over datagrams and publishes the membership view.

use std::sync::Arc;
use std::time::Duration;

use harrierward_config::CONFIG_FAN_OUT;
use harrierward_membership::{ConfigStatus, OutgoingDatagram};
use harrierward_wire::{Datagram, NodeDatagram, ServiceBacklog, decode, encode, node_datagram};
use tokio::time::sleep;

use crate::node::{Shared, lock};
use crate::{cancel_task, config_task, directory_task};

const PREFIX: &str = "members:";
const TICK: Duration = Duration::from_millis(100);

pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let datagrams = step(&shared, shared.now());
        send_all(&shared, datagrams).await;
        sleep(TICK).await;
    }
}

/// Requests the view of the members at the addresses.
pub(crate) async fn join(shared: &Arc<Shared>, addresses: &[String]) {
    let datagrams = lock(&shared.membership).join(addresses);
    send_all(shared, datagrams).await;
}

fn step(shared: &Arc<Shared>, now: Duration) -> Vec<OutgoingDatagram> {
    let backlog = advertised_backlog(shared);
    let config = config_status(shared, now);
    let cancelled = lock(&shared.recent_cancels).names(now);
    let mut membership = lock(&shared.membership);
    membership.set_config(config);
    membership.set_cancelled_jobs(cancelled);
    membership.set_backlog(backlog);
    let datagrams = shared.with_random(|random| membership.tick(now, random));
    if membership.take_changed() {
        shared.view.store(Arc::new(membership.view()));
        log::debug!(
            "{PREFIX} {} members in view",
            shared.view.load().members.len()
        );
    }
    datagrams
}

fn config_status(shared: &Arc<Shared>, now: Duration) -> ConfigStatus {
    let replica = lock(&shared.config_replica);
    ConfigStatus {
        revision: replica.revision(),
        proof_age: replica.proof_age(now),
    }
}

/// Returns backlogs rounded up to powers of two, so that small changes are not gossiped to the whole fleet.
fn advertised_backlog(shared: &Arc<Shared>) -> Vec<ServiceBacklog> {
    let backlog = shared.owner.backlog();
    backlog
        .into_iter()
        .map(|(service, items)| ServiceBacklog {
            service,
            items: items.next_power_of_two(),
        })
        .collect()
}

/// Gossips a newly adopted configuration revision to some members.
pub(crate) fn gossip_config(shared: &Arc<Shared>) {
    let config = config_status(shared, shared.now());
    let datagrams = {
        let mut membership = lock(&shared.membership);
        membership.set_config(config);
        shared.with_random(|random| membership.gossip_config(CONFIG_FAN_OUT, random))
    };
    let shared = shared.clone();
    tokio::spawn(async move { send_all(&shared, datagrams).await });
}

/// Probes a poller, whose reply carries its configuration revision and proof.
pub(crate) async fn probe_poller(shared: &Arc<Shared>, poller: &str) {
    let probe = lock(&shared.membership).probe_member(poller, shared.now());
    send_all(shared, probe.into_iter().collect()).await;
}

async fn send_all(shared: &Arc<Shared>, datagrams: Vec<OutgoingDatagram>) {
    for outgoing in datagrams {
        let datagram = NodeDatagram {
            kind: Some(node_datagram::Kind::Membership(outgoing.datagram)),
        };
        let bytes = encode(&datagram);
        shared.network.send(&outgoing.address, bytes).await;
    }
}

/// Runs several protocol ticks, so that a departure spreads before the daemon stops.
pub(crate) async fn gossip_departure(shared: &Arc<Shared>) {
    const ROUNDS: u32 = 3;
    for _ in 0..ROUNDS {
        let datagrams = step(shared, shared.now());
        send_all(shared, datagrams).await;
        sleep(TICK).await;
    }
}

pub(crate) async fn receive(shared: &Arc<Shared>, bytes: &[u8]) {
    let Some(kind) = decode::<NodeDatagram>(bytes).and_then(|datagram| datagram.kind) else {
        return;
    };
    match kind {
        node_datagram::Kind::Membership(datagram) => receive_membership(shared, &datagram).await,
        node_datagram::Kind::OnlineNotice(notice) => {
            shared.online.apply(&notice, shared.now());
            shared.runner_wake.notify_one();
            directory_task::reply_to_notice(shared, &notice).await;
        }
        node_datagram::Kind::ReplicaReports(reports) => {
            directory_task::apply_reports(shared, &reports);
        }
        // The other kinds are exchanged only between daemons of the crate `harrierward-edge`.
        _ => {}
    }
}

async fn receive_membership(shared: &Arc<Shared>, datagram: &Datagram) {
    let now = shared.now();
    // The status of the last tick may be outdated: this daemon may have been stalled since.
    let config = config_status(shared, now);
    let (datagrams, report) = {
        let mut membership = lock(&shared.membership);
        membership.set_config(config);
        let received = membership.receive(datagram, now);
        if membership.take_changed() {
            shared.view.store(Arc::new(membership.view()));
        }
        received
    };
    if let Some(sent_at) = report.probe_sent_at {
        lock(&shared.cancel_freshness).note_probe_reply(sent_at);
    }
    cancel_task::apply_piggybacked(shared, &report.cancelled_jobs);
    config_task::apply_report(shared, &report, now);
    send_all(shared, datagrams).await;
}
