//! Which software versions each service had, as this daemon saw them listed.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::origin::SoftwareVersion;

/// Age of the list's proof, or time without an observation, from which the list may have lacked a version meanwhile.
/// Audits prove it about every 0.4 s in small fleets and every 2 s in large ones.
const MAX_PROOF_AGE: Duration = Duration::from_secs(4);

/// Maximum number of versions kept for a service.
const MAX_VERSIONS: usize = 32;

/// A version of a service's replicas, and when one of them was last listed.
#[derive(Debug, Clone, Copy)]
struct ListedVersion {
    version: SoftwareVersion,
    last_listed: Instant,
}

/// Versions of all services over time.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<u32, Vec<ListedVersion>>,
    /// Since when every version that was listed is known; `None` while the list is unproven.
    complete_since: Option<Instant>,
    observed_at: Option<Instant>,
}

impl VersionHistory {
    /// Records the versions listed now. `proof_age` is the age of the proof that the list is complete; `None` without
    /// one.
    pub fn observe(
        &mut self,
        listed: impl Iterator<Item = (u32, SoftwareVersion)>,
        proof_age: Option<Duration>,
        now: Instant,
    ) {
        for (service, version) in listed {
            note_listed(self.services.entry(service).or_default(), version, now);
        }
        let is_proven = proof_age.is_some_and(|age| age <= MAX_PROOF_AGE);
        let since_last = self.observed_at.map(|at| now.saturating_duration_since(at));
        let has_missed_none = since_last.is_some_and(|since| since <= MAX_PROOF_AGE);
        if !is_proven || !has_missed_none {
            self.complete_since = None;
        }
        if is_proven {
            self.complete_since.get_or_insert(now);
        }
        self.observed_at = Some(now);
    }

    /// Returns the versions of a service that were listed at some time in the last `window`.
    pub fn versions(&self, service: u32, window: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let versions = self.services.get(&service).map_or(&[][..], Vec::as_slice);
        let recent = versions
            .iter()
            .filter(|one| now.saturating_duration_since(one.last_listed) <= window + MAX_PROOF_AGE);
        recent.map(|one| one.version).collect()
    }

    /// True if all versions listed in the last `window` are known.
    pub fn covers(&self, window: Duration, now: Instant) -> bool {
        let observed = self.observed_at;
        let is_current =
            observed.is_some_and(|at| now.saturating_duration_since(at) <= MAX_PROOF_AGE);
        let since = self.complete_since;
        is_current && since.is_some_and(|since| now.saturating_duration_since(since) >= window)
    }
}

fn note_listed(versions: &mut Vec<ListedVersion>, version: SoftwareVersion, now: Instant) {
    if let Some(known) = versions.iter_mut().find(|one| one.version == version) {
        known.last_listed = now;
        return;
    }
    if versions.len() >= MAX_VERSIONS {
        // The one that was listed longest ago; a service never has this many within one window.
        let oldest = (0..versions.len()).min_by_key(|position| versions[*position].last_listed);
        oldest.map(|oldest| versions.swap_remove(oldest));
    }
    versions.push(ListedVersion {
        version,
        last_listed: now,
    });
}
