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

#[derive(Debug)]
struct FailedPlacement {
    replicas: ItemReplicas,
    /// Size from which items find no slot; 0 if none does.
    min_tokens: u64,
    at: Instant,
}

/// Recent failed placements.
#[derive(Debug, Default)]
pub struct NoCapacity {
    failed: Vec<FailedPlacement>,
}

impl NoCapacity {
    /// Records that an item which may use these replicas found no free slot, and that others of at least `min_tokens`
    /// wouldn't either.
    pub fn note(&mut self, replicas: ItemReplicas, min_tokens: u64, now: Instant) {
        self.failed.retain(|one| {
            let is_same = one.replicas == replicas && one.min_tokens == min_tokens;
            !is_same && now.saturating_duration_since(one.at) < DEFERRAL_DURATION
        });
        self.failed.push(FailedPlacement {
            replicas,
            min_tokens,
            at: now,
        });
    }

    /// True if no placement of an item of this size is to be attempted now.
    pub fn is_paused(&self, replicas: &ItemReplicas, tokens: u64, now: Instant) -> bool {
        self.was_noted_within(PAUSE, replicas, tokens, now)
    }

    /// True if other items are to be started before one of this size.
    pub fn is_deferred(&self, replicas: &ItemReplicas, tokens: u64, now: Instant) -> bool {
        self.was_noted_within(DEFERRAL_DURATION, replicas, tokens, now)
    }

    fn was_noted_within(
        &self,
        duration: Duration,
        replicas: &ItemReplicas,
        tokens: u64,
        now: Instant,
    ) -> bool {
        self.failed.iter().any(|one| {
            let concerns_item = one.replicas == *replicas && tokens >= one.min_tokens;
            concerns_item && now.saturating_duration_since(one.at) < duration
        })
    }
}
