//! Result for the caller: a replica's response, or a refusal that states whether the request may have run.

use std::time::Duration;

use bytes::Bytes;
use futures::stream::BoxStream;
use harrierward_execution::{Execution, FinalResponse};
use http::HeaderMap;

use crate::relay::ResponseAborted;

/// Response body for the caller. On an error the connection must be aborted, so that the response doesn't seem
/// complete.
pub type CallerBody = BoxStream<'static, Result<Bytes, ResponseAborted>>;

/// Response of a replica, relayed to the caller.
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers of the replica, passed through.
    pub headers: HeaderMap,
    /// Body, relayed as it arrives.
    pub body: CallerBody,
}

/// Reason why a request is refused or abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration has been received yet.
    NoConfiguration,
    /// No route matches host and path.
    NoRoute,
    /// The route requires a key, and the request has none.
    NoKey,
    /// No tenant has the key.
    UnknownKey,
    /// The configuration is too old to decide whether the route or the key exists.
    StaleConfiguration,
    /// The tenant has reached its rate limit.
    RateLimited,
    /// Neither the coordinator of the tenant's rate nor its fallback gives a decision.
    RateUnknown,
    /// No replica of the service accepts work.
    NoReplica,
    /// None of the replicas tried accepted the request.
    Full,
    /// Replicas with free slots don't admit the request, as one that is larger than their memory.
    NotAdmitted,
    /// No replica that was tried meets an expectation of the caller's, such as the version of the weights.
    UnmetExpectation,
    /// The request would miss its objective now, but not after a delay.
    Overloaded,
    /// The time ran out before any replica accepted the request.
    NoTimeLeft,
    /// The time ran out while the request may have run.
    TimedOut,
    /// A replica failed while the request may have run, and it isn't sent to another one.
    Broken,
    /// The content is quarantined, because replicas crashed whenever they ran it.
    Quarantined,
    /// Nobody knows at which software version the stream began that its caller takes up.
    UnknownStream,
    /// No replica of the software version at which the stream began accepts work.
    NoReplicaOfVersion,
    /// The daemon is stopping.
    Stopping,
}

impl RefusalCause {
    /// True if the request has not run and never will.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Broken)
    }

    /// Cause to report for a request whose execution may have begun.
    fn after(self, execution: Execution) -> Self {
        match self {
            _ if execution.is_not_run() => self,
            Self::NoTimeLeft => Self::TimedOut,
            cause if cause.is_not_run() => Self::Broken,
            cause => cause,
        }
    }

    /// True if the same request may succeed later.
    pub fn is_transient(self) -> bool {
        let is_final = matches!(
            self,
            Self::NoRoute
                | Self::NoKey
                | Self::UnknownKey
                | Self::NotAdmitted
                | Self::UnmetExpectation
        );
        self.is_not_run() && !is_final
    }

    /// Returns the name in logs.
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
            Self::NotAdmitted => "not_admitted",
            Self::UnmetExpectation => "unmet_expectation",
            Self::Overloaded => "overloaded",
            Self::NoTimeLeft => "no_time_left",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
            Self::Quarantined => "held_back",
            Self::UnknownStream => "unknown_stream",
            Self::NoReplicaOfVersion => "no_replica_of_version",
            Self::Stopping => "stopping",
        }
    }

    /// Returns the HTTP status. 503 promises that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey | Self::UnknownKey => 401,
            Self::UnmetExpectation => 421,
            Self::RateLimited => 429,
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::RateUnknown
            | Self::NoReplica
            | Self::Full
            | Self::NotAdmitted
            | Self::Overloaded
            | Self::NoTimeLeft
            | Self::Quarantined
            | Self::UnknownStream
            | Self::NoReplicaOfVersion
            | Self::Stopping => 503,
            Self::TimedOut => 504,
            Self::Broken => 502,
        }
    }
}

/// Final response of the daemon itself. Status and retry delay follow from what is known of the request's
/// execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    cause: RefusalCause,
    response: FinalResponse,
}

impl Refusal {
    /// Creates a refusal; `retry_after` applies only if the request has not run.
    pub fn new(cause: RefusalCause, execution: Execution, retry_after: Option<Duration>) -> Self {
        let cause = cause.after(execution);
        Self {
            cause,
            response: FinalResponse::of(execution, cause.status(), retry_after),
        }
    }

    /// Creates the refusal of a request that was sent to no replica.
    pub fn not_run(cause: RefusalCause, retry_after: Option<Duration>) -> Self {
        Self::new(cause, Execution::NotRun, retry_after)
    }

    /// Returns the cause, adjusted to the request's execution.
    pub fn cause(&self) -> RefusalCause {
        self.cause
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status()
    }

    /// Returns the retry delay; `None` if none is set or the request may have run.
    pub fn retry_after(&self) -> Option<Duration> {
        self.response.retry_after()
    }
}

/// Result of [`Forwarder::forward`](crate::Forwarder::forward).
pub enum Reply {
    /// Response of a replica.
    Response(CallerResponse),
    /// Refusal by the daemon.
    Refusal(Refusal),
}
