//! Lease requests of several daemons to one coordinator, over loopback.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, PreemptItems, SlotService};
use harrierward_serving::{
    InProgress, ItemSlack, Location, Prompt, PromptLength, Replica, ReplicaRecord, ReplicaSet,
    SelectionCosts, SlotLease, SlotLeases, SlotQuery, SlotReply, WorkClass,
};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{NodeDatagram, decode};
use tokio::net::UdpSocket;
use tokio::time::Instant;

const SERVICE: &str = "model";
const REPLICAS: usize = 12;
const SLOTS: u32 = 2;
const OBJECTIVE: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Preempted(Arc<Mutex<Vec<u32>>>);

impl PreemptItems for Preempted {
    fn preempt_lease(&self, lease: u32) {
        self.0.lock().expect("a lock").push(lease);
    }

    fn preempt_at(&self, _replica: &str, _count: u32) {}

    fn preempt_peer(&self, _replica: &Arc<Replica>) {}
}

struct Daemon {
    slots: Arc<SlotService>,
    replicas: Arc<ReplicaSet>,
    preempted: Arc<Mutex<Vec<u32>>>,
}

fn replica_set() -> Arc<ReplicaSet> {
    let replicas = ReplicaSet::default();
    let records = (0..REPLICAS).map(|number| ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: format!("replica-{number}"),
        service: SERVICE.to_owned(),
        version: String::new(),
        address: format!("10.0.0.{number}:80"),
        zone: "zone-a".to_owned(),
        slots: SLOTS,
        draining: false,
    });
    replicas.replace(records.collect(), |_| 100_000);
    Arc::new(replicas)
}

async fn socket() -> (Arc<UdpSocket>, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    (Arc::new(socket), address)
}

fn start(name: &str, socket: &Arc<UdpSocket>, members: &[CoordinatorCandidate]) -> Daemon {
    let replicas = replica_set();
    let slots = Arc::new(SlotService::new(
        name.to_owned(),
        Location::new("zone-a", "region"),
        replicas.clone(),
        SelectionCosts::default(),
        DecisionLog::new(LogBounds::default()),
    ));
    let preempted = Arc::<Mutex<Vec<u32>>>::default();
    slots.set_socket(socket.clone());
    slots.set_members(members.to_vec());
    slots.set_preemption(Box::new(Preempted(preempted.clone())));
    Daemon {
        slots,
        replicas,
        preempted,
    }
}

/// Starts daemons that are members of one fleet; those in `unresponsive` receive nothing.
async fn fleet(names: &[&str], unresponsive: &[&str]) -> Vec<Daemon> {
    let mut sockets = Vec::new();
    let mut members = Vec::new();
    for name in names {
        let (socket, address) = socket().await;
        sockets.push(socket);
        members.push(CoordinatorCandidate {
            id: (*name).to_owned(),
            address: Some(address),
            location: Location::new("zone-a", "region"),
        });
    }
    let mut daemons = Vec::new();
    for (name, socket) in names.iter().zip(sockets) {
        let daemon = start(name, &socket, &members);
        let slots = daemon.slots.clone();
        if !unresponsive.contains(name) {
            tokio::spawn(async move { receive(&slots, &socket).await });
        }
        daemons.push(daemon);
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

fn query<'a>(prompt: &'a Prompt, item: Option<ItemSlack>) -> SlotQuery<'a> {
    SlotQuery {
        service: SERVICE,
        prompt,
        length: PromptLength::Uniform,
        excluded: &[],
        regions: &AllowedRegions::Any,
        version: None,
        objective: OBJECTIVE,
        item,
        overdue: false,
        may_repeat: true,
        max_retry_after: None,
    }
}

const ITEM: ItemSlack = ItemSlack {
    slack: Duration::from_secs(9),
};

/// Guards against a leak: entries of departed members must be removed, since no later instance reuses their ids.
#[tokio::test]
async fn the_cooldown_of_a_departed_member_is_removed() {
    let (socket, _) = socket().await;
    let member = |name: &str, port: u16| CoordinatorCandidate {
        id: name.to_owned(),
        address: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        location: Location::new("zone-a", "region"),
    };
    // No socket is bound to this port.
    let unresponsive = vec![member("deaf", 9)];
    let daemon = start("a", &socket, &unresponsive);
    let view = daemon.replicas.view();
    let replica = view.all().next().expect("a replica");
    assert!(daemon.slots.is_coordinated(replica));
    assert!(enter(&daemon, None).await.is_none());
    assert!(
        !daemon.slots.is_coordinated(replica),
        "its coordinator is unresponsive"
    );
    daemon.slots.set_members(vec![member("a", 10)]);
    daemon.slots.set_members(unresponsive);
    assert!(daemon.slots.is_coordinated(replica));
}

/// Acquires a slot as a request does.
async fn enter(daemon: &Daemon, item: Option<ItemSlack>) -> Option<InProgress> {
    let prompt = Prompt::default();
    let reply = daemon.slots.acquire(query(&prompt, item)).await;
    let SlotReply::Granted { choice, lease } = reply else {
        return None;
    };
    let class = query(&prompt, item).class();
    let held = SlotLease::new(daemon.slots.clone(), lease);
    Some(choice.enter(class, held).in_progress)
}

/// Returns the daemon that coordinates the only group.
fn coordinator(daemons: &[Daemon]) -> &Daemon {
    let coordinates_all = |daemon: &&Daemon| {
        let view = daemon.replicas.view();
        view.all().all(|replica| daemon.slots.coordinates(replica))
    };
    daemons.iter().find(coordinates_all).expect("a coordinator")
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

#[tokio::test]
async fn concurrent_requests_fill_every_slot_and_none_twice() {
    let daemons = fleet(&NAMES, &[]).await;
    let all = REPLICAS * SLOTS as usize;
    let attempts = (0..all).map(|number| enter(&daemons[number % daemons.len()], None));
    let requests = futures::future::join_all(attempts).await;
    let mut held = std::collections::BTreeMap::<String, u32>::new();
    for request in requests.iter().flatten() {
        *held.entry(request.replica().record.id.clone()).or_default() += 1;
    }
    assert_eq!(held.len(), REPLICAS, "{held:?}");
    assert!(held.values().all(|count| *count == SLOTS), "{held:?}");
    assert!(
        enter(&daemons[0], Some(ITEM)).await.is_none(),
        "an item where all slots are taken"
    );
    drop(requests);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let view = coordinator(&daemons).replicas.view();
    assert_eq!(view.all().map(|replica| replica.load()).sum::<u32>(), 0);
}

#[tokio::test]
async fn an_online_request_preempts_an_item_of_another_daemon_if_all_slots_are_taken() {
    let daemons = fleet(&NAMES, &[]).await;
    let mut requests = Vec::new();
    for number in 0..REPLICAS {
        requests.push(enter(&daemons[number % 4], Some(ITEM)).await.expect("room"));
    }
    for number in 0..REPLICAS {
        requests.push(enter(&daemons[number % 4], None).await.expect("a slot"));
    }
    let preempted = || -> usize {
        let counts = daemons.iter();
        counts
            .map(|daemon| daemon.preempted.lock().expect("a lock").len())
            .sum()
    };
    assert_eq!(preempted(), 0, "there was free capacity");
    let urgent = enter(&daemons[1], None).await.expect("an item's slot");
    assert_eq!(urgent.class(), WorkClass::Online);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(preempted(), 1);
    let of_items: Vec<u32> = requests
        .iter()
        .filter(|request| request.class() == WorkClass::Batch)
        .filter(|request| request.replica().record.id == urgent.replica().record.id)
        .filter_map(InProgress::lease)
        .collect();
    let preempted_leases = daemons.iter();
    let preempted_leases =
        preempted_leases.flat_map(|daemon| daemon.preempted.lock().expect("a lock").clone());
    assert_eq!(preempted_leases.collect::<Vec<u32>>(), of_items);
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_coordinator_delays_the_first_request_only() {
    let daemons = fleet(&NAMES, &NAMES).await;
    let requester = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, coordinator(&daemons)))
        .expect("another daemon");
    let began = Instant::now();
    assert!(enter(requester, None).await.is_none());
    let first = began.elapsed();
    assert!(first < OBJECTIVE / 5, "{first:?}");
    let began = Instant::now();
    for _ in 0..20 {
        assert!(enter(requester, None).await.is_none());
    }
    let next = began.elapsed();
    assert!(next < OBJECTIVE / 10, "{next:?}");
}

/// Guards against overdue requests taking slots from requests that can still meet their objective.
#[tokio::test]
async fn an_overdue_request_waits_while_others_take_all_slots() {
    let daemons = fleet(&NAMES, &[]).await;
    let prompt = Prompt::default();
    let overdue = SlotQuery {
        overdue: true,
        ..query(&prompt, None)
    };
    let mut requests = Vec::new();
    for number in 0..REPLICAS * SLOTS as usize {
        requests.push(enter(&daemons[number % 4], None).await.expect("a slot"));
    }
    for daemon in &daemons {
        let reply = daemon.slots.acquire(overdue).await;
        assert!(matches!(reply, SlotReply::NoCapacity), "{reply:?}");
        assert!(enter(daemon, None).await.is_some(), "one that is in time");
    }
    requests.truncate(REPLICAS);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for daemon in &daemons {
        let reply = daemon.slots.acquire(overdue).await;
        assert!(matches!(reply, SlotReply::Granted { .. }), "{reply:?}");
    }
}

/// Holds `count` slots for `time`, so that the coordinator has observed a hold time.
async fn hold_slots(daemons: &[Daemon], count: usize, time: Duration) {
    let mut requests = Vec::new();
    for number in 0..count {
        let daemon = &daemons[number % daemons.len()];
        requests.push(enter(daemon, None).await.expect("a slot"));
    }
    tokio::time::sleep(time).await;
}

/// Guards against requests queueing past their objective, and against retries at the same time; requests without a
/// retry limit are queued.
#[tokio::test]
async fn a_request_that_would_be_late_is_given_a_retry_time() {
    const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);
    // Four queued requests of 200 ms each at a replica with two slots take longer than the objective.
    const WAITING: usize = 4;
    let daemons = fleet(&NAMES, &[]).await;
    let prompt = Prompt::default();
    let new_request = SlotQuery {
        max_retry_after: Some(MAX_RETRY_AFTER),
        ..query(&prompt, None)
    };
    hold_slots(
        &daemons,
        REPLICAS * SLOTS as usize * 2,
        Duration::from_millis(200),
    )
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    for daemon in &daemons {
        let reply = daemon.slots.acquire(new_request).await;
        assert!(matches!(reply, SlotReply::Granted { .. }), "{reply:?}");
    }
    let mut requests = Vec::new();
    for number in 0..REPLICAS * (SLOTS as usize + WAITING) {
        requests.push(enter(&daemons[number % 4], None).await.expect("a slot"));
    }
    let mut retry_times = HashSet::new();
    for number in 0..8 {
        let daemon = &daemons[number % 4];
        let reply = daemon.slots.acquire(new_request).await;
        let SlotReply::RetryLater { after } = reply else {
            panic!("{reply:?}");
        };
        assert!(
            after > Duration::ZERO && after <= MAX_RETRY_AFTER,
            "{after:?}"
        );
        retry_times.insert(after);
        let reply = daemon.slots.acquire(query(&prompt, None)).await;
        assert!(matches!(reply, SlotReply::Granted { .. }), "{reply:?}");
    }
    assert!(retry_times.len() >= 4, "{retry_times:?}");
}

/// Guards against a daemon that leaves preemption to an unresponsive coordinator.
#[tokio::test]
async fn replicas_are_coordinated_until_their_coordinator_is_unresponsive() {
    let responsive = fleet(&NAMES, &[]).await;
    let unresponsive = fleet(&NAMES, &NAMES).await;
    for daemons in [&responsive, &unresponsive] {
        for daemon in daemons {
            assert_eq!(
                enter(daemon, None).await.is_some(),
                is_all_coordinated(daemon)
            );
        }
    }
    assert!(responsive.iter().all(is_all_coordinated));
    let coordinated = unresponsive
        .iter()
        .filter(|daemon| is_all_coordinated(daemon));
    assert_eq!(coordinated.count(), 1, "only the coordinator's own");
}

fn is_all_coordinated(daemon: &Daemon) -> bool {
    let view = daemon.replicas.view();
    view.all()
        .all(|replica| daemon.slots.is_coordinated(replica))
}
