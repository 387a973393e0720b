//! Operator configuration of opaque serving: routes, services and caller limits.

use std::time::Duration;

use harrierward_tenants::{AllowedRegions, TenantDirectory};

/// Kind of a route, which determines whether its requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once per caller attempt.
    Unsafe,
    /// Responses are event streams.
    Stream {
        /// An interrupted stream resumes at another replica after the last event delivered.
        resumable: bool,
    },
    /// Requests are batch jobs.
    Batch(BatchBounds),
}

/// Limits of a route that takes batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchBounds {
    /// Time from submission until all results are due.
    pub target: Duration,
    /// Time from submission after which unfinished items may be abandoned.
    pub give_up_after: Duration,
    /// Maximum tokens queued on the route over all daemons; 0 means no limit.
    pub waiting_tokens: u64,
}

/// Service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the sum of the route's weights. If all are 0, the first service receives every request.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, unique within the configuration.
    pub name: String,
    /// Host header of the requests, compared without case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Kind of its requests, which determines whether they may be repeated.
    pub kind: RouteKind,
    /// Target services.
    pub services: Vec<WeightedService>,
    /// Maximum number of replicas that may run one caller attempt. Replicas whose response was a refusal or that didn't
    /// receive it aren't counted, nor are a few that crashed.
    pub attempts: u32,
    /// Maximum time that a request is held.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Target time between events; `None` for the default.
    pub gap_objective: Option<Duration>,
    /// Priority rank; 0 is the highest.
    pub priority: u32,
    /// True if no key is required.
    pub is_public: bool,
    /// Regions in which requests may be served and stored.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// True if a request that may have run can be sent to another replica.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Stream { resumable: true } | RouteKind::Batch(_) => true,
            RouteKind::Unsafe | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// True if an interrupted stream can resume at another replica.
    pub fn is_resumable(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { resumable: true })
    }

    /// Returns the limits of batch jobs if the route takes them.
    pub fn batch(&self) -> Option<BatchBounds> {
        match self.kind {
            RouteKind::Batch(bounds) => Some(bounds),
            _ => None,
        }
    }
}

/// Service and the capacity of its replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name, unique within the configuration.
    pub name: String,
    /// Requests that a replica serves concurrently, unless its record states otherwise.
    pub slots: u32,
    /// Tokens that a replica's KV cache holds; 0 if unknown.
    pub memory_tokens: u64,
    /// Connections that a replica accepts from all callers together; 0 if unknown.
    pub connections: u32,
    /// Warmup after a replica starts; `None` if none is needed.
    pub warmup: Option<Warmup>,
}

/// Warmup of a service's replicas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// Time for which a replica stays cold.
    pub duration: Duration,
    /// Requests per second that a cold replica sustains, from all daemons together. Finite and not negative.
    pub per_second: f64,
}

// The decoder rejects rates that aren't finite.
impl Eq for Warmup {}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request header, bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request header.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
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

/// Full configuration of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServingConfiguration {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Limits on all callers.
    pub limits: CallerLimits,
    /// Tenants and their keys; `None` if no keys are required.
    pub tenants: Option<TenantDirectory>,
}

impl ServingConfiguration {
    /// Returns the regions allowed by both the route and the tenant. An unknown route or tenant imposes no
    /// restriction.
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

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the tokens that a replica of the service holds; `None` if unknown.
    pub fn memory_tokens(&self, service: &str) -> Option<u64> {
        let service = self.service(service)?;
        Some(service.memory_tokens).filter(|tokens| *tokens > 0)
    }

    /// Returns the route of this name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }
}
