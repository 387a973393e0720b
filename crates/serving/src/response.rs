//! What a caller gets: a replica's answer, or a refusal that says whether the request has run.

use std::time::Duration;

use bytes::Bytes;
use futures::stream::BoxStream;
use harrierward_execution::{Execution, FinalAnswer};
use http::HeaderMap;

use crate::relay::ResponseAborted;

/// Bytes for the caller. An error means that the connection must be broken off, so that the answer does not
/// look complete.
pub type CallerBody = BoxStream<'static, Result<Bytes, ResponseAborted>>;

/// A replica's answer on its way to the caller.
pub struct CallerResponse {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: CallerBody,
}

/// Why a request is refused or given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The route asks for a key, and there is none.
    NoKey,
    /// No tenant has the key.
    UnknownKey,
    /// Too long out of contact to tell whether the route or the key exists.
    StaleConfiguration,
    /// The tenant is at the limit of its rate.
    RateLimited,
    /// Nobody who counts the tenant's requests can be asked.
    RateUnknown,
    /// The service has no replica that takes work.
    NoReplica,
    /// All replicas tried are full.
    Full,
    /// It would be late now, and can be in time a moment later.
    Overloaded,
    /// The time ran out before any replica took it.
    NoTimeLeft,
    /// The time ran out while it may have run.
    TimedOut,
    /// A replica broke off, and the request must not run again.
    Broken,
    /// Replicas have ended each time that they ran it: it is sent to none.
    Quarantined,
    /// The daemon is stopping.
    Stopping,
}

impl RefusalCause {
    /// True if the request has not run and never will.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Broken)
    }

    /// The cause that is told of a request of which this is known.
    fn after(self, execution: Execution) -> Self {
        match self {
            _ if execution.is_not_run() => self,
            Self::NoTimeLeft => Self::TimedOut,
            cause if cause.is_not_run() => Self::Broken,
            cause => cause,
        }
    }

    /// True if the same request may be served later.
    pub fn is_transient(self) -> bool {
        self.is_not_run() && !matches!(self, Self::NoRoute | Self::NoKey | Self::UnknownKey)
    }

    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::StaleConfiguration => "stale_configuration",
            Self::RateLimited => "rate_limited",
            Self::RateUnknown => "rate_unknown",
            Self::NoReplica => "no_replica",
            Self::Full => "full",
            Self::Overloaded => "overloaded",
            Self::NoTimeLeft => "no_time_left",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
            Self::Quarantined => "held_back",
            Self::Stopping => "stopping",
        }
    }

    /// HTTP status: 503 promises that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey | Self::UnknownKey => 401,
            Self::RateLimited => 429,
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::RateUnknown
            | Self::NoReplica
            | Self::Full
            | Self::Overloaded
            | Self::NoTimeLeft
            | Self::Quarantined
            | Self::Stopping => 503,
            Self::TimedOut => 504,
            Self::Broken => 502,
        }
    }
}

/// A final answer without a replica's. Status and pause follow from what is known of the request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    cause: RefusalCause,
    answer: FinalAnswer,
}

impl Refusal {
    /// The refusal of a request of which this is known; `retry_after` is when to come back if it has not run.
    pub fn new(cause: RefusalCause, execution: Execution, retry_after: Option<Duration>) -> Self {
        let cause = cause.after(execution);
        Self {
            cause,
            answer: FinalAnswer::of(execution, cause.status(), retry_after),
        }
    }

    /// The refusal of a request of which nothing was sent.
    pub fn not_run(cause: RefusalCause, retry_after: Option<Duration>) -> Self {
        Self::new(cause, Execution::NotRun, retry_after)
    }

    /// Cause.
    pub fn cause(&self) -> RefusalCause {
        self.cause
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.answer.status()
    }

    /// When to come back, if the request has not run.
    pub fn retry_after(&self) -> Option<Duration> {
        self.answer.retry_after()
    }
}

/// What became of a request.
pub enum Reply {
    /// A replica's answer.
    Response(CallerResponse),
    /// A refusal.
    Refusal(Refusal),
}
