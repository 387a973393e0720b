//! Requests of daemons in three regions, over loopback with a delay between regions: they stay in their region, leave
//! it when it is full or dark, and come back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, SlotService};
use harrierward_serving::{
    ChosenBy, CrossRegionReason, InProgress, ItemSlack, Location, Prompt, PromptLength,
    ReplicaRecord, ReplicaSet, SelectionCosts, SlotLease, SlotLeases, SlotQuery, SlotReply,
};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{NodeDatagram, decode, node_datagram::Kind};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

const SERVICE: &str = "model";
const SLOTS: u32 = 2;
const OBJECTIVE: Duration = Duration::from_millis(600);
const ONE_WAY: Duration = Duration::from_millis(40);
const REGIONS: [&str; 3] = ["north", "middle", "south"];
const IN_A_REGION: usize = 8;

/// Longer than what a coordinator told of its room is believed, and than a replica or a coordinator is first avoided.
const FORGOTTEN: Duration = Duration::from_millis(1_100);

/// What lies between the regions.
#[derive(Default)]
struct Network {
    region_at: OnceLock<HashMap<SocketAddr, usize>>,
    is_cut: AtomicBool,
    /// Questions for slots that crossed between regions.
    far_asks: AtomicUsize,
}

impl Network {
    /// The time that a datagram takes; `None` if it is lost.
    fn delay(&self, from: SocketAddr, to: usize) -> Option<Duration> {
        let from = *self.region_at.get()?.get(&from)?;
        if from == to {
            return Some(Duration::ZERO);
        }
        let is_cut = self.is_cut.load(Ordering::Relaxed);
        (!is_cut).then_some(ONE_WAY)
    }
}

struct Daemon {
    region: usize,
    slots: Arc<SlotService>,
    replicas: Arc<ReplicaSet>,
}

struct Fleet {
    daemons: Vec<Daemon>,
    network: Arc<Network>,
}

impl Fleet {
    /// A daemon of a region, in turn.
    fn at(&self, region: usize, turn: usize) -> &Daemon {
        let there: Vec<&Daemon> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.region == region)
            .collect();
        there[turn % there.len()]
    }
}

fn records(counts: [usize; 3]) -> Vec<ReplicaRecord> {
    let regions = counts.into_iter().enumerate();
    let records = regions.flat_map(|(region, count)| {
        (0..count).map(move |number| ReplicaRecord {
            born_ms: None,
            region: REGIONS[region].to_owned(),
            warmup: Duration::ZERO,
            id: format!("{}-{number}", REGIONS[region]),
            service: SERVICE.to_owned(),
            address: format!("10.0.{region}.{number}:80"),
            zone: format!("{}-{}", REGIONS[region], number % 2),
            slots: SLOTS,
            draining: false,
        })
    });
    records.collect()
}

fn location(region: usize, turn: usize) -> Location {
    Location::new(
        &format!("{}-{}", REGIONS[region], turn % 2),
        REGIONS[region],
    )
}

/// Three daemons in each region, which know each other and so many replicas in each region.
async fn fleet(counts: [usize; 3]) -> Fleet {
    let network = Arc::new(Network::default());
    let mut members = Vec::new();
    let mut sockets = Vec::new();
    for (region, name) in REGIONS.into_iter().enumerate() {
        for turn in 0..3 {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
            let address = socket.local_addr().expect("an address");
            members.push(CoordinatorCandidate {
                id: format!("{name}-{turn}"),
                address: Some(address),
                location: location(region, turn),
            });
            sockets.push((region, Arc::new(socket), address));
        }
    }
    let regions = sockets.iter().map(|(region, _, at)| (*at, *region));
    network.region_at.set(regions.collect()).expect("set once");
    let mut daemons = Vec::new();
    for (member, (region, socket, _)) in members.iter().zip(sockets) {
        let replicas = Arc::new(ReplicaSet::default());
        replicas.replace(records(counts), |_| 100_000);
        let slots = Arc::new(SlotService::new(
            member.id.clone(),
            member.location,
            replicas.clone(),
            SelectionCosts::default(),
            DecisionLog::new(LogBounds::default()),
        ));
        slots.set_socket(socket.clone());
        slots.set_members(members.clone());
        let receiving = receive(slots.clone(), socket, region, network.clone());
        tokio::spawn(receiving);
        daemons.push(Daemon {
            region,
            slots,
            replicas,
        });
    }
    Fleet { daemons, network }
}

async fn receive(
    slots: Arc<SlotService>,
    socket: Arc<UdpSocket>,
    region: usize,
    network: Arc<Network>,
) {
    let mut buffer = vec![0; 2_000];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let datagram = decode::<NodeDatagram>(&buffer[..length]);
        let Some(kind) = datagram.and_then(|datagram| datagram.kind) else {
            continue;
        };
        let Some(delay) = network.delay(from, region) else {
            continue;
        };
        if !delay.is_zero() && matches!(kind, Kind::SlotAsk(_)) {
            network.far_asks.fetch_add(1, Ordering::Relaxed);
        }
        let slots = slots.clone();
        tokio::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            assert!(slots.receive(kind, from).is_none(), "not about slots");
        });
    }
}

static PROMPT: Prompt = Prompt {
    parts: Vec::new(),
    tokens: 0,
    output_tokens: 0,
};

const ITEM: ItemSlack = ItemSlack {
    slack: Duration::from_secs(9),
};

fn query<'a>(regions: &'a AllowedRegions, item: Option<ItemSlack>) -> SlotQuery<'a> {
    SlotQuery {
        may_repeat: true,
        service: SERVICE,
        prompt: &PROMPT,
        length: PromptLength::Uniform,
        excluded: &[],
        regions,
        objective: OBJECTIVE,
        item,
        overdue: false,
        max_retry_after: None,
    }
}

/// A request that holds its slot.
struct Held {
    region: String,
    left: Option<CrossRegionReason>,
    _in_progress: InProgress,
}

async fn enter_in(daemon: &Daemon, regions: &AllowedRegions) -> Option<Held> {
    let query = query(regions, None);
    let answer = daemon.slots.acquire(query).await;
    let SlotReply::Granted { choice, lease } = answer else {
        return None;
    };
    assert_eq!(choice.by, ChosenBy::Coordinator);
    let lease = SlotLease::new(daemon.slots.clone(), lease);
    let (region, left) = (choice.replica.record.region.clone(), choice.left_region);
    Some(Held {
        region,
        left,
        _in_progress: choice.enter(query.class(), lease).in_progress,
    })
}

async fn enter(daemon: &Daemon) -> Option<Held> {
    enter_in(daemon, &AllowedRegions::Any).await
}

/// So many requests that come to a region one after the other.
async fn enter_many(fleet: &Fleet, region: usize, count: usize) -> Vec<Held> {
    let mut held = Vec::new();
    for turn in 0..count {
        let one = enter(fleet.at(region, turn)).await;
        held.push(one.expect("a slot from a coordinator"));
    }
    held
}

fn away(held: &[Held], home: usize) -> usize {
    let is_away = |one: &&Held| one.region != REGIONS[home];
    held.iter().filter(is_away).count()
}

/// Waits until coordinators know what was given back.
async fn settle() {
    sleep(3 * ONE_WAY).await;
}

/// With eight replicas in a region, coordinators of groups over all places were mostly 40 ms away, longer than they
/// were waited for.
#[tokio::test]
async fn requests_get_their_slots_from_a_coordinator_of_their_region_at_once() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    for region in 0..3 {
        let began = Instant::now();
        let held = enter_many(&fleet, region, 12).await;
        assert_eq!(away(&held, region), 0);
        let each = began.elapsed() / 12;
        assert!(each < ONE_WAY, "{each:?} for a slot");
    }
}

/// Also for the first time: how long the way is shows only with the first answer.
#[tokio::test]
async fn a_coordinator_that_is_far_away_is_waited_for() {
    let fleet = fleet([0, IN_A_REGION, 0]).await;
    for _ in 0..4 {
        for turn in 0..3 {
            let held = enter(fleet.at(0, turn)).await.expect("an answer");
            assert_eq!(held.left, Some(CrossRegionReason::NoReplica));
        }
    }
}

#[tokio::test]
async fn requests_leave_a_region_whose_queue_costs_more_than_the_way_and_come_back() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let slots = IN_A_REGION * SLOTS as usize;
    let mut held = enter_many(&fleet, 0, slots).await;
    assert_eq!(away(&held, 0), 0, "there was room");
    let more = enter_many(&fleet, 0, 2 * slots).await;
    let left = away(&more, 0);
    assert!(left > 0, "nobody left the full region");
    let why = more.iter().filter(|one| one.region != REGIONS[0]);
    for one in why {
        assert_eq!(one.left, Some(CrossRegionReason::Full));
    }
    held.extend(more);
    drop(held);
    sleep(FORGOTTEN).await;
    let back = enter_many(&fleet, 0, 9).await;
    assert_eq!(away(&back, 0), 0);
}

/// A daemon that asks for the first time knows nothing of its region's queues but the answer to its own question.
#[tokio::test]
async fn a_daemon_that_asks_seldom_leaves_a_full_region_too() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let busy = fleet.at(0, 0);
    let home = AllowedRegions::only([REGIONS[0].to_owned()]);
    let mut held = Vec::new();
    for _ in 0..3 * IN_A_REGION * SLOTS as usize {
        held.push(enter_in(busy, &home).await.expect("a place"));
    }
    // The first question to another region tells how long the way is.
    for turn in [1, 2, 1, 2] {
        held.push(enter(fleet.at(0, turn)).await.expect("a place"));
        settle().await;
        sleep(FORGOTTEN).await;
    }
    let seldom = &held[held.len() - 2..];
    assert_eq!(away(seldom, 0), 2);
}

/// Its own coordinator would send the caller away; the slot found elsewhere instead is kept.
#[tokio::test]
async fn a_request_that_would_be_sent_away_asks_elsewhere_once() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let busy = [fleet.at(0, 0), fleet.at(0, 1)];
    let home = AllowedRegions::only([REGIONS[0].to_owned()]);
    let mut held = Vec::new();
    for turn in 0..4 * IN_A_REGION * SLOTS as usize {
        held.push(enter_in(busy[turn % 2], &home).await.expect("a place"));
    }
    // How long requests hold their slots shows when some end.
    sleep(OBJECTIVE).await;
    held.drain(..2 * IN_A_REGION * SLOTS as usize);
    settle().await;
    let regions = AllowedRegions::Any;
    let newcomer = SlotQuery {
        max_retry_after: Some(Duration::from_secs(5)),
        ..query(&regions, None)
    };
    let at_home = busy[0].slots.acquire(SlotQuery {
        regions: &home,
        ..newcomer
    });
    let at_home = at_home.await;
    assert!(
        matches!(at_home, SlotReply::RetryLater { .. }),
        "{at_home:?}"
    );
    // A daemon that knows how long the way is, and nothing of its region's queues.
    let asker = fleet.at(0, 2);
    for region in [1, 2] {
        let there = AllowedRegions::only([REGIONS[region].to_owned()]);
        assert!(enter_in(asker, &there).await.is_some());
    }
    fleet.network.far_asks.store(0, Ordering::Relaxed);
    let answer = asker.slots.acquire(newcomer).await;
    let SlotReply::Granted { choice, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(choice.left_region, Some(CrossRegionReason::Full));
    settle().await;
    assert_eq!(fleet.network.far_asks.load(Ordering::Relaxed), 1);
}

/// Coordinators give a request of a full region a slot only where there is room to spare: two full regions that both
/// believe the other one empty keep their requests.
#[tokio::test]
async fn full_regions_never_swap_requests() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let slots = IN_A_REGION * SLOTS as usize;
    let mut held = Vec::new();
    for region in 0..3 {
        held.extend(enter_many(&fleet, region, slots).await);
    }
    assert!(held.iter().all(|one| one.left.is_none()));
    for _ in 0..slots {
        for region in 0..3 {
            held.extend(enter_many(&fleet, region, 1).await);
        }
    }
    let left: Vec<&Held> = held.iter().filter(|one| one.left.is_some()).collect();
    assert!(left.is_empty(), "{} left a full region", left.len());
}

#[tokio::test]
async fn requests_leave_a_region_whose_replicas_are_silent_and_come_back() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    for daemon in &fleet.daemons {
        let view = daemon.replicas.view();
        let north = view.all().filter(|one| one.record.region == REGIONS[0]);
        north.for_each(|replica| replica.suspect());
    }
    for turn in 0..3 {
        let held = enter(fleet.at(0, turn)).await.expect("a slot elsewhere");
        assert_eq!(held.left, Some(CrossRegionReason::NoReplica));
    }
    let other = enter_many(&fleet, 1, 3).await;
    assert_eq!(away(&other, 1), 0, "only the dark region's leave");
    sleep(FORGOTTEN).await;
    let back = enter_many(&fleet, 0, 9).await;
    assert_eq!(away(&back, 0), 0);
}

/// A full region that is cut from the others asks there once in a while and serves all by itself; afterwards requests
/// leave it again.
#[tokio::test]
async fn a_full_region_that_is_cut_off_for_a_while_goes_on_by_itself() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let slots = IN_A_REGION * SLOTS as usize;
    let held = enter_many(&fleet, 0, slots).await;
    fleet.network.is_cut.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let cut = enter_many(&fleet, 0, 2 * slots).await;
    assert_eq!(away(&cut, 0), 0);
    let took = began.elapsed();
    // Three daemons that each wait for one coordinator of each other region, longest a third of the objective.
    assert!(took < 3 * 2 * (OBJECTIVE / 3), "{took:?}");
    fleet.network.is_cut.store(false, Ordering::Relaxed);
    sleep(FORGOTTEN).await;
    let more = enter_many(&fleet, 0, 2 * slots).await;
    assert!(away(&more, 0) > 0, "nobody leaves after the cut");
    drop(held);
}

/// A request that may be served in another region only goes there, and one that may be served at home only stays.
#[tokio::test]
async fn a_request_goes_only_where_it_may_be_served() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let south = AllowedRegions::only([REGIONS[2].to_owned()]);
    for turn in 0..6 {
        let held = enter_in(fleet.at(0, turn), &south).await.expect("a slot");
        assert_eq!(held.region, REGIONS[2]);
        assert_eq!(held.left, Some(CrossRegionReason::NoReplica));
    }
    let north = AllowedRegions::only([REGIONS[0].to_owned()]);
    for turn in 0..3 * IN_A_REGION * SLOTS as usize {
        let held = enter_in(fleet.at(0, turn), &north).await.expect("a slot");
        assert_eq!(held.region, REGIONS[0]);
        std::mem::forget(held);
    }
}

#[tokio::test]
async fn items_wait_rather_than_leave_their_region() {
    let fleet = fleet([IN_A_REGION; 3]).await;
    let held = enter_many(&fleet, 0, IN_A_REGION * SLOTS as usize).await;
    for turn in 0..12 {
        let daemon = fleet.at(0, turn);
        let answer = daemon
            .slots
            .acquire(query(&AllowedRegions::Any, Some(ITEM)));
        let answer = answer.await;
        assert!(matches!(answer, SlotReply::NoCapacity), "{answer:?}");
    }
    drop(held);
    settle().await;
    let answer = fleet
        .at(0, 0)
        .slots
        .acquire(query(&AllowedRegions::Any, Some(ITEM)));
    assert!(matches!(answer.await, SlotReply::Granted { .. }));
}

/// One replica less and the groups reach over all regions: their coordinator learns of all leases at the holders' next
/// tick, before it gives a slot out for the second time.
#[tokio::test]
async fn a_layout_that_changes_gives_no_slot_twice_after_the_next_tick() {
    let fleet = fleet([4, 4, 4]).await;
    let mut held = Vec::new();
    for region in 0..3 {
        held.extend(enter_many(&fleet, region, 6).await);
    }
    for daemon in &fleet.daemons {
        daemon.slots.tick();
    }
    for daemon in &fleet.daemons {
        daemon.replicas.replace(records([4, 4, 3]), |_| 100_000);
        daemon.slots.tick();
    }
    settle().await;
    let coordinator = fleet.daemons.iter().find(|daemon| {
        let view = daemon.replicas.view();
        view.all().all(|replica| daemon.slots.coordinates(replica))
    });
    let view = coordinator.expect("one coordinator").replicas.view();
    let known: u32 = view.all().map(|replica| replica.load()).sum();
    let listed: Vec<&str> = view.all().map(|one| one.record.id.as_str()).collect();
    let still = held
        .iter()
        .filter(|one| listed.contains(&one._in_progress.replica().record.id.as_str()));
    assert_eq!(known as usize, still.count());
}
