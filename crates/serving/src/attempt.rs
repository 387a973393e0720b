//! One attempt at one replica: sends the request and classifies the response.

use std::future::Future;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_execution::Execution;
use harrierward_quarantine::PartId;
use tokio::time::{Instant, timeout};

use crate::choice::{CrossRegionReason, MIN_FREE_PERMILLE, Placement};
use crate::classification::Exchange;
use crate::exchange::{ReplicaRequest, ReplicaResponse, ServingRequest};
use crate::forwarder::Forwarder;
use crate::gate::{GateRequest, check_gate, may_copy_from};
use crate::in_progress::InProgress;
use crate::placement::PlacementError;
use crate::policy::Mechanism;
use crate::refusals::ReplicaRefusal;
use crate::replica::{Replica, WorkClass};
use crate::request_state::RequestState;

/// Time limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTimeouts {
    /// Time left for the replica to complete the request; `None` if the caller set no timeout.
    pub time_left: Option<Duration>,
    /// Wait after which the attempt is abandoned, if nothing came from the replica on any connection for as long.
    pub stall_timeout: Duration,
    /// Wait after which the attempt is abandoned in any case.
    pub max_wait: Duration,
}

/// Options of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptOptions {
    /// Id of the last event already delivered.
    pub resume_after: Option<u64>,
    /// Requires a connection that has carried no other request.
    pub fresh_connection: bool,
    /// The response can continue at other replicas, all of one software version.
    pub is_resumable: bool,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// The request failed at another replica before; a further failure is attributed to the request.
    pub failed_before: bool,
    /// Other replicas that refused the request although they may have had room.
    pub refused_elsewhere: usize,
}

/// Reason why an attempt produced no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No replica accepts the request.
    NoReplica,
    /// The request would miss its objective; its caller shall retry.
    RetryLater {
        /// Time until the retry.
        after: Duration,
    },
    /// The replica certainly did not run the request.
    NotRun {
        /// Value of `cause` in the decision log.
        cause: String,
        /// The refusal; `None` if the request wasn't sent or is for another replica.
        refused: Option<ReplicaRefusal>,
    },
    /// A refusal without request id on a reused connection: it may belong to an earlier request, while this one runs.
    Unattributed {
        /// Value of `cause` in the decision log.
        cause: String,
        /// The refusal; `None` if the request is for another replica.
        refused: Option<ReplicaRefusal>,
    },
    /// The replica may have run the request.
    MayHaveRun {
        /// Value of `cause` in the decision log.
        cause: String,
    },
}

impl AttemptFailure {
    /// Returns whether the request may have run.
    pub fn execution(&self) -> Execution {
        match self {
            Self::NoReplica | Self::RetryLater { .. } | Self::NotRun { .. } => Execution::NotRun,
            Self::Unattributed { .. } | Self::MayHaveRun { .. } => Execution::Unknown,
        }
    }

    fn cause(&self) -> &str {
        match self {
            Self::NoReplica | Self::RetryLater { .. } => "no replica",
            Self::NotRun { cause, .. }
            | Self::Unattributed { cause, .. }
            | Self::MayHaveRun { cause } => cause,
        }
    }

    /// Failure of an attempt that was not sent.
    pub(crate) fn not_sent(cause: String) -> Self {
        Self::NotRun {
            cause,
            refused: None,
        }
    }

    /// Returns the replica's refusal; `None` if no replica refused the request.
    pub fn refused(&self) -> Option<ReplicaRefusal> {
        match self {
            Self::NotRun { refused, .. } | Self::Unattributed { refused, .. } => *refused,
            Self::NoReplica | Self::RetryLater { .. } | Self::MayHaveRun { .. } => None,
        }
    }
}

/// Response whose header has arrived.
pub struct Attempt {
    /// Response with its body still to be read.
    pub response: ReplicaResponse,
    /// Guard that counts the request at its replica.
    pub in_progress: InProgress,
}

/// Delay of a timer beyond which this process is considered stalled.
const STALL_TOLERANCE: Duration = Duration::from_millis(20);

/// Additional wait after a stall, so that bytes received meanwhile are read before the attempt is abandoned. The poll's
/// timer fires in the same turn of the runtime in which these bytes become readable, and may be handled first.
const CATCH_UP_WAIT: Duration = Duration::from_millis(10);

/// Maximum number of catch-up waits per attempt; a process under a CPU quota may stall repeatedly.
const MAX_CATCH_UPS: u32 = 5;

/// Waits for `future`; returns `None` after `max_wait`, or after `stall_timeout` if nothing came from the replica
/// either.
///
/// A stall of this process doesn't count as a stall of the replica: data received meanwhile is read first. Otherwise a
/// process that was frozen, or has used up its CPU quota, would abandon attempts at healthy replicas.
pub async fn wait_for_progress<T>(
    future: impl Future<Output = T>,
    replica: &Replica,
    stall_timeout: Duration,
    max_wait: Duration,
) -> Option<T> {
    let mut future = std::pin::pin!(future);
    let started = Instant::now();
    let mut catch_ups = 0;
    // The replica may stop making progress during the wait, so its progress is polled.
    let mut poll_interval = stall_timeout.min(max_wait);
    loop {
        let polled_at = Instant::now();
        if let Ok(done) = timeout(poll_interval, &mut future).await {
            return Some(done);
        }
        let waited = started.elapsed();
        if waited < max_wait
            && (waited < stall_timeout || replica.time_since_progress() < stall_timeout)
        {
            poll_interval = (stall_timeout / POLLS_PER_STALL_TIMEOUT).min(max_wait - waited);
            continue;
        }
        let was_stalled = polled_at.elapsed() >= poll_interval + STALL_TOLERANCE;
        if !was_stalled || catch_ups == MAX_CATCH_UPS {
            return None;
        }
        catch_ups += 1;
        poll_interval = CATCH_UP_WAIT;
    }
}

/// Cause of an attempt that isn't made because the request is quarantined.
const CAUSE_QUARANTINED: &str = "held back";

/// Age of the list of replicas up to which a stream begins at a replica without its confirmation. Replicas say that they
/// are leaving well before they are replaced, so that a list of this age shows it.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_millis(2_000);

/// Progress checks per stall timeout.
const POLLS_PER_STALL_TIMEOUT: u32 = 3;

/// Divisor of the remaining hold time during which an overdue request waits for spare slots.
const OVERDUE_HOLD_DIVISOR: u32 = 3;

impl Forwarder {
    /// Sends the request to a replica chosen for it. Returns the replica's id and the result.
    pub(crate) async fn attempt(
        &self,
        state: &RequestState,
        times: impl FnOnce() -> AttemptTimeouts,
        options: AttemptOptions,
    ) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        let request = &state.request;
        let objective = state.route.objective;
        let placement = if !state.tried.is_empty() || options.number > 1 {
            self.place(request, &state.service, &state.tried, objective, None)
                .await
                .ok_or(PlacementError::NoReplica)
        } else if state.overdue {
            let max_wait = state.clock.remaining_hold() / OVERDUE_HOLD_DIVISOR;
            self.place_overdue(request, &state.service, objective, max_wait)
                .await
                .ok_or(PlacementError::NoReplica)
        } else {
            let max_retry_after = state.max_retry_after();
            let may_repeat = state.route.may_repeat() && state.route.attempts > 1;
            self.place_new(
                request,
                &state.service,
                objective,
                may_repeat,
                max_retry_after,
            )
            .await
        };
        let placement = match placement {
            Ok(placement) => placement,
            Err(PlacementError::NoReplica) => return (None, Err(AttemptFailure::NoReplica)),
            Err(PlacementError::RetryLater { after }) => {
                return (None, Err(AttemptFailure::RetryLater { after }));
            }
        };
        let replica_id = placement.in_progress.replica().record.id.clone();
        // Read only now, because placement takes time.
        let times = times();
        let result = self.attempt_at(request, placement, times, options).await;
        (Some(replica_id), result)
    }

    /// Sends the request to a given replica.
    pub async fn attempt_at(
        &self,
        request: &ServingRequest,
        placement: Placement,
        times: AttemptTimeouts,
        options: AttemptOptions,
    ) -> Result<Attempt, AttemptFailure> {
        let Placement {
            mut in_progress,
            choice,
        } = placement;
        let replica = choice.replica;
        let gate_request = GateRequest {
            regions: &request.regions,
            version: request.version,
            cold_until: choice.cold_until,
        };
        if let Some(reason) = check_gate(&replica, &gate_request, harrierward_clock::now()) {
            let cause = format!("barred: {}", reason.name());
            let failure = AttemptFailure::not_sent(cause);
            self.log_failure(request, &replica, &failure, Duration::ZERO);
            return Err(failure);
        }
        let fingerprint = request.fingerprint();
        let content = fingerprint.content;
        let is_quarantined = match in_progress.class() {
            WorkClass::Online => self.is_quarantined(&fingerprint),
            WorkClass::Batch => self.item_quarantine(request).is_some(),
        };
        if is_quarantined {
            // It may have been quarantined while the request waited for its slot.
            let cause = CAUSE_QUARANTINED.to_owned();
            let failure = AttemptFailure::not_sent(cause);
            self.log_failure(request, &replica, &failure, Duration::ZERO);
            return Err(failure);
        }
        let parts: Vec<String> = fingerprint.parts.iter().map(PartId::to_string).collect();
        in_progress.track(fingerprint, self.quarantine().clone());
        let copy_from = choice.copy_from.as_ref();
        let copy_from =
            copy_from.filter(|source| may_copy_from(source, &replica, &request.regions));
        let copy_from = copy_from.map(|source| &source.record);
        self.log().record(&Record::Sent {
            request: &request.id,
            content: &content.to_string(),
            parts: &parts,
            route: &request.target,
            replica: &replica.record.id,
            version: &replica.record.version,
            chosen_by: choice.by.name(),
            region: &replica.record.region,
            left_region: choice.left_region.map(CrossRegionReason::name),
            load: choice.load,
            slots: replica.slots(),
            free_permille: choice.free_permille,
            peers_age_ms: replica.peers_age_ms(),
            report_age_ms: replica.report_age_ms(),
            listed_age_ms: self.replicas().proof_age().map(milliseconds),
            cached_tokens: replica.cached_tokens(&request.prompt),
            copy_from: copy_from.map(|source| source.id.as_str()),
            attempt: options.number,
            resume_after: options.resume_after,
        });
        replica.note_prompt(&request.prompt);
        // Where hardly any slot is free the request is queued, and another attempt would only lengthen the queue.
        let is_queued = choice.free_permille < MIN_FREE_PERMILLE;
        if let Some(evidence) = in_progress.evidence() {
            let has_capacity = !is_queued && choice.load < replica.slots();
            evidence.note_sent(has_capacity, self.prefill_time(request));
        }
        let checked_at = harrierward_clock::now();
        let sending = self.client().send(ReplicaRequest {
            request,
            address: &replica.record.address,
            replica: &replica.record.id,
            confirmed_start_ms: self.start_to_confirm(&replica, options),
            time_left: times.time_left,
            resume_after: options.resume_after,
            fresh_connection: options.fresh_connection,
            copy_from: copy_from.map(|source| source.address.as_str()),
        });
        let stall_timeout = if is_queued && self.policy().has(Mechanism::QueuePatience) {
            times.max_wait
        } else {
            times.stall_timeout
        };
        let response = wait_for_progress(sending, &replica, stall_timeout, times.max_wait).await;
        let responded_at = harrierward_clock::now();
        if let Some(notice) = replica.leaving_notice() {
            let since = |moment| milliseconds(responded_at.saturating_duration_since(moment));
            self.log().record(&Record::LeavingReplicaResponded {
                request: &request.id,
                replica: &replica.record.id,
                state: notice.state,
                checked_ms: since(checked_at),
                known_ms: since(notice.known_at),
                source: &notice.source,
                reading: notice.reading,
                proof_age_ms: notice.proof_age.map(milliseconds),
            });
        }
        let exchange = Exchange {
            request,
            in_progress: &in_progress,
            counted_load: choice.load,
            options,
        };
        let result = self.classify(&exchange, response);
        if let Err(failure) = &result {
            let after = responded_at.saturating_duration_since(checked_at);
            self.log_failure(request, &replica, failure, after);
        }
        result.map(|response| Attempt {
            response,
            in_progress,
        })
    }

    /// Returns the start time that a replica must confirm before it begins or continues a stream: its id stays the same
    /// when it starts again, perhaps with another software version, and its record may be of the instance before.
    fn start_to_confirm(&self, replica: &Replica, options: AttemptOptions) -> Option<u64> {
        let record = &replica.record;
        let started_ms = record.born_ms.filter(|_| !record.version.is_empty())?;
        let is_listed_now = || {
            let age = self.replicas().proof_age();
            age.is_some_and(|age| age <= MAX_UNCONFIRMED_AGE)
        };
        let begins_unseen = || options.is_resumable && !is_listed_now();
        let is_due = options.resume_after.is_some() || begins_unseen();
        is_due.then_some(started_ms)
    }

    /// Expected time to prefill the whole prompt.
    fn prefill_time(&self, request: &ServingRequest) -> Duration {
        let ms = f64::from(request.prompt.tokens) / self.settings().costs.prefill_tokens_per_ms;
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
    }

    fn log_failure(
        &self,
        request: &ServingRequest,
        replica: &Replica,
        failure: &AttemptFailure,
        after: Duration,
    ) {
        self.log().record(&Record::AttemptFailed {
            request: &request.id,
            content: &request.content().to_string(),
            replica: &replica.record.id,
            cause: failure.cause(),
            not_run: failure.execution().is_not_run(),
            after_ms: milliseconds(after),
        });
    }
}

/// Returns whole milliseconds, for the decision log.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
