//! An answer's body on its way to the caller: whole events of streams that may be resumed, raw bytes of others.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use harrierward_decisions::Record;
use tokio::time::sleep;

use crate::attempt::{Attempt, AttemptFailure, AttemptOptions, wait_for_progress};
use crate::events::EventSplitter;
use crate::exchange::ReplicaBody;
use crate::forwarder::Forwarder;
use crate::in_progress::InProgress;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::replica::Replica;
use crate::request_state::{RequestClock, RequestState};

/// The answer could not be brought to its end; the caller's connection must be broken off.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("answer cut: {cause}")]
pub struct ResponseAborted {
    /// Cause in words.
    pub cause: String,
}

/// Share of the allowed pause between events after which a replica silent to everybody is given up, in percent.
const DARK_GAP_PERCENT: u32 = 60;

/// Pauses allowed after which any replica is given up.
const LONGEST_GAP_FACTOR: u32 = 3;

/// Answers with this status or a higher one are no service of the replica's.
const FIRST_ERROR: u16 = 400;

/// Allowed pause between events where the route tells none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// One answer in progress.
pub(crate) struct Relay {
    forwarder: Forwarder,
    state: RequestState,
    status: u16,
    body: Option<ReplicaBody>,
    in_progress: Option<InProgress>,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    delivered: Option<u64>,
    first_event_ms: Option<u64>,
    ended: bool,
}

enum Step {
    Bytes(Bytes),
    /// Nothing came, and nobody else would take it.
    Wait,
    End,
    Broken(String),
}

impl Relay {
    pub fn new(forwarder: Forwarder, state: RequestState, attempt: Attempt) -> Self {
        let delivered = state.request.resume_after;
        Self {
            forwarder,
            state,
            status: attempt.response.status,
            body: Some(attempt.response.body),
            in_progress: Some(attempt.in_progress),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            delivered,
            first_event_ms: None,
            ended: false,
        }
    }

    /// The body as a stream for the caller.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + Send {
        stream::unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item, relay))
        })
    }

    fn conclude(&self, verdict: AttemptOutcome) {
        if let Some(in_progress) = &self.in_progress {
            in_progress.conclude(verdict);
        }
    }

    fn note_disconnect(&self) {
        if let Some(in_progress) = &self.in_progress {
            in_progress.note_disconnect();
        }
    }

    fn splits_events(&self) -> bool {
        self.state.route.is_resumable() && self.status < 300
    }

    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.ended {
                return None;
            }
            match self.step().await {
                Step::Wait => {}
                Step::Bytes(bytes) if self.splits_events() => self.split(&bytes),
                Step::Bytes(bytes) => return Some(Ok(bytes)),
                Step::End if self.splits_events() && self.splitter.buffered_bytes() > 0 => {
                    let cause = "the stream ended within an event".to_owned();
                    self.note_disconnect();
                    if let Err(cut) = self.go_on(cause).await {
                        return Some(Err(cut));
                    }
                }
                Step::End => {
                    if self.status < FIRST_ERROR {
                        self.conclude(AttemptOutcome::Served);
                    }
                    if let Some(in_progress) = &self.in_progress {
                        in_progress.note_complete();
                    }
                    self.finish("whole");
                    return None;
                }
                Step::Broken(cause) => {
                    if let Err(cut) = self.go_on(cause).await {
                        return Some(Err(cut));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let left = self.state.clock.hold_left();
        if left.is_zero() {
            return Step::Broken("the route's time is over".to_owned());
        }
        let gap = self.state.route.gap_objective.unwrap_or(DEFAULT_GAP);
        let movable = self.can_move() && self.has_elsewhere();
        let (dark, longest) = if movable {
            let dark = gap * DARK_GAP_PERCENT / 100;
            (dark, gap * LONGEST_GAP_FACTOR)
        } else {
            (left, left)
        };
        let (Some(body), Some(in_progress)) = (&mut self.body, &self.in_progress) else {
            return Step::Broken("no replica".to_owned());
        };
        let replica = in_progress.replica();
        let next = wait_for_progress(body.next(), replica, dark.min(left), longest.min(left)).await;
        match next {
            None if self.state.clock.hold_left().is_zero() => {
                // One that has sent something may only have had little time.
                let began = in_progress.evidence().is_some_and(Evidence::has_begun);
                if !began {
                    in_progress.conclude(AttemptOutcome::Unresponsive);
                }
                Step::Broken("the route's time is over".to_owned())
            }
            None if movable && !self.has_elsewhere() => Step::Wait,
            None => {
                replica.suspect();
                in_progress.conclude(AttemptOutcome::Unresponsive);
                Step::Broken("no event in time".to_owned())
            }
            Some(None) => Step::End,
            Some(Some(Ok(bytes))) => {
                if self.status < FIRST_ERROR {
                    in_progress.note_event();
                }
                let elapsed = self.state.clock.elapsed_ms();
                self.first_event_ms.get_or_insert(elapsed);
                Step::Bytes(bytes)
            }
            Some(Some(Err(error))) => {
                in_progress.note_disconnect();
                Step::Broken(error.to_string())
            }
        }
    }

    fn split(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
        while let Some(event) = self.splitter.next_event() {
            let known = match (event.id, self.delivered) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if known {
                continue;
            }
            self.delivered = event.id.or(self.delivered);
            self.ready.push_back(event.raw);
        }
    }

    fn can_move(&self) -> bool {
        self.splits_events() && self.state.sends < self.state.route.attempts
    }

    /// True if some replica takes the rest. Where all zones are evacuated a pause must not end an answer that runs.
    fn has_elsewhere(&self) -> bool {
        let view = self.forwarder.replicas().view();
        view.has_usable(&self.state.service, &self.state.request.regions)
    }

    /// Goes on at another replica after the last event delivered, if that is allowed.
    async fn go_on(&mut self, cause: String) -> Result<(), ResponseAborted> {
        // The connection is closed before another replica starts.
        self.body = None;
        let left = self.in_progress.take();
        let left = left.map(|in_progress| in_progress.replica().clone());
        self.splitter = EventSplitter::default();
        if let Some(replica) = left {
            self.forgive_end(&replica).await;
        }
        if !self.can_move() || self.state.clock.hold_left().is_zero() {
            return Err(self.cut(cause));
        }
        self.log_break(&cause);
        let mut first_cause = Some(cause);
        let mut room_waits = 0;
        while self.can_move() && !self.state.clock.hold_left().is_zero() {
            if self.forwarder.is_held(self.state.content) {
                break;
            }
            self.state.sends += 1;
            let (replica, result) = self.try_again().await;
            self.state.tried.extend(replica);
            match result {
                Ok(attempt) if attempt.response.status < 300 => {
                    self.body = Some(attempt.response.body);
                    self.in_progress = Some(attempt.in_progress);
                    return Ok(());
                }
                Ok(attempt) => {
                    let status = attempt.response.status;
                    first_cause = Some(format!("resumed with status {status}"));
                }
                Err(
                    AttemptFailure::NotRun { cause, .. } | AttemptFailure::Unattributed { cause },
                ) => {
                    self.state.sends -= 1;
                    first_cause = Some(cause);
                    let all_refuse = self.state.tried.len() > MOST_REFUSALS;
                    if all_refuse && !self.wait_for_room(&mut room_waits).await {
                        break;
                    }
                }
                Err(AttemptFailure::MayHaveRun { cause }) => {
                    first_cause = Some(cause);
                    let replica = self.forwarder.last_tried(&self.state);
                    if let Some(replica) = replica {
                        self.forgive_end(&replica).await;
                    }
                }
                Err(AttemptFailure::NoReplica | AttemptFailure::RetryLater { .. }) => {
                    self.state.sends -= 1;
                    first_cause = Some("no replica".to_owned());
                    if !self.wait_for_room(&mut room_waits).await {
                        break;
                    }
                }
            }
        }
        Err(self.cut(first_cause.unwrap_or_default()))
    }

    /// A replica that has ended does not count among the attempts: what ran there beside the request to blame would be lost
    /// with the second one that it ends.
    async fn forgive_end(&mut self, replica: &Arc<Replica>) {
        let is_last = self.state.sends >= self.state.route.attempts;
        if self.splits_events() && is_last && self.forwarder.has_crashed(replica).await {
            self.state.forgive();
        }
    }

    /// A pause after which all replicas are asked anew; false if there were enough. An answer that has begun is not broken off
    /// because the others are full for a moment: what the caller has would be lost, and the rest is wanted also late.
    async fn wait_for_room(&mut self, waits: &mut u32) -> bool {
        if *waits == MOST_ROOM_WAITS {
            return false;
        }
        *waits += 1;
        sleep(ROOM_PAUSE.min(self.state.clock.hold_left())).await;
        self.state.tried.clear();
        true
    }

    async fn try_again(&mut self) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        let state = &self.state;
        let times = || state.clock.attempt_times(&state.route, state.sends);
        let sending = AttemptOptions {
            resume_after: self.delivered,
            fresh_connection: true,
            number: state.sends,
            failed_before: false,
        };
        self.forwarder.attempt(state, times, sending).await
    }

    fn log_break(&self, cause: &str) {
        let replica = self.state.tried.last().map_or("", String::as_str);
        self.forwarder.log().record(&Record::AttemptFailed {
            request: &self.state.request.id,
            content: &self.state.content.to_string(),
            replica,
            cause,
            not_run: false,
            after_ms: self.state.clock.elapsed_ms(),
        });
    }

    fn cut(&mut self, cause: String) -> ResponseAborted {
        self.finish("cut");
        self.forwarder.log().record(&Record::AttemptFailed {
            request: &self.state.request.id,
            content: &self.state.content.to_string(),
            replica: self.state.tried.last().map_or("", String::as_str),
            cause: &cause,
            not_run: false,
            after_ms: self.state.clock.elapsed_ms(),
        });
        ResponseAborted { cause }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.ended = true;
        self.body = None;
        self.in_progress = None;
        self.forwarder.log().record(&Record::Ended {
            request: &self.state.request.id,
            status: self.status,
            outcome,
            attempts: self.state.sends,
            first_event_ms: self.first_event_ms,
            after_ms: self.state.clock.elapsed_ms(),
        });
    }
}

impl Drop for Relay {
    /// A caller that leaves, or whose connection breaks, drops the answer before its end.
    fn drop(&mut self) {
        if !self.ended {
            self.finish("caller left");
        }
    }
}

/// Pause before all replicas are asked anew for the rest of an answer.
const ROOM_PAUSE: Duration = Duration::from_millis(100);

/// Most such pauses: 1.5 s in all. Callers give a stream up after a gap of two seconds, and may take it up through another
/// daemon before that.
const MOST_ROOM_WAITS: u32 = 15;

/// Most replicas that are tried for one request, refusals included.
const MOST_REFUSALS: usize = 5;

impl RequestClock {
    /// Milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        let elapsed = harrierward_clock::age(self.arrived);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
