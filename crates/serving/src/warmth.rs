//! Warmup state of a replica, derived from its rows in the store and from the end of its zone's evacuation.

use std::time::Duration;

use tokio::time::Instant;

use crate::configuration::Warmup;

/// Maximum delay between a change of a replica and the row that shows it: a heartbeat interval, and as much again for
/// a row that is written late. An earlier row may have been written before the change.
const ROW_LAG: Duration = Duration::from_millis(2_400);

/// Maximum warmup accepted from a row or configuration, which could otherwise overflow the clock.
const MAX_WARMUP: Duration = Duration::from_secs(3_600);

/// Time until which a replica is cold; callers pass the current time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Warmth {
    service: Option<Warmup>,
    cold_until: Option<Instant>,
    /// Time at which the replica was last assumed cold without a row that states so.
    assumed_at: Option<Instant>,
}

impl Warmth {
    /// Returns the warmup of its service; `None` if none is needed.
    pub fn service(&self) -> Option<Warmup> {
        self.service
    }

    /// Sets the warmup that the configuration defines for its service.
    pub fn set_service(&mut self, warmup: Option<Warmup>) {
        self.service = warmup;
    }

    /// Applies a row that states the `remaining` warmup, zero if the replica is warm. It counts from `seen_at`, so a
    /// delayed row only prolongs it. Shortly after an assumption a row can't shorten it, since it may be older.
    pub fn apply_row(&mut self, remaining: Duration, seen_at: Instant) {
        let until = (!remaining.is_zero()).then(|| seen_at + remaining.min(MAX_WARMUP));
        let may_be_older = |assumed: Instant| seen_at < assumed + ROW_LAG;
        if self.assumed_at.is_some_and(may_be_older) {
            self.cold_until = self.cold_until.max(until);
        } else {
            self.cold_until = until;
            self.assumed_at = None;
        }
    }

    /// Assumes the replica cold after its zone's evacuation, during which it may have cooled without a row that shows
    /// it.
    pub fn note_zone_return(&mut self, now: Instant) {
        let Some(warmup) = self.service else {
            return;
        };
        let until = now + warmup.duration.min(MAX_WARMUP);
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
        self.assumed_at = Some(now);
    }

    /// Extends the warmup to `until`, if it doesn't last longer already.
    pub fn extend(&mut self, until: Instant) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }

    /// Returns the end of the warmup, which may have passed; `None` if the replica is considered warm.
    pub fn cold_until(&self) -> Option<Instant> {
        self.cold_until
    }
}
