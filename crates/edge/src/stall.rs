//! Detection of connections that stall without a reset while new ones to the same address work.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::pool::ConnectionPool;

/// Keepalive probes within the time after which a connection counts as dead.
const PROBES: u32 = 3;

/// Smallest keepalive interval that operating systems accept.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes the operating system close a connection whose peer acknowledges neither data nor keepalive probes for
/// `unacknowledged`.
pub(crate) fn set_probes(stream: &TcpStream, unacknowledged: Duration) {
    let socket = SockRef::from(stream);
    let interval = (unacknowledged / PROBES).max(MIN_PROBE_INTERVAL);
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval);
    // Some systems lack these options; the exchanges' own timeouts apply regardless.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
}

/// Detects a stall of one exchange. If the exchange is dropped while stalled, for whatever reason, the pool closes the
/// connections to the address that have been idle since before the stall.
pub(crate) struct StallWatch {
    pool: ConnectionPool,
    address: String,
    last_received_at: Option<Instant>,
}

impl StallWatch {
    pub(crate) fn begin(pool: &ConnectionPool, address: &str) -> Self {
        Self {
            pool: pool.clone(),
            address: address.to_owned(),
            last_received_at: Some(harrierward_clock::now()),
        }
    }

    /// Records that bytes were received.
    pub(crate) fn note_received(&mut self) {
        self.last_received_at = Some(harrierward_clock::now());
    }

    /// Records the regular completion of the exchange.
    pub(crate) fn finish(&mut self) {
        self.last_received_at = None;
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        let Some(last_received_at) = self.last_received_at else {
            return;
        };
        if harrierward_clock::age(last_received_at) >= self.pool.stall_timeout() {
            self.pool.close_stalled(&self.address, last_received_at);
        }
    }
}
