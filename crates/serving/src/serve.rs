//! Attempts to serve an admitted request, at one replica after the other, until one responds or no further one may be
//! tried.

use std::sync::Arc;

use futures::StreamExt;
use harrierward_execution::{Execution, implies_not_run};
use harrierward_quarantine::QuarantinePeriod;
use http::Method;
use http::header::CONTENT_LENGTH;
use tokio::time::Instant;

use crate::attempt::{Attempt, AttemptFailure, AttemptOptions};
use crate::exchange::{BodyDelimiter, ReplicaResponse, ServingRequest, excludes_body};
use crate::forwarder::{Forwarder, RETRY_AFTER, refuse_unsent};
use crate::policy::Mechanism;
use crate::refusals::RefusalScope;
use crate::relay::Relay;
use crate::replica::{Replica, WorkClass};
use crate::request_state::{RequestClock, RequestState};
use crate::response::{CallerResponse, Refusal, RefusalCause};
use crate::routes::RouteEntry;
use crate::stream_origin::takes_up;

/// Maximum number of attempts per request that replicas refused or that reached none.
const MAX_REFUSED_ATTEMPTS: u32 = 3;

impl Forwarder {
    /// Serves an admitted request.
    pub(crate) async fn serve(
        &self,
        request: &Arc<ServingRequest>,
        entry: &RouteEntry,
        arrived: Instant,
    ) -> Result<CallerResponse, Refusal> {
        let mut state = self.begin(request, entry, arrived).await?;
        if self.is_size_refused(&state) {
            return Err(Refusal::not_run(RefusalCause::NotAdmitted, None));
        }
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
            match result {
                Ok(attempt) if self.should_retry(&attempt, &state) => {
                    state.execution.merge(Execution::Ran);
                }
                Ok(attempt) => return self.respond(state, attempt).await,
                Err(failure) => self.note_failure(&mut state, &failure).await?,
            }
        }
    }

    /// Returns the state before the first attempt. A request that takes up a stream is bound to the stream's version, one
    /// that begins a stream to a stored version while the store lacks another one.
    async fn begin(
        &self,
        request: &Arc<ServingRequest>,
        entry: &RouteEntry,
        arrived: Instant,
    ) -> Result<RequestState, Refusal> {
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
        let mut request = request.clone();
        let version = match &taken_up {
            Some(taken_up) => Some(taken_up.known.origin.version),
            None if entry.route.is_resumable() => {
                let origins = self.origins();
                origins.version_to_begin_at(&service, &request.regions)
            }
            None => None,
        };
        if version.is_some() {
            Arc::make_mut(&mut request).version = version;
        }
        let is_retry = entry.is_overdue(request.timeout);
        Ok(RequestState {
            fingerprint: request.fingerprint(),
            route: Arc::new(entry.route.clone()),
            service,
            taken_up,
            clock: RequestClock::new(arrived, &request, &entry.route),
            request,
            tried: Vec::new(),
            sends: 0,
            execution: Execution::NotRun,
            forgiven: 0,
            refused_attempts: 0,
            refusals: Vec::new(),
            is_retry,
            overdue: is_retry && self.policy().has(Mechanism::OverdueLast),
        })
    }

    /// Records a failed attempt. An error is the refusal with which the request ends; otherwise another replica may be
    /// tried.
    async fn note_failure(
        &self,
        state: &mut RequestState,
        failure: &AttemptFailure,
    ) -> Result<(), Refusal> {
        state.execution.merge(failure.execution());
        let refused = failure.refused();
        state
            .refusals
            .extend(refused.filter(|refused| refused.scope != RefusalScope::Replica));
        if let Some(cause) = state.refused_alone() {
            return Err(abandon(cause, state));
        }
        match failure {
            AttemptFailure::RetryLater { after } => {
                let cause = RefusalCause::Overloaded;
                return Err(Refusal::new(cause, state.execution, Some(*after)));
            }
            AttemptFailure::NoReplica if state.tried.is_empty() => {
                return Err(abandon(RefusalCause::NoReplica, state));
            }
            AttemptFailure::NoReplica => {
                return Err(abandon(state.cause_of_refusals(), state));
            }
            AttemptFailure::NotRun { .. } | AttemptFailure::Unattributed { .. } => {
                state.sends -= 1;
                state.refused_attempts += 1;
                if state.refused_attempts > MAX_REFUSED_ATTEMPTS {
                    return Err(abandon(state.cause_of_refusals(), state));
                }
            }
            AttemptFailure::MayHaveRun { .. } => {
                self.forgive_crash(state).await;
                if !state.route.may_repeat() || state.sends >= state.route.attempts {
                    return Err(abandon(RefusalCause::Broken, state));
                }
            }
        }
        Ok(())
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
            is_resumable: state.route.is_resumable(),
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

    /// Returns the response of an attempt, whose body is still to be relayed.
    async fn respond(
        &self,
        mut state: RequestState,
        attempt: Attempt,
    ) -> Result<CallerResponse, Refusal> {
        self.note_admitted_after(&state.refusals, state.request.prompt.total_tokens());
        if let Some(taken_up) = &state.taken_up {
            self.log_taken_up(&state.request, taken_up, &attempt);
        }
        state.execution.merge(Execution::Ran);
        let status = attempt.response.status;
        if implies_not_run(status) {
            // The status would promise that the request did not run, which the replica did not state.
            return Err(Refusal::new(RefusalCause::Broken, state.execution, None));
        }
        let mut headers = attempt.response.headers.clone();
        let delimiter = attempt.response.delimiter;
        let has_body = has_body(&state.request.method, &attempt.response);
        let mut relay = Relay::new(self.clone(), state, attempt);
        if !has_body {
            // The caller's HTTP library doesn't read it to its end.
            relay.end_without_body().await;
        }
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
}

/// True unless the header section excludes a body, or states that it is empty.
fn has_body(method: &Method, response: &ReplicaResponse) -> bool {
    let length = response.headers.get(CONTENT_LENGTH);
    let is_empty = length.is_some_and(|length| length == "0");
    let is_delimited = response.delimiter == BodyDelimiter::Length;
    !(is_delimited && (is_empty || excludes_body(method, response.status)))
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
