//! Recent fleet size, by which tenants' rates and cold replicas' request rates are divided among the daemons.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_tenants::{FleetSize, FleetSizes};
use tokio::time::Instant;

/// Recently observed fleet sizes, shared by the rate and slot services.
#[derive(Debug)]
pub struct SharedFleet {
    sizes: Mutex<FleetSizes>,
}

impl SharedFleet {
    /// Starts with no observation. With `expects_others` the share stays 0 until other members are found or the search
    /// times out.
    pub fn new(expects_others: bool) -> Self {
        Self {
            sizes: Mutex::new(FleetSizes::new(expects_others, harrierward_clock::now())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetSizes> {
        self.sizes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the current number of members, this daemon included.
    pub fn observe(&self, members: usize, now: Instant) {
        self.lock().observe(members, now);
    }

    /// Returns the share (0 to 1) of each limit that a side of a partition with `members` members may grant.
    pub fn share(&self, members: usize, now: Instant) -> f64 {
        self.lock().share(members, now)
    }

    /// Merges a size reported by another member. Returns false if `seen_ms_ago` lies before the start of the clock.
    pub fn merge_report(&self, members: u32, seen_ms_ago: u32) -> bool {
        let ago = Duration::from_millis(u64::from(seen_ms_ago));
        let members = usize::try_from(members).unwrap_or_default();
        let Some(at) = harrierward_clock::now().checked_sub(ago) else {
            return false;
        };
        self.lock().merge(FleetSize { members, at });
        true
    }

    /// Returns the largest unexpired size and its age in milliseconds, in the form sent in datagrams; zeros if none.
    pub fn describe(&self, now: Instant) -> (u32, u32) {
        let Some(seen) = self.lock().largest(now) else {
            return (0, 0);
        };
        let ago = now.saturating_duration_since(seen.at).as_millis();
        (
            u32::try_from(seen.members).unwrap_or(u32::MAX),
            u32::try_from(ago).unwrap_or(u32::MAX),
        )
    }
}
