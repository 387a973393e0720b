//! A log appender for standard output or error that never blocks its caller.
//!
//! A write to a pipe that nobody reads blocks without a bound, so a separate thread writes: a thread of the async
//! runtime must not block.

use std::fmt::{Debug, Formatter};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Bytes queued for the output; lines beyond are dropped and counted.
const MAX_QUEUED_BYTES: usize = 256 << 10;

/// Maximum time that a flush waits for queued lines to be written.
const MAX_FLUSH_WAIT: Duration = Duration::from_millis(200);

/// Interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Stack of the writer thread, bytes; it only copies buffers.
const STACK_BYTES: usize = 64 << 10;

/// Standard stream that lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConsoleStream {
    /// Standard output.
    Output,
    /// Standard error.
    Error,
}

impl ConsoleStream {
    fn write(self, bytes: &[u8]) -> std::io::Result<()> {
        match self {
            Self::Output => write_all(std::io::stdout().lock(), bytes),
            Self::Error => write_all(std::io::stderr().lock(), bytes),
        }
    }
}

fn write_all(mut stream: impl Write, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(bytes)?;
    stream.flush()
}

/// Formats the line that reports a number of dropped lines, line end included.
pub type DroppedLine = fn(u64) -> String;

#[derive(Debug, Default)]
struct QueueState {
    bytes: AtomicUsize,
    dropped_lines: AtomicU64,
}

/// An appender that never waits for its output: lines beyond a bounded queue are dropped and counted.
pub struct NonBlockingConsole {
    encoder: Box<dyn Encode>,
    dropped_line: DroppedLine,
    queue: Arc<QueueState>,
    sender: Sender<Vec<u8>>,
}

impl NonBlockingConsole {
    /// Starts the writer thread and returns its appender.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        stream: ConsoleStream,
        encoder: Box<dyn Encode>,
        dropped_line: DroppedLine,
    ) -> std::io::Result<Self> {
        let queue = Arc::new(QueueState::default());
        let (sender, receiver) = channel();
        let shared = queue.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, &shared, |bytes| stream.write(bytes)))?;
        Ok(Self {
            encoder,
            dropped_line,
            queue,
            sender,
        })
    }

    /// Returns the bytes to queue, with a report of lines dropped before; `None` if the queue is full and these are
    /// dropped.
    fn admit(&self, mut lines: Vec<u8>) -> Option<Vec<u8>> {
        let queued = self.queue.bytes.load(Ordering::Acquire);
        if queued + lines.len() > MAX_QUEUED_BYTES {
            let dropped = lines.iter().filter(|byte| **byte == b'\n').count();
            self.queue
                .dropped_lines
                .fetch_add(dropped as u64, Ordering::Relaxed);
            return None;
        }
        let dropped = self.queue.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.splice(0..0, (self.dropped_line)(dropped).into_bytes());
        }
        Some(lines)
    }
}

impl Debug for NonBlockingConsole {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("NonBlockingConsole")
            .field("queue", &self.queue)
            .finish_non_exhaustive()
    }
}

impl Append for NonBlockingConsole {
    fn append(&self, record: &log::Record) -> anyhow::Result<()> {
        let mut writer = SimpleWriter(Vec::new());
        self.encoder.encode(&mut writer, record)?;
        if let Some(lines) = self.admit(writer.0) {
            self.queue.bytes.fetch_add(lines.len(), Ordering::AcqRel);
            self.sender.send(lines)?;
        }
        Ok(())
    }

    /// Waits until all queued lines are written, at most [`MAX_FLUSH_WAIT`].
    fn flush(&self) {
        let deadline = Instant::now() + MAX_FLUSH_WAIT;
        while self.queue.bytes.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

fn write_lines(
    receiver: &Receiver<Vec<u8>>,
    queue: &QueueState,
    mut write: impl FnMut(&[u8]) -> std::io::Result<()>,
) {
    for lines in receiver {
        if write(&lines).is_err() {
            // There is no other output for the error; the count is reported once writes succeed again.
            let dropped = lines.iter().filter(|byte| **byte == b'\n').count();
            queue
                .dropped_lines
                .fetch_add(dropped as u64, Ordering::Relaxed);
        }
        queue.bytes.fetch_sub(lines.len(), Ordering::AcqRel);
    }
}
