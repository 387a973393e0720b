//! How many members the fleet had lately: what a coordinator that sees fewer of them may give out.

use std::time::Duration;

use tokio::time::Instant;

/// How long members that are departed keep their share of each limit. They may be cut off and serve on, and each side of a
/// cut would else give out the whole limit. After this time they count as lost, so that a fleet that really shrank has
/// its limits again; a cut that lasts longer lets each side give out the whole.
const RETENTION: Duration = Duration::from_secs(20);

/// A size that the fleet had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Members.
    pub members: usize,
    /// Last moment at which it had them.
    pub at: Instant,
}

/// The sizes of the fleet as one member saw them, or was told of them by others. A member that has just started knows
/// of members that were cut off before only what others tell it.
#[derive(Debug)]
pub struct FleetSizes {
    /// No size is smaller and seen earlier than another one.
    sizes: Vec<FleetSize>,
    /// Until when a member that has seen no other one takes itself for cut off.
    expects_others_until: Instant,
}

impl FleetSizes {
    /// A member that starts at `now`. One that `expects_others` and does not find them may have started behind a cut.
    pub fn new(expects_others: bool, now: Instant) -> Self {
        let timeout = if expects_others {
            RETENTION
        } else {
            Duration::ZERO
        };
        Self {
            sizes: Vec::new(),
            expects_others_until: now + timeout,
        }
    }

    /// So many members, this one among them, are known now.
    pub fn observe(&mut self, members: usize, now: Instant) {
        if members > 1 {
            self.expects_others_until = now;
        }
        self.merge(FleetSize { members, at: now });
    }

    /// Takes what this member saw, or another one told.
    pub fn merge(&mut self, seen: FleetSize) {
        let covers =
            |one: &FleetSize, other: &FleetSize| one.members >= other.members && one.at >= other.at;
        if self.sizes.iter().any(|known| covers(known, &seen)) {
            return;
        }
        self.sizes.retain(|known| !covers(&seen, known));
        self.sizes.push(seen);
    }

    /// The largest size that is not forgotten, to be told to others.
    pub fn largest(&mut self, now: Instant) -> Option<FleetSize> {
        self.sizes
            .retain(|seen| now.saturating_duration_since(seen.at) <= RETENTION);
        self.sizes.iter().max_by_key(|seen| seen.members).copied()
    }

    /// Part of each limit that members may give out which see `members` now: 0 for one that cannot tell yet.
    pub fn share(&mut self, members: usize, now: Instant) -> f64 {
        if now < self.expects_others_until {
            return 0.0;
        }
        // The present size holds until another one is seen.
        self.merge(FleetSize { members, at: now });
        let most = self.largest(now).map_or(members, |seen| seen.members);
        #[allow(clippy::cast_precision_loss)]
        let share = members as f64 / most.max(1) as f64;
        share
    }
}
