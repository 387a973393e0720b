//! Records where placements found no free slot, so that full replicas only delay the items that depend on them.

use std::time::Duration;

use harrierward_serving::SoftwareVersion;
use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

/// Pause before the next placement attempt at the same replicas.
const PAUSE: Duration = Duration::from_millis(20);

/// How long items are started after all others once a placement failed. More than twice the longest start interval,
/// so that unplaceable older items do not use every start.
const DEFERRAL_DURATION: Duration = Duration::from_millis(250);

/// The replicas that an item may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemReplicas {
    /// Name of the service.
    pub service: String,
    /// Regions in which the item may run.
    pub regions: AllowedRegions,
    /// The only software version that may run it; `None` if any may.
    pub version: Option<SoftwareVersion>,
}

/// Recent failed placements.
#[derive(Debug, Default)]
pub struct NoCapacity {
    entries: Vec<(ItemReplicas, Instant)>,
}

impl NoCapacity {
    /// Records that an item which may use these replicas found no free slot.
    pub fn note(&mut self, replicas: ItemReplicas, now: Instant) {
        self.entries.retain(|(noted, noted_at)| {
            *noted != replicas && now.saturating_duration_since(*noted_at) < DEFERRAL_DURATION
        });
        self.entries.push((replicas, now));
    }

    /// True if no placement is to be attempted now.
    pub fn is_paused(&self, replicas: &ItemReplicas, now: Instant) -> bool {
        self.was_noted_within(PAUSE, replicas, now)
    }

    /// True if other items are to be started first.
    pub fn is_deferred(&self, replicas: &ItemReplicas, now: Instant) -> bool {
        self.was_noted_within(DEFERRAL_DURATION, replicas, now)
    }

    fn was_noted_within(&self, duration: Duration, replicas: &ItemReplicas, now: Instant) -> bool {
        self.entries.iter().any(|(noted, noted_at)| {
            noted == replicas && now.saturating_duration_since(*noted_at) < duration
        })
    }
}
