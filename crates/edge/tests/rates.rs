//! Fleet-wide rate limits: token requests to tenants' coordinators and their fallbacks, over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{CoordinatorCandidate, RateService, SharedFleet};
use harrierward_serving::{Location, RateLimits, RateStatus, RouteTable, ServingConfiguration};
use harrierward_tenants::{
    AllowedRegions, RateBounds, RateLimit, Tenant, TenantDirectory, TenantSpec,
};
use harrierward_wire::{NodeDatagram, decode};
use tokio::net::UdpSocket;
use tokio::time::Instant;

const NAMES: [&str; 3] = ["a", "b", "c"];
const RATE: f64 = 4.0;

const BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

/// Bounds with a window so short that a daemon has covered it soon after its start.
const SHORT: RateBounds = RateBounds {
    window: Duration::from_millis(100),
    excess: 0.1,
    slack: 20.0,
};

/// Initial allowance of a new or fallback coordinator under [`SHORT`]: a quarter of (4/s x 0.1 s + 4) x 0.1 + 20.
const INITIAL_ALLOWANCE: usize = 5;

fn routes() -> RouteTable {
    let specs: Vec<TenantSpec> = (0..40)
        .map(|number| TenantSpec {
            allowed_regions: AllowedRegions::default(),
            name: format!("tenant-{number}"),
            keys: Vec::new(),
            priority: None,
            rate: RateLimit::new(RATE, RATE).expect("a limit"),
        })
        .collect();
    let configuration = ServingConfiguration {
        version: 1,
        tenants: Some(TenantDirectory::new(&specs).expect("a directory")),
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

fn tenants() -> Vec<Arc<Tenant>> {
    let routes = routes();
    let directory = routes.configuration.tenants.as_ref().expect("tenants");
    (0..40)
        .filter_map(|number| directory.tenant(&format!("tenant-{number}")).cloned())
        .collect()
}

struct Daemon {
    rates: Arc<RateService>,
    candidate: CoordinatorCandidate,
}

/// Starts a daemon; an unresponsive one receives nothing.
async fn start(name: &str, is_unresponsive: bool) -> Daemon {
    start_with(name, is_unresponsive, Duration::ZERO, BOUNDS).await
}

/// Starts a daemon that receives every datagram after `delay`.
async fn start_with(
    name: &str,
    is_unresponsive: bool,
    delay: Duration,
    bounds: RateBounds,
) -> Daemon {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    let socket = Arc::new(socket);
    let rates = Arc::new(RateService::new(
        name.to_owned(),
        Arc::new(SharedFleet::new(true)),
        bounds,
        Arc::new(ArcSwapOption::from_pointee(routes())),
        DecisionLog::new(LogBounds::default()),
    ));
    rates.set_socket(socket.clone());
    if !is_unresponsive {
        let receiver = rates.clone();
        tokio::spawn(async move { receive(&receiver, &socket, delay).await });
    }
    Daemon {
        rates,
        candidate: candidate(name, Some(address)),
    }
}

fn candidate(name: &str, address: Option<SocketAddr>) -> CoordinatorCandidate {
    CoordinatorCandidate {
        id: name.to_owned(),
        address,
        location: Location::default(),
    }
}

async fn receive(rates: &Arc<RateService>, socket: &UdpSocket, delay: Duration) {
    let mut buffer = vec![0; 2_000];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let datagram = decode::<NodeDatagram>(&buffer[..length]);
        if let Some(kind) = datagram.and_then(|datagram| datagram.kind) {
            let rates = rates.clone();
            let handling = async move {
                assert!(rates.receive(kind, from).is_none(), "not about rates");
            };
            if delay.is_zero() {
                handling.await;
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    handling.await;
                });
            }
        }
    }
}

async fn fleet(unresponsive: &[&str]) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for name in NAMES {
        daemons.push(start(name, unresponsive.contains(&name)).await);
    }
    let members: Vec<_> = daemons.iter().map(|one| one.candidate.clone()).collect();
    for daemon in &daemons {
        daemon.rates.set_members(members.clone());
    }
    daemons
}

/// Returns the number of admitted requests, of 30 at each daemon.
async fn admitted(daemons: &[Daemon], tenant: &Tenant) -> usize {
    let mut admitted = 0;
    for _ in 0..30 {
        for daemon in daemons {
            let status = daemon.rates.admit(tenant, "r").await;
            admitted += usize::from(status == RateStatus::Within);
        }
    }
    admitted
}

#[tokio::test]
async fn daemons_admit_one_limit_together() {
    let daemons = fleet(&[]).await;
    let began = Instant::now();
    for tenant in tenants().iter().take(9) {
        let admitted = admitted(&daemons, tenant).await;
        assert!(began.elapsed() < Duration::from_secs(4));
        // (4/s x 5 s + 4) x 1.1 + 20
        assert!((4..=46).contains(&admitted), "{admitted}");
    }
}

/// Guards against uncounted admissions, and against waiting for an unresponsive coordinator at each request.
#[tokio::test]
async fn an_unresponsive_coordinator_delays_little_and_admits_nothing() {
    let daemons = fleet(&["b"]).await;
    for tenant in tenants() {
        let began = Instant::now();
        let status = daemons[0].rates.admit(&tenant, "r").await;
        assert!(began.elapsed() < Duration::from_millis(150), "{began:?}");
        assert!(matches!(status, RateStatus::Within | RateStatus::Unknown));
    }
    let mut unknown = 0;
    let began = Instant::now();
    for tenant in tenants() {
        let status = daemons[0].rates.admit(&tenant, "r").await;
        unknown += usize::from(status == RateStatus::Unknown);
    }
    assert!(unknown > 0, "the unresponsive daemon coordinates no tenant");
    assert!(
        began.elapsed() < Duration::from_millis(200),
        "more than one request waited"
    );
}

/// Starts daemons with short bounds and waits until no token granted before their start can still be in use.
async fn settled_fleet(names: &[&str], unresponsive: &str) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for name in names {
        daemons.push(start_with(name, *name == unresponsive, Duration::ZERO, SHORT).await);
    }
    let members: Vec<_> = daemons.iter().map(|one| one.candidate.clone()).collect();
    for daemon in &daemons {
        daemon.rates.set_members(members.clone());
    }
    // Each receives the fleet size in another daemon's reply.
    let tenants = tenants();
    for daemon in daemons
        .iter()
        .filter(|one| one.candidate.id != unresponsive)
    {
        let is_other = |other: &&Daemon| {
            ![unresponsive, &*daemon.candidate.id].contains(&&*other.candidate.id)
        };
        let other = daemons.iter().find(is_other).expect("another one");
        let of_other = |tenant: &&Arc<Tenant>| other.rates.coordinates(&tenant.name);
        let tenant = tenants.iter().find(of_other).expect("a tenant of it");
        assert_eq!(daemon.rates.admit(tenant, "r").await, RateStatus::Within);
    }
    tokio::time::sleep(SHORT.accounting_period()).await;
    daemons
}

/// Guards against refusals until a failed coordinator is removed, and against a second initial allowance when its
/// fallback becomes the coordinator.
#[tokio::test]
async fn the_fallback_of_an_unresponsive_coordinator_grants_its_initial_allowance_once() {
    let daemons = settled_fleet(&NAMES, "b").await;
    let tenants = tenants();
    let of_unresponsive = tenants
        .iter()
        .filter(|tenant| daemons[1].rates.coordinates(&tenant.name));
    let requesters = [&daemons[0], &daemons[2]];
    let mut seen = 0;
    for tenant in of_unresponsive.take(4) {
        let mut statuses = Vec::new();
        for _ in 0..15 {
            for requester in requesters {
                statuses.push(requester.rates.admit(tenant, "r").await);
            }
        }
        let within = |statuses: &[RateStatus]| {
            let within = statuses.iter().filter(|one| **one == RateStatus::Within);
            within.count()
        };
        // A request that timed out at the unresponsive coordinator isn't sent to the fallback as well.
        let first_statuses = &statuses[..INITIAL_ALLOWANCE + requesters.len()];
        assert_eq!(within(first_statuses), INITIAL_ALLOWANCE, "{statuses:?}");
        assert_eq!(within(&statuses), INITIAL_ALLOWANCE, "{statuses:?}");

        // The unresponsive coordinator is removed from the members.
        let all: Vec<_> = daemons.iter().map(|one| one.candidate.clone()).collect();
        for requester in requesters {
            let remaining = requesters.iter().map(|one| one.candidate.clone()).collect();
            requester.rates.set_members(remaining);
        }
        let began = Instant::now();
        let mut more = 0;
        for _ in 0..15 {
            for requester in requesters {
                let status = requester.rates.admit(tenant, "r").await;
                more += usize::from(status == RateStatus::Within);
            }
        }
        let accrued = RATE * began.elapsed().as_secs_f64();
        assert!(more as f64 <= accrued + 1.0, "{more} of {accrued}");
        for requester in requesters {
            requester.rates.set_members(all.clone());
        }
        tokio::time::sleep(SHORT.accounting_period()).await;
        seen += 1;
    }
    assert_eq!(seen, 4);
}

/// Guards against two fallback allowances: after a recent change of the order, a former fallback may have granted one.
#[tokio::test]
async fn no_fallback_acts_for_a_new_coordinator() {
    let daemons = settled_fleet(&["a", "b", "c", "d"], "b").await;
    let was_coordinator = |tenant: &&Arc<Tenant>| daemons[3].rates.coordinates(&tenant.name);
    let tenants = tenants();
    let changed: Vec<_> = tenants.iter().filter(was_coordinator).collect();
    let remaining = daemons[..3].iter();
    let members: Vec<_> = remaining.map(|one| one.candidate.clone()).collect();
    for daemon in &daemons[..3] {
        daemon.rates.set_members(members.clone());
    }
    let of_unresponsive = |tenant: &&&Arc<Tenant>| daemons[1].rates.coordinates(&tenant.name);
    let mut seen = 0;
    for tenant in changed.iter().filter(of_unresponsive) {
        let status = daemons[0].rates.admit(tenant, "r").await;
        assert_eq!(status, RateStatus::Unknown);
        seen += 1;
    }
    assert!(seen > 0, "the unresponsive daemon coordinates no tenant");
}

/// Guards against a new coordinator that grants the share of members in another partition.
#[tokio::test]
async fn a_new_coordinator_learns_of_partitioned_members_before_it_grants() {
    let daemons = fleet(&[]).await;
    let new = start("d", false).await;
    let members = vec![daemons[0].candidate.clone(), new.candidate.clone()];
    daemons[0].rates.set_members(members.clone());
    new.rates.set_members(members);
    assert!(
        (new.rates.share() - 1.0).abs() < 1e-9,
        "two members are known"
    );
    for tenant in tenants() {
        new.rates.admit(&tenant, "r").await;
        if (new.rates.share() - 2.0 / 3.0).abs() < 1e-9 {
            return;
        }
        assert!(
            !new.rates.coordinates(&tenant.name),
            "it granted before it received the fleet size"
        );
    }
    panic!("it received no fleet size");
}

/// Guards against a daemon that starts isolated in a partition and grants whole limits.
#[tokio::test]
async fn a_daemon_that_finds_none_of_its_expected_peers_admits_nothing() {
    let alone = start("a", false).await;
    alone.rates.set_members(vec![alone.candidate.clone()]);
    for tenant in tenants() {
        let status = alone.rates.admit(&tenant, "r").await;
        assert_eq!(status, RateStatus::Unknown);
    }
}

/// Guards against considering a peer unresponsive whose round-trip time (60 ms) exceeds the timeout: the first, late
/// reply must extend the timeout of the next requests.
#[tokio::test]
async fn requests_wait_for_a_distant_coordinator() {
    const ONE_WAY: Duration = Duration::from_millis(30);
    let near = start_with("a", false, ONE_WAY, BOUNDS).await;
    let far = start_with("b", false, ONE_WAY, BOUNDS).await;
    let members = vec![near.candidate.clone(), far.candidate.clone()];
    near.rates.set_members(members.clone());
    far.rates.set_members(members);
    let tenants = tenants();
    let of_far: Vec<&Arc<Tenant>> = tenants
        .iter()
        .filter(|tenant| far.rates.coordinates(&tenant.name))
        .collect();
    near.rates.admit(of_far[0], "r").await;
    tokio::time::sleep(2 * ONE_WAY).await;
    for tenant in &of_far[1..6] {
        let status = near.rates.admit(tenant, "r").await;
        assert_eq!(status, RateStatus::Within);
    }
}
