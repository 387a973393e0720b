//! The operators' configuration of opaque serving: routes, services and limits on callers.

use std::time::Duration;

use harrierward_tenants::{AllowedRegions, TenantDirectory};

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each caller attempt.
    Unsafe,
    /// Answers with events; may be taken up again at another replica only if `resumable`.
    Stream {
        /// A cut stream goes on elsewhere after the last event delivered.
        resumable: bool,
    },
    /// Takes batch jobs.
    Batch(BatchBounds),
}

/// Bounds of a route that takes batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchBounds {
    /// All results are due this long after the job was first sent.
    pub target: Duration,
    /// An item may be given up this long after the job was first sent.
    pub give_up_after: Duration,
    /// Tokens that may wait on the route over all daemons; 0 means no limit.
    pub waiting_tokens: u64,
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: String,
    /// Weight among the route's services.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where requests go.
    pub services: Vec<WeightedService>,
    /// Replicas that one caller attempt may be sent to.
    pub attempts: u32,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Longest pause between events that keeps an answer in time.
    pub gap_objective: Option<Duration>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Requests need no key.
    pub is_public: bool,
    /// Regions in which requests may be served and kept.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// True if a request may be sent to another replica although it may have run.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Stream { resumable: true } | RouteKind::Batch(_) => true,
            RouteKind::Unsafe | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// True if a cut stream may go on at another replica.
    pub fn is_resumable(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { resumable: true })
    }

    /// Bounds of batch jobs, if the route takes them.
    pub fn batch(&self) -> Option<BatchBounds> {
        match self.kind {
            RouteKind::Batch(bounds) => Some(bounds),
            _ => None,
        }
    }
}

/// A service and its replicas' engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Requests that a replica works on at once, unless the replica says otherwise.
    pub slots: u32,
    /// Tokens that a replica's memory holds; 0 if unknown.
    pub memory_tokens: u64,
    /// Connections that a replica takes from all callers together; 0 if unknown.
    pub connections: u32,
    /// How its replicas warm up; `None` if they need not.
    pub warmup: Option<Warmup>,
}

/// How a service's replicas warm up after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// How long a replica stays cold.
    pub duration: Duration,
    /// Requests a second that a cold replica bears, from all daemons together. Finite and not negative.
    pub per_second: f64,
}

// The rate is finite, which the decoder checks.
impl Eq for Warmup {}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// Largest body of a request, bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServingConfiguration {
    /// Version; rises with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Tenants and their keys; `None` if callers need no keys.
    pub tenants: Option<TenantDirectory>,
}

impl ServingConfiguration {
    /// Regions in which requests of a tenant on a route may be served and kept: what both allow. A route or tenant that
    /// is not there says nothing.
    pub fn allowed_regions(&self, route: &str, tenant: &str) -> AllowedRegions {
        let of_route = self.route(route).map(|route| &route.allowed_regions);
        let tenants = self.tenants.as_ref();
        let of_tenant = tenants
            .and_then(|tenants| tenants.tenant(tenant))
            .map(|tenant| &tenant.allowed_regions);
        match (of_route, of_tenant) {
            (Some(route), Some(tenant)) => route.and(tenant),
            (Some(one), None) | (None, Some(one)) => one.clone(),
            (None, None) => AllowedRegions::Any,
        }
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// A route by name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }
}
