//! Splitting of an event stream (server-sent events) into events.

use bytes::{Bytes, BytesMut};

/// Mark that may precede the first event.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Maximum number of the first event of a stream.
const MAX_FIRST_EVENT: u64 = 1;

/// Place of a numbered event after those that the recipient has; streams number their events without gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPlace {
    /// The recipient has it.
    Received,
    /// It follows the last one that the recipient has.
    Next,
    /// The recipient lacks events before it.
    AfterGap,
}

impl EventPlace {
    /// Returns the place of event `id` after event `last`; `None` stands for no event.
    pub fn of(id: u64, last: Option<u64>) -> Self {
        let next = last.map_or(MAX_FIRST_EVENT, |last| last.saturating_add(1));
        if last.is_some_and(|last| id <= last) {
            Self::Received
        } else if id > next {
            Self::AfterGap
        } else {
            Self::Next
        }
    }
}

/// Complete event of a stream, or a comment or blank line between two events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field; `None` if missing or not a number.
    pub id: Option<u64>,
    /// The bytes as received, including the blank line that closes an event.
    pub raw: Bytes,
}

impl StreamEvent {
    /// True if the event has output; others only keep a connection alive or set a parameter of it.
    pub fn has_data(&self) -> bool {
        self.raw
            .split(is_line_end)
            .any(|line| line == b"data" || line.starts_with(b"data:"))
    }

    /// Returns the values of the data lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines: Vec<&str> = event_lines(&text)
            .filter_map(|line| field(line, "data"))
            .collect();
        lines.join("\n")
    }
}

/// Value of a line of the field `name`.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(rest.strip_prefix(' ').unwrap_or(rest))
}

/// Buffers bytes of a stream until an event is complete. An event is a block of lines, closed by a blank one; lines end
/// with a line feed, a carriage return, or both. Comments and blank lines before an event's first field don't belong to
/// it: they keep a connection alive, and are not held back for the event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first line whose end has not been found.
    line_start: usize,
    /// End of the bytes in which that line's end is known not to be.
    searched: usize,
    /// True if the event in progress has a field.
    has_fields: bool,
}

/// A line's place in the buffer.
struct Line {
    start: usize,
    /// End of its text.
    end: usize,
    /// Start of the line after it.
    next: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or what keeps the connection alive between two events.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        while let Some(line) = self.next_line() {
            let is_blank = line.start == line.end;
            let is_comment = self.buffer[line.start] == b':';
            self.has_fields |= !is_blank && !is_comment;
            if is_blank || !self.has_fields {
                return Some(self.take_event(line.next));
            }
            self.line_start = line.next;
            self.searched = line.next;
        }
        None
    }

    /// Returns the size of the incomplete event in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// True if an event has begun: the buffer holds part of a line, or a line that is neither blank nor a comment.
    pub fn is_within_event(&self) -> bool {
        let mut lines = self.buffer[..].split(is_line_end);
        let partial_line = lines.next_back().unwrap_or_default();
        let is_comment = |line: &[u8]| line.starts_with(b":");
        !partial_line.is_empty() || lines.any(|line| !line.is_empty() && !is_comment(line))
    }

    /// Removes and returns the rest of a stream that has ended after an event.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = self.buffer.split().freeze();
        *self = Self::default();
        rest
    }

    fn take_event(&mut self, end: usize) -> StreamEvent {
        let raw = self.buffer.split_to(end).freeze();
        self.line_start = 0;
        self.searched = 0;
        self.has_fields = false;
        let id = event_id(&raw);
        StreamEvent { id, raw }
    }

    /// Finds the end of the current line. A carriage return at the end of the buffer may be half of a line's end: it
    /// closes a blank line, so that an event isn't held back, but no other.
    fn next_line(&mut self) -> Option<Line> {
        let Some(offset) = self.buffer[self.searched..].iter().position(is_line_end) else {
            self.searched = self.buffer.len();
            return None;
        };
        let (start, end) = (self.line_start, self.searched + offset);
        let following = self.buffer.get(end + 1);
        let next = match (self.buffer[end], following) {
            (b'\r', Some(b'\n')) => end + 2,
            (b'\r', None) if end > start => {
                self.searched = end;
                return None;
            }
            _ => end + 1,
        };
        Some(Line { start, end, next })
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(raw).ok()?;
    event_lines(text)
        .find_map(|line| field(line, "id"))?
        .trim()
        .parse()
        .ok()
}

/// Lines of an event, with any of the line ends.
fn event_lines(text: &str) -> impl Iterator<Item = &str> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    text.split(['\n', '\r']).filter(|line| !line.is_empty())
}
