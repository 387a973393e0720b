//! Ejection of a replica that fails all its requests immediately, by the coordinator of its group for many daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, SlotService};
use harrierward_serving::{
    AttemptOutcome, InProgress, ItemSlack, Location, Policy, Prompt, PromptLength, ReplicaRecord,
    ReplicaSet, SelectionCosts, SlotLease, SlotLeases, SlotQuery, SlotReply,
};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{NodeDatagram, decode};
use tokio::net::UdpSocket;

const SERVICE: &str = "model";
const DAEMONS: usize = 8;
const REPLICAS: usize = 8;
const BAD: &str = "replica-0";

/// Service time of a request at a healthy replica.
const SERVED_AFTER: Duration = Duration::from_millis(10);

/// Consecutive requests of each daemon.
const REQUESTS: usize = 40;

fn replica_set() -> Arc<ReplicaSet> {
    let records = (0..REPLICAS).map(|number| ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: format!("replica-{number}"),
        service: SERVICE.to_owned(),
        version: String::new(),
        address: format!("10.0.0.{number}:80"),
        zone: "zone-a".to_owned(),
        slots: 4,
        draining: false,
    });
    let replicas = ReplicaSet::default();
    replicas.replace(records.collect(), |_| 100_000);
    Arc::new(replicas)
}

/// Starts daemons that are members of one fleet.
async fn fleet(policy: Policy) -> Vec<Arc<SlotService>> {
    let mut sockets = Vec::new();
    let mut members = Vec::new();
    for number in 0..DAEMONS {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let address: SocketAddr = socket.local_addr().expect("an address");
        sockets.push(Arc::new(socket));
        members.push(CoordinatorCandidate {
            id: format!("daemon-{number}"),
            address: Some(address),
            location: Location::new("zone-a", "region"),
        });
    }
    let mut daemons = Vec::new();
    for (member, socket) in members.iter().zip(sockets) {
        let slots = Arc::new(SlotService::new(
            member.id.clone(),
            member.location,
            replica_set(),
            SelectionCosts::under(policy),
            DecisionLog::new(LogBounds::default()),
        ));
        slots.set_socket(socket.clone());
        slots.set_members(members.clone());
        let receiving = slots.clone();
        tokio::spawn(async move { receive(&receiving, &socket).await });
        daemons.push(slots);
    }
    daemons
}

async fn receive(slots: &SlotService, socket: &UdpSocket) {
    let mut buffer = vec![0; 2_000];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let datagram = decode::<NodeDatagram>(&buffer[..length]);
        if let Some(kind) = datagram.and_then(|datagram| datagram.kind) {
            assert!(slots.receive(kind, from).is_none(), "not about slots");
        }
    }
}

async fn enter(
    daemon: &Arc<SlotService>,
    item: Option<ItemSlack>,
    may_repeat: bool,
) -> Option<InProgress> {
    let prompt = Prompt::default();
    let query = SlotQuery {
        version: None,
        service: SERVICE,
        prompt: &prompt,
        length: PromptLength::Uniform,
        excluded: &[],
        regions: &AllowedRegions::Any,
        // Gives the longest timeout for the coordinator, so that it isn't considered unresponsive on a busy machine.
        objective: Duration::from_secs(3),
        item,
        overdue: false,
        may_repeat,
        max_retry_after: None,
    };
    let SlotReply::Granted { choice, lease } = daemon.acquire(query).await else {
        return None;
    };
    let held = SlotLease::new(daemon.clone(), lease);
    Some(choice.enter(query.class(), held).in_progress)
}

/// Completes a request, with outcome `bad` at the failing replica; returns true if it was sent there.
async fn run(request: InProgress, bad: AttemptOutcome) -> bool {
    let evidence = request.evidence().expect("a lease");
    evidence.note_sent(true, Duration::ZERO);
    let is_bad = request.replica().record.id == BAD;
    if is_bad {
        request.conclude(bad);
    } else {
        tokio::time::sleep(SERVED_AFTER).await;
        request.conclude(AttemptOutcome::Served);
    }
    is_bad
}

/// Sends [`REQUESTS`] from all daemons concurrently; returns how many went to the failing replica.
async fn send_from_all(
    daemons: &[Arc<SlotService>],
    bad: AttemptOutcome,
    may_repeat: bool,
) -> usize {
    let calls = daemons.iter().map(|daemon| async move {
        let mut sent = 0;
        for _ in 0..REQUESTS {
            let request = enter(daemon, None, may_repeat).await.expect("a slot");
            sent += usize::from(run(request, bad).await);
        }
        sent
    });
    futures::future::join_all(calls).await.into_iter().sum()
}

#[tokio::test]
async fn no_daemon_sends_to_a_failing_replica_after_its_first_failures() {
    for bad in [
        AttemptOutcome::Failed,
        AttemptOutcome::Disconnected,
        AttemptOutcome::Corrupt,
        AttemptOutcome::NotRun,
    ] {
        let daemons = fleet(Policy::default()).await;
        send_from_all(&daemons, AttemptOutcome::Served, false).await;
        let sent = send_from_all(&daemons, bad, false).await;
        // Requests in flight when it is ejected add to the first failures.
        assert!(
            sent <= 3 + 2 * DAEMONS,
            "{sent} of {} requests",
            DAEMONS * REQUESTS
        );
        let sent = send_from_all(&daemons, bad, false).await;
        assert_eq!(sent, 0, "it is ejected");
    }
}

/// Shows the failure that ejection prevents: an immediately failing replica always has free slots.
#[tokio::test]
async fn without_ejection_a_failing_replica_attracts_requests() {
    let policy = Policy::without("ejection").expect("a mechanism");
    let daemons = fleet(policy).await;
    send_from_all(&daemons, AttemptOutcome::Served, false).await;
    let sent = send_from_all(&daemons, AttemptOutcome::Failed, false).await;
    assert!(sent > DAEMONS * REQUESTS / REPLICAS, "{sent}");
}

#[tokio::test]
async fn outcomes_without_evidence_eject_no_replica() {
    let daemons = fleet(Policy::default()).await;
    let first = send_from_all(&daemons, AttemptOutcome::NoEvidence, true).await;
    let second = send_from_all(&daemons, AttemptOutcome::NoEvidence, true).await;
    assert!(first > REQUESTS && second > REQUESTS, "{first}, {second}");
}

/// Guards against probing an ejected replica with requests that must run once only, or with several at a time.
#[tokio::test]
async fn batch_items_probe_an_ejected_replica_back_into_service() {
    let daemons = fleet(Policy::default()).await;
    send_from_all(&daemons, AttemptOutcome::Served, false).await;
    send_from_all(&daemons, AttemptOutcome::Failed, false).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let item = ItemSlack {
        slack: Duration::from_secs(9),
    };
    let mut probes = 0;
    for number in 0..3 {
        let daemon = &daemons[number % DAEMONS];
        let probe = enter(daemon, Some(item), true).await.expect("room");
        probes += usize::from(probe.replica().record.id == BAD);
        let other = enter(&daemons[5], Some(item), true).await.expect("room");
        assert_ne!(other.replica().record.id, BAD, "one at a time");
        let online = enter(&daemons[6], None, false).await.expect("a slot");
        assert_ne!(
            online.replica().record.id,
            BAD,
            "not with one that runs once only"
        );
        probe.conclude(AttemptOutcome::Served);
        drop((probe, other, online));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(probes, 3, "items probe it");
    let sent = send_from_all(&daemons, AttemptOutcome::Served, false).await;
    assert!(sent > REQUESTS / 2, "{sent}: it is back");
}

/// Guards against ejecting a whole group, for example when a request itself causes the failures.
#[tokio::test]
async fn a_group_whose_replicas_all_fail_stays_in_use() {
    let daemons = fleet(Policy::default()).await;
    let mut replicas = std::collections::HashSet::new();
    for number in 0..400 {
        let request = enter(&daemons[number % DAEMONS], None, false).await;
        let request = request.expect("a slot");
        replicas.insert(request.replica().hash);
        request.conclude(AttemptOutcome::Failed);
    }
    assert_eq!(replicas.len(), REPLICAS);
    assert!(enter(&daemons[0], None, false).await.is_some());
}
