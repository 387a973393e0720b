//! Keeps the replica directory: machine list, loads of owned replicas, and the exchange of counts and reports
//! between gateways and replica owners.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_external::{EngineLoad, MachineState};
use harrierward_gateway::Replica;
use harrierward_routing::LoadReport;
use harrierward_wire::{
    NodeDatagram, OnlineCount, OnlineNotice, ReplicaReport, ReplicaReports, encode, node_datagram,
};
use tokio::time::{sleep, timeout};

use crate::node::{Shared, lock};

const PREFIX: &str = "replicas:";

/// Shortest time between notices while online requests come and go.
const NOTICE_TICK: Duration = Duration::from_millis(50);

/// Longest time between notices to an owner; also brings its reports.
const NOTICE_IDLE: Duration = Duration::from_secs(1);

/// Wait for an engine's load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause while no replica is known.
const FIRST_LOOK: Duration = Duration::from_millis(20);

/// A replica of which nothing was heard for this long is asked directly, microseconds.
const UNHEARD_MICROS: u64 = 1_300_000;

/// Reads the machine list.
pub(crate) async fn run_list(shared: Arc<Shared>) {
    loop {
        match shared.machines.list().await {
            Ok(machines) => {
                shared.directory.update(machines);
                shared.gateway.replicas_changed();
            }
            Err(error) => log::debug!("{PREFIX} cannot read the machine list: {error}"),
        }
        sleep(shared.settings.machines_every).await;
    }
}

/// Number of replicas of which this daemon heard lately.
pub(crate) fn confirmed_replicas(shared: &Shared) -> usize {
    let now_micros = shared.now_micros();
    let directory = shared.directory.load();
    let replicas = directory.replicas.values();
    let confirmed =
        replicas.filter(|replica| replica.load.confirmation_age(now_micros) <= UNHEARD_MICROS);
    confirmed.count()
}

/// Replicas whose load this daemon reads itself: those it owns, and those of which it has heard nothing lately.
fn replicas_to_read(shared: &Arc<Shared>) -> Vec<Arc<Replica>> {
    let owned = lock(&shared.ownership).replicas();
    let directory = shared.directory.load();
    let now_micros = shared.now_micros();
    let owned = owned.iter().filter_map(|id| directory.replicas.get(id));
    let unheard = directory
        .services
        .values()
        .flat_map(|entry| &entry.replicas)
        .filter(|replica| replica.load.confirmation_age(now_micros) > UNHEARD_MICROS);
    let mut replicas: Vec<Arc<Replica>> = owned.chain(unheard).cloned().collect();
    replicas.sort_by_key(|replica| replica.number);
    replicas.dedup_by_key(|replica| replica.number);
    replicas
}

/// Reads loads; a replica that leaves or does not answer is taken out of the choice.
pub(crate) async fn run_loads(shared: Arc<Shared>) {
    loop {
        let replicas = replicas_to_read(&shared);
        let asked_at = shared.now();
        let reads = replicas.iter().map(|replica| async {
            let load = timeout(LOAD_TIMEOUT, replica.engine.load()).await;
            (replica.clone(), load.ok().and_then(Result::ok))
        });
        for (replica, load) in futures::future::join_all(reads).await {
            // Without an answer nothing is confirmed, and the last word soon grows too old to act on.
            if let Some(load) = load {
                take_load(&shared, &replica, load, asked_at);
            }
        }
        let pause = if replicas.is_empty() {
            FIRST_LOOK
        } else {
            shared.settings.load_every
        };
        sleep(pause).await;
    }
}

fn take_load(shared: &Arc<Shared>, replica: &Arc<Replica>, load: EngineLoad, as_of: Duration) {
    let unavailable = load.leaving || replica.machine.state == MachineState::Leaving;
    let report = LoadReport {
        running_online: load.running_online,
        running_batch: load.running_batch,
        waiting_prompt_tokens: load.waiting_prompt_tokens,
        waiting_online: load.waiting_online,
    };
    let as_of_micros = u64::try_from(as_of.as_micros()).unwrap_or(u64::MAX);
    replica.load.apply_report(report, as_of_micros);
    replica.load.set_availability(unavailable, as_of_micros);
    let name = &replica.machine.replica.0;
    lock(&shared.runner).set_report(name, load, unavailable, as_of);
}

/// Tells owners of the online requests that this gateway has at their replicas.
pub(crate) async fn run_notices(shared: Arc<Shared>) {
    let mut told: BTreeMap<String, (u32, u32, Duration)> = BTreeMap::new();
    loop {
        let now = shared.now();
        let mut notices: BTreeMap<String, Vec<OnlineCount>> = BTreeMap::new();
        let directory = shared.directory.load();
        for entry in directory.services.values() {
            for replica in &entry.replicas {
                let name = &replica.machine.replica.0;
                let (running, prefill_tokens) = replica.online.get();
                let fresh = told.get(name).is_some_and(|(old_running, old_tokens, at)| {
                    let same = *old_running == running && *old_tokens == prefill_tokens;
                    same && now.saturating_sub(*at) < NOTICE_IDLE
                });
                if fresh {
                    continue;
                }
                told.insert(name.clone(), (running, prefill_tokens, now));
                let Some(owner) = shared.owner_of(name) else {
                    continue;
                };
                notices.entry(owner).or_default().push(OnlineCount {
                    replica: name.clone(),
                    running,
                    prefill_tokens,
                });
            }
        }
        drop(directory);
        for (owner, counts) in notices {
            send_notice(&shared, &owner, counts).await;
        }
        sleep(NOTICE_TICK).await;
    }
}

async fn send_notice(shared: &Arc<Shared>, owner: &str, counts: Vec<OnlineCount>) {
    let notice = OnlineNotice {
        from: shared.identity.member.clone(),
        reply_to: shared.identity.udp_address.clone(),
        counts,
        sent_at_ms: u64::try_from(shared.now().as_millis()).unwrap_or(u64::MAX),
    };
    if owner == shared.identity.member {
        shared.online.take(&notice, shared.now());
        shared.runner_wake.notify_one();
        return;
    }
    let address = {
        let membership = lock(&shared.membership);
        membership.udp_address(owner)
    };
    let Some(address) = address else { return };
    let datagram = NodeDatagram {
        kind: Some(node_datagram::Kind::OnlineNotice(notice)),
    };
    shared.network.send(&address, encode(&datagram)).await;
}

/// Answers a notice with reports of the replicas that it names.
pub(crate) async fn answer_notice(shared: &Arc<Shared>, notice: &OnlineNotice) {
    let reports: Vec<ReplicaReport> = {
        let runner = lock(&shared.runner);
        let now = shared.now();
        let names = notice.counts.iter().map(|count| count.replica.as_str());
        names.filter_map(|name| runner.report(name, now)).collect()
    };
    if reports.is_empty() {
        return;
    }
    let datagram = NodeDatagram {
        kind: Some(node_datagram::Kind::ReplicaReports(ReplicaReports {
            reports,
            echo_ms: notice.sent_at_ms,
        })),
    };
    let bytes = encode(&datagram);
    shared.network.send(&notice.reply_to, bytes).await;
}

/// Takes an owner's reports into the load estimates.
pub(crate) fn take_reports(shared: &Arc<Shared>, reports: &ReplicaReports) {
    let directory = shared.directory.load();
    let asked_micros = reports.echo_ms * 1000;
    for report in &reports.reports {
        let id = harrierward_external::ReplicaId(report.replica.clone());
        let Some(replica) = directory.replicas.get(&id) else {
            continue;
        };
        let age_micros = u64::from(report.age_ms) * 1000;
        let load = LoadReport {
            running_online: report.running_online,
            running_batch: report.running_batch,
            waiting_prompt_tokens: report.waiting_prompt_tokens,
            waiting_online: report.waiting_online,
        };
        // The answer may have waited since it was asked for, but not longer.
        let as_of_micros = asked_micros.saturating_sub(age_micros);
        replica.load.apply_report(load, as_of_micros);
        replica
            .load
            .set_availability(report.unavailable, as_of_micros);
    }
}
