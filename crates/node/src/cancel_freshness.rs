//! Proof that this daemon has missed no cancellation; without it no batch items are started. A cancellation is
//! acknowledged once each member has noted it or its proof has expired. Probe replies or table reads renew the proof.

use std::time::Duration;

/// Time after which the proof expires unless it is renewed.
pub const FRESHNESS_TTL: Duration = Duration::from_secs(2);

/// Age of the proof at which the table is read; also bounds the interval at which the age is checked.
pub const TABLE_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Maximum wait for unreachable members before a cancellation is acknowledged; longer than [`FRESHNESS_TTL`], so
/// that their proof has expired by then.
pub const CANCEL_ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Time of the last proof, by the monotonic clock of this daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CancelFreshness {
    proved_at: Duration,
}

impl CancelFreshness {
    /// Renews the proof by the reply to a probe sent at `sent_at`; an expired proof needs a table read instead.
    pub fn note_probe_reply(&mut self, sent_at: Duration) {
        let gap = sent_at.saturating_sub(self.proved_at);
        if gap <= FRESHNESS_TTL {
            self.proved_at = self.proved_at.max(sent_at);
        }
    }

    /// Renews the proof by a read of the rows of all jobs held, started at `started_at`.
    pub fn note_table_read(&mut self, started_at: Duration) {
        self.proved_at = self.proved_at.max(started_at);
    }

    /// True while batch items may be started.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.proved_at) <= FRESHNESS_TTL
    }

    /// True if the table should be read, because the proof expires soon.
    pub fn needs_table_read(&self, now: Duration) -> bool {
        now.saturating_sub(self.proved_at) >= TABLE_READ_INTERVAL
    }
}
