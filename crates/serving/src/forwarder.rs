//! The path of a request: route, replica, further tries, answer.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_execution::{Execution, promises_not_run};
use harrierward_quarantine::{ContentId, ContentStatus, QuarantinePeriod};
use tokio::time::Instant;

use crate::admission::{ConfigurationProof, KeyTrust, RateLimits, RateStatus, caller_of};
use crate::attempt::{Attempt, AttemptFailure, AttemptOptions};
use crate::exchange::{ReplicaClient, ServingRequest};
use crate::leases::SlotLeases;
use crate::policy::{Mechanism, Policy};
use crate::profile::PromptProfiles;
use crate::quarantine::Quarantine;
use crate::relay::Relay;
use crate::replica::Replica;
use crate::replica_set::ReplicaSet;
use crate::request_state::{RequestClock, RequestState};
use crate::response::{CallerResponse, Refusal, RefusalCause, Reply};
use crate::routes::{RouteEntry, RouteTable};
use crate::selection::SelectionCosts;

/// The routes in force; `None` until a configuration is known.
pub type SharedRoutes = Arc<ArcSwapOption<RouteTable>>;

/// Most replicas that refuse one request before it is given up.
const MOST_REFUSALS: u32 = 3;

/// When a caller whose request found no place shall come back.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Bounds and prices of the request path.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Zone of the daemon.
    pub zone: String,
    /// Region of the daemon.
    pub region: String,
    /// Prices of the choice of a replica.
    pub costs: SelectionCosts,
    /// How long keys are served without contact.
    pub key_trust: KeyTrust,
}

/// What a forwarder works with.
pub struct ForwarderParts {
    /// The routes.
    pub routes: SharedRoutes,
    /// The replicas.
    pub replicas: Arc<ReplicaSet>,
    /// Their protocol.
    pub client: Arc<dyn ReplicaClient>,
    /// SlotLeases at the replicas.
    pub leases: Arc<dyn SlotLeases>,
    /// Rates of tenants.
    pub rates: Arc<dyn RateLimits>,
    /// Contents that are held back.
    pub quarantine: Arc<dyn Quarantine>,
    /// Age of the routes.
    pub proof: Arc<ConfigurationProof>,
    /// The decision log.
    pub log: DecisionLog,
    /// Settings.
    pub settings: ForwarderSettings,
}

/// The request path of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Forwarder {
    parts: Arc<ForwarderParts>,
    profiles: Arc<PromptProfiles>,
}

impl Forwarder {
    /// A forwarder over these parts.
    pub fn new(parts: ForwarderParts) -> Self {
        Self {
            parts: Arc::new(parts),
            profiles: Arc::default(),
        }
    }

    /// The replicas.
    pub fn replicas(&self) -> &Arc<ReplicaSet> {
        &self.parts.replicas
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.parts.routes.load_full()
    }

    pub(crate) fn client(&self) -> &dyn ReplicaClient {
        self.parts.client.as_ref()
    }

    /// Who grants slots.
    pub fn leases(&self) -> &Arc<dyn SlotLeases> {
        &self.parts.leases
    }

    pub(crate) fn log(&self) -> &DecisionLog {
        &self.parts.log
    }

    pub(crate) fn profiles(&self) -> &PromptProfiles {
        &self.profiles
    }

    pub(crate) fn settings(&self) -> &ForwarderSettings {
        &self.parts.settings
    }

    pub(crate) fn quarantine(&self) -> &Arc<dyn Quarantine> {
        &self.parts.quarantine
    }

    pub(crate) async fn has_crashed(&self, replica: &Arc<Replica>) -> bool {
        self.parts.quarantine.has_crashed(replica).await
    }

    fn hold(&self, content: ContentId) -> Option<QuarantinePeriod> {
        match self.parts.quarantine.status(content) {
            ContentStatus::Quarantined(hold) => Some(hold),
            ContentStatus::Clear | ContentStatus::Suspect { .. } => None,
        }
    }

    /// True if replicas have ended under the content, so that it is sent to none.
    pub(crate) fn is_held(&self, content: ContentId) -> bool {
        self.hold(content).is_some()
    }

    /// True if an item must not run now since replicas have ended under its content. One that may have been there by chance
    /// gets one trial; its caller does not wait, and it is lost for nothing otherwise.
    pub fn is_item_quarantined(&self, request: &ServingRequest) -> bool {
        if !self.parts.quarantine.has_quarantined() {
            return false;
        }
        let hold = self.hold(request.content());
        hold.is_some_and(|hold| !hold.allows_trial(harrierward_clock::now()))
    }

    /// Mechanisms in use.
    pub fn policy(&self) -> Policy {
        self.parts.settings.costs.policy
    }

    /// Age of the routes.
    pub fn proof(&self) -> &ConfigurationProof {
        &self.parts.proof
    }

    /// How long keys are served without contact.
    pub fn key_trust(&self) -> KeyTrust {
        self.parts.settings.key_trust
    }

    /// Serves a request. Dropping the future, or the answer's body, closes the replica's connection.
    pub async fn forward(&self, mut request: ServingRequest, arrived: Instant) -> Reply {
        let entry = match self.admit(&mut request).await {
            Ok(entry) => entry,
            Err(refusal) => return self.refuse(&request, refusal, arrived),
        };
        let request = Arc::new(request);
        match self.serve(&request, &entry, arrived).await {
            Ok(answer) => Reply::Response(answer),
            Err(refusal) => self.refuse(&request, refusal, arrived),
        }
    }

    /// The route of a request that its caller may make now; the request is then its tenant's.
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

    /// Refuses a request that became whole while this daemon stops: its answer might not come to its end in the time that
    /// is left. No pause is asked of the caller, since other daemons take it at once.
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
        let service = entry
            .next_service()
            .ok_or_else(|| refuse_unsent(RefusalCause::NoReplica))?;
        let is_return = entry.is_overdue(request.timeout);
        let mut state = RequestState {
            request: request.clone(),
            content: request.content(),
            route: Arc::new(entry.route.clone()),
            service: service.to_owned(),
            clock: RequestClock::new(arrived, request, &entry.route),
            tried: Vec::new(),
            sends: 0,
            execution: Execution::NotRun,
            forgiven: 0,
            is_return,
            overdue: is_return && self.policy().has(Mechanism::OverdueLast),
        };
        let mut refusals = 0;
        loop {
            if let Some(hold) = self.hold(state.content) {
                return Err(held_back(&hold, &state));
            }
            if state.clock.hold_left().is_zero() {
                return Err(given_up(RefusalCause::NoTimeLeft, &state));
            }
            state.sends += 1;
            let (replica, result) = self.first_attempt(&state).await;
            state.tried.extend(replica);
            let failure = match result {
                Ok(attempt) if self.shall_repeat(&attempt, &state) => {
                    state.execution.learn(Execution::Ran);
                    continue;
                }
                Ok(attempt) => return answer(self, state, attempt),
                Err(failure) => failure,
            };
            state.execution.learn(failure.execution());
            match failure {
                AttemptFailure::RetryLater { after } => {
                    let cause = RefusalCause::Overloaded;
                    return Err(Refusal::new(cause, state.execution, Some(after)));
                }
                AttemptFailure::NoReplica if state.tried.is_empty() => {
                    return Err(given_up(RefusalCause::NoReplica, &state));
                }
                AttemptFailure::NoReplica => return Err(given_up(RefusalCause::Full, &state)),
                AttemptFailure::NotRun { .. } | AttemptFailure::Unattributed { .. } => {
                    state.sends -= 1;
                    refusals += 1;
                    if refusals > MOST_REFUSALS {
                        return Err(given_up(RefusalCause::Full, &state));
                    }
                }
                AttemptFailure::MayHaveRun { .. } => {
                    self.forgive_end(&mut state).await;
                    if !state.route.may_repeat() || state.sends >= state.route.attempts {
                        return Err(given_up(RefusalCause::Broken, &state));
                    }
                }
            }
        }
    }

    /// A replica that has ended does not count among the attempts of a request that may be repeated.
    async fn forgive_end(&self, state: &mut RequestState) {
        let is_last = state.sends >= state.route.attempts;
        let Some(replica) = self.last_tried(state) else {
            return;
        };
        if is_last && state.route.may_repeat() && self.has_crashed(&replica).await {
            state.forgive();
        }
    }

    /// The replica that a request was sent to last, if it is still known.
    pub(crate) fn last_tried(&self, state: &RequestState) -> Option<Arc<Replica>> {
        let last = state.tried.last()?;
        self.replicas().view().get(last).cloned()
    }

    async fn first_attempt(
        &self,
        state: &RequestState,
    ) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        // A connection that was used before may carry a late answer, or be closing: an attempt that cannot be
        // repeated takes a new one. So does one that follows a lost answer: kept connections fall silent together.
        let sending = AttemptOptions {
            resume_after: state.request.resume_after,
            fresh_connection: !state.route.may_repeat() || state.sends > 1,
            number: state.sends,
            failed_before: false,
        };
        let times = || state.clock.attempt_times(&state.route, state.sends);
        self.attempt(state, times, sending).await
    }

    /// True for a failure of the replica that another one may make good.
    fn shall_repeat(&self, attempt: &Attempt, state: &RequestState) -> bool {
        let route = &state.route;
        attempt.response.status >= 500 && route.may_repeat() && state.sends < route.attempts
    }
}

/// The refusal of a request of which nothing was sent; the cause tells whether its caller may come back.
fn refuse_unsent(cause: RefusalCause) -> Refusal {
    Refusal::not_run(cause, cause.is_transient().then_some(RETRY_AFTER))
}

/// The refusal of a request that is given up, by what its attempts have shown.
fn given_up(cause: RefusalCause, state: &RequestState) -> Refusal {
    let is_late = state.clock.hold_left().is_zero();
    let cause = if is_late && !state.execution.is_not_run() {
        RefusalCause::TimedOut
    } else {
        cause
    };
    Refusal::new(cause, state.execution, Some(RETRY_AFTER))
}

/// The refusal of a request under whose content replicas have ended. To come back earlier is of no use.
fn held_back(hold: &QuarantinePeriod, state: &RequestState) -> Refusal {
    let left = hold
        .until
        .saturating_duration_since(harrierward_clock::now());
    Refusal::new(RefusalCause::Quarantined, state.execution, Some(left))
}

fn answer(
    forwarder: &Forwarder,
    mut state: RequestState,
    attempt: Attempt,
) -> Result<CallerResponse, Refusal> {
    state.execution.learn(Execution::Ran);
    let status = attempt.response.status;
    if promises_not_run(status) {
        // The replica did not say that it has not run the request, so neither may this daemon.
        return Err(Refusal::new(RefusalCause::Broken, state.execution, None));
    }
    let headers = attempt.response.headers.clone();
    let relay = Relay::new(forwarder.clone(), state, attempt);
    Ok(CallerResponse {
        status,
        headers,
        body: relay.into_stream().boxed(),
    })
}

fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}
