//! State of a request over its attempts: time limits, replicas tried, and what is known of its execution.

use std::sync::Arc;
use std::time::Duration;

use harrierward_execution::Execution;
use harrierward_quarantine::Fingerprint;
use tokio::time::Instant;

use crate::attempt::AttemptTimeouts;
use crate::configuration::Route;
use crate::exchange::ServingRequest;
use crate::refusals::{RefusalScope, ReplicaRefusal};
use crate::response::RefusalCause;
use crate::take_up::TakenUp;

/// Share of the objective after which a replica without progress is abandoned before the first event, in percent.
const FIRST_STALL_PERCENT: u32 = 120;

/// Multiple of the objective after which any replica is abandoned before the first event.
const FIRST_MAX_WAIT_FACTOR: u32 = 3;

/// Minimum wait before a replica is abandoned.
const MIN_FIRST_WAIT: Duration = Duration::from_millis(250);

/// Request in progress over all of its attempts.
pub(crate) struct RequestState {
    pub request: Arc<ServingRequest>,
    /// What of it may be quarantined.
    pub fingerprint: Fingerprint,
    pub route: Arc<Route>,
    /// Service chosen by the route's weights.
    pub service: String,
    /// The stream that its caller takes up; `None` for a new request.
    pub taken_up: Option<TakenUp>,
    pub clock: RequestClock,
    /// Ids of the replicas tried.
    pub tried: Vec<String>,
    /// Number of replicas that may have run it, except those in `forgiven`.
    pub sends: u32,
    /// What the attempts have shown of its execution.
    pub execution: Execution,
    /// Number of replicas that crashed while running it, excluded from `sends`.
    pub forgiven: u32,
    /// Number of attempts that replicas refused or that reached none, excluded from `sends`.
    pub refused_attempts: u32,
    /// Refusals by replicas that may have had room.
    pub refusals: Vec<ReplicaRefusal>,
    /// True if the caller was probably refused or cut off before.
    pub is_retry: bool,
    /// True if its objective had passed on arrival, so that it uses spare slots only.
    pub overdue: bool,
}

/// Maximum number of crashes excluded from the attempts; suffices to decide whether the content is the cause.
const MAX_FORGIVEN: u32 = 3;

/// Status of a replica that doesn't meet an expectation of the caller's.
const MISDIRECTED: u16 = 421;

/// Replicas that refuse a request alone, after which no further one is tried.
const MAX_REQUEST_REFUSALS: usize = 3;

/// Divisor of the caller's timeout that gives the longest acceptable retry delay.
const RETRY_DIVISOR: u32 = 3;

impl RequestState {
    /// Excludes the last attempt from the count, because its replica crashed.
    pub fn forgive(&mut self) {
        if self.forgiven < MAX_FORGIVEN && self.sends > 0 {
            self.forgiven += 1;
            self.sends -= 1;
        }
    }

    /// Returns the cause for which the request is refused if enough replicas refused it, and nothing says that they refuse
    /// others; `None` if another replica may be tried.
    pub fn refused_alone(&self) -> Option<RefusalCause> {
        let refusals = self.refusals.iter();
        let alone = refusals.filter(|refusal| refusal.scope != RefusalScope::Size);
        if alone.count() < MAX_REQUEST_REFUSALS {
            return None;
        }
        Some(self.cause_of_refusals())
    }

    /// Returns the cause for which a request is refused that no replica admitted.
    pub fn cause_of_refusals(&self) -> RefusalCause {
        let is_all = |holds: &dyn Fn(&ReplicaRefusal) -> bool| {
            !self.refusals.is_empty() && self.refusals.iter().all(holds)
        };
        if is_all(&|refusal| refusal.status == MISDIRECTED) {
            RefusalCause::UnmetExpectation
        } else if is_all(&|refusal| refusal.scope == RefusalScope::Request) {
            RefusalCause::NotAdmitted
        } else {
            RefusalCause::Full
        }
    }

    /// Longest acceptable retry delay; `None` for a caller that has retried already, which must be placed, and for
    /// one without a timeout.
    pub fn max_retry_after(&self) -> Option<Duration> {
        self.request
            .timeout
            .filter(|_| !self.is_retry)
            .map(|timeout| timeout / RETRY_DIVISOR)
    }
}

/// Time limits of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClock {
    pub arrived: Instant,
    hold_until: Instant,
    deadline: Option<Instant>,
}

impl RequestClock {
    /// Holds the request for the shorter of the route's and the caller's timeout.
    pub fn new(arrived: Instant, request: &ServingRequest, route: &Route) -> Self {
        let hold = request
            .timeout
            .map_or(route.timeout, |timeout| timeout.min(route.timeout));
        Self {
            arrived,
            hold_until: arrived + hold,
            deadline: request.timeout.map(|timeout| arrived + timeout),
        }
    }

    /// Remaining time for which the request may be held.
    pub fn remaining_hold(&self) -> Duration {
        self.hold_until
            .saturating_duration_since(harrierward_clock::now())
    }

    /// Time limits of the attempt `number`, counted from 1.
    pub fn attempt_timeouts(&self, route: &Route, number: u32) -> AttemptTimeouts {
        let remaining = self.remaining_hold();
        let time_left = self.deadline.map(|_| remaining);
        if number < route.attempts && route.may_repeat() {
            let stall_timeout = (route.objective * FIRST_STALL_PERCENT / 100).max(MIN_FIRST_WAIT);
            let max_wait = (route.objective * FIRST_MAX_WAIT_FACTOR).max(MIN_FIRST_WAIT);
            return AttemptTimeouts {
                time_left,
                stall_timeout: stall_timeout.min(remaining),
                max_wait: max_wait.min(remaining),
            };
        }
        AttemptTimeouts {
            time_left,
            stall_timeout: remaining,
            max_wait: remaining,
        }
    }
}
