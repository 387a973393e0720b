//! How many members the fleet had lately, for all that is given out by their number: tenants' rates, and what cold
//! replicas bear.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_tenants::{FleetSize, FleetSizes};
use tokio::time::Instant;

/// The memory, shared by those who give out.
#[derive(Debug)]
pub struct SharedFleet {
    memory: Mutex<FleetSizes>,
}

impl SharedFleet {
    /// A daemon that starts now. One that `expects_others` gives out nothing until it has found them, or has looked for
    /// long.
    pub fn new(expects_others: bool) -> Self {
        Self {
            memory: Mutex::new(FleetSizes::new(expects_others, harrierward_clock::now())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetSizes> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// So many members, this one among them, are known now.
    pub fn see(&self, members: usize, now: Instant) {
        self.lock().observe(members, now);
    }

    /// Part of each limit that members may give out which see `members` now, 0 to 1.
    pub fn share(&self, members: usize, now: Instant) -> f64 {
        self.lock().share(members, now)
    }

    /// Takes what another member saw, as a datagram carries it. Returns false if that cannot be placed in time.
    pub fn take(&self, members: u32, seen_ms_ago: u32) -> bool {
        let ago = Duration::from_millis(u64::from(seen_ms_ago));
        let members = usize::try_from(members).unwrap_or_default();
        let Some(at) = harrierward_clock::now().checked_sub(ago) else {
            return false;
        };
        self.lock().merge(FleetSize { members, at });
        true
    }

    /// The largest size that is not forgotten, and the time since then in milliseconds, as datagrams carry them.
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
