//! What a daemon believes of a replica's warmth: cold until when, and by whose word.

use std::time::Duration;

use tokio::time::Instant;

use crate::configuration::Warmup;

/// Longest time between a change of a replica and the row that tells of it: a heartbeat of 1.2 s, and as much again for a
/// row that is written late. A row that comes sooner after an assumption may have been written before its cause.
const ROW_LAG: Duration = Duration::from_millis(2_400);

/// Longest time for which a replica is taken for cold by one word: far above any warm-up. Rows and configurations may
/// hold more than a clock can add.
const LONGEST: Duration = Duration::from_secs(3_600);

/// The belief. Pure: callers bring the time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Warmth {
    service: Option<Warmup>,
    cold_until: Option<Instant>,
    /// When it was last assumed cold without its own word.
    assumed_at: Option<Instant>,
}

impl Warmth {
    /// How its service's replicas warm up; `None` if they need not.
    pub fn service(&self) -> Option<Warmup> {
        self.service
    }

    /// The configuration tells how the service's replicas warm up.
    pub fn set_service(&mut self, warmup: Option<Warmup>) {
        self.service = warmup;
    }

    /// A row of the replica was seen at `seen`, which says that it stays cold for `left` from its writing; zero says
    /// that it is warm. Counted from when the row was seen, so a row that came late keeps it cold for longer, never for
    /// less. Shortly after an assumption a row does not shorten it: it may have been written before its cause.
    pub fn apply_row(&mut self, left: Duration, seen: Instant) {
        let until = (!left.is_zero()).then(|| seen + left.min(LONGEST));
        let may_be_older = |assumed: Instant| seen < assumed + ROW_LAG;
        if self.assumed_at.is_some_and(may_be_older) {
            self.cold_until = self.cold_until.max(until);
        } else {
            self.cold_until = until;
            self.assumed_at = None;
        }
    }

    /// Its zone is in service again: it may have turned cold while nothing was sent there, and its row may not tell yet.
    pub fn note_zone_return(&mut self, now: Instant) {
        let Some(warmup) = self.service else {
            return;
        };
        let until = now + warmup.duration.min(LONGEST);
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
        self.assumed_at = Some(now);
    }

    /// It stays cold until then, if it is not for longer already.
    pub fn extend(&mut self, until: Instant) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }

    /// Until when it is cold; `None` if it is taken for warm.
    pub fn cold_until(&self) -> Option<Instant> {
        self.cold_until
    }
}
