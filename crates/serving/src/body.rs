//! Parsing of a replica's response body, and what the end of the body proves.

use bytes::Bytes;
use harrierward_decisions::BodySummary;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, HeaderName};

use crate::configuration::{Route, RouteKind};
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::BodyDelimiter;

/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Lowest status whose body isn't the output of a request.
const MIN_NON_SUCCESS_STATUS: u16 = 300;

/// Maximum size of an event, which is held back until it is complete.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Maximum number of bytes between two events that the recipient did not have. A faulty replica may send comments,
/// or the same event, without end.
const MAX_BYTES_WITHOUT_NEW_EVENT: u64 = 8 << 20;

/// What a response body consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFormat {
    /// Server-sent events.
    Events,
    /// Bytes without a structure known here.
    Opaque,
}

impl BodyFormat {
    /// Returns the format of a response on a route. On a stream route a media type may be missing.
    pub fn of(route: &Route, status: u16, headers: &HeaderMap) -> Self {
        if status >= MIN_NON_SUCCESS_STATUS || is_encoded(headers) {
            return Self::Opaque;
        }
        let is_event_stream = if headers.contains_key(CONTENT_TYPE) {
            header_texts(headers, &CONTENT_TYPE).any(names_event_stream)
        } else {
            matches!(route.kind, RouteKind::Stream { .. })
        };
        if is_event_stream {
            Self::Events
        } else {
            Self::Opaque
        }
    }
}

/// Values of a header field that are text.
fn header_texts<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).into_iter();
    values.filter_map(|value| value.to_str().ok())
}

/// True if a content coding other than `identity` hides the structure of the body.
fn is_encoded(headers: &HeaderMap) -> bool {
    header_texts(headers, &CONTENT_ENCODING)
        .flat_map(|codings| codings.split(','))
        .any(|coding| !coding.trim().eq_ignore_ascii_case("identity"))
}

/// True if the media type is that of an event stream, whatever its parameters.
fn names_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Closes without events, after an interrupted stream's last event, that are taken for failures before one is believed.
const MAX_DOUBTED_CLOSES: u32 = 2;

/// What the responses to a request have shown of the events that its stream has left.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EventsLeft {
    /// The stream begins; only complete framing states that it has no event.
    #[default]
    New,
    /// At least one: a response was broken off within it.
    Begun,
    /// Perhaps none: the stream was interrupted after a complete event. A closed connection can be a failure, but if
    /// none were believed, a stream that was interrupted after its last event would never end.
    Interrupted {
        /// Responses without events that may still be closed before one is believed.
        doubted_closes: u32,
    },
}

impl EventsLeft {
    /// Returns what is known of a stream that continues after this event, if at most `further_responses` can follow.
    pub fn after(last_event: Option<u64>, further_responses: u32) -> Self {
        match last_event {
            None => Self::New,
            Some(_) => Self::Interrupted {
                doubted_closes: further_responses.min(MAX_DOUBTED_CLOSES),
            },
        }
    }

    /// True if a body that ends so, without an event, was broken off.
    fn contradicts_empty(self, delimiter: BodyDelimiter) -> bool {
        let is_closed = delimiter == BodyDelimiter::Close;
        match self {
            Self::Begun => true,
            Self::New => is_closed,
            Self::Interrupted { doubted_closes } => is_closed && doubted_closes > 0,
        }
    }

    /// Returns what is known after a response without events that a closed connection ended.
    fn after_close(self) -> Self {
        match self {
            Self::Interrupted { doubted_closes } => Self::Interrupted {
                doubted_closes: doubted_closes.saturating_sub(1),
            },
            unchanged => unchanged,
        }
    }
}

/// Part of a body that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// A complete event, or a keep-alive between two events.
    Event(StreamEvent),
    /// Bytes of an opaque body.
    Bytes(Bytes),
}

/// What the end of a body proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Nothing contradicts that the response is whole.
    Whole,
    /// The replica broke the response off.
    BrokenOff(BreakCause),
}

/// How it shows that a response was broken off, although its body ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BreakCause {
    /// The body ended before an event that must follow.
    #[error("the stream ended before its first event")]
    BeforeEvents,
    /// Bytes of an event arrived, but not its end.
    #[error("the stream ended within an event")]
    WithinEvent,
    /// An event exceeds the size up to which events are held back.
    #[error("an event is too large")]
    OversizedEvent,
    /// An event arrived, and not the one before it.
    #[error("an event is missing")]
    MissingEvent,
    /// Too many bytes arrived without a new event.
    #[error("bytes without a new event")]
    NoNewEvent,
}

/// Follows one response body to its end. The only place that judges whether a response is whole.
#[derive(Debug)]
pub struct BodyParser {
    format: BodyFormat,
    delimiter: BodyDelimiter,
    events_left: EventsLeft,
    received_bytes: u64,
    /// Value of `received_bytes` when the last new event was taken.
    bytes_at_new_event: u64,
    /// Events with data that the recipient did not have before.
    new_events: u64,
    /// True once an event arrived, and not the one before it.
    has_gap: bool,
    splitter: EventSplitter,
    /// Bytes of an opaque body that have not been taken.
    opaque: Option<Bytes>,
}

impl BodyParser {
    /// Starts with an empty body.
    pub fn new(format: BodyFormat, delimiter: BodyDelimiter, events_left: EventsLeft) -> Self {
        Self {
            format,
            delimiter,
            events_left,
            received_bytes: 0,
            bytes_at_new_event: 0,
            new_events: 0,
            has_gap: false,
            splitter: EventSplitter::default(),
            opaque: None,
        }
    }

    /// Appends received bytes, whose parts must be taken before the next ones are appended.
    ///
    /// # Errors
    /// The event in progress is too large to be held back, or too many bytes arrived without a new one.
    pub fn push(&mut self, bytes: Bytes) -> Result<(), BreakCause> {
        self.received_bytes += bytes.len() as u64;
        match self.format {
            BodyFormat::Events => self.splitter.push(&bytes),
            BodyFormat::Opaque => self.opaque = Some(bytes),
        }
        if self.splitter.buffered_bytes() > MAX_EVENT_BYTES {
            return Err(BreakCause::OversizedEvent);
        }
        let bytes_without_event = self.received_bytes - self.bytes_at_new_event;
        if self.format == BodyFormat::Events && bytes_without_event > MAX_BYTES_WITHOUT_NEW_EVENT {
            return Err(BreakCause::NoNewEvent);
        }
        Ok(())
    }

    /// Removes and returns the next part. Bytes of an event that has not ended are held back: a response whose stated
    /// length was reached could no longer be cut off.
    pub fn next_part(&mut self) -> Option<BodyPart> {
        match self.format {
            BodyFormat::Opaque => self.opaque.take().map(BodyPart::Bytes),
            BodyFormat::Events => self.splitter.next_event().map(BodyPart::Event),
        }
    }

    /// Notes that the recipient did not have the event. Repeated ones are not those that a resumed stream has left.
    pub fn note_new(&mut self, event: &StreamEvent) {
        if event.has_data() {
            self.new_events += 1;
            self.bytes_at_new_event = self.received_bytes;
        }
    }

    /// Notes that an event arrived, and not the one before it, which therefore is left.
    pub fn note_gap(&mut self) -> BreakCause {
        self.has_gap = true;
        BreakCause::MissingEvent
    }

    /// Judges the body after its delimiter has arrived and all parts were taken.
    pub fn end(&mut self) -> BodyEnd {
        if self.splitter.is_within_event() {
            return BodyEnd::BrokenOff(BreakCause::WithinEvent);
        }
        if self.lacks_events() {
            self.events_left = self.events_left.after_close();
            return BodyEnd::BrokenOff(BreakCause::BeforeEvents);
        }
        BodyEnd::Whole
    }

    /// True if an event arrived that the recipient did not have before.
    pub fn has_new_events(&self) -> bool {
        self.new_events > 0
    }

    /// True if a whole body's end is proved, or no further response can be expected to prove it. The close of the
    /// connection proves nothing after a new event: a replica that crashes closes it too.
    pub fn is_end_proven(&self) -> bool {
        self.delimiter != BodyDelimiter::Close || self.new_events == 0
    }

    /// True if no event arrived although one must follow.
    fn lacks_events(&self) -> bool {
        self.format == BodyFormat::Events
            && self.new_events == 0
            && self.events_left.contradicts_empty(self.delimiter)
    }

    /// Returns what is known of the events that are left, after the body ended or was interrupted.
    pub fn events_left(&self) -> EventsLeft {
        if self.has_gap || self.splitter.is_within_event() {
            EventsLeft::Begun
        } else if self.new_events > 0 {
            EventsLeft::Interrupted {
                doubted_closes: MAX_DOUBTED_CLOSES,
            }
        } else {
            self.events_left
        }
    }

    /// Removes and returns what follows the last event of a whole response and is no part yet: a comment whose line end
    /// may be incomplete.
    pub fn take_rest(&mut self) -> Bytes {
        self.splitter.take_rest()
    }

    /// Returns how the end of the body is marked.
    pub fn delimiter(&self) -> BodyDelimiter {
        self.delimiter
    }

    /// Returns what was received, for the log.
    pub fn summary(&self) -> BodySummary {
        BodySummary {
            delimiter: self.delimiter.name(),
            bytes: self.received_bytes,
            events: self.new_events,
            unfinished_bytes: if self.splitter.is_within_event() {
                self.splitter.buffered_bytes() as u64
            } else {
                0
            },
        }
    }
}
