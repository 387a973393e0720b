//! Daemons that send to cold replicas, over loopback: what all of them together send stays within what a replica bears.

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

/// Requests that a cold replica may get in a second, from all daemons.
const MOST: u32 = 8;

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
    fleet.see(members.len(), Instant::now());
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

/// Daemons that know each other, long enough that each knows what it coordinates.
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

/// Time passes in which all daemons tick.
async fn settle(daemons: &[Daemon]) {
    pause();
    for _ in 0..50 {
        advance(Duration::from_millis(100)).await;
        daemons.iter().for_each(|daemon| daemon.slots.tick());
    }
    resume();
}

thread_local! {
    /// How long a daemon stands still before it reads an answer; each test runs on a thread of its own.
    static STANDS_STILL: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

async fn receive(slots: &SlotService, socket: &UdpSocket) {
    let mut buffer = vec![0; 2_000];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let datagram = decode::<NodeDatagram>(&buffer[..length]);
        if let Some(kind) = datagram.and_then(|datagram| datagram.kind) {
            if matches!(kind, Kind::SlotGrant(_)) {
                std::thread::sleep(STANDS_STILL.get());
            }
            assert!(slots.receive(kind, from).is_none(), "not about slots");
        }
    }
}

async fn ask(daemon: &Daemon, item: Option<ItemSlack>) -> SlotReply {
    ask_within(daemon, item, Duration::from_millis(300)).await
}

async fn ask_within(daemon: &Daemon, item: Option<ItemSlack>, objective: Duration) -> SlotReply {
    let prompt = Prompt::default();
    let query = SlotQuery {
        may_repeat: true,
        service: SERVICE,
        prompt: &prompt,
        length: PromptLength::Uniform,
        excluded: &[],
        regions: &AllowedRegions::Any,
        objective,
        item,
        overdue: false,
        max_retry_after: None,
    };
    daemon.slots.acquire(query).await
}

async fn choose(daemon: &Daemon) -> Option<Choice> {
    match ask(daemon, None).await {
        SlotReply::Granted { choice, .. } => Some(choice),
        _ => None,
    }
}

fn coordinator(daemons: &[Daemon]) -> &Daemon {
    let keeps = |daemon: &&Daemon| {
        let view = daemon.replicas.view();
        view.all().all(|replica| daemon.slots.coordinates(replica))
    };
    daemons.iter().find(keeps).expect("a coordinator")
}

/// All daemons ask as fast as they can for about a second.
#[tokio::test]
async fn all_daemons_together_send_a_cold_replica_what_it_bears() {
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
    assert_eq!(counts.len(), REPLICAS, "each gets some: {counts:?}");
    assert!(counts.values().all(|count| *count >= 2), "{counts:?}");
    assert!(
        counts.values().all(|count| *count <= MOST / 2),
        "{counts:?}"
    );
}

#[tokio::test]
async fn cold_replicas_without_a_token_are_passed_over_for_warm_ones() {
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
async fn where_all_are_cold_and_have_got_what_they_bear_nothing_is_granted() {
    let daemons = fleet(REPLICAS).await;
    let mut granted = 0;
    while let SlotReply::Granted { .. } = ask(&daemons[granted % 4], None).await {
        granted += 1;
        assert!(granted < 50);
    }
    for daemon in &daemons {
        let answer = ask(daemon, None).await;
        assert!(matches!(answer, SlotReply::AllCold), "{answer:?}");
    }
}

/// The coordinator has seen the replicas' rows, and the daemon that asks has not.
#[tokio::test]
async fn a_group_that_its_coordinator_calls_cold_is_so_for_who_asked() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    let asker = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    let view = asker.replicas.view();
    let are_told_cold = || view.all().all(|one| asker.slots.is_reported_cold(one));
    for replica in view.all() {
        replica.note_row_warmup(Duration::ZERO, Instant::now());
    }
    assert!(!are_told_cold());
    while choose(own).await.is_some() {}
    let answer = ask(asker, None).await;
    assert!(matches!(answer, SlotReply::AllCold), "{answer:?}");
    assert!(are_told_cold());
    settle(&daemons).await;
    assert!(!are_told_cold(), "a word holds for a moment");
    while choose(own).await.is_some() {}
    ask(asker, None).await;
    let view = own.replicas.view();
    for replica in view.all() {
        replica.note_row_warmup(Duration::ZERO, Instant::now());
    }
    assert!(choose(asker).await.is_some());
    assert!(!are_told_cold(), "the coordinator takes it back");
}

/// Items leave what they find to callers until it would be lost.
#[tokio::test]
async fn an_item_goes_to_a_cold_replica_only_where_callers_leave_it() {
    let item = Some(ItemSlack {
        slack: Duration::from_secs(9),
    });
    let daemons = fleet(REPLICAS).await;
    for _ in 0..REPLICAS {
        assert!(choose(&daemons[0]).await.is_some());
    }
    let answer = ask(&daemons[1], item).await;
    assert!(!matches!(answer, SlotReply::Granted { .. }), "{answer:?}");
    settle(&daemons).await;
    let answer = ask(&daemons[1], item).await;
    assert!(matches!(answer, SlotReply::Granted { .. }), "{answer:?}");
}

/// A daemon that has just become the coordinator waits; so does one that stood still.
#[tokio::test]
async fn a_new_coordinator_and_one_that_stood_still_grant_nothing_at_first() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    assert!(choose(own).await.is_some());
    pause();
    advance(Duration::from_secs(3)).await;
    assert!(choose(own).await.is_none(), "it stood still");
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
    // It alone is left of four, as far as it knows.
    successor.slots.set_members(vec![alone]);
    successor.slots.tick();
    assert!(
        choose(successor).await.is_none(),
        "the old one may grant yet"
    );
    settle(std::slice::from_ref(successor)).await;
    // The others may be cut off and go on: its part of what a replica bears is one request at the most.
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
    assert!(granted >= REPLICAS, "they count as gone now: {granted}");
}

/// A coordinator that has started behind a cut hears from those who ask it how large the fleet was.
#[tokio::test]
async fn a_coordinator_takes_what_askers_tell_of_the_fleet() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    assert!(choose(own).await.is_some());
    let ask = SlotAsk {
        fleet_members: 400,
        ..SlotAsk::default()
    };
    let from: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    assert!(own.slots.receive(Kind::SlotAsk(ask), from).is_none());
    assert!(own.fleet.share(4, Instant::now()) < 0.02);
    assert!(
        choose(own).await.is_none(),
        "4 of 400 give out next to nothing"
    );
}

/// A daemon that remembers more members than it sees tells the coordinator with its question.
#[tokio::test]
async fn an_asker_tells_of_the_fleet_that_it_remembers() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    let asker = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    assert!(asker.fleet.take(400, 10));
    let _ = choose(asker).await;
    assert!(own.fleet.share(4, Instant::now()) < 0.02);
}

/// The answer to the question of a daemon that stood still has lapsed when it is read.
#[tokio::test]
async fn a_late_answer_is_no_permission() {
    let daemons = fleet(REPLICAS).await;
    let own = coordinator(&daemons);
    let asker = daemons
        .iter()
        .find(|daemon| !std::ptr::eq(*daemon, own))
        .expect("another");
    STANDS_STILL.set(Duration::from_millis(40));
    let asked_at = Instant::now();
    // Its patience with the coordinator is longer than it stands still.
    let answer = ask_within(asker, None, Duration::from_secs(2)).await;
    let SlotReply::Granted { choice, .. } = answer else {
        panic!("granted: {answer:?}");
    };
    assert!(asked_at.elapsed() >= STANDS_STILL.get());
    let until = choice.cold_until.expect("counted");
    assert!(
        until <= asked_at + COLD_GRANT_LIFETIME + Duration::from_millis(20),
        "from the question"
    );
}

/// The question is answered twice where the first answer was lost: both are counted.
#[tokio::test]
async fn a_repeated_question_is_counted_again() {
    let daemons = fleet(1).await;
    let own = coordinator(&daemons);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let from = socket.local_addr().expect("an address");
    let mut counted = 0;
    for _ in 0..MOST {
        let view = own.replicas.view();
        let others: Vec<u32> = view
            .all()
            .filter(|replica| !replica.is_cold(Instant::now()))
            .map(|replica| replica.hash)
            .collect();
        let ask = SlotAsk {
            holder: 5,
            lease: 1,
            service: harrierward_serving::short_hash(SERVICE),
            // The replicas name no region: that is the one in which their group lies.
            group_area: harrierward_serving::short_hash(""),
            excluded: others,
            ..SlotAsk::default()
        };
        own.slots.receive(Kind::SlotAsk(ask), from);
        counted += u32::from(answer(&socket).await);
    }
    assert!((1..=MOST / 2).contains(&counted), "{counted}");
}

async fn answer(socket: &UdpSocket) -> bool {
    let mut buffer = vec![0; 2_000];
    let (length, _) = socket.recv_from(&mut buffer).await.expect("an answer");
    match decode::<NodeDatagram>(&buffer[..length]).and_then(|datagram| datagram.kind) {
        Some(Kind::SlotGrant(grant)) => grant.counted_cold,
        other => panic!("{other:?}"),
    }
}
