//! Relay of a response body to the caller: by event for event streams, otherwise as raw bytes.

mod confirmation;
mod resumption;

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use harrierward_decisions::Record;

use crate::attempt::{Attempt, wait_for_progress};
use crate::body::{BodyEnd, BodyFormat, BodyParser, BodyPart, BreakCause, EventsLeft};
use crate::events::{EventPlace, StreamEvent};
use crate::exchange::ReplicaBody;
use crate::forwarder::Forwarder;
use crate::in_progress::InProgress;
use crate::outcome::{AttemptOutcome, Evidence};
use crate::request_state::{RequestClock, RequestState};
use crate::stream_origin::{KnownOrigin, origin_of, stream_of};
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
    /// True once a replica left a number out between two events.
    numbers_have_gaps: bool,
    /// True from the first response that was requested to confirm the end.
    is_confirming: bool,
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
            numbers_have_gaps: false,
            is_confirming: false,
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

    /// Takes the end of a response whose header section shows that it has no body.
    pub async fn end_without_body(&mut self) {
        let has_ended = matches!(self.step().await, Step::End);
        if has_ended && self.parser.end() == BodyEnd::Whole {
            self.note_whole();
            self.finish_whole();
        }
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
                    self.admit_origin().await;
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
                Step::Broken(_) if self.is_unconfirmed() => self.end_unconfirmed().await,
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
        let max_gap = gap * MAX_GAP_FACTOR;
        let (stall_timeout, max_wait) = if !can_resume {
            (remaining, remaining)
        } else if self.has_other_replica() {
            (gap * STALL_GAP_PERCENT / 100, max_gap)
        } else {
            // A new connection to the same replica may help, but the replica may also refuse the stream.
            (max_gap, max_gap)
        };
        let stall_timeout = self.limit_wait(stall_timeout.min(remaining));
        let max_wait = self.limit_wait(max_wait.min(remaining));
        let (Some(body), Some(in_progress)) = (&mut self.body, &self.in_progress) else {
            return Step::Broken("no replica".to_owned());
        };
        let replica = in_progress.replica();
        let next = wait_for_progress(body.next(), replica, stall_timeout, max_wait).await;
        match next {
            // Most replicas have nothing left to send.
            None if self.is_unconfirmed() => Step::Broken("not confirmed in time".to_owned()),
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
                BodyPart::Event(event) => match self.place_of(&event) {
                    Some(EventPlace::Received) => {}
                    Some(EventPlace::AfterGap) => return Err(self.parser.note_gap()),
                    Some(EventPlace::Next) | None => self.pass_on(event),
                },
            }
        }
        Ok(())
    }

    /// Returns the place of a numbered event; `None` if the numbers of the stream's events mean nothing. A run that was asked
    /// for what follows an event begins with the next one, unless the stream's numbers rise with gaps.
    fn place_of(&mut self, event: &StreamEvent) -> Option<EventPlace> {
        let id = event.id.filter(|_| self.is_resumable())?;
        let place = EventPlace::of(id, self.delivered);
        if place != EventPlace::AfterGap {
            return Some(place);
        }
        let is_within_run = self.parser.has_new_events();
        self.numbers_have_gaps |= is_within_run;
        if self.numbers_have_gaps || self.delivered.is_none() {
            return Some(EventPlace::Next);
        }
        Some(EventPlace::AfterGap)
    }

    fn pass_on(&mut self, event: StreamEvent) {
        self.parser.note_new(&event);
        self.note_origin();
        self.delivered = event.id.or(self.delivered);
        self.ready.push_back(event.raw);
    }

    /// Waits until streams may begin at the version that writes the first event.
    async fn admit_origin(&mut self) {
        let Some(in_progress) = &self.in_progress else {
            return;
        };
        let origin = origin_of(in_progress.replica());
        if self.origin.is_none() && self.is_resumable() {
            let host = &self.state.route.host;
            self.forwarder.origins().admit(host, origin).await;
        }
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
        let host = &self.state.route.host;
        self.forwarder.origins().note(stream, host, origin);
    }

    /// Returns the only version that may continue the stream; `None` before its first event.
    fn version(&self) -> Option<SoftwareVersion> {
        let known = self.origin.as_ref();
        known.map(|known| known.origin.version)
    }

    /// Finishes a whole response; resumes one that the replica broke off.
    async fn end(&mut self) -> Result<(), ResponseAborted> {
        match self.parser.end() {
            BodyEnd::Whole => {
                self.note_whole();
                if self.parser.is_end_proven() {
                    self.finish_whole();
                } else {
                    self.end_unconfirmed().await;
                }
                Ok(())
            }
            BodyEnd::BrokenOff(BreakCause::BeforeEvents) if self.is_unconfirmed() => {
                self.note_disconnect();
                self.end_unconfirmed().await;
                Ok(())
            }
            BodyEnd::BrokenOff(cause) => {
                self.note_disconnect();
                self.resume(cause.to_string()).await
            }
        }
    }

    fn note_whole(&self) {
        if self.status < MIN_ERROR_STATUS {
            self.conclude(AttemptOutcome::Served);
        }
        if let Some(in_progress) = &self.in_progress {
            in_progress.note_complete(self.parser.delimiter());
        }
    }

    /// Goes on with a response that may confirm the end; without one the response counts as whole.
    async fn end_unconfirmed(&mut self) {
        if !self.confirm_end().await {
            self.finish_whole();
        }
    }

    fn finish_whole(&mut self) {
        let rest = self.parser.take_rest();
        if !rest.is_empty() {
            self.ready.push_back(rest);
        }
        self.finish("whole");
    }

    /// True if any replica that may continue the stream accepts the request. A response in progress is not interrupted
    /// for a stall if none does, for example while all zones are evacuated.
    fn has_alternative(&self) -> bool {
        let view = self.forwarder.replicas().view();
        let regions = &self.state.request.regions;
        view.has_usable(&self.state.service, regions, self.version())
    }

    /// True if a replica other than the present one may continue the stream.
    fn has_other_replica(&self) -> bool {
        let view = self.forwarder.replicas().view();
        let present = self.in_progress.as_ref();
        let present = present.map(|in_progress| in_progress.replica().record.id.as_str());
        let (service, regions) = (&self.state.service, &self.state.request.regions);
        view.has_usable_besides(service, regions, self.version(), present)
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

impl RequestClock {
    /// Returns the milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        let elapsed = harrierward_clock::age(self.arrived);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
