//! Relay of a response body to the caller: by event for event streams, otherwise as raw bytes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use harrierward_decisions::Record;
use tokio::time::sleep;

use crate::attempt::{Attempt, AttemptFailure, AttemptOptions, wait_for_progress};
use crate::body::{BodyEnd, BodyFormat, BodyParser, BodyPart, BreakCause, EventsLeft};
use crate::continued::ContinuedStream;
use crate::events::StreamEvent;
use crate::exchange::ReplicaBody;
use crate::forwarder::Forwarder;
use crate::in_progress::InProgress;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::replica::Replica;
use crate::request_state::{RequestClock, RequestState};
use crate::stream_origin::{AskedPeers, KnownOrigin, StreamTerms, stream_of};
use harrierward_stream_origins::{SoftwareVersion, StreamOrigin};

/// The response can't be completed; the caller's connection must be aborted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("response aborted: {cause}")]
pub struct ResponseAborted {
    /// Cause, for the log.
    pub cause: String,
}

/// Share of the gap objective after which a replica without progress is abandoned, in percent.
const STALL_GAP_PERCENT: u32 = 60;

/// Multiple of the gap objective after which any replica is abandoned.
const MAX_GAP_FACTOR: u32 = 3;

/// Lowest status that doesn't count as service by the replica.
const MIN_ERROR_STATUS: u16 = 400;

/// Gap objective of routes that set none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// Response in progress.
pub(crate) struct Relay {
    forwarder: Forwarder,
    state: RequestState,
    status: u16,
    body: Option<ReplicaBody>,
    in_progress: Option<InProgress>,
    format: BodyFormat,
    /// Parser of the current replica's body, or of the last one's.
    parser: BodyParser,
    ready: VecDeque<Bytes>,
    /// Where the stream began; `None` until the first event of a new one is passed on.
    origin: Option<KnownOrigin>,
    /// Id of the last event relayed; at first the one after which the caller resumes the stream.
    delivered: Option<u64>,
    first_event_ms: Option<u64>,
    finished: bool,
}

enum Step {
    Bytes(Bytes),
    /// No data arrived, and no replica could take over.
    Wait,
    End,
    Broken(String),
}

impl Relay {
    pub fn new(forwarder: Forwarder, state: RequestState, attempt: Attempt) -> Self {
        let delivered = state.request.resume_after;
        let response = &attempt.response;
        let format = BodyFormat::of(&state.route, response.status, &response.headers);
        let further_attempts = state.route.attempts.saturating_sub(state.sends);
        let events_left = EventsLeft::after(delivered, further_attempts);
        let origin = state
            .taken_up
            .as_ref()
            .map(|taken_up| taken_up.known.clone());
        let relay = Self {
            forwarder,
            state,
            status: attempt.response.status,
            format,
            parser: BodyParser::new(format, response.delimiter, events_left),
            body: Some(attempt.response.body),
            in_progress: Some(attempt.in_progress),
            ready: VecDeque::new(),
            origin,
            delivered,
            first_event_ms: None,
            finished: false,
        };
        if let Some(known) = &relay.origin {
            relay.remember_origin(known.origin);
        }
        relay
    }

    /// Returns the body as a stream for the caller.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + Send {
        stream::unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item, relay))
        })
    }

    fn conclude(&self, outcome: AttemptOutcome) {
        if let Some(in_progress) = &self.in_progress {
            in_progress.conclude(outcome);
        }
    }

    fn note_disconnect(&self) {
        if let Some(in_progress) = &self.in_progress {
            in_progress.note_disconnect();
        }
    }

    /// True if the response can continue at another replica.
    pub fn is_resumable(&self) -> bool {
        self.state.route.is_resumable() && self.format == BodyFormat::Events
    }

    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.finished {
                return None;
            }
            match self.step().await {
                Step::Wait => {}
                Step::Bytes(bytes) => {
                    if let Err(cause) = self.receive(bytes) {
                        self.conclude(AttemptOutcome::Corrupt);
                        if let Err(error) = self.resume(cause.to_string()).await {
                            return Some(Err(error));
                        }
                    }
                }
                Step::End => {
                    if let Err(error) = self.end().await {
                        return Some(Err(error));
                    }
                }
                Step::Broken(cause) => {
                    if let Err(error) = self.resume(cause).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let remaining = self.state.clock.remaining_hold();
        if remaining.is_zero() {
            return Step::Broken("the route's time is over".to_owned());
        }
        let gap = self.state.route.gap_objective.unwrap_or(DEFAULT_GAP);
        let can_resume = self.may_resume() && self.has_alternative();
        let (stall_timeout, max_wait) = if can_resume {
            let stall_timeout = gap * STALL_GAP_PERCENT / 100;
            (stall_timeout, gap * MAX_GAP_FACTOR)
        } else {
            (remaining, remaining)
        };
        let (Some(body), Some(in_progress)) = (&mut self.body, &self.in_progress) else {
            return Step::Broken("no replica".to_owned());
        };
        let replica = in_progress.replica();
        let next = wait_for_progress(
            body.next(),
            replica,
            stall_timeout.min(remaining),
            max_wait.min(remaining),
        )
        .await;
        match next {
            None if self.state.clock.remaining_hold().is_zero() => {
                // A replica that has sent an event may only have had too little time.
                let has_begun = in_progress.evidence().is_some_and(Evidence::has_begun);
                if !has_begun {
                    in_progress.conclude(AttemptOutcome::Unresponsive);
                }
                Step::Broken("the route's time is over".to_owned())
            }
            None if can_resume && !self.has_alternative() => Step::Wait,
            None => {
                replica.suspect();
                in_progress.conclude(AttemptOutcome::Unresponsive);
                Step::Broken("no event in time".to_owned())
            }
            Some(None) => Step::End,
            Some(Some(Ok(bytes))) => {
                if self.status < MIN_ERROR_STATUS {
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

    /// Appends bytes of the body, and makes its complete parts ready for the caller.
    fn receive(&mut self, bytes: Bytes) -> Result<(), BreakCause> {
        self.parser.push(bytes)?;
        while let Some(part) = self.parser.next_part() {
            match part {
                BodyPart::Bytes(bytes) => self.ready.push_back(bytes),
                BodyPart::Event(event) if self.is_duplicate(&event) => {}
                BodyPart::Event(event) => {
                    self.parser.note_new(&event);
                    self.note_origin();
                    self.delivered = event.id.or(self.delivered);
                    self.ready.push_back(event.raw);
                }
            }
        }
        Ok(())
    }

    /// Holds the stream to the version that writes its first event.
    fn note_origin(&mut self) {
        if self.origin.is_some() {
            return;
        }
        let Some(in_progress) = &self.in_progress else {
            return;
        };
        let known = KnownOrigin::received_from(in_progress.replica());
        self.remember_origin(known.origin);
        self.origin = Some(known);
    }

    /// Records where the stream began, so that its caller can take it up at another daemon.
    fn remember_origin(&self, origin: StreamOrigin) {
        let request = &self.state.request;
        let Some(stream) = stream_of(request).filter(|_| self.is_resumable()) else {
            return;
        };
        let terms = StreamTerms::of(request, &self.state.route);
        self.forwarder.origins().note(stream, origin, terms);
    }

    /// Returns the only version that may continue the stream; `None` before its first event.
    fn version(&self) -> Option<SoftwareVersion> {
        let known = self.origin.as_ref();
        known.map(|known| known.origin.version)
    }

    /// True if the caller has the event already, from the replica at which the stream began.
    fn is_duplicate(&self, event: &StreamEvent) -> bool {
        let (Some(id), Some(last)) = (event.id, self.delivered) else {
            return false;
        };
        self.is_resumable() && id <= last
    }

    /// Finishes a whole response; resumes one that the replica broke off.
    async fn end(&mut self) -> Result<(), ResponseAborted> {
        match self.parser.end() {
            BodyEnd::Whole => {
                let rest = self.parser.take_rest();
                if !rest.is_empty() {
                    self.ready.push_back(rest);
                }
                if self.status < MIN_ERROR_STATUS {
                    self.conclude(AttemptOutcome::Served);
                }
                if let Some(in_progress) = &self.in_progress {
                    in_progress.note_complete(self.parser.delimiter());
                }
                self.finish("whole");
                Ok(())
            }
            BodyEnd::BrokenOff(cause) => {
                self.note_disconnect();
                self.resume(cause.to_string()).await
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.is_resumable() && self.state.sends < self.state.route.attempts
    }

    /// True if any replica that may continue the stream accepts the request. A response in progress is not interrupted
    /// for a stall if none does, for example while all zones are evacuated.
    fn has_alternative(&self) -> bool {
        let view = self.forwarder.replicas().view();
        let regions = &self.state.request.regions;
        view.has_usable(&self.state.service, regions, self.version())
    }

    /// True if other versions serve, and the one that may continue the stream doesn't, so that waiting for capacity
    /// wouldn't help.
    fn is_version_gone(&self) -> bool {
        let view = self.forwarder.replicas().view();
        let regions = &self.state.request.regions;
        let serves_any = view.has_usable(&self.state.service, regions, None);
        serves_any && !self.has_alternative()
    }

    /// Resumes at another replica after the last event delivered, if allowed.
    async fn resume(&mut self, cause: String) -> Result<(), ResponseAborted> {
        // The connection is closed before another replica starts.
        self.body = None;
        let abandoned = self.in_progress.take();
        let abandoned = abandoned.map(|in_progress| in_progress.replica().clone());
        if let Some(replica) = abandoned {
            self.forgive_crash(&replica).await;
        }
        if !self.may_resume() || self.state.clock.remaining_hold().is_zero() {
            return Err(self.abort(cause));
        }
        self.log_interruption(&cause);
        Arc::make_mut(&mut self.state.request).version = self.version();
        let mut last_cause = Some(cause);
        let mut capacity_waits = 0;
        while self.may_resume() && !self.state.clock.remaining_hold().is_zero() {
            if self.forwarder.is_quarantined(&self.state.fingerprint) {
                break;
            }
            if self.is_version_gone() {
                last_cause = Some("no replica of its version".to_owned());
                break;
            }
            self.state.sends += 1;
            let (replica, result) = self.retry().await;
            self.state.tried.extend(replica);
            match result {
                Ok(attempt) if self.continues_stream(&attempt) => {
                    let delimiter = attempt.response.delimiter;
                    let events_left = self.parser.events_left();
                    self.parser = BodyParser::new(self.format, delimiter, events_left);
                    self.log_resumed(&attempt);
                    self.body = Some(attempt.response.body);
                    self.in_progress = Some(attempt.in_progress);
                    return Ok(());
                }
                Ok(attempt) => {
                    let status = attempt.response.status;
                    last_cause = Some(format!("resumed with status {status} and no stream"));
                }
                Err(
                    AttemptFailure::NotRun { cause, .. }
                    | AttemptFailure::Unattributed { cause, .. },
                ) => {
                    self.state.sends -= 1;
                    last_cause = Some(cause);
                    let all_refuse = self.state.tried.len() > MAX_TRIED_REPLICAS;
                    if all_refuse && !self.wait_for_capacity(&mut capacity_waits).await {
                        break;
                    }
                }
                Err(AttemptFailure::MayHaveRun { cause }) => {
                    last_cause = Some(cause);
                    let replica = self.forwarder.last_tried(&self.state);
                    if let Some(replica) = replica {
                        self.forgive_crash(&replica).await;
                    }
                }
                Err(AttemptFailure::NoReplica | AttemptFailure::RetryLater { .. }) => {
                    self.state.sends -= 1;
                    last_cause = Some("no replica".to_owned());
                    if !self.wait_for_capacity(&mut capacity_waits).await {
                        break;
                    }
                }
            }
        }
        Err(self.abort(last_cause.unwrap_or_default()))
    }

    /// True if the response is a stream too, so that it can be joined to what was relayed.
    fn continues_stream(&self, attempt: &Attempt) -> bool {
        let response = &attempt.response;
        let format = BodyFormat::of(&self.state.route, response.status, &response.headers);
        format == BodyFormat::Events
    }

    /// Doesn't count the last allowed attempt if its replica crashed: a stream that shares replicas with the cause of
    /// the crashes would otherwise be lost at the second crash.
    async fn forgive_crash(&mut self, replica: &Arc<Replica>) {
        let is_last = self.state.sends >= self.state.route.attempts;
        if self.is_resumable() && is_last && self.forwarder.has_crashed(replica).await {
            self.state.forgive();
        }
    }

    /// Waits before all replicas are tried again; returns false if the limit is reached. Temporary overload must not
    /// interrupt a response that has begun.
    async fn wait_for_capacity(&mut self, waits: &mut u32) -> bool {
        if *waits == MAX_CAPACITY_WAITS {
            return false;
        }
        *waits += 1;
        sleep(CAPACITY_RETRY_INTERVAL.min(self.state.clock.remaining_hold())).await;
        self.state.tried.clear();
        true
    }

    async fn retry(&mut self) -> (Option<String>, Result<Attempt, AttemptFailure>) {
        let state = &self.state;
        let times = || state.clock.attempt_timeouts(&state.route, state.sends);
        let options = AttemptOptions {
            resume_after: self.delivered,
            fresh_connection: true,
            number: state.sends,
            failed_before: false,
            refused_elsewhere: 0,
        };
        self.forwarder.attempt(state, times, options).await
    }

    fn log_resumed(&self, attempt: &Attempt) {
        let (Some(resume_after), Some(known)) = (self.delivered, &self.origin) else {
            return;
        };
        let request = &self.state.request;
        self.forwarder.log_continued(&ContinuedStream {
            request: &request.id,
            stream: request.resumes.as_deref().unwrap_or(&request.id),
            step: "resumed",
            resume_after,
            service: &self.state.service,
            known: Some(known),
            replica: Some(attempt.in_progress.replica()),
            peers: AskedPeers::default(),
        });
    }

    fn log_interruption(&self, cause: &str) {
        let replica = self.state.tried.last().map_or("", String::as_str);
        self.forwarder.log().record(&Record::AttemptFailed {
            request: &self.state.request.id,
            content: &self.state.fingerprint.content.to_string(),
            replica,
            cause,
            not_run: false,
            after_ms: self.state.clock.elapsed_ms(),
        });
    }

    fn abort(&mut self, cause: String) -> ResponseAborted {
        self.finish("cut");
        self.forwarder.log().record(&Record::AttemptFailed {
            request: &self.state.request.id,
            content: &self.state.fingerprint.content.to_string(),
            replica: self.state.tried.last().map_or("", String::as_str),
            cause: &cause,
            not_run: false,
            after_ms: self.state.clock.elapsed_ms(),
        });
        ResponseAborted { cause }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.finished = true;
        self.body = None;
        self.in_progress = None;
        self.forwarder.log().record(&Record::Ended {
            request: &self.state.request.id,
            status: self.status,
            outcome,
            body: self.parser.summary(),
            attempts: self.state.sends,
            first_event_ms: self.first_event_ms,
            after_ms: self.state.clock.elapsed_ms(),
        });
    }
}

impl Drop for Relay {
    /// Logs a response that was dropped before its end, because the caller left.
    fn drop(&mut self) {
        if !self.finished {
            self.finish("caller left");
        }
    }
}

/// Interval before all replicas are tried again.
const CAPACITY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of waits for capacity, 1.5 s in total: callers abandon a stream after a gap of 2 s, and may resume
/// it through another daemon earlier.
const MAX_CAPACITY_WAITS: u32 = 15;

/// Number of replicas tried, including refusals, beyond which a refusal is followed by a wait for capacity.
const MAX_TRIED_REPLICAS: usize = 5;

impl RequestClock {
    /// Returns the milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        let elapsed = harrierward_clock::age(self.arrived);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
