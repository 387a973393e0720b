//! Splitting an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// The event as it came, blank line included.
    pub raw: Bytes,
}

impl StreamEvent {
    /// The event's data lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines: Vec<&str> = text
            .lines()
            .filter_map(|line| field(line, "data"))
            .collect();
        lines.join("\n")
    }
}

/// The value of a line of the field `name`.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(rest.strip_prefix(' ').unwrap_or(rest))
}

/// Gathers bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&raw);
        Some(StreamEvent { id, raw })
    }

    /// Bytes of an event that is not whole.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// End of the first blank line, which closes an event.
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
