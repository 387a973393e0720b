//! Finding a request's route, and the service that its turn falls to.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::configuration::{Route, ServingConfiguration, WeightedService};

/// The odd multiplier of a golden-ratio sequence: any run of consecutive turns is spread evenly over the weights.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// One route, its turn counter, and what was observed of its callers.
#[derive(Debug)]
pub struct RouteEntry {
    /// The route.
    pub route: Route,
    turn: Arc<AtomicU64>,
    patience: Arc<ObservedPatience>,
}

/// How long a route's callers wait at the most, as far as was observed.
#[derive(Debug, Default)]
struct ObservedPatience {
    longest_ms: AtomicU64,
    callers: AtomicU64,
}

/// Callers of a route that must have come before the longest of their waits is taken for the usual one. Until then
/// the route's timeout is: right after a daemon has started, most callers have been refused or cut off before.
const CALLERS_TO_KNOW_PATIENCE: u64 = 16;

impl ObservedPatience {
    /// Takes one caller's patience into account. Returns the longest of all before.
    fn observe(&self, patience_ms: u64, timeout: Duration) -> u64 {
        let longest_ms = self.longest_ms.fetch_max(patience_ms, Ordering::Relaxed);
        let callers = self.callers.fetch_add(1, Ordering::Relaxed);
        if callers < CALLERS_TO_KNOW_PATIENCE {
            longest_ms.max(millis(timeout))
        } else {
            longest_ms
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl RouteEntry {
    /// Takes a request's patience into account. True if its objective has probably passed already: callers of the
    /// route wait longer at their first attempt, by more than the objective, so this is one of their later ones.
    pub fn is_overdue(&self, patience: Option<Duration>) -> bool {
        let Some(patience) = patience else {
            return false;
        };
        let patience_ms = millis(patience);
        let longest_ms = self.patience.observe(patience_ms, self.route.timeout);
        let used = Duration::from_millis(longest_ms.saturating_sub(patience_ms));
        used > self.route.objective
    }

    /// The service that the next request of the route goes to.
    pub fn next_service(&self) -> Option<&str> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        pick_by_weight(&self.route.services, turn.wrapping_mul(GOLDEN_RATIO))
    }
}

/// Where a route's turns begin: at another place on each daemon, or the first requests of a large fleet's daemons
/// would all fall to the same service.
fn first_turn() -> Arc<AtomicU64> {
    Arc::new(AtomicU64::new(rand::random()))
}

/// The service on which a point of the weights' line falls; the line is scaled to the whole range of `u64`.
fn pick_by_weight(services: &[WeightedService], point: u64) -> Option<&str> {
    let total: u64 = services
        .iter()
        .map(|service| u64::from(service.weight))
        .sum();
    if total == 0 {
        return services.first().map(|service| service.service.as_str());
    }
    let scaled = (u128::from(point) * u128::from(total)) >> u64::BITS;
    let mut left = u64::try_from(scaled).unwrap_or_default();
    for service in services {
        let weight = u64::from(service.weight);
        if left < weight {
            return Some(&service.service);
        }
        left -= weight;
    }
    None
}

/// All routes of a configuration, by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// The configuration that the table was built from.
    pub configuration: ServingConfiguration,
    hosts: HashMap<String, Vec<Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table; turn counters of routes that stay go on from `previous`.
    pub fn build(configuration: ServingConfiguration, previous: Option<&RouteTable>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteEntry>>> = HashMap::new();
        for route in &configuration.routes {
            let kept = previous.and_then(|table| table.entry(&route.host, &route.name));
            let turn = kept.map_or_else(first_turn, |entry| entry.turn.clone());
            let patience = kept.map(|entry| entry.patience.clone());
            let entry = RouteEntry {
                route: route.clone(),
                turn,
                patience: patience.unwrap_or_default(),
            };
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(entry));
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self {
            configuration,
            hosts,
        }
    }

    fn entry(&self, host: &str, name: &str) -> Option<&Arc<RouteEntry>> {
        self.hosts
            .get(&host.to_ascii_lowercase())?
            .iter()
            .find(|entry| entry.route.name == name)
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let entries = self.hosts.get(host).or_else(|| {
            let lower = host.to_ascii_lowercase();
            self.hosts.get(&lower)
        })?;
        entries
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }
}
