//! Route lookup by host and path, and the weighted choice of a service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::configuration::{Route, ServingConfiguration, WeightedService};

/// Multiplier of a golden-ratio sequence, which spreads any run of consecutive turns evenly over the weights.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Route with its turn counter and the observed timeouts of its callers.
#[derive(Debug)]
pub struct RouteEntry {
    /// Configuration of the route.
    pub route: Route,
    turn: Arc<AtomicU64>,
    timeouts: Arc<ObservedTimeouts>,
}

/// Longest timeout observed of a route's callers.
#[derive(Debug, Default)]
struct ObservedTimeouts {
    max_ms: AtomicU64,
    callers: AtomicU64,
}

/// Number of callers after which their longest timeout replaces the route's timeout as the usual one. Right after a
/// start most callers are retries, whose timeouts are shorter.
const MIN_OBSERVED_CALLERS: u64 = 16;

impl ObservedTimeouts {
    /// Records a caller's timeout. Returns the longest one before it.
    fn observe(&self, timeout_ms: u64, route_timeout: Duration) -> u64 {
        let max_ms = self.max_ms.fetch_max(timeout_ms, Ordering::Relaxed);
        let callers = self.callers.fetch_add(1, Ordering::Relaxed);
        if callers < MIN_OBSERVED_CALLERS {
            max_ms.max(millis(route_timeout))
        } else {
            max_ms
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl RouteEntry {
    /// Records the caller's timeout. True if the objective has probably passed: the timeout is shorter than that of
    /// first attempts by more than the objective, so this is a retry.
    pub fn is_overdue(&self, timeout: Option<Duration>) -> bool {
        let Some(timeout) = timeout else {
            return false;
        };
        let timeout_ms = millis(timeout);
        let max_ms = self.timeouts.observe(timeout_ms, self.route.timeout);
        let used = Duration::from_millis(max_ms.saturating_sub(timeout_ms));
        used > self.route.objective
    }

    /// Returns the service for the route's next request.
    pub fn next_service(&self) -> Option<&str> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        pick_by_weight(&self.route.services, turn.wrapping_mul(GOLDEN_RATIO))
    }
}

/// Random first turn, so that the first requests of many daemons don't all go to the same service.
fn random_turn() -> Arc<AtomicU64> {
    Arc::new(AtomicU64::new(rand::random()))
}

/// Service at `point` of the cumulated weights, which are scaled to the range of `u64`.
fn pick_by_weight(services: &[WeightedService], point: u64) -> Option<&str> {
    let total: u64 = services
        .iter()
        .map(|service| u64::from(service.weight))
        .sum();
    if total == 0 {
        return services.first().map(|service| service.service.as_str());
    }
    let scaled = (u128::from(point) * u128::from(total)) >> u64::BITS;
    let mut remaining = u64::try_from(scaled).unwrap_or_default();
    for service in services {
        let weight = u64::from(service.weight);
        if remaining < weight {
            return Some(&service.service);
        }
        remaining -= weight;
    }
    None
}

/// Routes of a configuration, by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Configuration from which the table was built.
    pub configuration: ServingConfiguration,
    hosts: HashMap<String, Vec<Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table; routes that stay keep their turn counters and observed timeouts from `previous`.
    pub fn build(configuration: ServingConfiguration, previous: Option<&RouteTable>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteEntry>>> = HashMap::new();
        for route in &configuration.routes {
            let kept = previous.and_then(|table| table.entry(&route.host, &route.name));
            let turn = kept.map_or_else(random_turn, |entry| entry.turn.clone());
            let timeouts = kept.map(|entry| entry.timeouts.clone());
            let entry = RouteEntry {
                route: route.clone(),
                turn,
                timeouts: timeouts.unwrap_or_default(),
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

    /// Returns the route of `host` with the longest prefix of `path`.
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
