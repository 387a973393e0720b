//! One attempt at one replica: send, and tell what the answer means.

use std::future::Future;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_execution::Execution;
use tokio::time::{Instant, timeout};

use crate::choice::{CrossRegionReason, MIN_FREE_PERMILLE, Placement};
use crate::exchange::{ExchangeError, ReplicaRequest, ReplicaResponse, ServingRequest};
use crate::forwarder::Forwarder;
use crate::gate::{GateRequest, check_gate, may_give_copy};
use crate::in_progress::InProgress;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::placement::NoPlace;
use crate::policy::Mechanism;
use crate::replica::{Replica, WorkClass};
use crate::request_state::RequestState;

/// Bounds of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTimeouts {
    /// Time left to the replica.
    pub time_left: Option<Duration>,
    /// Silence after which a replica that is silent to everybody is given up.
    pub stall_timeout: Duration,
    /// Silence after which any replica is given up.
    pub max_wait: Duration,
}

/// How an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptOptions {
    /// Last event that is already there.
    pub resume_after: Option<u64>,
    /// Use a connection that carried nothing before.
    pub fresh_connection: bool,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// The work has failed at a replica before: if it fails again, that is its own fault rather than the replica's.
    pub failed_before: bool,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No replica takes the work.
    NoReplica,
    /// It would be late, and its caller is to come back.
    RetryLater {
        /// After so long.
        after: Duration,
    },
    /// The replica certainly did not run it.
    NotRun {
        /// Cause in words.
        cause: String,
        /// It was full.
        full: bool,
    },
    /// A refusal that names no request came on a connection that carried others before: it may be the late answer to one of
    /// those, while the replica runs this one.
    Unattributed {
        /// Cause in words.
        cause: String,
    },
    /// It may have run.
    MayHaveRun {
        /// Cause in words.
        cause: String,
    },
}

impl AttemptFailure {
    /// What it shows of the request's execution.
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
            | Self::Unattributed { cause }
            | Self::MayHaveRun { cause } => cause,
        }
    }
}

/// An answer that has begun.
pub struct Attempt {
    /// The answer.
    pub response: ReplicaResponse,
    /// Keeps the request counted.
    pub in_progress: InProgress,
}

/// A look that ends so much later than asked for says that this process was held up itself.
const HELD_UP: Duration = Duration::from_millis(20);

/// What is waited for once more after that: time for bytes that came meanwhile to be read. The timer that ends a look is heard
/// in the same turn as they are, and may be heard first.
const CATCH_UP: Duration = Duration::from_millis(10);

/// Most such looks in one wait: under a quota of the processor each of them may be held up again.
const MOST_CATCH_UPS: u32 = 5;

/// Waits for `future`; gives up once the replica has been silent to everybody for `dark`, and after `longest` anyway.
///
/// Silence is only what was listened to: a process that was held up (a quota that is spent, a freeze) reads what has come before
/// it judges. Without that, daemons with an eighth of a processor cut 54 answers of sound replicas in six soaks of three rounds.
pub async fn wait_for_progress<T>(
    future: impl Future<Output = T>,
    replica: &Replica,
    dark: Duration,
    longest: Duration,
) -> Option<T> {
    let mut future = std::pin::pin!(future);
    let began = Instant::now();
    let mut catch_ups = 0;
    // The replica may fall silent while this waits, so its silence is looked at more than once.
    let mut look = dark.min(longest);
    loop {
        let looked_at = Instant::now();
        if let Ok(done) = timeout(look, &mut future).await {
            return Some(done);
        }
        let waited = began.elapsed();
        if waited < longest && (waited < dark || replica.time_since_progress() < dark) {
            look = (dark / LOOKS_A_SILENCE).min(longest - waited);
            continue;
        }
        let was_held_up = looked_at.elapsed() >= look + HELD_UP;
        if !was_held_up || catch_ups == MOST_CATCH_UPS {
            return None;
        }
        catch_ups += 1;
        look = CATCH_UP;
    }
}

/// Cause of an attempt that was not made since replicas have ended under its content.
const HELD_BACK: &str = "held back";

/// Statuses from this one on are failures of the replica, not of the request.
const FIRST_FAILURE: u16 = 500;

/// Looks at a replica's silence in the time after which it counts as dark.
const LOOKS_A_SILENCE: u32 = 3;

/// Part of the time that it may still be held for which an overdue request waits for slots that others leave.
const OVERDUE_HOLD_PART: u32 = 3;

/// A replica's refusal, if it is known to be the answer to this request.
fn refused(cause: String, full: bool, is_attributed: bool) -> AttemptFailure {
    if is_attributed {
        AttemptFailure::NotRun { cause, full }
    } else {
        AttemptFailure::Unattributed { cause }
    }
}

impl Forwarder {
    /// Sends the request to a replica chosen for it. Returns the replica's id, and what came of it.
    pub(crate) async fn attempt(
        &self,
        state: &RequestState,
        times: impl FnOnce() -> AttemptTimeouts,
        sending: AttemptOptions,
    ) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        let request = &state.request;
        let objective = state.route.objective;
        let placement = if !state.tried.is_empty() || sending.number > 1 {
            self.place(request, &state.service, &state.tried, objective, None)
                .await
                .ok_or(NoPlace::NoReplica)
        } else if state.overdue {
            let longest = state.clock.hold_left() / OVERDUE_HOLD_PART;
            self.place_overdue(request, &state.service, objective, longest)
                .await
                .ok_or(NoPlace::NoReplica)
        } else {
            let max_retry_after = state.max_retry_after();
            let may_repeat = state.route.may_repeat() && state.route.attempts > 1;
            self.place_newcomer(
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
            Err(NoPlace::NoReplica) => return (None, Err(AttemptFailure::NoReplica)),
            Err(NoPlace::RetryLater { after }) => {
                return (None, Err(AttemptFailure::RetryLater { after }));
            }
        };
        let replica_id = placement.in_progress.replica().record.id.clone();
        // Placing may have taken time.
        let times = times();
        let result = self.attempt_at(request, placement, times, sending).await;
        (Some(replica_id), result)
    }

    /// Sends the request to a replica already chosen, and tells what came of it.
    pub async fn attempt_at(
        &self,
        request: &ServingRequest,
        placement: Placement,
        times: AttemptTimeouts,
        sending: AttemptOptions,
    ) -> Result<Attempt, AttemptFailure> {
        let Placement {
            mut in_progress,
            choice,
        } = placement;
        let replica = choice.replica;
        let passage = GateRequest {
            regions: &request.regions,
            cold_until: choice.cold_until,
        };
        if let Some(reason) = check_gate(&replica, &passage, harrierward_clock::now()) {
            let cause = format!("barred: {}", reason.name());
            let failure = AttemptFailure::NotRun { cause, full: false };
            self.log_failure(request, &replica, &failure, Duration::ZERO);
            return Err(failure);
        }
        let content = request.content();
        let is_barred = match in_progress.class() {
            WorkClass::Online => self.is_held(content),
            WorkClass::Batch => self.is_item_quarantined(request),
        };
        if is_barred {
            // It may have waited for its slot meanwhile.
            let cause = HELD_BACK.to_owned();
            let failure = AttemptFailure::NotRun { cause, full: false };
            self.log_failure(request, &replica, &failure, Duration::ZERO);
            return Err(failure);
        }
        in_progress.begin(content, self.quarantine().clone());
        let copy_from = choice.copy_from.as_ref();
        let copy_from = copy_from.filter(|source| may_give_copy(source, &request.regions));
        let copy_from = copy_from.map(|source| &source.record);
        self.log().record(&Record::Sent {
            request: &request.id,
            content: &content.to_string(),
            route: &request.target,
            replica: &replica.record.id,
            chosen_by: choice.by.name(),
            region: &replica.record.region,
            left_region: choice.left_region.map(CrossRegionReason::name),
            load: choice.load,
            slots: replica.slots(),
            free_permille: choice.free_permille,
            peers_age_ms: replica.peers_age_ms(),
            report_age_ms: replica.report_age_ms(),
            cached_tokens: replica.cached_tokens(&request.prompt),
            copy_from: copy_from.map(|source| source.id.as_str()),
            attempt: sending.number,
            resume_after: sending.resume_after,
        });
        replica.note_prompt(&request.prompt);
        // Where all slots are taken a request waits for one, and sending it once more adds to the queue.
        let is_queue = choice.free_permille < MIN_FREE_PERMILLE;
        if let Some(evidence) = in_progress.evidence() {
            let has_room = !is_queue && choice.load < replica.slots();
            evidence.note_sent(has_room, self.prefill_time(request));
        }
        let started = Instant::now();
        let exchange = self.client().send(ReplicaRequest {
            request,
            address: &replica.record.address,
            replica: &replica.record.id,
            time_left: times.time_left,
            resume_after: sending.resume_after,
            fresh_connection: sending.fresh_connection,
            copy_from: copy_from.map(|source| source.address.as_str()),
        });
        let dark = if is_queue && self.policy().has(Mechanism::QueuePatience) {
            times.max_wait
        } else {
            times.stall_timeout
        };
        let answer = wait_for_progress(exchange, &replica, dark, times.max_wait).await;
        let result = self.judge(request, &in_progress, answer, sending.failed_before);
        if let Err(failure) = &result {
            self.log_failure(request, &replica, failure, started.elapsed());
        }
        result.map(|answer| Attempt {
            response: answer,
            in_progress,
        })
    }

    /// Time that reading the whole prompt should take.
    fn prefill_time(&self, request: &ServingRequest) -> Duration {
        let ms = f64::from(request.prompt.tokens) / self.settings().costs.prefill_tokens_per_ms;
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
    }

    fn suspect(&self, replica: &Replica) {
        if self.policy().has(Mechanism::Suspicion) {
            replica.suspect();
        }
    }

    fn judge(
        &self,
        request: &ServingRequest,
        in_progress: &InProgress,
        answer: Option<Result<ReplicaResponse, ExchangeError>>,
        failed_before: bool,
    ) -> Result<ReplicaResponse, AttemptFailure> {
        let replica = in_progress.replica();
        let answer = match answer {
            None => {
                let evidence = in_progress.evidence();
                if evidence.is_none_or(Evidence::waited_long_enough) {
                    self.suspect(replica);
                }
                in_progress.conclude(AttemptOutcome::Unresponsive);
                let cause = "no answer in time".to_owned();
                return Err(AttemptFailure::MayHaveRun { cause });
            }
            Some(Err(error)) => {
                self.suspect(replica);
                let cause = error.to_string();
                if error.is_not_run() {
                    in_progress.conclude(AttemptOutcome::Disconnected);
                    return Err(AttemptFailure::NotRun { cause, full: false });
                }
                in_progress.note_disconnect();
                return Err(AttemptFailure::MayHaveRun { cause });
            }
            Some(Ok(answer)) => answer,
        };
        let is_own_failure = !answer.not_run && answer.status >= FIRST_FAILURE && !failed_before;
        if is_own_failure {
            // Progress would clear the suspicion, and a replica that fails at once has the least load of all.
            self.suspect(replica);
            in_progress.conclude(AttemptOutcome::Failed);
        } else {
            replica.note_progress();
        }
        if let Some(word) = answer.load {
            replica.note_load(word);
        }
        // Whose answer it is comes first: a refusal that is left over from an earlier request says nothing of this one.
        if answer
            .request_id
            .as_deref()
            .is_some_and(|id| id != request.id)
        {
            in_progress.conclude(AttemptOutcome::Corrupt);
            let cause = "the answer belongs to another request".to_owned();
            return Err(AttemptFailure::MayHaveRun { cause });
        }
        let is_attributed = answer.request_id.is_some() || answer.is_first_on_connection;
        if answer.other_replica {
            replica.set_draining();
            let cause = "another replica has the address".to_owned();
            return Err(refused(cause, false, is_attributed));
        }
        if answer.not_run {
            replica.note_full();
            in_progress.conclude(AttemptOutcome::NotRun);
            let cause = format!("refused with status {}", answer.status);
            return Err(refused(cause, true, is_attributed));
        }
        if answer.request_id.is_none() {
            in_progress.conclude(AttemptOutcome::Corrupt);
            let cause = format!("an answer without id, status {}", answer.status);
            return Err(AttemptFailure::MayHaveRun { cause });
        }
        Ok(answer)
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
            after_ms: u64::try_from(after.as_millis()).unwrap_or(u64::MAX),
        });
    }
}
