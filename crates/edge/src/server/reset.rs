//! Reset of a connection whose close would end a response, unless the response is whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use super::ServerControl;

/// Lets whatever ends a connection reset it while a response is sent that only the close delimits, the kill of the
/// process included: an orderly close would make a truncated response seem complete.
pub(super) struct ResetGuard {
    control: Arc<ServerControl>,
    stream: Arc<TcpStream>,
    is_armed: AtomicBool,
    is_whole: AtomicBool,
}

impl ResetGuard {
    pub fn new(control: Arc<ServerControl>, stream: Arc<TcpStream>) -> Self {
        Self {
            control,
            stream,
            is_armed: AtomicBool::new(false),
            is_whole: AtomicBool::new(false),
        }
    }

    /// Notes that a response begins whose end only the close of the connection marks.
    pub fn arm(&self) {
        self.is_whole.store(false, Ordering::Relaxed);
        self.is_armed.store(true, Ordering::Relaxed);
        self.set_linger(Some(Duration::ZERO));
    }

    /// Notes that the body of the response has ended whole; its last bytes may still be buffered.
    pub fn note_whole(&self) {
        self.is_whole.store(true, Ordering::Relaxed);
    }

    /// Notes that all bytes written so far are handed to the kernel, which must deliver those of a whole response.
    pub fn note_all_sent(&self) {
        let is_whole = self.is_whole.load(Ordering::Relaxed);
        if is_whole && self.is_armed.swap(false, Ordering::Relaxed) {
            self.set_linger(None);
        }
    }

    /// Sets the time for which a close waits for the delivery; a close that waits for no time resets the connection.
    fn set_linger(&self, linger: Option<Duration>) {
        if let Err(error) = SockRef::from(&*self.stream).set_linger(linger) {
            self.control.note_linger_failed(&error);
        }
    }
}
