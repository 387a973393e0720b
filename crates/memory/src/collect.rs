//! Reads a request's body into one buffer, which holds its bytes of the budget for as long as anyone holds it.

use std::pin::pin;
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, sleep_until};

use crate::budget::MemoryBudget;
use crate::transfer::Upload;

/// First size of the buffer of a body whose length is not stated.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// Largest buffer that is allocated for a stated length before any of it has arrived.
const MAX_EARLY_BUFFER_BYTES: usize = 64 << 10;

/// Time that every body may take, whatever its size.
const RATE_GRACE: Duration = Duration::from_secs(30);

/// Least rate of a body after [`RATE_GRACE`].
const MIN_BYTES_PER_SECOND: u64 = 1 << 10;

/// Unused part of a buffer, as a divisor, above which it is reallocated when the body is complete.
const SURPLUS_DIVISOR: usize = 8;

/// Why a body is not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Its stated or received length exceeds the limit.
    #[error("the body is too large")]
    TooLarge,
    /// Its framing is invalid, or the connection ended.
    #[error("the body cannot be read")]
    Unreadable,
    /// It arrives too slowly, or stalled while others needed its memory.
    #[error("the body arrives too slowly")]
    TooSlow,
    /// There is no memory for it now.
    #[error("there is no memory for the body now")]
    NoMemory,
}

impl BodyError {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Unreadable => "unreadable",
            Self::TooSlow => "too_slow",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Reads a body of at most `max_bytes`. Its bytes return to the budget when the last clone of the result is dropped.
///
/// # Errors
/// The body is not read to its end, for this reason; it must not be used.
pub async fn collect<B>(
    body: B,
    max_bytes: usize,
    budget: &MemoryBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    let stated = body.size_hint().lower();
    let stated = usize::try_from(stated).map_err(|_| BodyError::TooLarge)?;
    if stated > max_bytes {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut receiver = Receiver {
        upload: budget.begin_upload(),
        bytes: Vec::new(),
        stated,
        max_bytes,
        started_at: Instant::now(),
    };
    let mut body = pin!(body);
    loop {
        let slow_at = receiver.slow_at();
        // Bytes that have arrived go first: after a suspension of the machine, all timers are due.
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            _ = receiver.upload.ended() => return Err(BodyError::TooSlow),
            () = sleep_until(slow_at) => return Err(BodyError::TooSlow),
        };
        let Some(frame) = frame else {
            return Ok(receiver.complete());
        };
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        if let Ok(bytes) = frame.into_data() {
            receiver.push(&bytes).await?;
        }
    }
}

/// A body that is being received, in one buffer: frames kept apart would cost more than the bytes they carry.
struct Receiver {
    upload: Upload,
    bytes: Vec<u8>,
    /// Stated length; 0 if none is stated.
    stated: usize,
    max_bytes: usize,
    started_at: Instant,
}

impl Receiver {
    async fn push(&mut self, bytes: &Bytes) -> Result<(), BodyError> {
        let length = self.bytes.len() + bytes.remaining();
        if length > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length);
            let grown = self.upload.grow(capacity).await;
            grown.map_err(|_| BodyError::NoMemory)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        self.upload.note_received(length);
        Ok(())
    }

    /// Returns the size of the buffer that is to hold `length` bytes.
    fn next_capacity(&self, length: usize) -> usize {
        let early = self.stated.min(MAX_EARLY_BUFFER_BYTES);
        let grown = (self.bytes.capacity() * 2)
            .max(FIRST_BUFFER_BYTES)
            .max(early);
        let most = if self.stated > 0 {
            self.stated
        } else {
            self.max_bytes
        };
        grown.min(most).max(length)
    }

    /// Returns when the body is too slow if no more bytes arrive.
    fn slow_at(&self) -> Instant {
        let received = self.bytes.len() as u64;
        let allowed = Duration::from_secs(received / MIN_BYTES_PER_SECOND);
        self.started_at + RATE_GRACE + allowed
    }

    fn complete(mut self) -> Bytes {
        let surplus = self.bytes.capacity() - self.bytes.len();
        if surplus > self.bytes.len() / SURPLUS_DIVISOR {
            self.bytes.shrink_to_fit();
        }
        let mut permit = self.upload.complete();
        permit.shrink_to(self.bytes.capacity());
        permit.hold(self.bytes)
    }
}
