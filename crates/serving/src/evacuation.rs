//! Evacuated zones as one daemon knows them: a state that converges on all daemons whatever the order of updates.
//!
//! A zone is evacuated by a row in the store and returns to service when the row is removed. Per zone the revision of
//! the newest row and whether it was removed are kept, so updates from the store and from peers merge without
//! conflicts.

use std::collections::{BTreeMap, HashSet};

use tokio::time::Instant;

/// Maximum number of zones tracked; bounds the size of notices between daemons.
const MAX_ZONES: usize = 64;

/// State of a zone's evacuation, ordered from older to newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvacuationState {
    /// Revision at which the row was written.
    pub revision: u64,
    /// True if that row was removed: the zone is back in service.
    pub is_over: bool,
}

/// Evacuation states to merge, from the store or from a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// Revision of a full read of the rows: rows up to it that are missing here were removed. 0 without a full read.
    pub complete_at: u64,
    /// States by zone name.
    pub zones: BTreeMap<String, EvacuationState>,
}

/// Change of a zone's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// Name of the zone.
    pub zone: String,
    /// Revision of the row that was written or removed.
    pub revision: u64,
    /// True if the zone went out of service, false if it returned.
    pub is_evacuated: bool,
}

#[derive(Debug, Clone, Copy)]
struct KnownZone {
    state: EvacuationState,
    learned_at: Instant,
    returned_at: Option<Instant>,
}

/// Merged state of all zones; never reverts to an older state.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedZones {
    complete_at: u64,
    zones: BTreeMap<String, KnownZone>,
}

impl EvacuatedZones {
    /// Merges an update; returns the resulting changes.
    pub fn merge(&mut self, update: &EvacuationUpdate, now: Instant) -> Vec<ZoneChange> {
        let mut changes = self.end_missing(update, now);
        for (zone, state) in &update.zones {
            changes.extend(self.advance(zone, self.reconcile(zone, *state), now));
        }
        self.complete_at = self.complete_at.max(update.complete_at);
        changes
    }

    /// Ends evacuations whose rows the full read no longer contains.
    fn end_missing(&mut self, update: &EvacuationUpdate, now: Instant) -> Vec<ZoneChange> {
        let is_missing = |zone: &String, state: EvacuationState| {
            let reported = update.zones.get(zone);
            !state.is_over
                && state.revision <= update.complete_at
                && reported.is_none_or(|reported| reported.revision < state.revision)
        };
        let missing: Vec<(String, EvacuationState)> = self
            .zones
            .iter()
            .filter(|(zone, known)| is_missing(zone, known.state))
            .map(|(zone, known)| (zone.clone(), known.state))
            .collect();
        let ended = missing.into_iter().filter_map(|(zone, state)| {
            let over = EvacuationState {
                is_over: true,
                ..state
            };
            self.advance(&zone, over, now)
        });
        ended.collect()
    }

    /// Marks a row as removed if the last full read did not contain it.
    fn reconcile(&self, zone: &str, state: EvacuationState) -> EvacuationState {
        let known = self.zones.get(zone).map_or(0, |known| known.state.revision);
        let was_removed = state.revision <= self.complete_at && known < state.revision;
        EvacuationState {
            is_over: state.is_over || was_removed,
            ..state
        }
    }

    fn advance(&mut self, zone: &str, state: EvacuationState, now: Instant) -> Option<ZoneChange> {
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|known| known.state >= state) {
            return None;
        }
        if known.is_none() && !self.has_capacity() {
            return None;
        }
        let was_evacuated = known.is_some_and(|known| !known.state.is_over);
        // The return time is set only if the evacuation, or any full read, was known here before.
        let ends_now = state.is_over && (was_evacuated || self.complete_at > 0);
        let entry = KnownZone {
            state,
            learned_at: now,
            returned_at: ends_now
                .then_some(now)
                .or_else(|| known.and_then(|known| known.returned_at)),
        };
        self.zones.insert(zone.to_owned(), entry);
        let is_evacuated = !state.is_over;
        (is_evacuated != was_evacuated).then(|| ZoneChange {
            zone: zone.to_owned(),
            revision: state.revision,
            is_evacuated,
        })
    }

    /// True if a further zone can be tracked; evicts the oldest zone that is back in service.
    fn has_capacity(&mut self) -> bool {
        if self.zones.len() < MAX_ZONES {
            return true;
        }
        let over = self.zones.iter().filter(|(_, known)| known.state.is_over);
        let oldest = over.min_by_key(|(_, known)| known.state.revision);
        let Some(oldest) = oldest.map(|(zone, _)| zone.clone()) else {
            return false;
        };
        self.zones.remove(&oldest);
        true
    }

    /// Returns the full state, to be sent to peers.
    pub fn to_update(&self) -> EvacuationUpdate {
        let zones = self.zones.iter();
        EvacuationUpdate {
            complete_at: self.complete_at,
            zones: zones
                .map(|(zone, known)| (zone.clone(), known.state))
                .collect(),
        }
    }

    /// True if a state of the zone is tracked; a row that exceeded the limit is not in force.
    pub fn is_tracked(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// True if the zone is out of service.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|known| !known.state.is_over)
    }

    /// Returns the names of the zones that are out of service.
    pub fn evacuated(&self) -> HashSet<String> {
        let zones = self.zones.iter();
        let evacuated = zones.filter(|(_, known)| !known.state.is_over);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns when this daemon learned the zone's current state; `None` if none is tracked.
    pub fn learned_at(&self, zone: &str) -> Option<Instant> {
        self.zones.get(zone).map(|known| known.learned_at)
    }

    /// Returns when this daemon learned that the zone's last evacuation was over, since when its replicas may be
    /// cold. `None` if none ended while this daemon ran.
    pub fn returned_at(&self, zone: &str) -> Option<Instant> {
        self.zones.get(zone).and_then(|known| known.returned_at)
    }
}

/// Evacuation rows of the store, as last read by this daemon.
#[derive(Debug, Clone, Default)]
pub struct EvacuationRows {
    /// Revisions by zone.
    rows: BTreeMap<String, u64>,
}

impl EvacuationRows {
    /// Applies written rows, then removed ones. `complete_at` is the revision if this follows a full read. Returns
    /// the update to merge.
    pub fn apply(
        &mut self,
        written: Vec<(String, u64)>,
        removed: &[String],
        complete_at: Option<u64>,
    ) -> EvacuationUpdate {
        let mut zones = BTreeMap::new();
        for (zone, revision) in written {
            self.rows.insert(zone.clone(), revision);
            zones.insert(zone, in_force(revision));
        }
        for zone in removed {
            let Some(revision) = self.rows.remove(zone) else {
                continue;
            };
            let is_over = true;
            zones.insert(zone.clone(), EvacuationState { revision, is_over });
        }
        if complete_at.is_some() {
            let current = self.rows.iter();
            zones.extend(current.map(|(zone, revision)| (zone.clone(), in_force(*revision))));
        }
        EvacuationUpdate {
            complete_at: complete_at.unwrap_or_default(),
            zones,
        }
    }
}

fn in_force(revision: u64) -> EvacuationState {
    EvacuationState {
        revision,
        is_over: false,
    }
}
