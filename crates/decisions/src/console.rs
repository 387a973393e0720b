//! Lines on their way to standard output or error, which may take none for as long as it likes.
//!
//! Why a thread of its own: where the output is a pipe that nobody reads, a write waits without a bound. On a runtime's
//! thread that would stop the whole daemon (with a pipe of 64 kB after some hundred lines).

use std::fmt::{Debug, Formatter};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Bytes that may wait for the output; lines beyond are dropped and counted.
const MOST_WAITING_BYTES: usize = 256 << 10;

/// Longest time for which the end of a program waits for its last lines.
const LONGEST_FLUSH: Duration = Duration::from_millis(200);

/// Pause between looks whether the last lines are written.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Stack of the writing thread, bytes: it only copies.
const STACK_BYTES: usize = 64 << 10;

/// Where lines go.
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

/// Makes the line that tells of so many dropped lines, line end included.
pub type DroppedLine = fn(u64) -> String;

#[derive(Debug, Default)]
struct Waiting {
    bytes: AtomicUsize,
    dropped_lines: AtomicU64,
}

/// An appender that never waits for its output: what that does not take in time is dropped and counted.
pub struct DetachedConsole {
    encoder: Box<dyn Encode>,
    dropped_line: DroppedLine,
    waiting: Arc<Waiting>,
    sender: Sender<Vec<u8>>,
}

impl DetachedConsole {
    /// An appender with a thread of its own that writes to `stream`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        stream: ConsoleStream,
        encoder: Box<dyn Encode>,
        dropped_line: DroppedLine,
    ) -> std::io::Result<Self> {
        let waiting = Arc::new(Waiting::default());
        let (sender, receiver) = channel();
        let shared = waiting.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, &shared, |bytes| stream.write(bytes)))?;
        Ok(Self {
            encoder,
            dropped_line,
            waiting,
            sender,
        })
    }

    /// What goes out for encoded lines: with word of those dropped before, or nothing if they are dropped too.
    fn admit(&self, mut lines: Vec<u8>) -> Option<Vec<u8>> {
        let waiting = self.waiting.bytes.load(Ordering::Acquire);
        if waiting + lines.len() > MOST_WAITING_BYTES {
            let dropped = lines.iter().filter(|byte| **byte == b'\n').count();
            self.waiting
                .dropped_lines
                .fetch_add(dropped as u64, Ordering::Relaxed);
            return None;
        }
        let dropped = self.waiting.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.splice(0..0, (self.dropped_line)(dropped).into_bytes());
        }
        Some(lines)
    }
}

impl Debug for DetachedConsole {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("DetachedConsole")
            .field("waiting", &self.waiting)
            .finish_non_exhaustive()
    }
}

impl Append for DetachedConsole {
    fn append(&self, record: &log::Record) -> anyhow::Result<()> {
        let mut writer = SimpleWriter(Vec::new());
        self.encoder.encode(&mut writer, record)?;
        if let Some(lines) = self.admit(writer.0) {
            self.waiting.bytes.fetch_add(lines.len(), Ordering::AcqRel);
            self.sender.send(lines)?;
        }
        Ok(())
    }

    /// Waits a bounded time until what is held is written.
    fn flush(&self) {
        let until = Instant::now() + LONGEST_FLUSH;
        while self.waiting.bytes.load(Ordering::Acquire) > 0 && Instant::now() < until {
            std::thread::sleep(FLUSH_LOOK);
        }
    }
}

fn write_lines(
    receiver: &Receiver<Vec<u8>>,
    waiting: &Waiting,
    mut write: impl FnMut(&[u8]) -> std::io::Result<()>,
) {
    for lines in receiver {
        if write(&lines).is_err() {
            // The output is gone, and there is nothing else to say it on: the figure tells if it comes back.
            let lost = lines.iter().filter(|byte| **byte == b'\n').count();
            waiting
                .dropped_lines
                .fetch_add(lost as u64, Ordering::Relaxed);
        }
        waiting.bytes.fetch_sub(lines.len(), Ordering::AcqRel);
    }
}
