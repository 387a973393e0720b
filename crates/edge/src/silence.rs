//! Connections that fall silent for good, without a reset, while new ones work.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::pool::ConnectionPool;

/// Probes in the time after which a connection counts as dead.
const PROBES: u32 = 3;

/// Least time between probes that systems take.
const LEAST_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Lets the system end a connection whose peer acknowledges nothing for `unacknowledged`: neither bytes, which wait
/// without a bound otherwise, nor probes where nothing is written.
pub(crate) fn set_probes(stream: &TcpStream, unacknowledged: Duration) {
    let socket = SockRef::from(stream);
    let pause = (unacknowledged / PROBES).max(LEAST_PROBE_PAUSE);
    let probes = TcpKeepalive::new().with_time(pause).with_interval(pause);
    // Not every system has these options; the exchanges' own time limits hold anyway.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
}

/// Watches one exchange. If it is dropped before its end after a silence, connections that were kept since before the
/// silence are not used again.
///
/// Why at the drop: whoever gives an exchange up, for whatever limit, drops it, and a lost one ends there too.
pub(crate) struct SilenceWatch {
    pool: ConnectionPool,
    address: String,
    heard_at: Option<Instant>,
}

impl SilenceWatch {
    pub(crate) fn begin(pool: &ConnectionPool, address: &str) -> Self {
        Self {
            pool: pool.clone(),
            address: address.to_owned(),
            heard_at: Some(harrierward_clock::now()),
        }
    }

    /// Bytes have come.
    pub(crate) fn heard(&mut self) {
        self.heard_at = Some(harrierward_clock::now());
    }

    /// The exchange is over in order.
    pub(crate) fn end(&mut self) {
        self.heard_at = None;
    }
}

impl Drop for SilenceWatch {
    fn drop(&mut self) {
        let Some(heard_at) = self.heard_at else {
            return;
        };
        if harrierward_clock::age(heard_at) >= self.pool.stall_timeout() {
            self.pool.close_stalled(&self.address, heard_at);
        }
    }
}
