//! Daemons that ask a tenant's coordinator for tokens, over loopback.

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

/// Bounds of which a daemon knows a whole window soon after its start.
const SHORT: RateBounds = RateBounds {
    window: Duration::from_millis(100),
    excess: 0.1,
    slack: 20.0,
};

/// What one that begins anew, or stands in, gives out by these: a quarter of (4/s x 0.1 s + 4) x 0.1 + 20.
const STARTER: usize = 5;

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

/// A daemon that answers, unless it is deaf.
async fn start(name: &str, is_deaf: bool) -> Daemon {
    start_at(name, is_deaf, Duration::ZERO, BOUNDS).await
}

/// One that hears everything so much later.
async fn start_at(name: &str, is_deaf: bool, distance: Duration, bounds: RateBounds) -> Daemon {
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
    if !is_deaf {
        let receiver = rates.clone();
        tokio::spawn(async move { receive(&receiver, &socket, distance).await });
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

async fn receive(rates: &Arc<RateService>, socket: &UdpSocket, distance: Duration) {
    let mut buffer = vec![0; 2_000];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let datagram = decode::<NodeDatagram>(&buffer[..length]);
        if let Some(kind) = datagram.and_then(|datagram| datagram.kind) {
            let rates = rates.clone();
            let taking = async move {
                assert!(rates.receive(kind, from).is_none(), "not about rates");
            };
            if distance.is_zero() {
                taking.await;
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(distance).await;
                    taking.await;
                });
            }
        }
    }
}

async fn fleet(deaf: &[&str]) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for name in NAMES {
        daemons.push(start(name, deaf.contains(&name)).await);
    }
    let members: Vec<_> = daemons.iter().map(|one| one.candidate.clone()).collect();
    for daemon in &daemons {
        daemon.rates.set_members(members.clone());
    }
    daemons
}

/// Requests of a tenant that are admitted, of 30 at each daemon at once.
async fn admitted(daemons: &[Daemon], tenant: &Tenant) -> usize {
    let mut admitted = 0;
    for _ in 0..30 {
        for daemon in daemons {
            let answer = daemon.rates.admit(tenant, "r").await;
            admitted += usize::from(answer == RateStatus::Within);
        }
    }
    admitted
}

#[tokio::test]
async fn daemons_that_know_each_other_admit_one_limit_together() {
    let daemons = fleet(&[]).await;
    let began = Instant::now();
    for tenant in tenants().iter().take(9) {
        let admitted = admitted(&daemons, tenant).await;
        assert!(began.elapsed() < Duration::from_secs(4));
        // (4/s x 5 s + 4) x 1.1 + 20
        assert!((4..=46).contains(&admitted), "{admitted}");
    }
}

/// A daemon asks who follows a silent coordinator, and is told at once that nobody can tell: nothing is admitted that
/// nobody counts.
#[tokio::test]
async fn a_silent_coordinator_costs_little_and_admits_nothing() {
    let daemons = fleet(&["b"]).await;
    for tenant in tenants() {
        let began = Instant::now();
        let answer = daemons[0].rates.admit(&tenant, "r").await;
        assert!(began.elapsed() < Duration::from_millis(150), "{began:?}");
        assert!(matches!(answer, RateStatus::Within | RateStatus::Unknown));
    }
    let mut unknown = 0;
    let began = Instant::now();
    for tenant in tenants() {
        let answer = daemons[0].rates.admit(&tenant, "r").await;
        unknown += usize::from(answer == RateStatus::Unknown);
    }
    assert!(unknown > 0, "some tenants are the silent one's");
    assert!(began.elapsed() < Duration::from_millis(200), "asked again");
}

/// Daemons with short bounds that have run for longer than tokens of others can be in use.
async fn fleet_of_old(names: &[&str], deaf: &str) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for name in names {
        daemons.push(start_at(name, *name == deaf, Duration::ZERO, SHORT).await);
    }
    let members: Vec<_> = daemons.iter().map(|one| one.candidate.clone()).collect();
    for daemon in &daemons {
        daemon.rates.set_members(members.clone());
    }
    // Each is told by another one how large the fleet is.
    let tenants = tenants();
    for daemon in daemons.iter().filter(|one| one.candidate.id != deaf) {
        let answers =
            |other: &&Daemon| ![deaf, &*daemon.candidate.id].contains(&&*other.candidate.id);
        let other = daemons.iter().find(answers).expect("another one");
        let of_other = |tenant: &&Arc<Tenant>| other.rates.coordinates(&tenant.name);
        let tenant = tenants.iter().find(of_other).expect("a tenant of it");
        assert_eq!(daemon.rates.admit(tenant, "r").await, RateStatus::Within);
    }
    tokio::time::sleep(SHORT.accounting_period()).await;
    daemons
}

/// Nobody is refused for the death of a coordinator that is not found out yet, as far as the stock bears it; and the
/// member that gave it out does not begin with another one.
#[tokio::test]
async fn who_follows_a_silent_coordinator_gives_out_its_starting_stock_once() {
    let daemons = fleet_of_old(&NAMES, "b").await;
    let tenants = tenants();
    let of_silent = tenants
        .iter()
        .filter(|tenant| daemons[1].rates.coordinates(&tenant.name));
    let askers = [&daemons[0], &daemons[2]];
    let mut seen = 0;
    for tenant in of_silent.take(4) {
        let mut answers = Vec::new();
        for _ in 0..15 {
            for asker in askers {
                answers.push(asker.rates.admit(tenant, "r").await);
            }
        }
        let within = |answers: &[RateStatus]| {
            let within = answers.iter().filter(|one| **one == RateStatus::Within);
            within.count()
        };
        // Whoever has waited for the silent one for long does not go on to the next with the same request.
        let early = &answers[..STARTER + askers.len()];
        assert_eq!(within(early), STARTER, "{answers:?}");
        assert_eq!(within(&answers), STARTER, "{answers:?}");

        // The silent one is taken for dead.
        let all: Vec<_> = daemons.iter().map(|one| one.candidate.clone()).collect();
        for asker in askers {
            let left = askers.iter().map(|one| one.candidate.clone()).collect();
            asker.rates.set_members(left);
        }
        let began = Instant::now();
        let mut more = 0;
        for _ in 0..15 {
            for asker in askers {
                let answer = asker.rates.admit(tenant, "r").await;
                more += usize::from(answer == RateStatus::Within);
            }
        }
        let accrued = RATE * began.elapsed().as_secs_f64();
        assert!(more as f64 <= accrued + 1.0, "{more} of {accrued}");
        for asker in askers {
            asker.rates.set_members(all.clone());
        }
        tokio::time::sleep(SHORT.accounting_period()).await;
        seen += 1;
    }
    assert_eq!(seen, 4);
}

/// Where the order changed lately, the one before may have given out a stock too: nobody stands in.
#[tokio::test]
async fn nobody_stands_in_for_one_that_has_just_become_the_coordinator() {
    let daemons = fleet_of_old(&["a", "b", "c", "d"], "b").await;
    let was_first = |tenant: &&Arc<Tenant>| daemons[3].rates.coordinates(&tenant.name);
    let tenants = tenants();
    let changed: Vec<_> = tenants.iter().filter(was_first).collect();
    let left = daemons[..3].iter();
    let members: Vec<_> = left.map(|one| one.candidate.clone()).collect();
    for daemon in &daemons[..3] {
        daemon.rates.set_members(members.clone());
    }
    let silent = |tenant: &&&Arc<Tenant>| daemons[1].rates.coordinates(&tenant.name);
    let mut seen = 0;
    for tenant in changed.iter().filter(silent) {
        let answer = daemons[0].rates.admit(tenant, "r").await;
        assert_eq!(answer, RateStatus::Unknown);
        seen += 1;
    }
    assert!(seen > 0, "some tenants went to the silent one");
}

/// A daemon that has just started, and sees two members of which another one knew three, gives out their part only: it
/// is told of the third before its first token.
#[tokio::test]
async fn a_coordinator_that_has_just_started_is_told_of_members_that_were_cut_off() {
    let daemons = fleet(&[]).await;
    let new = start("d", false).await;
    let members = vec![daemons[0].candidate.clone(), new.candidate.clone()];
    daemons[0].rates.set_members(members.clone());
    new.rates.set_members(members);
    assert!((new.rates.share() - 1.0).abs() < 1e-9, "it knows of two");
    for tenant in tenants() {
        new.rates.admit(&tenant, "r").await;
        if (new.rates.share() - 2.0 / 3.0).abs() < 1e-9 {
            return;
        }
        assert!(!new.rates.coordinates(&tenant.name), "it gave out untold");
    }
    panic!("it was not told");
}

/// One that has started behind a cut admits nothing by itself.
#[tokio::test]
async fn a_daemon_that_expects_others_and_finds_nobody_admits_nothing() {
    let alone = start("a", false).await;
    alone.rates.set_members(vec![alone.candidate.clone()]);
    for tenant in tenants() {
        let answer = alone.rates.admit(&tenant, "r").await;
        assert_eq!(answer, RateStatus::Unknown);
    }
}

/// Two daemons with 60 ms between them, there and back: longer than the patience beside which the way takes no time.
/// The first answer comes too late, and tells how long to wait for the next ones.
#[tokio::test]
async fn a_coordinator_that_is_far_away_is_waited_for() {
    const ONE_WAY: Duration = Duration::from_millis(30);
    let near = start_at("a", false, ONE_WAY, BOUNDS).await;
    let far = start_at("b", false, ONE_WAY, BOUNDS).await;
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
        let answer = near.rates.admit(tenant, "r").await;
        assert_eq!(answer, RateStatus::Within);
    }
}
