//! A request on its way: what it asks, how long it may take, where it has been, and what that has shown of it.

use std::sync::Arc;
use std::time::Duration;

use harrierward_execution::Execution;
use harrierward_quarantine::ContentId;
use tokio::time::Instant;

use crate::attempt::AttemptTimeouts;
use crate::configuration::Route;
use crate::exchange::ServingRequest;

/// Silence before the first event after which a replica silent to everybody is given up, in percent of the objective.
const DARK_FIRST_PERCENT: u32 = 120;

/// Objectives without a first event after which any replica is given up.
const LONGEST_FIRST_FACTOR: u32 = 3;

/// Least silence before a replica is given up.
const LEAST_FIRST: Duration = Duration::from_millis(250);

/// One request.
pub(crate) struct RequestState {
    /// The request.
    pub request: Arc<ServingRequest>,
    /// Its content.
    pub content: ContentId,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that its turn fell to.
    pub service: String,
    /// Its time.
    pub clock: RequestClock,
    /// Replicas that were tried.
    pub tried: Vec<String>,
    /// Replicas to which it was sent and that may have run it.
    pub sends: u32,
    /// What the attempts so far have shown of its execution.
    pub execution: Execution,
    /// Replicas that ended while they ran it, and do not count among `sends`.
    pub forgiven: u32,
    /// Its caller has been refused or cut off before.
    pub is_return: bool,
    /// Its objective had passed before it came, and it leaves slots to those that can be in time.
    pub overdue: bool,
}

/// Most replicas that may end under one try without counting: as many as it takes to tell whether it is to blame.
const MOST_FORGIVEN: u32 = 3;

/// Part of the time that a caller has left for which it still heeds when to come back.
const RETURN_PART: u32 = 3;

impl RequestState {
    /// The replica that ran it last has ended, and does not count.
    pub fn forgive(&mut self) {
        if self.forgiven < MOST_FORGIVEN && self.sends > 0 {
            self.forgiven += 1;
            self.sends -= 1;
        }
    }

    /// Longest time after which the caller still comes back; `None` for one that has come back before, which is not
    /// sent away again, and for one that waits without a bound.
    pub fn max_retry_after(&self) -> Option<Duration> {
        self.request
            .timeout
            .filter(|_| !self.is_return)
            .map(|patience| patience / RETURN_PART)
    }
}

/// How long a request may still take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClock {
    pub arrived: Instant,
    hold_until: Instant,
    deadline: Option<Instant>,
}

impl RequestClock {
    /// The time of a request that arrived then: it is held for the route's time-out or its caller's patience.
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

    /// Time for which the request may still be held.
    pub fn hold_left(&self) -> Duration {
        self.hold_until
            .saturating_duration_since(harrierward_clock::now())
    }

    /// Bounds of the attempt numbered `number`, from 1.
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
