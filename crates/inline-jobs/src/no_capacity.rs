//! Records where placements found no free slot, by service and allowed regions, so that full replicas only delay the
//! items that depend on them.

use std::time::Duration;

use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

/// Pause before the next placement attempt at the same service and regions.
const PAUSE: Duration = Duration::from_millis(20);

/// How long items are started after all others once a placement failed. More than twice the longest start interval,
/// so that unplaceable older items do not use every start.
const DEFERRAL_DURATION: Duration = Duration::from_millis(250);

/// Recent failed placements.
#[derive(Debug, Default)]
pub struct NoCapacity {
    entries: Vec<(String, AllowedRegions, Instant)>,
}

impl NoCapacity {
    /// Records that an item of the service, allowed in these regions, found no free slot.
    pub fn note(&mut self, service: &str, regions: &AllowedRegions, now: Instant) {
        let is_kept = |entry: &(String, AllowedRegions, Instant)| {
            let is_same = entry.0 == service && entry.1 == *regions;
            !is_same && now.saturating_duration_since(entry.2) < DEFERRAL_DURATION
        };
        self.entries.retain(is_kept);
        self.entries
            .push((service.to_owned(), regions.clone(), now));
    }

    /// True if no placement is to be attempted now.
    pub fn is_paused(&self, service: &str, regions: &AllowedRegions, now: Instant) -> bool {
        self.was_noted_within(PAUSE, service, regions, now)
    }

    /// True if other items are to be started first.
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
