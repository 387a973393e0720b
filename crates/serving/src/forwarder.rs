//! The path of a request: route, replica, further tries, answer.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, Record};
use tokio::time::Instant;

use crate::attempt::{Attempt, AttemptFailure, AttemptTarget, AttemptTimes, Sending};
use crate::configuration::Route;
use crate::exchange::{ReplicaClient, ServingRequest};
use crate::profile::PromptProfiles;
use crate::relay::Relay;
use crate::replica::{ReplicaSet, WorkClass};
use crate::reply::{CallerAnswer, Refusal, RefusalCause, Reply};
use crate::routes::{RouteEntry, RouteTable};
use crate::selection::SelectionCosts;

/// The routes in force; `None` until a configuration is known.
pub type SharedRoutes = Arc<ArcSwapOption<RouteTable>>;

/// Most replicas that refuse one request before it is given up.
const MOST_REFUSALS: u32 = 3;

/// Silence before the first event after which a replica silent to everybody is given up, in percent of the objective.
const DARK_FIRST_PERCENT: u32 = 120;

/// Objectives without a first event after which any replica is given up.
const LONGEST_FIRST_FACTOR: u32 = 3;

/// Least silence before a replica is given up.
const LEAST_FIRST: Duration = Duration::from_millis(250);

/// When a caller whose request found no place shall come back.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Bounds and prices of the request path.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Zone of the daemon.
    pub zone: String,
    /// Prices of the choice of a replica.
    pub costs: SelectionCosts,
}

/// What a forwarder works with.
pub struct ForwarderParts {
    /// The routes.
    pub routes: SharedRoutes,
    /// The replicas.
    pub replicas: Arc<ReplicaSet>,
    /// Their protocol.
    pub client: Arc<dyn ReplicaClient>,
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

/// How long a request may still take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClock {
    pub arrived: Instant,
    hold_until: Instant,
    deadline: Option<Instant>,
}

impl RequestClock {
    fn new(arrived: Instant, request: &ServingRequest, route: &Route) -> Self {
        let held = request
            .patience
            .map_or(route.timeout, |patience| patience.min(route.timeout));
        Self {
            arrived,
            hold_until: arrived + held,
            deadline: request.patience.map(|patience| arrived + patience),
        }
    }

    /// Time for which the request may still be held.
    pub fn hold_left(&self) -> Duration {
        self.hold_until.saturating_duration_since(Instant::now())
    }

    /// Bounds of the attempt numbered `number`, from 1.
    pub fn attempt_times(&self, route: &Route, number: u32) -> AttemptTimes {
        let left = self.hold_left();
        let time_left = self.deadline.map(|_| left);
        if number < route.attempts && route.may_repeat() {
            let dark = (route.objective * DARK_FIRST_PERCENT / 100).max(LEAST_FIRST);
            let longest = (route.objective * LONGEST_FIRST_FACTOR).max(LEAST_FIRST);
            return AttemptTimes {
                time_left,
                dark: dark.min(left),
                longest: longest.min(left),
            };
        }
        AttemptTimes {
            time_left,
            dark: left,
            longest: left,
        }
    }
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

    pub(crate) fn log(&self) -> &DecisionLog {
        &self.parts.log
    }

    pub(crate) fn profiles(&self) -> &PromptProfiles {
        &self.profiles
    }

    pub(crate) fn settings(&self) -> &ForwarderSettings {
        &self.parts.settings
    }

    /// Serves a request. Dropping the future, or the answer's body, closes the replica's connection.
    pub async fn forward(&self, request: ServingRequest, arrived: Instant) -> Reply {
        let Some(routes) = self.routes() else {
            return self.refuse(&request, RefusalCause::NoConfiguration, 0, arrived);
        };
        let version = routes.configuration.version;
        let Some(entry) = routes.find(&request.host, path_of(&request.target)) else {
            return self.refuse(&request, RefusalCause::NoRoute, version, arrived);
        };
        let entry = entry.clone();
        drop(routes);
        let request = Arc::new(request);
        match self.serve(&request, &entry, arrived).await {
            Ok(answer) => Reply::Answer(answer),
            Err(cause) => self.refuse(&request, cause, version, arrived),
        }
    }

    fn refuse(
        &self,
        request: &ServingRequest,
        cause: RefusalCause,
        version: u64,
        arrived: Instant,
    ) -> Reply {
        let after = arrived.elapsed().as_millis();
        self.log().record(&Record::Refused {
            request: &request.id,
            status: cause.status(),
            cause: cause.name(),
            version,
            after_ms: u64::try_from(after).unwrap_or(u64::MAX),
        });
        let comes_back = cause.is_not_run() && cause != RefusalCause::NoRoute;
        Reply::Refusal(Refusal {
            cause,
            retry_after: comes_back.then_some(RETRY_AFTER),
        })
    }

    async fn serve(
        &self,
        request: &Arc<ServingRequest>,
        entry: &RouteEntry,
        arrived: Instant,
    ) -> Result<CallerAnswer, RefusalCause> {
        let route = Arc::new(entry.route.clone());
        let clock = RequestClock::new(arrived, request, &route);
        let service = entry.next_service().ok_or(RefusalCause::NoReplica)?;
        let service = service.to_owned();
        let mut tried = Vec::new();
        let mut sends = 0;
        let mut refusals = 0;
        let mut may_have_run = false;
        loop {
            if clock.hold_left().is_zero() {
                return Err(if may_have_run {
                    RefusalCause::TimedOut
                } else {
                    RefusalCause::NoTimeLeft
                });
            }
            sends += 1;
            let target = AttemptTarget {
                service: &service,
                class: WorkClass::Online,
                excluded: &tried,
                free_slots: None,
            };
            let times = clock.attempt_times(&route, sends);
            // A connection that was used before may carry a late answer, or be closing: an attempt that cannot
            // be repeated takes a new one.
            let sending = Sending {
                resume_after: request.resume_after,
                fresh_connection: !route.may_repeat(),
                number: sends,
            };
            let (replica, result) = self.attempt(request, target, times, sending).await;
            tried.extend(replica);
            match result {
                Ok(attempt) if self.shall_repeat(&attempt, &route, sends) => {
                    may_have_run = true;
                }
                Ok(attempt) => {
                    return answer(self, request, route, service, clock, attempt, tried, sends);
                }
                Err(AttemptFailure::NoReplica) if tried.is_empty() => {
                    return Err(RefusalCause::NoReplica);
                }
                Err(AttemptFailure::NoReplica) if may_have_run => return Err(RefusalCause::Broken),
                Err(AttemptFailure::NoReplica) => return Err(RefusalCause::Full),
                Err(AttemptFailure::NotRun { .. }) => {
                    sends -= 1;
                    refusals += 1;
                    if refusals > MOST_REFUSALS {
                        return Err(if may_have_run {
                            RefusalCause::Broken
                        } else {
                            RefusalCause::Full
                        });
                    }
                }
                Err(AttemptFailure::MayHaveRun { .. }) => {
                    may_have_run = true;
                    if !route.may_repeat() || sends >= route.attempts {
                        return Err(if clock.hold_left().is_zero() {
                            RefusalCause::TimedOut
                        } else {
                            RefusalCause::Broken
                        });
                    }
                }
            }
        }
    }

    /// True for a failure of the replica that another one may make good.
    fn shall_repeat(&self, attempt: &Attempt, route: &Route, sends: u32) -> bool {
        attempt.answer.status >= 500 && route.may_repeat() && sends < route.attempts
    }
}

/// Statuses that promise the caller that its request has not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

#[allow(clippy::too_many_arguments)]
fn answer(
    forwarder: &Forwarder,
    request: &Arc<ServingRequest>,
    route: Arc<Route>,
    service: String,
    clock: RequestClock,
    attempt: Attempt,
    tried: Vec<String>,
    sends: u32,
) -> Result<CallerAnswer, RefusalCause> {
    let status = attempt.answer.status;
    if promises_not_run(status) {
        // The replica did not say that it has not run the request, so neither may this daemon.
        return Err(RefusalCause::Broken);
    }
    let headers = attempt.answer.headers.clone();
    let relay = Relay::new(
        forwarder.clone(),
        request.clone(),
        route,
        service,
        clock,
        attempt,
        tried,
        sends,
    );
    Ok(CallerAnswer {
        status,
        headers,
        body: relay.into_stream().boxed(),
    })
}

fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}
