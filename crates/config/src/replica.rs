//! A daemon's replica of the configuration, as a pure state machine.
//!
//! Invariants: the revision never decreases; each adopted revision is a full prefix of the log; the replica is fresh
//! only while a proof no older than the bound shows that its revision was the newest.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use harrierward_wire::{ConfigDeltaReply, ConfigLogEntry};

use crate::snapshot::ConfigSnapshot;

/// Log entries kept for deltas to peers.
const MAX_RECENT_ENTRIES: usize = 256;

/// Age limits of freshness proofs.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessBounds {
    /// Maximum age of a proof; without a younger one the daemon's capacity plan lends nothing.
    pub safe_after: Duration,
    /// Age of the proof after which any daemon polls the table.
    pub poll_after: Duration,
    /// Minimum interval between polls of one daemon.
    pub poll_interval: Duration,
}

impl Default for FreshnessBounds {
    fn default() -> Self {
        Self {
            safe_after: Duration::from_secs(8),
            poll_after: Duration::from_secs(3),
            poll_interval: Duration::from_secs(1),
        }
    }
}

/// Result of comparing a reported revision with the replica's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The reported revision is newer: pull it.
    Behind,
    /// The reported revision is not newer.
    UpToDate,
}

/// Result of applying a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The replica moved to a newer revision.
    Adopted,
    /// The delta contains nothing newer.
    Unchanged,
    /// The delta does not follow the replica's revision, or is malformed: request all objects.
    Gap,
}

/// Proof that the replica's revision was the newest `age` before `received_at`. Both are stored, because a proof may be
/// older than the daemon, whose clock starts at zero.
#[derive(Debug, Clone, Copy)]
struct Proof {
    received_at: Duration,
    age: Duration,
}

impl Proof {
    fn age_at(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.received_at)
    }
}

/// One daemon's replica. Times are of the daemon's own monotonic clock.
#[derive(Debug, Clone)]
pub struct ConfigReplica {
    bounds: FreshnessBounds,
    snapshot: Arc<ConfigSnapshot>,
    recent: VecDeque<ConfigLogEntry>,
    proof: Option<Proof>,
    polled_at: Option<Duration>,
}

impl ConfigReplica {
    /// Returns an empty replica at revision 0.
    pub fn new(bounds: FreshnessBounds) -> Self {
        Self {
            bounds,
            snapshot: Arc::new(ConfigSnapshot::default()),
            recent: VecDeque::new(),
            proof: None,
            polled_at: None,
        }
    }

    /// Returns the configuration held.
    pub fn snapshot(&self) -> &Arc<ConfigSnapshot> {
        &self.snapshot
    }

    /// Returns the revision held; 0 if empty.
    pub fn revision(&self) -> u64 {
        self.snapshot.revision()
    }

    /// Applies a delta or a full copy if it is newer.
    pub fn adopt(&mut self, delta: &ConfigDeltaReply) -> Adoption {
        if delta.revision <= self.revision() {
            return Adoption::Unchanged;
        }
        if delta.whole {
            return self.adopt_full(delta);
        }
        let mut next = (*self.snapshot).clone();
        let mut applied = Vec::new();
        for entry in &delta.entries {
            if entry.revision <= next.revision() {
                continue;
            }
            let Some(after) = next.after(entry) else {
                return Adoption::Gap;
            };
            next = after;
            applied.push(entry.clone());
        }
        if applied.is_empty() {
            return Adoption::Gap;
        }
        self.recent.extend(applied);
        while self.recent.len() > MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.snapshot = Arc::new(next);
        Adoption::Adopted
    }

    fn adopt_full(&mut self, delta: &ConfigDeltaReply) -> Adoption {
        let Some(snapshot) = ConfigSnapshot::from_rows(delta.revision, &delta.objects) else {
            return Adoption::Gap;
        };
        self.recent.clear();
        self.snapshot = Arc::new(snapshot);
        Adoption::Adopted
    }

    /// Returns the changes above `after` for a peer, or all objects if those entries are no longer kept.
    pub fn delta(&self, after: u64) -> ConfigDeltaReply {
        let revision = self.revision();
        if after >= revision {
            return ConfigDeltaReply {
                revision,
                ..ConfigDeltaReply::default()
            };
        }
        let is_available = self
            .recent
            .front()
            .is_some_and(|first| first.revision <= after + 1);
        if is_available {
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

    /// Processes a report of a peer or the table that `revision` was the newest `age` ago.
    ///
    /// `age` must count from before the report was requested, so that it is never too small; it is `None` if the report
    /// proves nothing.
    pub fn observe(&mut self, now: Duration, revision: u64, age: Option<Duration>) -> Observation {
        if revision > self.revision() {
            return Observation::Behind;
        }
        if let Some(age) = age.filter(|_| revision == self.revision()) {
            let is_newer = self.proof_age(now).is_none_or(|held| age < held);
            if is_newer {
                self.proof = Some(Proof {
                    received_at: now,
                    age,
                });
            }
        }
        Observation::UpToDate
    }

    /// Returns the age of the newest proof that the revision held is the newest; `None` without one.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.proof.map(|proof| proof.age_at(now))
    }

    /// True while the proof is young enough for capacity to be lent.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.proof_age(now)
            .is_some_and(|age| age <= self.bounds.safe_after)
    }

    /// True if the daemon should poll the table now. `is_poller` marks the few members of a zone that poll regularly.
    pub fn poll_due(&self, now: Duration, is_poller: bool) -> bool {
        let interval = self.bounds.poll_interval;
        let polled_recently = self
            .polled_at
            .is_some_and(|polled_at| now.saturating_sub(polled_at) < interval);
        if polled_recently {
            return false;
        }
        let overdue = self
            .proof_age(now)
            .is_none_or(|age| age > self.bounds.poll_after);
        is_poller || overdue
    }

    /// Records the start of a poll.
    pub fn note_poll(&mut self, now: Duration) {
        self.polled_at = Some(now);
    }
}
