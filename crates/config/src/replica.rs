//! A daemon's replica of the configuration, as a pure state machine.
//!
//! Invariants: the revision never falls; every revision adopted is a whole prefix of the log; "fresh" is said
//! only while a proof no older than the bound shows that the revision was the newest.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use harrierward_wire::{ConfigDeltaReply, ConfigLogEntry};

use crate::snapshot::ConfigSnapshot;

/// Log entries kept for peers that are a little behind.
const KEPT_ENTRIES: usize = 256;

/// Time bounds of freshness.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessBounds {
    /// A proof older than this no longer counts: the daemon takes the safe plan.
    pub safe_after: Duration,
    /// With a proof older than this, a daemon asks the table itself.
    pub ask_after: Duration,
    /// How often the members chosen to ask do so.
    pub poll_every: Duration,
}

impl Default for FreshnessBounds {
    fn default() -> Self {
        Self {
            safe_after: Duration::from_secs(8),
            ask_after: Duration::from_secs(3),
            poll_every: Duration::from_secs(1),
        }
    }
}

/// What a heartbeat told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The peer holds a newer revision: pull from it.
    Behind,
    /// Nothing to do.
    Level,
}

/// What became of a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The replica moved forward.
    Adopted,
    /// Nothing newer was in it.
    Unchanged,
    /// It does not connect to what is held: ask for everything.
    Gap,
}

/// That the revision held was the newest `age` before `taken_at`. The two are kept apart since clocks start with their
/// daemons: a proof may be older than the daemon that takes it, and has no time on its clock.
#[derive(Debug, Clone, Copy)]
struct Proof {
    taken_at: Duration,
    age: Duration,
}

impl Proof {
    fn age_at(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.taken_at)
    }
}

/// One daemon's replica. Times are the daemon's own monotonic clock.
#[derive(Debug, Clone)]
pub struct ConfigReplica {
    bounds: FreshnessBounds,
    snapshot: Arc<ConfigSnapshot>,
    recent: VecDeque<ConfigLogEntry>,
    proof: Option<Proof>,
    polled_at: Option<Duration>,
}

impl ConfigReplica {
    /// A replica that knows nothing yet.
    pub fn new(bounds: FreshnessBounds) -> Self {
        Self {
            bounds,
            snapshot: Arc::new(ConfigSnapshot::default()),
            recent: VecDeque::new(),
            proof: None,
            polled_at: None,
        }
    }

    /// The configuration held.
    pub fn snapshot(&self) -> &Arc<ConfigSnapshot> {
        &self.snapshot
    }

    /// Revision held.
    pub fn revision(&self) -> u64 {
        self.snapshot.revision()
    }

    /// Takes a delta or a whole copy, if it leads forward.
    pub fn adopt(&mut self, delta: &ConfigDeltaReply) -> Adoption {
        if delta.revision <= self.revision() {
            return Adoption::Unchanged;
        }
        if delta.whole {
            return self.adopt_whole(delta);
        }
        let mut next = (*self.snapshot).clone();
        let mut taken = Vec::new();
        for entry in &delta.entries {
            if entry.revision <= next.revision() {
                continue;
            }
            let Some(after) = next.after(entry) else {
                return Adoption::Gap;
            };
            next = after;
            taken.push(entry.clone());
        }
        if taken.is_empty() {
            return Adoption::Gap;
        }
        self.recent.extend(taken);
        while self.recent.len() > KEPT_ENTRIES {
            self.recent.pop_front();
        }
        self.snapshot = Arc::new(next);
        Adoption::Adopted
    }

    fn adopt_whole(&mut self, delta: &ConfigDeltaReply) -> Adoption {
        let Some(snapshot) = ConfigSnapshot::from_rows(delta.revision, &delta.objects) else {
            return Adoption::Gap;
        };
        self.recent.clear();
        self.snapshot = Arc::new(snapshot);
        Adoption::Adopted
    }

    /// Changes above `after` for a peer, or everything if they are no longer kept.
    pub fn delta(&self, after: u64) -> ConfigDeltaReply {
        let revision = self.revision();
        if after >= revision {
            return ConfigDeltaReply {
                revision,
                ..ConfigDeltaReply::default()
            };
        }
        let kept = self
            .recent
            .front()
            .is_some_and(|first| first.revision <= after + 1);
        if kept {
            let newer = |entry: &&ConfigLogEntry| entry.revision > after;
            return ConfigDeltaReply {
                entries: self.recent.iter().filter(newer).cloned().collect(),
                revision,
                ..ConfigDeltaReply::default()
            };
        }
        ConfigDeltaReply {
            whole: true,
            objects: self.snapshot.to_rows(),
            revision,
            ..ConfigDeltaReply::default()
        }
    }

    /// Takes a peer's or the table's word that `revision` was the newest `age` ago.
    ///
    /// `age` must count from before the proof was asked for, so that it never flatters.
    pub fn observe(&mut self, now: Duration, revision: u64, age: Option<Duration>) -> Observation {
        if revision > self.revision() {
            return Observation::Behind;
        }
        if let Some(age) = age.filter(|_| revision == self.revision()) {
            let is_newer = self.proof_age(now).is_none_or(|held| age < held);
            if is_newer {
                self.proof = Some(Proof { taken_at: now, age });
            }
        }
        Observation::Level
    }

    /// Age of the newest proof that the revision held is the newest; `None` without one.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.proof.map(|proof| proof.age_at(now))
    }

    /// True while the daemon may act on more than the safe plan.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.proof_age(now)
            .is_some_and(|age| age <= self.bounds.safe_after)
    }

    /// True if the daemon should ask the table now. `chosen` marks the few members of a zone that ask regularly.
    pub fn poll_due(&self, now: Duration, chosen: bool) -> bool {
        let interval = self.bounds.poll_every;
        let lately = self
            .polled_at
            .is_some_and(|polled_at| now.saturating_sub(polled_at) < interval);
        if lately {
            return false;
        }
        let overdue = self
            .proof_age(now)
            .is_none_or(|age| age > self.bounds.ask_after);
        chosen || overdue
    }

    /// Takes note that the table is being asked.
    pub fn polling(&mut self, now: Duration) {
        self.polled_at = Some(now);
    }
}
