//! Splitting of an event stream (server-sent events) into events.

use bytes::{Bytes, BytesMut};

/// Complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field; `None` if missing or not a number.
    pub id: Option<u64>,
    /// The event's bytes as received, including the closing blank line.
    pub raw: Bytes,
}

impl StreamEvent {
    /// Returns the values of the data lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines: Vec<&str> = text
            .lines()
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

/// Buffers bytes of a stream until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&raw);
        Some(StreamEvent { id, raw })
    }

    /// Returns the size of the incomplete event in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// End of the first blank line, which terminates an event.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut line_start = self.scanned;
        while let Some(offset) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
            let line_end = line_start + offset;
            let line = &bytes[line_start..line_end];
            let blank = line.is_empty() || line == b"\r";
            line_start = line_end + 1;
            if blank && line_end > 0 {
                return Some(line_start);
            }
        }
        self.scanned = line_start;
        None
    }
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(raw).ok()?;
    text.lines()
        .find_map(|line| field(line, "id"))?
        .trim()
        .parse()
        .ok()
}
