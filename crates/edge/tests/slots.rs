//! Daemons that ask a coordinator for places, over loopback.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, SlotService, YieldItems};
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
struct Ended(Arc<Mutex<Vec<u32>>>);

impl YieldItems for Ended {
    fn yield_lease(&self, place: u32) {
        self.0.lock().expect("a lock").push(place);
    }

    fn yield_at(&self, _replica: &str, _count: u32) {}

    fn ask_peer(&self, _replica: &Arc<Replica>) {}
}

struct Daemon {
    slots: Arc<SlotService>,
    replicas: Arc<ReplicaSet>,
    ended: Arc<Mutex<Vec<u32>>>,
}

fn replica_set() -> Arc<ReplicaSet> {
    let replicas = ReplicaSet::default();
    let records = (0..REPLICAS).map(|number| ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: format!("replica-{number}"),
        service: SERVICE.to_owned(),
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
    let ended = Arc::<Mutex<Vec<u32>>>::default();
    slots.set_socket(socket.clone());
    slots.set_members(members.to_vec());
    slots.set_yielding(Box::new(Ended(ended.clone())));
    Daemon {
        slots,
        replicas,
        ended,
    }
}

/// Daemons that know each other; `deaf` ones answer nothing.
async fn fleet(names: &[&str], deaf: &[&str]) -> Vec<Daemon> {
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
        if !deaf.contains(name) {
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
            assert!(slots.receive(kind, from).is_none(), "not about places");
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

/// A member that is gone for good would otherwise be remembered for ever: each start has a name of its own.
#[tokio::test]
async fn the_silence_of_a_member_is_forgotten_with_it() {
    let (socket, _) = socket().await;
    let member = |name: &str, port: u16| CoordinatorCandidate {
        id: name.to_owned(),
        address: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        location: Location::new("zone-a", "region"),
    };
    // Nobody listens there.
    let deaf = vec![member("deaf", 9)];
    let daemon = start("a", &socket, &deaf);
    let view = daemon.replicas.view();
    let replica = view.all().next().expect("a replica");
    assert!(daemon.slots.is_coordinated(replica));
    assert!(enter(&daemon, None).await.is_none());
    assert!(!daemon.slots.is_coordinated(replica), "it is silent");
    daemon.slots.set_members(vec![member("a", 10)]);
    daemon.slots.set_members(deaf);
    assert!(daemon.slots.is_coordinated(replica));
}

/// A place, entered as a request does.
async fn enter(daemon: &Daemon, item: Option<ItemSlack>) -> Option<InProgress> {
    let prompt = Prompt::default();
    let answer = daemon.slots.acquire(query(&prompt, item)).await;
    let SlotReply::Granted { choice, lease } = answer else {
        return None;
    };
    let class = query(&prompt, item).class();
    let held = SlotLease::new(daemon.slots.clone(), lease);
    Some(choice.enter(class, held).in_progress)
}

/// The daemon that keeps the only group.
fn coordinator(daemons: &[Daemon]) -> &Daemon {
    let keeps = |daemon: &&Daemon| {
        let view = daemon.replicas.view();
        view.all().all(|replica| daemon.slots.coordinates(replica))
    };
    daemons.iter().find(keeps).expect("a coordinator")
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

#[tokio::test]
async fn daemons_that_choose_at_the_same_moment_fill_every_slot_and_none_twice() {
    let daemons = fleet(&NAMES, &[]).await;
    let all = REPLICAS * SLOTS as usize;
    let asks = (0..all).map(|number| enter(&daemons[number % daemons.len()], None));
    let places = futures::future::join_all(asks).await;
    let mut held = std::collections::BTreeMap::<String, u32>::new();
    for place in places.iter().flatten() {
        *held.entry(place.replica().record.id.clone()).or_default() += 1;
    }
    assert_eq!(held.len(), REPLICAS, "{held:?}");
    assert!(held.values().all(|count| *count == SLOTS), "{held:?}");
    assert!(
        enter(&daemons[0], Some(ITEM)).await.is_none(),
        "an item where all slots are taken"
    );
    drop(places);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let view = coordinator(&daemons).replicas.view();
    assert_eq!(view.all().map(|replica| replica.load()).sum::<u32>(), 0);
}

#[tokio::test]
async fn an_online_request_ends_an_item_of_another_daemon_where_all_slots_are_taken() {
    let daemons = fleet(&NAMES, &[]).await;
    let mut places = Vec::new();
    for number in 0..REPLICAS {
        places.push(enter(&daemons[number % 4], Some(ITEM)).await.expect("room"));
    }
    for number in 0..REPLICAS {
        places.push(enter(&daemons[number % 4], None).await.expect("a slot"));
    }
    let ended = || -> usize {
        let counts = daemons.iter();
        counts
            .map(|daemon| daemon.ended.lock().expect("a lock").len())
            .sum()
    };
    assert_eq!(ended(), 0, "there was room");
    let urgent = enter(&daemons[1], None).await.expect("an item's slot");
    assert_eq!(urgent.class(), WorkClass::Online);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(ended(), 1);
    let of_items: Vec<u32> = places
        .iter()
        .filter(|place| place.class() == WorkClass::Batch)
        .filter(|place| place.replica().record.id == urgent.replica().record.id)
        .filter_map(InProgress::lease)
        .collect();
    let orders = daemons.iter();
    let orders = orders.flat_map(|daemon| daemon.ended.lock().expect("a lock").clone());
    assert_eq!(orders.collect::<Vec<u32>>(), of_items);
}

#[tokio::test(start_paused = true)]
async fn a_silent_coordinator_costs_a_request_a_tenth_of_its_objective_and_the_next_ones_nothing() {
    let daemons = fleet(&NAMES, &NAMES).await;
    let asker = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, coordinator(&daemons)))
        .expect("another daemon");
    let began = Instant::now();
    assert!(enter(asker, None).await.is_none());
    let first = began.elapsed();
    assert!(first < OBJECTIVE / 5, "{first:?}");
    let began = Instant::now();
    for _ in 0..20 {
        assert!(enter(asker, None).await.is_none());
    }
    let next = began.elapsed();
    assert!(next < OBJECTIVE / 10, "{next:?}");
}

/// A request whose objective has passed leaves the last slots to those that can still be in time, and gets one as
/// soon as there are enough. Those of items count as free.
#[tokio::test]
async fn an_overdue_request_waits_while_others_take_all_slots() {
    let daemons = fleet(&NAMES, &[]).await;
    let prompt = Prompt::default();
    let overdue = SlotQuery {
        overdue: true,
        ..query(&prompt, None)
    };
    let mut places = Vec::new();
    for number in 0..REPLICAS * SLOTS as usize {
        places.push(enter(&daemons[number % 4], None).await.expect("a slot"));
    }
    for daemon in &daemons {
        let answer = daemon.slots.acquire(overdue).await;
        assert!(matches!(answer, SlotReply::NoCapacity), "{answer:?}");
        assert!(enter(daemon, None).await.is_some(), "one that is in time");
    }
    places.truncate(REPLICAS);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for daemon in &daemons {
        let answer = daemon.slots.acquire(overdue).await;
        assert!(matches!(answer, SlotReply::Granted { .. }), "{answer:?}");
    }
}

/// Holds so many slots for a while, so that coordinators know how long requests take.
async fn hold_slots(daemons: &[Daemon], count: usize, time: Duration) {
    let mut places = Vec::new();
    for number in 0..count {
        let daemon = &daemons[number % daemons.len()];
        places.push(enter(daemon, None).await.expect("a slot"));
    }
    tokio::time::sleep(time).await;
}

/// A newcomer that would be late is told to come back, each at another moment within its caller's patience; one that
/// has come back before, or whose caller waits without a bound, is placed.
#[tokio::test]
async fn a_newcomer_that_would_be_late_is_told_when_to_come_back() {
    const MAY_RETURN: Duration = Duration::from_millis(1_500);
    // Four requests that wait at a replica with two slots, of 200 ms each, take longer than the objective.
    const WAITING: usize = 4;
    let daemons = fleet(&NAMES, &[]).await;
    let prompt = Prompt::default();
    let newcomer = SlotQuery {
        max_retry_after: Some(MAY_RETURN),
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
        let answer = daemon.slots.acquire(newcomer).await;
        assert!(matches!(answer, SlotReply::Granted { .. }), "{answer:?}");
    }
    let mut places = Vec::new();
    for number in 0..REPLICAS * (SLOTS as usize + WAITING) {
        places.push(enter(&daemons[number % 4], None).await.expect("a slot"));
    }
    let mut moments = HashSet::new();
    for number in 0..8 {
        let daemon = &daemons[number % 4];
        let answer = daemon.slots.acquire(newcomer).await;
        let SlotReply::RetryLater { after } = answer else {
            panic!("{answer:?}");
        };
        assert!(after > Duration::ZERO && after <= MAY_RETURN, "{after:?}");
        moments.insert(after);
        let answer = daemon.slots.acquire(query(&prompt, None)).await;
        assert!(matches!(answer, SlotReply::Granted { .. }), "{answer:?}");
    }
    assert!(moments.len() >= 4, "{moments:?}");
}

/// Where a coordinator answers, a daemon leaves it to end items; where none does, it goes by its own estimate.
#[tokio::test]
async fn replicas_are_coordinated_until_their_coordinator_falls_silent() {
    let answering = fleet(&NAMES, &[]).await;
    let deaf = fleet(&NAMES, &NAMES).await;
    for daemons in [&answering, &deaf] {
        for daemon in daemons {
            assert_eq!(
                enter(daemon, None).await.is_some(),
                is_all_coordinated(daemon)
            );
        }
    }
    assert!(answering.iter().all(is_all_coordinated));
    let coordinated = deaf.iter().filter(|daemon| is_all_coordinated(daemon));
    assert_eq!(coordinated.count(), 1, "only the coordinator's own");
}

fn is_all_coordinated(daemon: &Daemon) -> bool {
    let view = daemon.replicas.view();
    view.all()
        .all(|replica| daemon.slots.is_coordinated(replica))
}
