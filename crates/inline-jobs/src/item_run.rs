//! One run of an item at a replica, resumed after its last event.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use harrierward_serving::{
    Asked, Attempt, AttemptFailure, AttemptOptions, AttemptOutcome, AttemptTimeouts, BodyEnd,
    BodyFormat, BodyParser, BodyPart, BreakCause, ContinuedStream, EventPlace, EventsLeft,
    Forwarder, InProgress, KnownOrigin, Placement, RefusalScope, Replica, ReplicaRefusal,
    ServingRequest, StreamEvent, wait_for_progress,
};
use tokio::time::Instant;

use crate::item::{SharedProgress, lock};

/// Stall after which a replica that sends nothing to any request is considered unresponsive.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Stall after which a run is aborted at any replica.
const MAX_STALL: Duration = Duration::from_millis(3_000);

/// Time after which a run is aborted whose replica sends bytes, but no new event.
const MAX_TIME_WITHOUT_EVENT: Duration = Duration::from_secs(10);

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The output is complete.
    Finished,
    /// The output seems complete, but only the close of the connection ended it: a further run must confirm that.
    Unproven,
    /// The replica responded with a failure.
    Failed,
    /// The replica rejected the item; a retry cannot succeed.
    Impossible,
    /// No replica received the item, for this cause.
    NotRun(String),
    /// The replica refused the item without running it.
    Refused {
        /// Value of `outcome` in the decision log.
        cause: String,
        /// The refusal.
        refusal: ReplicaRefusal,
    },
    /// The stream broke for this cause; the item resumes after its last event.
    Broken(String),
}

impl RunOutcome {
    /// True if a replica refused the item although it may have had free slots.
    pub fn is_refused_with_free_slots(&self) -> bool {
        match self {
            Self::Refused { refusal, .. } => refusal.scope != RefusalScope::Replica,
            _ => false,
        }
    }
}

/// Status codes of a replica's response to an item.
const FAILED: u16 = 500;
const IMPOSSIBLE: u16 = 422;

/// What earlier runs of the item showed, so that this one's result doesn't count against the replica.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// A replica failed the item before.
    pub failed_before: bool,
    /// Refusals by other replicas that may have had room.
    pub refused_elsewhere: Vec<ReplicaRefusal>,
}

/// Runs an item where it is placed.
pub async fn run(
    forwarder: &Forwarder,
    request: &ServingRequest,
    progress: &SharedProgress,
    placement: Placement,
    run_options: RunOptions,
) -> RunOutcome {
    let (resume_after, events_left, confirms_end) = {
        let progress = lock(progress);
        let confirms_end = progress.unproven_end.is_some();
        (progress.last_event, progress.events_left, confirms_end)
    };
    let timeouts = AttemptTimeouts {
        time_left: None,
        stall_timeout: UNRESPONSIVE_TIMEOUT,
        max_wait: MAX_STALL,
    };
    let options = AttemptOptions {
        resume_after,
        fresh_connection: false,
        is_resumable: true,
        number: 1,
        // A failure to continue after the last event says nothing about the replica.
        failed_before: run_options.failed_before || confirms_end,
        refused_elsewhere: run_options.refused_elsewhere.len(),
    };
    lock(progress).is_awaiting_response = true;
    let attempt = forwarder
        .attempt_at(request, placement, timeouts, options)
        .await;
    lock(progress).is_awaiting_response = false;
    let attempt = match attempt {
        Ok(attempt) => attempt,
        Err(AttemptFailure::NoReplica | AttemptFailure::RetryLater { .. }) => {
            return RunOutcome::NotRun("no replica".to_owned());
        }
        Err(
            AttemptFailure::NotRun { cause, refused }
            | AttemptFailure::Unattributed { cause, refused },
        ) => {
            return match refused {
                Some(refusal) => RunOutcome::Refused { cause, refusal },
                None => RunOutcome::NotRun(cause),
            };
        }
        Err(AttemptFailure::MayHaveRun { cause }) => return RunOutcome::Broken(cause),
    };
    let tokens = request.prompt.total_tokens();
    forwarder.note_admitted_after(&run_options.refused_elsewhere, tokens);
    match attempt.response.status {
        200..=299 => {}
        _ if confirms_end => return note_inconclusive(progress),
        FAILED => return RunOutcome::Failed,
        IMPOSSIBLE => return RunOutcome::Impossible,
        status => return RunOutcome::Broken(format!("status {status}")),
    }
    let delimiter = attempt.response.delimiter;
    log_resumed(forwarder, request, progress, attempt.in_progress.replica());
    let mut parser = BodyParser::new(BodyFormat::Events, delimiter, events_left);
    let outcome = receive_output(attempt, &mut parser, progress).await;
    lock(progress).events_left = parser.events_left();
    outcome
}

/// Logs that an item of which events had been received goes on.
fn log_resumed(
    forwarder: &Forwarder,
    request: &ServingRequest,
    progress: &SharedProgress,
    replica: &Replica,
) {
    let progress = lock(progress);
    let (Some(resume_after), Some(known)) = (progress.last_event, &progress.origin) else {
        return;
    };
    forwarder.log_continued(&ContinuedStream {
        request: &request.id,
        stream: &request.id,
        step: "resumed",
        resume_after,
        service: &replica.record.service,
        known: Some(known),
        replica: Some(replica),
        asked: Asked::default(),
    });
}

/// Receives the output of a run to its end.
async fn receive_output(
    attempt: Attempt,
    parser: &mut BodyParser,
    progress: &SharedProgress,
) -> RunOutcome {
    let in_progress = attempt.in_progress;
    let replica = in_progress.replica().clone();
    let mut body = attempt.response.body;
    let mut last_event_at = Instant::now();
    loop {
        let next = wait_for_progress(body.next(), &replica, UNRESPONSIVE_TIMEOUT, MAX_STALL).await;
        let bytes = match next {
            None => {
                replica.suspect();
                in_progress.conclude(AttemptOutcome::Unresponsive);
                return RunOutcome::Broken("no event in time".to_owned());
            }
            Some(None) => return end(parser, &in_progress, progress),
            Some(Some(Err(error))) => {
                in_progress.note_disconnect();
                return RunOutcome::Broken(error.to_string());
            }
            Some(Some(Ok(bytes))) => bytes,
        };
        in_progress.note_event();
        let last_event = lock(progress).last_event;
        if let Err(cause) = append_events(progress, parser, bytes, &replica) {
            in_progress.conclude(AttemptOutcome::Corrupt);
            return RunOutcome::Broken(cause.to_string());
        }
        if lock(progress).last_event != last_event {
            last_event_at = Instant::now();
        } else if last_event_at.elapsed() >= MAX_TIME_WITHOUT_EVENT {
            in_progress.conclude(AttemptOutcome::Corrupt);
            return RunOutcome::Broken("no new event in time".to_owned());
        }
    }
}

/// Outcome of a run whose response body has ended.
fn end(parser: &mut BodyParser, in_progress: &InProgress, progress: &SharedProgress) -> RunOutcome {
    match parser.end() {
        BodyEnd::Whole => {
            in_progress.conclude(AttemptOutcome::Served);
            in_progress.note_complete(parser.delimiter());
            if parser.is_end_proven() {
                return RunOutcome::Finished;
            }
            lock(progress).unproven_end = Some(0);
            RunOutcome::Unproven
        }
        BodyEnd::BrokenOff(cause) => {
            in_progress.note_disconnect();
            RunOutcome::Broken(cause.to_string())
        }
    }
}

/// Further runs that may end without a proof before the output counts as complete: replicas may fail a request for
/// what follows the last event.
const MAX_INCONCLUSIVE_RUNS: u32 = 2;

/// Outcome of a run that asked for what follows a seemingly complete output, when the failure status of its response
/// neither confirms nor refutes the end.
fn note_inconclusive(progress: &SharedProgress) -> RunOutcome {
    let mut progress = lock(progress);
    let runs = progress.unproven_end.get_or_insert(0);
    if *runs >= MAX_INCONCLUSIVE_RUNS {
        return RunOutcome::Finished;
    }
    *runs += 1;
    RunOutcome::Unproven
}

/// Appends the events that received bytes complete to the item's output.
fn append_events(
    progress: &SharedProgress,
    parser: &mut BodyParser,
    bytes: Bytes,
    replica: &Replica,
) -> Result<(), BreakCause> {
    parser.push(bytes)?;
    while let Some(part) = parser.next_part() {
        let BodyPart::Event(event) = part else {
            continue;
        };
        match append_event(progress, &event, replica) {
            Some(EventPlace::Next) => parser.note_new(&event),
            Some(EventPlace::AfterGap) => return Err(parser.note_gap()),
            Some(EventPlace::Received) | None => {}
        }
    }
    Ok(())
}

/// Appends an event to the item's output if it is the next one. Returns its place; `None` without a number.
fn append_event(
    progress: &SharedProgress,
    event: &StreamEvent,
    replica: &Replica,
) -> Option<EventPlace> {
    let id = event.id?;
    let mut progress = lock(progress);
    let place = EventPlace::of(id, progress.last_event);
    if place != EventPlace::Next {
        return Some(place);
    }
    progress.last_event = Some(id);
    let origin = || KnownOrigin::received_from(replica);
    progress.origin.get_or_insert_with(origin);
    progress.events_left = EventsLeft::after(Some(id), u32::MAX);
    progress.texts.push(event.data());
    progress.unproven_end = None;
    progress.last_event_at = Some(Instant::now());
    Some(place)
}
