//! Consecutive attempts of an item that brought no event. They distinguish an item that can't be done from one that
//! waits for free slots.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{RefusalScope, Replica, ReplicaRefusal};
use tokio::time::Instant;

/// Pause after the first fruitless attempt; it doubles with each further one, [`MAX_DOUBLINGS`] times at most.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const MAX_DOUBLINGS: u32 = 6;

/// By how much later an item counts as accepted for each fruitless attempt, so that others go first, and those behind
/// it in a burst too.
const DEMOTION: Duration = Duration::from_secs(2);

/// Broken runs in a row that are put down to the replicas, and neither demote an item nor lengthen its pause.
const EXCUSED_BROKEN_RUNS: u32 = 2;

/// Replicas that refused the item last and aren't asked again while others may be.
const MAX_EXCLUDED: usize = 2;

/// Replicas that must refuse an item before it is considered impossible, unless its service has fewer.
const MIN_REFUSING_REPLICAS: usize = 3;

/// Time for which an item must have been refused before it is considered impossible.
const MIN_REFUSED_TIME: Duration = Duration::from_secs(5);

/// Broken runs without an event after which an item is considered impossible.
const MAX_BROKEN_RUNS: u32 = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RefusingReplica {
    refusal: ReplicaRefusal,
    /// True if it admitted other work shortly before, so that it probably wasn't full.
    was_admitting: bool,
}

impl RefusingReplica {
    /// True if the replica refused this item and not others like it.
    fn refused_it_alone(&self, replica: &Replica) -> bool {
        let is_certain = self.refusal.scope == RefusalScope::Request;
        let admits_others = self.was_admitting && replica.has_admitted_since(self.refusal.at);
        is_certain || admits_others
    }
}

/// Attempts of one item since it last received an event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FruitlessAttempts {
    count: u32,
    broken_runs: u32,
    first_refused_at: Option<Instant>,
    /// Distinct replicas that refused the item, the latest last.
    refusing: Vec<RefusingReplica>,
}

impl FruitlessAttempts {
    /// Records that a replica refused the item although it may have had room.
    pub fn note_refused(&mut self, replica: &Replica, refusal: ReplicaRefusal) {
        self.count += 1;
        self.first_refused_at.get_or_insert(refusal.at);
        self.refusing
            .retain(|one| one.refusal.replica != replica.hash);
        if self.refusing.len() == MIN_REFUSING_REPLICAS {
            self.refusing.remove(0);
        }
        self.refusing.push(RefusingReplica {
            refusal,
            was_admitting: replica.is_admitting(),
        });
    }

    /// Records that a replica admitted the item, and the run broke without an event.
    pub fn note_broken(&mut self) {
        self.count += 1;
        self.broken_runs += 1;
        self.first_refused_at = None;
        self.refusing.clear();
    }

    /// Forgets all attempts, since an event was received.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the pause before the next attempt.
    pub fn pause(&self) -> Duration {
        FIRST_PAUSE * (1 << self.setbacks().saturating_sub(1).min(MAX_DOUBLINGS))
    }

    /// Returns by how much later than its job the item counts as accepted in the order of starts.
    pub fn demotion(&self) -> Duration {
        DEMOTION * self.setbacks()
    }

    /// Returns the number of attempts that may have failed because of the item.
    fn setbacks(&self) -> u32 {
        self.count - self.broken_runs.min(EXCUSED_BROKEN_RUNS)
    }

    /// Returns the number of attempts.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the number of runs among them that broke.
    pub fn broken_runs(&self) -> u32 {
        self.broken_runs
    }

    /// Returns the refusals by other replicas than this one.
    pub fn refusals_except(&self, replica: u32) -> Vec<ReplicaRefusal> {
        let refusals = self.refusing.iter().map(|one| one.refusal);
        refusals.filter(|one| one.replica != replica).collect()
    }

    /// True if no replica has refused the item since the last one admitted it.
    pub fn is_unrefused(&self) -> bool {
        self.refusing.is_empty()
    }

    /// Returns the ids of the replicas that are not to be asked next; never all of `usable`.
    pub fn excluded(&self, usable: &[Arc<Replica>]) -> Vec<String> {
        let refusing = self.refusing.iter().rev();
        let refusing = refusing.filter_map(|one| find(usable, one.refusal.replica));
        let count = usable.len().saturating_sub(1).min(MAX_EXCLUDED);
        let excluded = refusing.take(count);
        excluded.map(|replica| replica.record.id.clone()).collect()
    }

    /// True if enough of the `usable` replicas refused the item for itself, or while they admitted other work, before and
    /// since.
    pub fn is_refused_alone(&self, usable: &[Arc<Replica>]) -> bool {
        let confirmed = self.refusing.iter().filter(|one| {
            let replica = find(usable, one.refusal.replica);
            replica.is_some_and(|replica| one.refused_it_alone(replica))
        });
        confirmed.count() >= needed(usable)
    }

    /// True if so many runs broke without an event that no other end is to be expected.
    pub fn breaks_each_time(&self) -> bool {
        self.broken_runs >= MAX_BROKEN_RUNS
    }

    /// True if enough of the `usable` replicas have refused the item for a time in which full ones would have had a slot.
    pub fn is_refused_for_long(&self, usable: &[Arc<Replica>], now: Instant) -> bool {
        let refusing = self.refusing.iter();
        let refusing = refusing.filter(|one| find(usable, one.refusal.replica).is_some());
        self.is_lasting(now) && refusing.count() >= needed(usable)
    }

    /// As [`Self::is_refused_alone`], and for some time.
    pub fn is_refused_alone_for_long(&self, usable: &[Arc<Replica>], now: Instant) -> bool {
        self.is_lasting(now) && self.is_refused_alone(usable)
    }

    fn is_lasting(&self, now: Instant) -> bool {
        let first = self.first_refused_at;
        first.is_some_and(|at| now.saturating_duration_since(at) >= MIN_REFUSED_TIME)
    }
}

fn find(replicas: &[Arc<Replica>], hash: u32) -> Option<&Arc<Replica>> {
    replicas.iter().find(|replica| replica.hash == hash)
}

fn needed(usable: &[Arc<Replica>]) -> usize {
    usable.len().clamp(1, MIN_REFUSING_REPLICAS)
}
