//! Forwarder of online requests: its parts, the admission of requests, and the log of refusals.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_quarantine::{Fingerprint, QuarantinePeriod, Status};
use tokio::time::Instant;

use crate::admission::{ConfigurationProof, KeyTrust, RateLimits, RateStatus, caller_of};
use crate::exchange::{ReplicaClient, ServingRequest};
use crate::leases::SlotLeases;
use crate::policy::Policy;
use crate::profile::PromptProfiles;
use crate::quarantine::Quarantine;
use crate::refused_sizes::{RefusedSizeBounds, RefusedSizes};
use crate::replica::{Replica, WorkClass, short_hash};
use crate::replica_set::ReplicaSet;
use crate::response::{Refusal, RefusalCause, Reply};
use crate::routes::{RouteEntry, RouteTable};
use crate::selection::SelectionCosts;
use crate::stream_origin::StreamOrigins;

/// The routes in force; `None` until a configuration is known.
pub type SharedRoutes = Arc<ArcSwapOption<RouteTable>>;

/// Retry delay for callers whose request could not be served.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Settings of the request path.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Zone of the daemon.
    pub zone: String,
    /// Region of the daemon.
    pub region: String,
    /// Costs of replica selection.
    pub costs: SelectionCosts,
    /// How long keys are accepted without configuration updates.
    pub key_trust: KeyTrust,
}

/// Dependencies of a [`Forwarder`].
pub struct ForwarderParts {
    /// Routes in force.
    pub routes: SharedRoutes,
    /// Known replicas.
    pub replicas: Arc<ReplicaSet>,
    /// Client of the replicas.
    pub client: Arc<dyn ReplicaClient>,
    /// Grants leases of slots.
    pub leases: Arc<dyn SlotLeases>,
    /// Rate limits of tenants.
    pub rates: Arc<dyn RateLimits>,
    /// Quarantined requests.
    pub quarantine: Arc<dyn Quarantine>,
    /// Where streams began.
    pub origins: Arc<dyn StreamOrigins>,
    /// Freshness of the configuration.
    pub proof: Arc<ConfigurationProof>,
    /// Log of routing and admission decisions.
    pub log: DecisionLog,
    /// Location, costs and key trust of this daemon.
    pub settings: ForwarderSettings,
}

/// Request path of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Forwarder {
    parts: Arc<ForwarderParts>,
    profiles: Arc<PromptProfiles>,
    refused_sizes: Arc<RefusedSizes>,
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(parts: ForwarderParts) -> Self {
        Self {
            parts: Arc::new(parts),
            profiles: Arc::default(),
            refused_sizes: Arc::default(),
        }
    }

    /// Returns the known replicas.
    pub fn replicas(&self) -> &Arc<ReplicaSet> {
        &self.parts.replicas
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.parts.routes.load_full()
    }

    pub(crate) fn client(&self) -> &dyn ReplicaClient {
        self.parts.client.as_ref()
    }

    /// Returns the service that grants leases of slots.
    pub fn leases(&self) -> &Arc<dyn SlotLeases> {
        &self.parts.leases
    }

    pub(crate) fn log(&self) -> &DecisionLog {
        &self.parts.log
    }

    pub(crate) fn profiles(&self) -> &PromptProfiles {
        &self.profiles
    }

    pub(crate) fn refused_sizes(&self) -> &RefusedSizes {
        &self.refused_sizes
    }

    /// True if a replica recently refused a request although it may have had free slots.
    pub fn has_refusals(&self) -> bool {
        self.refused_sizes.has_any()
    }

    /// Returns the sizes that the service's replicas refuse.
    pub fn refused_size_bounds(&self, service: &str) -> RefusedSizeBounds {
        let usable = || self.replicas().view().usable(service).len();
        let now = harrierward_clock::now();
        self.refused_sizes.bounds(short_hash(service), usable, now)
    }

    /// True if work of this class may be sent to the service now although its size is one that replicas refuse. Memory
    /// may have been added since.
    pub fn take_size_trial(&self, service: &str, class: WorkClass) -> bool {
        let now = harrierward_clock::now();
        self.refused_sizes
            .take_trial(short_hash(service), class, now)
    }

    pub(crate) fn settings(&self) -> &ForwarderSettings {
        &self.parts.settings
    }

    pub(crate) fn quarantine(&self) -> &Arc<dyn Quarantine> {
        &self.parts.quarantine
    }

    pub(crate) fn origins(&self) -> &dyn StreamOrigins {
        self.parts.origins.as_ref()
    }

    pub(crate) async fn has_crashed(&self, replica: &Arc<Replica>) -> bool {
        self.parts.quarantine.has_crashed(replica).await
    }

    pub(crate) fn quarantine_of(&self, request: &Fingerprint) -> Option<QuarantinePeriod> {
        match self.parts.quarantine.status(request) {
            Status::Quarantined(period) => Some(period),
            Status::Clear | Status::Suspect { .. } => None,
        }
    }

    /// True if the request is quarantined, so that it is sent to no replica.
    pub(crate) fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.quarantine_of(request).is_some()
    }

    /// Returns the quarantine of an item that must wait; `None` if it may run. One that may have been present at the
    /// crashes by coincidence is allowed a trial from time to time, since it is owed and its caller doesn't wait.
    pub fn item_quarantine(&self, request: &ServingRequest) -> Option<QuarantinePeriod> {
        if !self.parts.quarantine.has_quarantined() {
            return None;
        }
        let period = self.quarantine_of(&request.fingerprint())?;
        (!period.allows_trial(harrierward_clock::now())).then_some(period)
    }

    /// Returns the mechanisms in use.
    pub fn policy(&self) -> Policy {
        self.parts.settings.costs.policy
    }

    /// Returns the freshness of the configuration.
    pub fn proof(&self) -> &ConfigurationProof {
        &self.parts.proof
    }

    /// Returns how long keys are accepted without configuration updates.
    pub fn key_trust(&self) -> KeyTrust {
        self.parts.settings.key_trust
    }

    /// Serves a request. Dropping the future, or the response body, closes the connection to the replica.
    pub async fn forward(&self, mut request: ServingRequest, arrived: Instant) -> Reply {
        let entry = match self.admit(&mut request).await {
            Ok(entry) => entry,
            Err(refusal) => return self.refuse(&request, refusal, arrived),
        };
        let request = Arc::new(request);
        match self.serve(&request, &entry, arrived).await {
            Ok(response) => Reply::Response(response),
            Err(refusal) => self.refuse(&request, refusal, arrived),
        }
    }

    /// Finds the route, checks key and rate limit, and sets the request's tenant and regions.
    async fn admit(&self, request: &mut ServingRequest) -> Result<Arc<RouteEntry>, Refusal> {
        let routes = self
            .routes()
            .ok_or_else(|| refuse_unsent(RefusalCause::NoConfiguration))?;
        let proof = self.proof();
        let Some(entry) = routes.find(&request.host, path_of(&request.target)) else {
            return Err(refuse_unsent(if proof.is_stale() {
                RefusalCause::StaleConfiguration
            } else {
                RefusalCause::NoRoute
            }));
        };
        let key = request.key.as_ref();
        let tenant = caller_of(&routes, &entry.route, key, proof, self.key_trust());
        let tenant = tenant.map_err(refuse_unsent)?;
        let entry = entry.clone();
        drop(routes);
        request.regions = entry.route.allowed_regions.clone();
        let Some(tenant) = tenant else {
            return Ok(entry);
        };
        request.tenant = Some(tenant.name.clone());
        request.regions = request.regions.and(&tenant.allowed_regions);
        if tenant.rate.is_unlimited() {
            return Ok(entry);
        }
        match self.parts.rates.admit(&tenant, &request.id).await {
            RateStatus::Within => Ok(entry),
            RateStatus::Over { retry_after } => {
                let cause = RefusalCause::RateLimited;
                Err(Refusal::not_run(cause, Some(retry_after)))
            }
            RateStatus::Unknown => Err(refuse_unsent(RefusalCause::RateUnknown)),
        }
    }

    fn refuse(&self, request: &ServingRequest, refusal: Refusal, arrived: Instant) -> Reply {
        self.log_refusal(&request.id, request.tenant.as_deref(), refusal, arrived);
        Reply::Refusal(refusal)
    }

    /// Refuses a request received completely while this daemon stops, since its response might not complete in time.
    /// No retry delay is set, because other daemons accept it at once.
    pub fn refuse_while_stopping(&self, request_id: &str, arrived: Instant) -> Refusal {
        let refusal = Refusal::not_run(RefusalCause::Stopping, None);
        self.log_refusal(request_id, None, refusal, arrived);
        refusal
    }

    fn log_refusal(&self, request: &str, tenant: Option<&str>, refusal: Refusal, arrived: Instant) {
        let routes = self.routes();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.log().record(&Record::Refused {
            request,
            status: refusal.status(),
            cause: refusal.cause().name(),
            tenant,
            version: routes.map_or(0, |routes| routes.configuration.version),
            configuration_age_ms: self.proof().age().map(millis),
            retry_after_ms: refusal.retry_after().map(millis),
            after_ms: millis(harrierward_clock::age(arrived)),
        });
    }
}

/// Refusal of a request that was sent to no replica, with a retry delay if the cause is transient.
pub(crate) fn refuse_unsent(cause: RefusalCause) -> Refusal {
    Refusal::not_run(cause, cause.is_transient().then_some(RETRY_AFTER))
}

fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}
