//! Guards the split of a route by weights over all daemons, and the detection of overdue requests.

use harrierward_serving::{Route, RouteKind, RouteTable, ServingConfiguration, WeightedService};
use harrierward_tenants::AllowedRegions;
use std::time::Duration;

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.to_owned(),
        weight,
    }
}

fn table(first: u32, second: u32) -> RouteTable {
    let route = Route {
        allowed_regions: AllowedRegions::default(),
        name: "ask".to_owned(),
        host: "example".to_owned(),
        prefix: "/ask/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        services: vec![weighted("first", first), weighted("second", second)],
        attempts: 2,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(200),
        gap_objective: None,
        priority: 0,
        is_public: false,
    };
    let configuration = ServingConfiguration {
        version: 1,
        routes: vec![route],
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

#[test]
fn daemons_with_few_requests_each_keep_to_the_weights_together() {
    const DAEMONS: u32 = 2_000;
    const REQUESTS: u32 = 3;
    let mut first = 0_u32;
    for _ in 0..DAEMONS {
        let table = table(1, 9);
        let entry = table.find("example", "/ask/x").expect("the route");
        for _ in 0..REQUESTS {
            first += u32::from(entry.next_service() == Some("first"));
        }
    }
    let share = f64::from(first) / f64::from(DAEMONS * REQUESTS);
    assert!((share - 0.1).abs() < 0.04, "{share}");
}

/// A timeout much shorter than that of first attempts marks a retry, whose objective has passed.
#[test]
fn a_caller_with_a_shorter_timeout_than_others_is_overdue() {
    let table = table(1, 0);
    let entry = table.find("example", "/ask/1").expect("a route");
    let seconds = |seconds: f64| Some(Duration::from_secs_f64(seconds));
    assert!(
        entry.is_overdue(seconds(3.0)),
        "the timeout of 4 s is all that is known"
    );
    assert!(!entry.is_overdue(seconds(3.9)), "within the objective");
    assert!(!entry.is_overdue(None));
    for _ in 0..20 {
        entry.is_overdue(seconds(3.0));
    }
    assert!(entry.is_overdue(seconds(3.6)), "3.9 s was seen");
    assert!(!entry.is_overdue(seconds(5.0)));
    assert!(!entry.is_overdue(seconds(4.9)), "within the objective");
    assert!(entry.is_overdue(seconds(4.7)), "beyond 200 ms");
    let next = RouteTable::build(table.configuration.clone(), Some(&table));
    let entry = next.find("example", "/ask/1").expect("a route");
    assert!(
        entry.is_overdue(seconds(4.7)),
        "kept over a new configuration"
    );
}

/// Callers whose timeouts are all shorter than the route's must not stay classified as overdue.
#[test]
fn callers_with_a_shorter_timeout_than_the_route_are_not_overdue_for_long() {
    let table = table(1, 0);
    let entry = table.find("example", "/ask/1").expect("a route");
    let timeout = Some(Duration::from_secs(2));
    let overdue = (0..100).filter(|_| entry.is_overdue(timeout)).count();
    assert_eq!(overdue, 16);
}
