//! Recent sizes of the fleet, which bound what a coordinator may grant during a partition.

use std::time::Duration;

use tokio::time::Instant;

/// How long departed members keep their share of each limit: they may be partitioned and still serve. Afterwards each
/// side of a partition grants the full limit, as does a fleet that has shrunk.
const RETENTION: Duration = Duration::from_secs(20);

/// A size of the fleet at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of members.
    pub members: usize,
    /// Last time at which the fleet had this size.
    pub at: Instant,
}

/// Sizes of the fleet, observed by this member or reported by others. A new member knows earlier sizes only from
/// reports.
#[derive(Debug)]
pub struct FleetSizes {
    /// Pareto front: no size is both smaller and older than another one.
    sizes: Vec<FleetSize>,
    /// Until when a member without any other in its view is considered partitioned.
    expects_others_until: Instant,
}

impl FleetSizes {
    /// Creates the state of a member that starts at `now`. With `expects_others` it is considered partitioned until
    /// it finds other members or the time for that has elapsed.
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

    /// Records the present number of members, this one included.
    pub fn observe(&mut self, members: usize, now: Instant) {
        if members > 1 {
            self.expects_others_until = now;
        }
        self.merge(FleetSize { members, at: now });
    }

    /// Merges a size that was observed here or reported by another member.
    pub fn merge(&mut self, size: FleetSize) {
        let covers =
            |one: &FleetSize, other: &FleetSize| one.members >= other.members && one.at >= other.at;
        if self.sizes.iter().any(|known| covers(known, &size)) {
            return;
        }
        self.sizes.retain(|known| !covers(&size, known));
        self.sizes.push(size);
    }

    /// Returns the largest recent size, which is reported to other members.
    pub fn largest(&mut self, now: Instant) -> Option<FleetSize> {
        self.sizes
            .retain(|size| now.saturating_duration_since(size.at) <= RETENTION);
        self.sizes.iter().max_by_key(|size| size.members).copied()
    }

    /// Returns the share of each limit that a side with `members` members may grant; 0 while this member, which knows
    /// no others yet, is considered partitioned.
    pub fn share(&mut self, members: usize, now: Instant) -> f64 {
        if now < self.expects_others_until {
            return 0.0;
        }
        // The present size stays valid until another one is observed.
        self.merge(FleetSize { members, at: now });
        let max_members = self.largest(now).map_or(members, |size| size.members);
        #[allow(clippy::cast_precision_loss)]
        let share = members as f64 / max_members.max(1) as f64;
        share
    }
}
