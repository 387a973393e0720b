//! Where items found no room a moment ago, by service and the regions in which they may run: full replicas hold up the
//! items that only they may run, and no others.

use std::time::Duration;

use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

/// Pause before a place is asked for again where there was none.
const PAUSE: Duration = Duration::from_millis(20);

/// How long items that found no room come after all others. Above two of the longest intervals between starts: older
/// items that are tried in vain would else take every turn.
const BEHIND_FOR: Duration = Duration::from_millis(250);

/// Where there was no room, and when.
#[derive(Debug, Default)]
pub struct NoCapacity {
    found: Vec<(String, AllowedRegions, Instant)>,
}

impl NoCapacity {
    /// An item of the service that may run in these regions found no room.
    pub fn note(&mut self, service: &str, regions: &AllowedRegions, now: Instant) {
        let is_kept = |known: &(String, AllowedRegions, Instant)| {
            let is_same = known.0 == service && known.1 == *regions;
            !is_same && now.saturating_duration_since(known.2) < BEHIND_FOR
        };
        self.found.retain(is_kept);
        self.found.push((service.to_owned(), regions.clone(), now));
    }

    /// True if no place is to be asked for now.
    pub fn holds(&self, service: &str, regions: &AllowedRegions, now: Instant) -> bool {
        self.was_within(PAUSE, service, regions, now)
    }

    /// True if other items are to be tried first.
    pub fn is_behind(&self, service: &str, regions: &AllowedRegions, now: Instant) -> bool {
        self.was_within(BEHIND_FOR, service, regions, now)
    }

    fn was_within(
        &self,
        time: Duration,
        service: &str,
        regions: &AllowedRegions,
        now: Instant,
    ) -> bool {
        let mut found = self.found.iter();
        found.any(|(of, known, at)| {
            of == service && known == regions && now.saturating_duration_since(*at) < time
        })
    }
}
