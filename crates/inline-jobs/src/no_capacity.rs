//! Where items found no room a moment ago, by service and the regions in which they may run: full replicas hold up the
//! items that only they may run, and no others.

use std::time::Duration;

use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

/// Pause before a place is asked for again where there was none.
const PAUSE: Duration = Duration::from_millis(20);

/// How long items that found no room come after all others. Above two of the longest intervals between starts: older
/// items that are tried in vain would else take every turn.
const DEFERRAL_DURATION: Duration = Duration::from_millis(250);

/// Where there was no room, and when.
#[derive(Debug, Default)]
pub struct NoCapacity {
    entries: Vec<(String, AllowedRegions, Instant)>,
}

impl NoCapacity {
    /// An item of the service that may run in these regions found no room.
    pub fn note(&mut self, service: &str, regions: &AllowedRegions, now: Instant) {
        let is_kept = |entry: &(String, AllowedRegions, Instant)| {
            let is_same = entry.0 == service && entry.1 == *regions;
            !is_same && now.saturating_duration_since(entry.2) < DEFERRAL_DURATION
        };
        self.entries.retain(is_kept);
        self.entries
            .push((service.to_owned(), regions.clone(), now));
    }

    /// True if no place is to be asked for now.
    pub fn is_paused(&self, service: &str, regions: &AllowedRegions, now: Instant) -> bool {
        self.was_noted_within(PAUSE, service, regions, now)
    }

    /// True if other items are to be tried first.
    pub fn is_deferred(&self, service: &str, regions: &AllowedRegions, now: Instant) -> bool {
        self.was_noted_within(DEFERRAL_DURATION, service, regions, now)
    }

    fn was_noted_within(
        &self,
        duration: Duration,
        service: &str,
        regions: &AllowedRegions,
        now: Instant,
    ) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(noted_service, noted_regions, noted_at)| {
            noted_service == service
                && noted_regions == regions
                && now.saturating_duration_since(*noted_at) < duration
        })
    }
}
