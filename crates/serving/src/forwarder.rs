//! Request path: admission, replica selection, retries and response.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_execution::{Execution, implies_not_run};
use harrierward_quarantine::{Fingerprint, QuarantinePeriod, Status};
use http::header::CONTENT_LENGTH;
use tokio::time::Instant;

use crate::admission::{ConfigurationProof, KeyTrust, RateLimits, RateStatus, caller_of};
use crate::attempt::{Attempt, AttemptFailure, AttemptOptions};
use crate::exchange::{BodyDelimiter, ReplicaClient, ServingRequest};
use crate::leases::SlotLeases;
use crate::policy::{Mechanism, Policy};
use crate::profile::PromptProfiles;
use crate::quarantine::Quarantine;
use crate::refusals::RefusalScope;
use crate::refused_sizes::{RefusedSizeBounds, RefusedSizes};
use crate::relay::Relay;
use crate::replica::{Replica, WorkClass, short_hash};
use crate::replica_set::ReplicaSet;
use crate::request_state::{RequestClock, RequestState};
use crate::response::{CallerResponse, Refusal, RefusalCause, Reply};
use crate::routes::{RouteEntry, RouteTable};
use crate::selection::SelectionCosts;
use crate::stream_origin::{StreamOrigins, takes_up};

/// The routes in force; `None` until a configuration is known.
pub type SharedRoutes = Arc<ArcSwapOption<RouteTable>>;

/// Maximum number of refusals by replicas per request.
const MAX_REFUSALS: u32 = 3;

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

    fn quarantine_of(&self, request: &Fingerprint) -> Option<QuarantinePeriod> {
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

    async fn serve(
        &self,
        request: &Arc<ServingRequest>,
        entry: &RouteEntry,
        arrived: Instant,
    ) -> Result<CallerResponse, Refusal> {
        let taken_up = if entry.route.is_resumable() && takes_up(request) {
            Some(self.take_up(request, &entry.route).await?)
        } else {
            None
        };
        let service = match &taken_up {
            Some(taken_up) => taken_up.service.clone(),
            None => entry
                .next_service()
                .ok_or_else(|| refuse_unsent(RefusalCause::NoReplica))?
                .to_owned(),
        };
        let mut bound = request.clone();
        if let Some(taken_up) = &taken_up {
            Arc::make_mut(&mut bound).version = Some(taken_up.known.origin.version);
        }
        let request = &bound;
        let is_retry = entry.is_overdue(request.timeout);
        let mut state = RequestState {
            request: request.clone(),
            fingerprint: request.fingerprint(),
            route: Arc::new(entry.route.clone()),
            service,
            taken_up,
            clock: RequestClock::new(arrived, request, &entry.route),
            tried: Vec::new(),
            sends: 0,
            execution: Execution::NotRun,
            forgiven: 0,
            refusals: Vec::new(),
            is_retry,
            overdue: is_retry && self.policy().has(Mechanism::OverdueLast),
        };
        if self.is_size_refused(&state) {
            return Err(Refusal::not_run(RefusalCause::NotAdmitted, None));
        }
        let mut refusals = 0;
        loop {
            if let Some(period) = self.quarantine_of(&state.fingerprint) {
                return Err(refuse_quarantined(&period, &state));
            }
            if state.clock.remaining_hold().is_zero() {
                return Err(abandon(RefusalCause::NoTimeLeft, &state));
            }
            state.sends += 1;
            let (replica, result) = self.next_attempt(&state).await;
            state.tried.extend(replica);
            let failure = match result {
                Ok(attempt) if self.should_retry(&attempt, &state) => {
                    state.execution.merge(Execution::Ran);
                    continue;
                }
                Ok(attempt) => {
                    let tokens = state.request.prompt.total_tokens();
                    self.note_admitted_after(&state.refusals, tokens);
                    if let Some(taken_up) = &state.taken_up {
                        self.log_taken_up(request, taken_up, &attempt);
                    }
                    return respond(self, state, attempt);
                }
                Err(failure) => failure,
            };
            state.execution.merge(failure.execution());
            let refused = failure.refused();
            state
                .refusals
                .extend(refused.filter(|refused| refused.scope != RefusalScope::Replica));
            if let Some(cause) = state.refused_alone() {
                return Err(abandon(cause, &state));
            }
            match failure {
                AttemptFailure::RetryLater { after } => {
                    let cause = RefusalCause::Overloaded;
                    return Err(Refusal::new(cause, state.execution, Some(after)));
                }
                AttemptFailure::NoReplica if state.tried.is_empty() => {
                    return Err(abandon(RefusalCause::NoReplica, &state));
                }
                AttemptFailure::NoReplica => {
                    return Err(abandon(state.cause_of_refusals(), &state));
                }
                AttemptFailure::NotRun { .. } | AttemptFailure::Unattributed { .. } => {
                    state.sends -= 1;
                    refusals += 1;
                    if refusals > MAX_REFUSALS {
                        return Err(abandon(state.cause_of_refusals(), &state));
                    }
                }
                AttemptFailure::MayHaveRun { .. } => {
                    self.forgive_crash(&mut state).await;
                    if !state.route.may_repeat() || state.sends >= state.route.attempts {
                        return Err(abandon(RefusalCause::Broken, &state));
                    }
                }
            }
        }
    }

    /// True if the replicas refuse requests of this size, by what they did and not against the configuration. A
    /// request that cannot be served is refused at once.
    fn is_size_refused(&self, state: &RequestState) -> bool {
        let tokens = state.request.prompt.total_tokens();
        let refused = self.refused_size_bounds(&state.service).confirmed;
        if refused.is_none_or(|refused| tokens < refused) {
            return false;
        }
        let routes = self.routes();
        let memory = routes.and_then(|routes| routes.configuration.memory_tokens(&state.service));
        let fits_by_configuration = memory.is_some_and(|memory| tokens <= memory);
        !fits_by_configuration && !self.take_size_trial(&state.service, WorkClass::Online)
    }

    /// Doesn't count the last allowed attempt if its replica crashed and the request may be repeated.
    async fn forgive_crash(&self, state: &mut RequestState) {
        let is_last = state.sends >= state.route.attempts;
        let Some(replica) = self.last_tried(state) else {
            return;
        };
        if is_last && state.route.may_repeat() && self.has_crashed(&replica).await {
            state.forgive();
        }
    }

    /// Returns the replica of the last attempt, if it is still known.
    pub(crate) fn last_tried(&self, state: &RequestState) -> Option<Arc<Replica>> {
        let last = state.tried.last()?;
        self.replicas().view().get(last).cloned()
    }

    /// Makes the attempt number `state.sends`, before any part of a response is relayed.
    async fn next_attempt(
        &self,
        state: &RequestState,
    ) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        // A reused connection may deliver a late response or be closing, so an attempt that can't be repeated opens a
        // new one; so does one after a lost response, since reused connections tend to fail together.
        let options = AttemptOptions {
            resume_after: state.request.resume_after,
            fresh_connection: !state.route.may_repeat() || state.sends > 1,
            number: state.sends,
            failed_before: false,
            refused_elsewhere: state.refusals.len(),
        };
        let times = || state.clock.attempt_timeouts(&state.route, state.sends);
        self.attempt(state, times, options).await
    }

    /// True if the replica failed and another one may serve the request.
    fn should_retry(&self, attempt: &Attempt, state: &RequestState) -> bool {
        let route = &state.route;
        attempt.response.status >= 500 && route.may_repeat() && state.sends < route.attempts
    }
}

/// Refusal of a request that was sent to no replica, with a retry delay if the cause is transient.
fn refuse_unsent(cause: RefusalCause) -> Refusal {
    Refusal::not_run(cause, cause.is_transient().then_some(RETRY_AFTER))
}

/// Refusal of a request that is abandoned after its attempts.
fn abandon(cause: RefusalCause, state: &RequestState) -> Refusal {
    let is_late = state.clock.remaining_hold().is_zero();
    let cause = if is_late && !state.execution.is_not_run() {
        RefusalCause::TimedOut
    } else {
        cause
    };
    Refusal::new(
        cause,
        state.execution,
        cause.is_transient().then_some(RETRY_AFTER),
    )
}

/// Refusal of a quarantined request. Its retry delay is the rest of the quarantine, as an earlier retry
/// would be refused as well.
fn refuse_quarantined(period: &QuarantinePeriod, state: &RequestState) -> Refusal {
    let remaining = period
        .until
        .saturating_duration_since(harrierward_clock::now());
    Refusal::new(RefusalCause::Quarantined, state.execution, Some(remaining))
}

fn respond(
    forwarder: &Forwarder,
    mut state: RequestState,
    attempt: Attempt,
) -> Result<CallerResponse, Refusal> {
    state.execution.merge(Execution::Ran);
    let status = attempt.response.status;
    if implies_not_run(status) {
        // The status would promise that the request did not run, which the replica did not state.
        return Err(Refusal::new(RefusalCause::Broken, state.execution, None));
    }
    let mut headers = attempt.response.headers.clone();
    let delimiter = attempt.response.delimiter;
    let relay = Relay::new(forwarder.clone(), state, attempt);
    if relay.is_resumable() || delimiter != BodyDelimiter::Length {
        // Events of another replica may follow, or the length isn't what delimits the replica's body.
        headers.remove(CONTENT_LENGTH);
    }
    Ok(CallerResponse {
        status,
        headers,
        body: relay.into_stream().boxed(),
    })
}

fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}
