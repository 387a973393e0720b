//! Pacing of requests to cold replicas: all daemons together stay within a replica's warm-up rate.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, Pacing, SharedFleet, SlotService};
use harrierward_serving::{
    Choice, ItemSlack, Location, Prompt, PromptLength, ReplicaRecord, ReplicaSet, SelectionCosts,
    SlotLeases, SlotQuery, SlotReply, Warmup,
};
use harrierward_slots::COLD_GRANT_LIFETIME;
use harrierward_tenants::{AllowedRegions, RateBounds};
use harrierward_wire::{NodeDatagram, SlotAsk, decode, node_datagram::Kind};
use tokio::net::UdpSocket;
use tokio::time::{Instant, advance, pause, resume, sleep};

const SERVICE: &str = "model";
const REPLICAS: usize = 6;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(60),
    per_second: 2.0,
};

const BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(1),
    excess: 0.5,
    slack: 5.0,
};

/// Maximum requests per second to a cold replica, from all daemons.
const MAX_PER_SECOND: u32 = 8;

struct Daemon {
    slots: Arc<SlotService>,
    replicas: Arc<ReplicaSet>,
    fleet: Arc<SharedFleet>,
}

fn replica_set(cold: usize) -> Arc<ReplicaSet> {
    let replicas = ReplicaSet::default();
    let records = (0..REPLICAS).map(|number| ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: if number < cold {
            WARMUP.duration
        } else {
            Duration::ZERO
        },
        id: format!("replica-{number}"),
        service: SERVICE.to_owned(),
        version: String::new(),
        address: format!("10.0.0.{number}:80"),
        zone: "zone-a".to_owned(),
        slots: 100,
        draining: false,
    });
    replicas.replace(records.collect(), |_| 100_000);
    for replica in replicas.view().all() {
        replica.set_service_warmup(Some(WARMUP));
    }
    Arc::new(replicas)
}

fn start(name: &str, cold: usize, members: &[CoordinatorCandidate]) -> Daemon {
    let replicas = replica_set(cold);
    let slots = Arc::new(SlotService::new(
        name.to_owned(),
        Location::new("zone-a", "region"),
        replicas.clone(),
        SelectionCosts::default(),
        DecisionLog::new(LogBounds::default()),
    ));
    let fleet = Arc::new(SharedFleet::new(true));
    fleet.observe(members.len(), Instant::now());
    slots.set_pacing(Pacing {
        bounds: BOUNDS,
        fleet: fleet.clone(),
    });
    slots.set_members(members.to_vec());
    Daemon {
        slots,
        replicas,
        fleet,
    }
}

/// Starts daemons that are members of one fleet, and ticks them until the coordinators may grant.
async fn fleet(cold: usize) -> Vec<Daemon> {
    let mut sockets = Vec::new();
    let mut members = Vec::new();
    for name in NAMES {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
        members.push(CoordinatorCandidate {
            id: name.to_owned(),
            address: Some(socket.local_addr().expect("an address")),
            location: Location::new("zone-a", "region"),
        });
        sockets.push(socket);
    }
    let mut daemons = Vec::new();
    for (name, socket) in NAMES.iter().zip(sockets) {
        let daemon = start(name, cold, &members);
        daemon.slots.set_socket(socket.clone());
        let slots = daemon.slots.clone();
        tokio::spawn(async move { receive(&slots, &socket).await });
        daemons.push(daemon);
    }
    settle(&daemons).await;
    daemons
}

/// Advances the paused clock by five seconds, with a tick of all daemons every 100 ms.
async fn settle(daemons: &[Daemon]) {
    pause();
    for _ in 0..50 {
        advance(Duration::from_millis(100)).await;
        daemons.iter().for_each(|daemon| daemon.slots.tick());
    }
    resume();
}

thread_local! {
    /// How long a daemon is stalled before it reads a grant; each test runs on its own thread.
    static STALL: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

async fn receive(slots: &SlotService, socket: &UdpSocket) {
    let mut buffer = vec![0; 2_000];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let datagram = decode::<NodeDatagram>(&buffer[..length]);
        if let Some(kind) = datagram.and_then(|datagram| datagram.kind) {
            if matches!(kind, Kind::SlotGrant(_)) {
                std::thread::sleep(STALL.get());
            }
            assert!(slots.receive(kind, from).is_none(), "not about slots");
        }
    }
}

async fn acquire(daemon: &Daemon, item: Option<ItemSlack>) -> SlotReply {
    acquire_within(daemon, item, Duration::from_millis(300)).await
}

async fn acquire_within(
    daemon: &Daemon,
    item: Option<ItemSlack>,
    objective: Duration,
) -> SlotReply {
    let prompt = Prompt::default();
    let query = SlotQuery {
        may_repeat: true,
        service: SERVICE,
        prompt: &prompt,
        length: PromptLength::Uniform,
        excluded: &[],
        regions: &AllowedRegions::Any,
        version: None,
        objective,
        item,
        overdue: false,
        max_retry_after: None,
    };
    daemon.slots.acquire(query).await
}

async fn choose(daemon: &Daemon) -> Option<Choice> {
    match acquire(daemon, None).await {
        SlotReply::Granted { choice, .. } => Some(choice),
        _ => None,
    }
}

fn coordinator(daemons: &[Daemon]) -> &Daemon {
    let coordinates_all = |daemon: &&Daemon| {
        let view = daemon.replicas.view();
        view.all().all(|replica| daemon.slots.coordinates(replica))
    };
    daemons.iter().find(coordinates_all).expect("a coordinator")
}

/// Guards against daemons that each grant a replica's full rate.
#[tokio::test]
async fn all_daemons_together_stay_within_a_cold_replicas_rate() {
    let daemons = fleet(REPLICAS).await;
    let mut counts: HashMap<u32, u32> = HashMap::new();
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(900) {
        for daemon in &daemons {
            daemon.slots.tick();
            let Some(choice) = choose(daemon).await else {
                continue;
            };
            assert!(choice.cold_until.is_some(), "counted");
            *counts.entry(choice.replica.hash).or_default() += 1;
        }
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(counts.len(), REPLICAS, "each replica gets some: {counts:?}");
    assert!(counts.values().all(|count| *count >= 2), "{counts:?}");
    assert!(
        counts.values().all(|count| *count <= MAX_PER_SECOND / 2),
        "{counts:?}"
    );
}

#[tokio::test]
async fn warm_replicas_are_preferred_to_cold_ones_without_a_token() {
    let daemons = fleet(REPLICAS - 1).await;
    let mut warm = 0;
    for number in 0..200 {
        let choice = choose(&daemons[number % 4]).await.expect("one is warm");
        let is_cold = choice.replica.is_cold(Instant::now());
        assert_eq!(choice.cold_until.is_some(), is_cold);
        warm += u32::from(!is_cold);
    }
    assert!(warm > 150, "{warm}");
}

#[tokio::test]
async fn nothing_is_granted_when_all_replicas_are_cold_and_at_their_rate() {
    let daemons = fleet(REPLICAS).await;
    let mut granted = 0;
    while let SlotReply::Granted { .. } = acquire(&daemons[granted % 4], None).await {
        granted += 1;
        assert!(granted < 50);
    }
    for daemon in &daemons {
        let reply = acquire(daemon, None).await;
        assert!(matches!(reply, SlotReply::AllCold), "{reply:?}");
    }
}

/// Guards against requests to cold replicas by a daemon that hasn't received the replicas' rows yet.
#[tokio::test]
async fn a_group_reported_cold_is_considered_cold_by_the_requester() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    let requester = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    let view = requester.replicas.view();
    let are_reported_cold = || view.all().all(|one| requester.slots.is_reported_cold(one));
    for replica in view.all() {
        replica.note_row_warmup(Duration::ZERO, Instant::now());
    }
    assert!(!are_reported_cold());
    while choose(own).await.is_some() {}
    let reply = acquire(requester, None).await;
    assert!(matches!(reply, SlotReply::AllCold), "{reply:?}");
    assert!(are_reported_cold());
    settle(&daemons).await;
    assert!(!are_reported_cold(), "the report has expired");
    while choose(own).await.is_some() {}
    acquire(requester, None).await;
    let view = own.replicas.view();
    for replica in view.all() {
        replica.note_row_warmup(Duration::ZERO, Instant::now());
    }
    assert!(choose(requester).await.is_some());
    assert!(!are_reported_cold(), "the coordinator granted again");
}

/// Guards against batch items that use up the rate online requests need.
#[tokio::test]
async fn an_item_uses_only_the_cold_rate_that_online_requests_leave() {
    let item = Some(ItemSlack {
        slack: Duration::from_secs(9),
    });
    let daemons = fleet(REPLICAS).await;
    for _ in 0..REPLICAS {
        assert!(choose(&daemons[0]).await.is_some());
    }
    let reply = acquire(&daemons[1], item).await;
    assert!(!matches!(reply, SlotReply::Granted { .. }), "{reply:?}");
    settle(&daemons).await;
    let reply = acquire(&daemons[1], item).await;
    assert!(matches!(reply, SlotReply::Granted { .. }), "{reply:?}");
}

/// Guards against double grants by a former coordinator and its successor, and by a coordinator after a stall.
#[tokio::test]
async fn a_new_or_stalled_coordinator_grants_nothing_at_first() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    assert!(choose(own).await.is_some());
    pause();
    advance(Duration::from_secs(3)).await;
    assert!(choose(own).await.is_none(), "it was stalled");
    own.slots.tick();
    assert!(choose(own).await.is_none(), "it may have been replaced");
    resume();
    settle(&daemons).await;
    assert!(choose(own).await.is_some());

    let successor = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    let name = NAMES[daemons
        .iter()
        .position(|daemon| std::ptr::eq(daemon, successor))
        .expect("listed")];
    let alone = CoordinatorCandidate {
        id: name.to_owned(),
        address: None,
        location: Location::new("zone-a", "region"),
    };
    // Of four members, it sees only itself.
    successor.slots.set_members(vec![alone]);
    successor.slots.tick();
    assert!(
        choose(successor).await.is_none(),
        "its predecessor may still grant"
    );
    settle(std::slice::from_ref(successor)).await;
    // The others may be in another partition and still grant, so its share of a replica's rate is at most one request.
    let mut granted = 0;
    while choose(successor).await.is_some() {
        granted += 1;
    }
    assert!(granted <= REPLICAS, "{granted}");
    pause();
    advance(Duration::from_secs(21)).await;
    resume();
    settle(std::slice::from_ref(successor)).await;
    let mut granted = 0;
    while choose(successor).await.is_some() {
        granted += 1;
    }
    assert!(
        granted >= REPLICAS,
        "the others are considered departed: {granted}"
    );
}

/// Guards against a coordinator that started in a partition and grants the full rate.
#[tokio::test]
async fn a_coordinator_merges_the_fleet_size_in_requests() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    assert!(choose(own).await.is_some());
    let request = SlotAsk {
        fleet_members: 400,
        ..SlotAsk::default()
    };
    let from: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    assert!(own.slots.receive(Kind::SlotAsk(request), from).is_none());
    assert!(own.fleet.share(4, Instant::now()) < 0.02);
    assert!(
        choose(own).await.is_none(),
        "4 of 400 give out next to nothing"
    );
}

/// Guards against lease requests that omit a recent fleet size above the current one.
#[tokio::test]
async fn a_requester_reports_a_larger_recent_fleet_size() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    let requester = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    assert!(requester.fleet.merge_report(400, 10));
    let _ = choose(requester).await;
    assert!(own.fleet.share(4, Instant::now()) < 0.02);
}

/// Guards against a cold grant whose validity starts when a stalled daemon reads it instead of when it was requested.
#[tokio::test]
async fn a_cold_grant_expires_from_the_time_of_its_request() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    let requester = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    STALL.set(Duration::from_millis(40));
    let requested_at = Instant::now();
    // The objective makes the timeout for the coordinator longer than the stall.
    let reply = acquire_within(requester, None, Duration::from_secs(2)).await;
    let SlotReply::Granted { choice, .. } = reply else {
        panic!("not granted: {reply:?}");
    };
    assert!(requested_at.elapsed() >= STALL.get());
    let until = choice.cold_until.expect("counted");
    assert!(
        until <= requested_at + COLD_GRANT_LIFETIME + Duration::from_millis(20),
        "counted from the request"
    );
}

/// Guards against uncounted requests when a lost grant is sent again.
#[tokio::test]
async fn a_resent_request_is_counted_again() {
    let daemons = fleet(1).await;
    let own = coordinator(&daemons);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let from = socket.local_addr().expect("an address");
    let mut counted = 0;
    for _ in 0..MAX_PER_SECOND {
        let view = own.replicas.view();
        let others: Vec<u32> = view
            .all()
            .filter(|replica| !replica.is_cold(Instant::now()))
            .map(|replica| replica.hash)
            .collect();
        let request = SlotAsk {
            holder: 5,
            lease: 1,
            service: harrierward_serving::short_hash(SERVICE),
            // The replicas have an empty region name, which is also the area of their group.
            group_area: harrierward_serving::short_hash(""),
            excluded: others,
            ..SlotAsk::default()
        };
        own.slots.receive(Kind::SlotAsk(request), from);
        counted += u32::from(counted_as_cold(&socket).await);
    }
    assert!((1..=MAX_PER_SECOND / 2).contains(&counted), "{counted}");
}

async fn counted_as_cold(socket: &UdpSocket) -> bool {
    let mut buffer = vec![0; 2_000];
    let (length, _) = socket.recv_from(&mut buffer).await.expect("a reply");
    match decode::<NodeDatagram>(&buffer[..length]).and_then(|datagram| datagram.kind) {
        Some(Kind::SlotGrant(grant)) => grant.counted_cold,
        other => panic!("{other:?}"),
    }
}
