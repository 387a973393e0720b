//! May this daemon start batch items now? Only while it cannot have missed a cancel.
//!
//! A cancel is acknowledged once every member in view has noted it, itself or through others, or can no longer
//! start anything. So a daemon that nobody reached must stop by itself: it goes on only while its own probes are
//! answered without a gap, or while it reads the jobs it holds from the table. While members are missing, being
//! in touch with some is not enough, and the table is asked as well.

use std::time::Duration;

/// Longest gap without assurance.
pub const ASSURANCE_LIFETIME: Duration = Duration::from_secs(2);

/// How often the table is asked while peers do not suffice.
pub const CONFIRM_EVERY: Duration = Duration::from_millis(700);

/// Longest time that an acknowledgement of a cancel waits for members that cannot be reached; more than
/// [`ASSURANCE_LIFETIME`], so that they have stopped by then.
pub const CANCEL_WAIT: Duration = Duration::from_secs(3);

/// Until when a daemon is assured that it has missed no cancel. Times are its own monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Assurance {
    assured_at: Duration,
}

impl Assurance {
    /// A probe sent at `sent_at` was answered. After a gap an answer alone is no longer enough.
    pub fn peer_answered(&mut self, sent_at: Duration) {
        let gap = sent_at.saturating_sub(self.assured_at);
        if gap <= ASSURANCE_LIFETIME {
            self.assured_at = self.assured_at.max(sent_at);
        }
    }

    /// The jobs held were read from the table by a call begun at `asked_at`.
    pub fn table_confirmed(&mut self, asked_at: Duration) {
        self.assured_at = self.assured_at.max(asked_at);
    }

    /// True while batch items may be started.
    pub fn holds(&self, now: Duration) -> bool {
        now.saturating_sub(self.assured_at) <= ASSURANCE_LIFETIME
    }

    /// True if the table should be asked, because the assurance will soon run out.
    pub fn wants_table(&self, now: Duration) -> bool {
        now.saturating_sub(self.assured_at) >= CONFIRM_EVERY
    }
}
