//! Placement across three regions, over loopback with a delay between regions: requests spill from a region that is
//! full or unresponsive, and return to it.

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
const PER_REGION: usize = 8;

/// Longer than reported capacity is used, and than the first cooldown of a replica or coordinator.
const EXPIRED: Duration = Duration::from_millis(1_100);

/// Simulated network between the regions.
#[derive(Default)]
struct Network {
    region_at: OnceLock<HashMap<SocketAddr, usize>>,
    is_partitioned: AtomicBool,
    /// Number of lease requests sent between regions.
    cross_region_requests: AtomicUsize,
}

impl Network {
    /// Returns the delay of a datagram; `None` if it is lost.
    fn delay(&self, from: SocketAddr, to: usize) -> Option<Duration> {
        let from = *self.region_at.get()?.get(&from)?;
        if from == to {
            return Some(Duration::ZERO);
        }
        let is_partitioned = self.is_partitioned.load(Ordering::Relaxed);
        (!is_partitioned).then_some(ONE_WAY)
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
    /// Returns one of the daemons of a region, chosen by `turn`.
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
            version: String::new(),
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

/// Starts one fleet with three daemons in each region and `counts` replicas by region.
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
            network
                .cross_region_requests
                .fetch_add(1, Ordering::Relaxed);
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
        version: None,
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
    let reply = daemon.slots.acquire(query).await;
    let SlotReply::Granted { choice, lease } = reply else {
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

/// Acquires slots for `count` consecutive requests in a region.
async fn enter_many(fleet: &Fleet, region: usize, count: usize) -> Vec<Held> {
    let mut held = Vec::new();
    for turn in 0..count {
        let one = enter(fleet.at(region, turn)).await;
        held.push(one.expect("a slot from a coordinator"));
    }
    held
}

fn outside(held: &[Held], own_region: usize) -> usize {
    let is_outside = |one: &&Held| one.region != REGIONS[own_region];
    held.iter().filter(is_outside).count()
}

/// Waits until coordinators have received the released leases.
async fn settle() {
    sleep(3 * ONE_WAY).await;
}

/// Guards against groups that span regions, whose coordinators would be too far away to reply in time.
#[tokio::test]
async fn slots_are_granted_by_a_coordinator_of_the_own_region() {
    let fleet = fleet([PER_REGION; 3]).await;
    for region in 0..3 {
        let began = Instant::now();
        let held = enter_many(&fleet, region, 12).await;
        assert_eq!(outside(&held, region), 0);
        let each = began.elapsed() / 12;
        assert!(each < ONE_WAY, "{each:?} for a slot");
    }
}

/// Guards against a timeout below the round-trip time before the first reply has measured it.
#[tokio::test]
async fn requests_wait_for_a_distant_coordinator() {
    let fleet = fleet([0, PER_REGION, 0]).await;
    for _ in 0..4 {
        for turn in 0..3 {
            let held = enter(fleet.at(0, turn)).await.expect("a slot");
            assert_eq!(held.left, Some(CrossRegionReason::NoReplica));
        }
    }
}

#[tokio::test]
async fn requests_spill_while_the_queue_costs_more_than_the_round_trip() {
    let fleet = fleet([PER_REGION; 3]).await;
    let slots = PER_REGION * SLOTS as usize;
    let mut held = enter_many(&fleet, 0, slots).await;
    assert_eq!(outside(&held, 0), 0, "there was free capacity");
    let more = enter_many(&fleet, 0, 2 * slots).await;
    let left = outside(&more, 0);
    assert!(left > 0, "nothing spilled from the full region");
    let spilled = more.iter().filter(|one| one.region != REGIONS[0]);
    for one in spilled {
        assert_eq!(one.left, Some(CrossRegionReason::Full));
    }
    held.extend(more);
    drop(held);
    sleep(EXPIRED).await;
    let back = enter_many(&fleet, 0, 9).await;
    assert_eq!(outside(&back, 0), 0);
}

/// Guards against queueing by a daemon without recent capacity reports other than the reply to its own request.
#[tokio::test]
async fn a_daemon_with_few_requests_spills_from_a_full_region() {
    let fleet = fleet([PER_REGION; 3]).await;
    let busy = fleet.at(0, 0);
    let own_region = AllowedRegions::only([REGIONS[0].to_owned()]);
    let mut held = Vec::new();
    for _ in 0..3 * PER_REGION * SLOTS as usize {
        held.push(enter_in(busy, &own_region).await.expect("a slot"));
    }
    // The first request to another region measures the round-trip time.
    for turn in [1, 2, 1, 2] {
        held.push(enter(fleet.at(0, turn)).await.expect("a slot"));
        settle().await;
        sleep(EXPIRED).await;
    }
    let infrequent = &held[held.len() - 2..];
    assert_eq!(outside(infrequent, 0), 2);
}

/// Guards against a refusal while other regions have free slots, and against more than one request there.
#[tokio::test]
async fn a_request_that_would_be_refused_tries_one_other_region() {
    let fleet = fleet([PER_REGION; 3]).await;
    let busy = [fleet.at(0, 0), fleet.at(0, 1)];
    let own_region = AllowedRegions::only([REGIONS[0].to_owned()]);
    let mut held = Vec::new();
    for turn in 0..4 * PER_REGION * SLOTS as usize {
        held.push(enter_in(busy[turn % 2], &own_region).await.expect("a slot"));
    }
    // Coordinators observe hold times when leases are released.
    sleep(OBJECTIVE).await;
    held.drain(..2 * PER_REGION * SLOTS as usize);
    settle().await;
    let regions = AllowedRegions::Any;
    let new_request = SlotQuery {
        max_retry_after: Some(Duration::from_secs(5)),
        ..query(&regions, None)
    };
    let in_own_region = busy[0].slots.acquire(SlotQuery {
        regions: &own_region,
        ..new_request
    });
    let in_own_region = in_own_region.await;
    assert!(
        matches!(in_own_region, SlotReply::RetryLater { .. }),
        "{in_own_region:?}"
    );
    // A daemon with measured round-trip times but without capacity reports of its region.
    let requester = fleet.at(0, 2);
    for region in [1, 2] {
        let there = AllowedRegions::only([REGIONS[region].to_owned()]);
        assert!(enter_in(requester, &there).await.is_some());
    }
    fleet
        .network
        .cross_region_requests
        .store(0, Ordering::Relaxed);
    let reply = requester.slots.acquire(new_request).await;
    let SlotReply::Granted { choice, .. } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(choice.left_region, Some(CrossRegionReason::Full));
    settle().await;
    assert_eq!(
        fleet.network.cross_region_requests.load(Ordering::Relaxed),
        1
    );
}

/// Guards against two full regions that spill to each other.
#[tokio::test]
async fn full_regions_never_swap_requests() {
    let fleet = fleet([PER_REGION; 3]).await;
    let slots = PER_REGION * SLOTS as usize;
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
async fn requests_spill_while_the_replicas_of_their_region_are_suspected() {
    let fleet = fleet([PER_REGION; 3]).await;
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
    assert_eq!(
        outside(&other, 1),
        0,
        "only requests of the suspected region leave"
    );
    sleep(EXPIRED).await;
    let back = enter_many(&fleet, 0, 9).await;
    assert_eq!(outside(&back, 0), 0);
}

/// Guards against repeated timeouts of a full region in a partition, and against no spilling after it has healed.
#[tokio::test]
async fn a_partitioned_full_region_serves_its_own_requests() {
    let fleet = fleet([PER_REGION; 3]).await;
    let slots = PER_REGION * SLOTS as usize;
    let held = enter_many(&fleet, 0, slots).await;
    fleet.network.is_partitioned.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let cut = enter_many(&fleet, 0, 2 * slots).await;
    assert_eq!(outside(&cut, 0), 0);
    let took = began.elapsed();
    // Each of three daemons waits for one coordinator in each of two other regions, at most a third of the objective.
    assert!(took < 3 * 2 * (OBJECTIVE / 3), "{took:?}");
    fleet.network.is_partitioned.store(false, Ordering::Relaxed);
    sleep(EXPIRED).await;
    let more = enter_many(&fleet, 0, 2 * slots).await;
    assert!(outside(&more, 0) > 0, "nothing spills after the partition");
    drop(held);
}

/// Guards against placement outside of a request's allowed regions.
#[tokio::test]
async fn requests_stay_within_their_allowed_regions() {
    let fleet = fleet([PER_REGION; 3]).await;
    let south = AllowedRegions::only([REGIONS[2].to_owned()]);
    for turn in 0..6 {
        let held = enter_in(fleet.at(0, turn), &south).await.expect("a slot");
        assert_eq!(held.region, REGIONS[2]);
        assert_eq!(held.left, Some(CrossRegionReason::NoReplica));
    }
    let north = AllowedRegions::only([REGIONS[0].to_owned()]);
    for turn in 0..3 * PER_REGION * SLOTS as usize {
        let held = enter_in(fleet.at(0, turn), &north).await.expect("a slot");
        assert_eq!(held.region, REGIONS[0]);
        std::mem::forget(held);
    }
}

#[tokio::test]
async fn batch_items_wait_instead_of_spilling() {
    let fleet = fleet([PER_REGION; 3]).await;
    let held = enter_many(&fleet, 0, PER_REGION * SLOTS as usize).await;
    for turn in 0..12 {
        let daemon = fleet.at(0, turn);
        let reply = daemon
            .slots
            .acquire(query(&AllowedRegions::Any, Some(ITEM)));
        let reply = reply.await;
        assert!(matches!(reply, SlotReply::NoCapacity), "{reply:?}");
    }
    drop(held);
    settle().await;
    let reply = fleet
        .at(0, 0)
        .slots
        .acquire(query(&AllowedRegions::Any, Some(ITEM)));
    assert!(matches!(reply.await, SlotReply::Granted { .. }));
}

/// Guards against double grants when a removed replica merges the groups: the new coordinator must receive all held
/// leases at the holders' next tick.
#[tokio::test]
async fn no_slot_is_granted_twice_after_a_layout_change() {
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
