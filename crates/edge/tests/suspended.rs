//! Suspension of a daemon's machine: leases, reports and idle connections from before it have aged by its duration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{
    ConnectionPool, CoordinatorCandidate, PoolSettings, QuarantineService, SlotService,
};
use harrierward_quarantine::{ContentId, Status};
use harrierward_serving::{
    ItemSlack, Location, Prompt, PromptLength, Quarantine, Replica, ReplicaRecord, ReplicaSet,
    SelectionCosts, SlotLeases, SlotQuery, SlotReply,
};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{
    CrashNews, CrashedContent, HeldSlot, LeaseOutcome, NodeDatagram, OutcomeKind, ReplicaEnd,
    SlotGrant, SlotReport, WholeReport, decode, encode, node_datagram::Kind,
};
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::timeout;

const SERVICE: &str = "model";
const REPLICAS: usize = 4;

/// Longer than a holder's leases last without a report, and than an idle connection is kept.
const SUSPENSION: Duration = Duration::from_secs(3);

/// Timeout for a datagram over loopback.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Serializes the tests, since the simulated clock is shared by the process.
async fn exclusive() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

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

async fn socket() -> (Arc<UdpSocket>, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    (Arc::new(socket), address)
}

fn member(id: &str, address: SocketAddr) -> CoordinatorCandidate {
    CoordinatorCandidate {
        id: id.to_owned(),
        address: Some(address),
        location: Location::new("zone-a", "region"),
    }
}

/// Starts a daemon with `coordinator` as the only member, and so as the coordinator of all groups.
fn daemon(
    name: &str,
    coordinator: CoordinatorCandidate,
    socket: &Arc<UdpSocket>,
) -> (Arc<SlotService>, Arc<ReplicaSet>) {
    let replicas = replica_set();
    let slots = Arc::new(SlotService::new(
        name.to_owned(),
        Location::new("zone-a", "region"),
        replicas.clone(),
        SelectionCosts::default(),
        DecisionLog::new(LogBounds::default()),
    ));
    slots.set_socket(socket.clone());
    slots.set_members(vec![coordinator]);
    (slots, replicas)
}

async fn receive_one(socket: &UdpSocket) -> (Kind, SocketAddr) {
    let mut buffer = vec![0; 2_000];
    let received = timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (length, from) = received.expect("in time").expect("a datagram");
    let datagram = decode::<NodeDatagram>(&buffer[..length]).expect("readable");
    (datagram.kind.expect("a kind"), from)
}

async fn send(socket: &UdpSocket, kind: Kind, address: SocketAddr) {
    let bytes = encode(&NodeDatagram { kind: Some(kind) });
    socket.send_to(&bytes, address).await.expect("sent");
}

fn query<'a>(prompt: &'a Prompt) -> SlotQuery<'a> {
    SlotQuery {
        service: SERVICE,
        prompt,
        length: PromptLength::Uniform,
        excluded: &[],
        regions: &AllowedRegions::Any,
        version: None,
        objective: Duration::from_secs(3),
        item: None,
        overdue: false,
        may_repeat: true,
        max_retry_after: None,
    }
}

/// Guards against using a lease that the coordinator has expired, and whose slot it may have granted again.
#[tokio::test]
async fn a_suspended_holder_accepts_no_lease_granted_before() {
    let _turn = exclusive().await;
    let (peer, peer_address) = socket().await;
    let (own, _) = socket().await;
    let (holder, replicas) = daemon("holder", member("peer", peer_address), &own);
    let receiving = {
        let (holder, own) = (holder.clone(), own.clone());
        tokio::spawn(async move {
            let (grant, from) = receive_one(&own).await;
            assert!(holder.receive(grant, from).is_none());
        })
    };
    let granting = async {
        let (Kind::SlotAsk(ask), from) = receive_one(&peer).await else {
            panic!("not a lease request");
        };
        harrierward_clock::simulate_suspension(SUSPENSION);
        let grant = SlotGrant {
            lease: ask.lease,
            replica: replicas.view().all().next().expect("a replica").hash,
            load: 1,
            free_permille: 900,
            ..SlotGrant::default()
        };
        send(&peer, Kind::SlotGrant(grant), from).await;
        ask.lease
    };
    let prompt = Prompt::default();
    let (reply, lease) = tokio::join!(holder.acquire(query(&prompt)), granting);
    assert!(
        matches!(reply, SlotReply::NoCoordinator),
        "the lease has expired"
    );
    receiving.await.expect("no panic");
    loop {
        // The request may have been resent.
        if let (Kind::SlotReport(report), _) = receive_one(&peer).await {
            assert_eq!(report.released, vec![lease], "the lease is released");
            break;
        }
    }
}

fn full_report(holder: u64, number: u64, leases: &[u32], replica: u32) -> Kind {
    let held = leases.iter().map(|lease| HeldSlot {
        lease: *lease,
        replica,
        batch: false,
        slack_ms: 0,
    });
    Kind::SlotReport(SlotReport {
        holder,
        held: held.collect(),
        whole: Some(WholeReport {
            number,
            next_lease: 100,
            awaited: Vec::new(),
        }),
        ..SlotReport::default()
    })
}

/// Guards against expired leases that are renewed by a datagram received before the next tick.
#[tokio::test]
async fn a_suspended_coordinator_expires_leases_reported_before() {
    let _turn = exclusive().await;
    let (own, own_address) = socket().await;
    let (coordinator, replicas) = daemon("own", member("own", own_address), &own);
    let from = SocketAddr::from(([127, 0, 0, 1], 9));
    let view = replicas.view();
    let replica = view.all().next().expect("a replica");
    for holder in 1..=2 {
        let report = full_report(holder, 1, &[1, 2], replica.hash);
        assert!(coordinator.receive(report, from).is_none());
    }
    assert_eq!(replica.online(), 4);
    harrierward_clock::simulate_suspension(SUSPENSION);
    let released = SlotReport {
        holder: 1,
        released: vec![1],
        ..SlotReport::default()
    };
    coordinator.receive(Kind::SlotReport(released), from);
    assert_eq!(replica.online(), 0);
    let report = full_report(1, 2, &[2], replica.hash);
    coordinator.receive(report, from);
    assert_eq!(replica.online(), 1, "a new report counts");
}

/// Starts a server that never closes connections; returns its address and the count of accepted connections.
async fn server() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let accepted = Arc::<AtomicUsize>::default();
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream));
        }
    });
    (address, accepted)
}

async fn serve(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf";
        if count == 0 || stream.write_all(response).await.is_err() {
            return;
        }
    }
}

async fn exchange(pool: &ConnectionPool, address: &str) {
    let request = Request::builder().uri("/").header("host", "example");
    let request = request.body(Bytes::new()).expect("request");
    let mut response = pool
        .send(address, request, false)
        .await
        .expect("a response");
    while let Some(part) = response.body.next().await {
        part.expect("part");
    }
}

/// Guards against reusing connections that the replica or a proxy may have closed during the suspension.
#[tokio::test]
async fn idle_connections_from_before_a_suspension_are_not_reused() {
    let _turn = exclusive().await;
    let (address, accepted) = server().await;
    let log = DecisionLog::new(LogBounds::default());
    let pool = ConnectionPool::new(PoolSettings::default(), log);
    exchange(&pool, &address).await;
    exchange(&pool, &address).await;
    assert_eq!(
        accepted.load(Ordering::Relaxed),
        1,
        "the connection is reused"
    );
    harrierward_clock::simulate_suspension(SUSPENSION);
    assert!(!pool.has_idle(&address), "the connection has expired");
    exchange(&pool, &address).await;
    assert_eq!(accepted.load(Ordering::Relaxed), 2);
}

/// Returns the report of a completed request of another daemon.
fn completed(lease: u32, replica: u32, kind: OutcomeKind) -> Kind {
    let outcome = LeaseOutcome {
        lease,
        replica,
        kind: kind.into(),
        first_event_ms: 0,
    };
    Kind::SlotReport(SlotReport {
        holder: 1,
        released: vec![lease],
        outcomes: vec![outcome],
        ..SlotReport::default()
    })
}

/// Returns the replica at which an item is placed.
async fn place_item(coordinator: &SlotService) -> Arc<Replica> {
    let prompt = Prompt::default();
    let item = ItemSlack {
        slack: Duration::from_secs(9),
    };
    let query = SlotQuery {
        item: Some(item),
        ..query(&prompt)
    };
    match coordinator.acquire(query).await {
        SlotReply::Granted { choice, .. } => choice.replica,
        _ => panic!("no slot"),
    }
}

#[tokio::test]
async fn an_ejected_replica_is_probed_after_a_suspension_longer_than_its_ejection() {
    let _turn = exclusive().await;
    let (own, own_address) = socket().await;
    let (coordinator, replicas) = daemon("own", member("own", own_address), &own);
    let view = replicas.view();
    let bad = view.get("replica-0").expect("a replica").hash;
    let from = SocketAddr::from(([127, 0, 0, 1], 9));
    for lease in 1..=40 {
        for replica in view.all().filter(|replica| replica.hash != bad) {
            coordinator.receive(completed(lease, replica.hash, OutcomeKind::Served), from);
        }
    }
    for lease in 41..=60 {
        coordinator.receive(completed(lease, bad, OutcomeKind::Failed), from);
    }
    for _ in 0..8 {
        assert_ne!(place_item(&coordinator).await.hash, bad, "it is ejected");
    }
    harrierward_clock::simulate_suspension(SUSPENSION);
    assert_eq!(place_item(&coordinator).await.hash, bad, "it is probed");
    assert_ne!(place_item(&coordinator).await.hash, bad, "one at a time");
}

/// Guards against a quarantine that outlasts the retry delay given to callers, whose clocks didn't stop.
#[tokio::test]
async fn a_suspension_does_not_extend_a_quarantine() {
    const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
    let _turn = exclusive().await;
    let log = DecisionLog::new(LogBounds::default());
    let pool = ConnectionPool::new(PoolSettings::default(), log.clone());
    let quarantine = QuarantineService::new("own".to_owned(), replica_set(), pool, log);
    let crashes = (1..=3).map(|replica| ReplicaEnd { replica, age_ms: 0 });
    let reports = CrashNews {
        contents: vec![CrashedContent {
            content: 5,
            ends: crashes.collect(),
            ..CrashedContent::default()
        }],
        ..CrashNews::default()
    };
    assert!(quarantine.receive(Kind::CrashNews(reports)).is_none());
    let Status::Quarantined(period) = quarantine.status(&ContentId(5).into()) else {
        panic!("not quarantined");
    };
    harrierward_clock::simulate_suspension(Duration::from_secs(6));
    assert!(period.allows_trial(harrierward_clock::now()));
    let remaining = period
        .until
        .saturating_duration_since(harrierward_clock::now());
    let expected = QUARANTINE_DURATION - Duration::from_secs(6);
    let passed = expected.saturating_sub(remaining);
    assert!(remaining <= expected && passed < TIMEOUT, "{remaining:?}");
    harrierward_clock::simulate_suspension(QUARANTINE_DURATION);
    let status = quarantine.status(&ContentId(5).into());
    assert_eq!(status, Status::Suspect { crashes: 3 });
}
