//! Maintains the replica directory from the machine list, engine loads, and the online counts and load reports
//! that gateways and replica owners exchange.

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

/// Interval at which changed online counts are sent.
const NOTICE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which unchanged counts are sent again; the owner replies with its load reports.
const NOTICE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a load request to an engine.
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);

/// Poll interval while no replica is known.
const EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Age of a replica's last report after which its load is read directly, in microseconds.
const MAX_REPORT_AGE_MICROS: u64 = 1_300_000;

/// Polls the machine list.
pub(crate) async fn run_list(shared: Arc<Shared>) {
    loop {
        match shared.machines.list().await {
            Ok(machines) => {
                shared.directory.update(machines);
                shared.gateway.replicas_changed();
            }
            Err(error) => log::debug!("{PREFIX} cannot read the machine list: {error}"),
        }
        sleep(shared.settings.machine_list_interval).await;
    }
}

/// Returns the number of replicas with a recent report.
pub(crate) fn confirmed_replicas(shared: &Shared) -> usize {
    let now_micros = shared.now_micros();
    let directory = shared.directory.load();
    let replicas = directory.replicas.values();
    let confirmed = replicas
        .filter(|replica| replica.load.confirmation_age(now_micros) <= MAX_REPORT_AGE_MICROS);
    confirmed.count()
}

/// Returns the replicas whose load this daemon reads itself: those it owns and those without a recent report.
fn replicas_to_read(shared: &Arc<Shared>) -> Vec<Arc<Replica>> {
    let owned = lock(&shared.ownership).replicas();
    let directory = shared.directory.load();
    let now_micros = shared.now_micros();
    let owned = owned.iter().filter_map(|id| directory.replicas.get(id));
    let unreported = directory
        .services
        .values()
        .flat_map(|entry| &entry.replicas)
        .filter(|replica| replica.load.confirmation_age(now_micros) > MAX_REPORT_AGE_MICROS);
    let mut replicas: Vec<Arc<Replica>> = owned.chain(unreported).cloned().collect();
    replicas.sort_by_key(|replica| replica.number);
    replicas.dedup_by_key(|replica| replica.number);
    replicas
}

/// Polls replica loads; a replica that is leaving becomes unavailable, one that does not respond expires.
pub(crate) async fn run_loads(shared: Arc<Shared>) {
    loop {
        let replicas = replicas_to_read(&shared);
        let requested_at = shared.now();
        let reads = replicas.iter().map(|replica| async {
            let load = timeout(LOAD_TIMEOUT, replica.engine.load()).await;
            (replica.clone(), load.ok().and_then(Result::ok))
        });
        for (replica, load) in futures::future::join_all(reads).await {
            // Without a response the last report expires.
            if let Some(load) = load {
                apply_load(&shared, &replica, load, requested_at);
            }
        }
        let pause = if replicas.is_empty() {
            EMPTY_POLL_INTERVAL
        } else {
            shared.settings.load_interval
        };
        sleep(pause).await;
    }
}

fn apply_load(shared: &Arc<Shared>, replica: &Arc<Replica>, load: EngineLoad, as_of: Duration) {
    let unavailable = load.leaving || replica.machine.state == MachineState::Leaving;
    let report = LoadReport {
        running_online: load.running_online,
        running_batch: load.running_batch,
        waiting_prompt_tokens: load.waiting_prompt_tokens,
        waiting_online: load.waiting_online,
    };
    let as_of_micros = u64::try_from(as_of.as_micros()).unwrap_or(u64::MAX);
    replica.load.apply_report(report, as_of_micros);
    replica.load.set_unavailable(unavailable, as_of_micros);
    let name = &replica.machine.replica.0;
    lock(&shared.runner).set_report(name, load, unavailable, as_of);
}

/// Sends replica owners the number of online requests that this gateway has at their replicas.
pub(crate) async fn run_notices(shared: Arc<Shared>) {
    let mut sent: BTreeMap<String, (u32, u32, Duration)> = BTreeMap::new();
    loop {
        let now = shared.now();
        let mut notices: BTreeMap<String, Vec<OnlineCount>> = BTreeMap::new();
        let directory = shared.directory.load();
        for entry in directory.services.values() {
            for replica in &entry.replicas {
                let name = &replica.machine.replica.0;
                let (running, prefill_tokens) = replica.online.get();
                let is_current = sent.get(name).is_some_and(|(old_running, old_tokens, at)| {
                    let is_unchanged = *old_running == running && *old_tokens == prefill_tokens;
                    is_unchanged && now.saturating_sub(*at) < NOTICE_REFRESH_INTERVAL
                });
                if is_current {
                    continue;
                }
                sent.insert(name.clone(), (running, prefill_tokens, now));
                let Some(owner) = shared.owner_of_replica(name) else {
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
        sleep(NOTICE_INTERVAL).await;
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
        shared.online.apply(&notice, shared.now());
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

/// Replies to a notice with load reports of the replicas that it names.
pub(crate) async fn reply_to_notice(shared: &Arc<Shared>, notice: &OnlineNotice) {
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

/// Applies the load reports of an owner to the load estimates.
pub(crate) fn apply_reports(shared: &Arc<Shared>, reports: &ReplicaReports) {
    let directory = shared.directory.load();
    let requested_micros = reports.echo_ms * 1000;
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
        // Counting from the request overestimates the age of the report, never underestimates it.
        let as_of_micros = requested_micros.saturating_sub(age_micros);
        replica.load.apply_report(load, as_of_micros);
        replica
            .load
            .set_unavailable(report.unavailable, as_of_micros);
    }
}
