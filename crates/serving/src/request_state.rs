//! State of a request over its attempts: time limits, replicas tried, and what is known of its execution.

use std::sync::Arc;
use std::time::Duration;

use harrierward_execution::Execution;
use harrierward_quarantine::ContentId;
use tokio::time::Instant;

use crate::attempt::AttemptTimeouts;
use crate::configuration::Route;
use crate::exchange::ServingRequest;

/// Share of the objective after which a replica without progress is abandoned before the first event, in percent.
const DARK_FIRST_PERCENT: u32 = 120;

/// Multiple of the objective after which any replica is abandoned before the first event.
const LONGEST_FIRST_FACTOR: u32 = 3;

/// Minimum wait before a replica is abandoned.
const LEAST_FIRST: Duration = Duration::from_millis(250);

/// Request in progress over all of its attempts.
pub(crate) struct RequestState {
    pub request: Arc<ServingRequest>,
    /// Digest under which it may be quarantined.
    pub content: ContentId,
    pub route: Arc<Route>,
    /// Service chosen by the route's weights.
    pub service: String,
    pub clock: RequestClock,
    /// Ids of the replicas tried.
    pub tried: Vec<String>,
    /// Number of replicas that may have run it, except those in `forgiven`.
    pub sends: u32,
    /// What the attempts have shown of its execution.
    pub execution: Execution,
    /// Number of replicas that crashed while running it, excluded from `sends`.
    pub forgiven: u32,
    /// True if the caller was probably refused or cut off before.
    pub is_return: bool,
    /// True if its objective had passed on arrival, so that it uses spare slots only.
    pub overdue: bool,
}

/// Maximum number of crashes excluded from the attempts; suffices to decide whether the content is the cause.
const MOST_FORGIVEN: u32 = 3;

/// Divisor of the caller's timeout that gives the longest acceptable retry interval.
const RETURN_PART: u32 = 3;

impl RequestState {
    /// Excludes the last attempt from the count, because its replica crashed.
    pub fn forgive(&mut self) {
        if self.forgiven < MOST_FORGIVEN && self.sends > 0 {
            self.forgiven += 1;
            self.sends -= 1;
        }
    }

    /// Longest acceptable retry interval; `None` for a caller that has retried already, which must be placed, and for
    /// one without a timeout.
    pub fn max_retry_after(&self) -> Option<Duration> {
        self.request
            .timeout
            .filter(|_| !self.is_return)
            .map(|patience| patience / RETURN_PART)
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
        let held = request
            .timeout
            .map_or(route.timeout, |patience| patience.min(route.timeout));
        Self {
            arrived,
            hold_until: arrived + held,
            deadline: request.timeout.map(|patience| arrived + patience),
        }
    }

    /// Remaining time for which the request may be held.
    pub fn hold_left(&self) -> Duration {
        self.hold_until
            .saturating_duration_since(harrierward_clock::now())
    }

    /// Time limits of the attempt `number`, counted from 1.
    pub fn attempt_times(&self, route: &Route, number: u32) -> AttemptTimeouts {
        let left = self.hold_left();
        let time_left = self.deadline.map(|_| left);
        if number < route.attempts && route.may_repeat() {
            let dark = (route.objective * DARK_FIRST_PERCENT / 100).max(LEAST_FIRST);
            let longest = (route.objective * LONGEST_FIRST_FACTOR).max(LEAST_FIRST);
            return AttemptTimeouts {
                time_left,
                stall_timeout: dark.min(left),
                max_wait: longest.min(left),
            };
        }
        AttemptTimeouts {
            time_left,
            stall_timeout: left,
            max_wait: left,
        }
    }
}
