//! Zones that an operator has taken out of service, as one daemon knows them: pure, and the same for all daemons that
//! have heard the same, in whatever order.
//!
//! A zone is evacuated by a row and comes back when the row goes. What is known of a zone is the revision of its newest
//! row and whether that row is gone, so news from the store and from peers can be merged without asking who was first:
//! a row that is gone stays gone, and only a newer one evacuates the zone again.

use std::collections::{BTreeMap, HashSet};

use tokio::time::Instant;

/// Most zones of which something is kept: far above the number that a fleet has, so that rows with made-up names cannot
/// fill the notices between daemons.
const MOST_ZONES: usize = 64;

/// What is known of a zone's evacuation. A greater mark is the newer knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvacuationState {
    /// Revision at which the row was written.
    pub revision: u64,
    /// That row is gone: the zone is back in service.
    pub is_over: bool,
}

/// What somebody knows of all zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// Revision at which all rows were read together: an older row that is not named here is gone. 0 if never.
    pub complete_at: u64,
    /// Zones by name.
    pub zones: BTreeMap<String, EvacuationState>,
}

/// A zone went out of service, or came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// Zone.
    pub zone: String,
    /// Revision of the row that was written, or that is gone.
    pub revision: u64,
    /// It takes nothing from now on; otherwise it is back.
    pub is_evacuated: bool,
}

#[derive(Debug, Clone, Copy)]
struct KnownZone {
    mark: EvacuationState,
    learned_at: Instant,
    returned_at: Option<Instant>,
}

/// The zones, with what is known of each; nothing goes back.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedZones {
    complete_at: u64,
    zones: BTreeMap<String, KnownZone>,
}

impl EvacuatedZones {
    /// Takes what somebody else knows; tells what changes here.
    pub fn merge(&mut self, news: &EvacuationUpdate, now: Instant) -> Vec<ZoneChange> {
        let mut changes = self.end_those_missing(news, now);
        for (zone, mark) in &news.zones {
            changes.extend(self.raise(zone, self.judged(zone, *mark), now));
        }
        self.complete_at = self.complete_at.max(news.complete_at);
        changes
    }

    /// Rows that the news should name and does not are gone.
    fn end_those_missing(&mut self, news: &EvacuationUpdate, now: Instant) -> Vec<ZoneChange> {
        let is_missing = |zone: &String, mark: EvacuationState| {
            let told = news.zones.get(zone);
            !mark.is_over
                && mark.revision <= news.complete_at
                && told.is_none_or(|told| told.revision < mark.revision)
        };
        let missing: Vec<(String, EvacuationState)> = self
            .zones
            .iter()
            .filter(|(zone, known)| is_missing(zone, known.mark))
            .map(|(zone, known)| (zone.clone(), known.mark))
            .collect();
        let ended = missing.into_iter().filter_map(|(zone, mark)| {
            let over = EvacuationState {
                is_over: true,
                ..mark
            };
            self.raise(&zone, over, now)
        });
        ended.collect()
    }

    /// A mark in the light of what was read here: an older row that was not there then is gone.
    fn judged(&self, zone: &str, mark: EvacuationState) -> EvacuationState {
        let known = self.zones.get(zone).map_or(0, |known| known.mark.revision);
        let was_gone = mark.revision <= self.complete_at && known < mark.revision;
        EvacuationState {
            is_over: mark.is_over || was_gone,
            ..mark
        }
    }

    fn raise(&mut self, zone: &str, mark: EvacuationState, now: Instant) -> Option<ZoneChange> {
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|known| known.mark >= mark) {
            return None;
        }
        if known.is_none() && !self.has_room() {
            return None;
        }
        let was_evacuated = known.is_some_and(|known| !known.mark.is_over);
        // Of an evacuation that was over before this daemon knew anything nobody needs the end.
        let ends_now = mark.is_over && (was_evacuated || self.complete_at > 0);
        let entry = KnownZone {
            mark,
            learned_at: now,
            returned_at: ends_now
                .then_some(now)
                .or_else(|| known.and_then(|known| known.returned_at)),
        };
        self.zones.insert(zone.to_owned(), entry);
        let is_evacuated = !mark.is_over;
        (is_evacuated != was_evacuated).then(|| ZoneChange {
            zone: zone.to_owned(),
            revision: mark.revision,
            is_evacuated,
        })
    }

    /// True if a further zone may be kept; the oldest one that is over gives way.
    fn has_room(&mut self) -> bool {
        if self.zones.len() < MOST_ZONES {
            return true;
        }
        let over = self.zones.iter().filter(|(_, known)| known.mark.is_over);
        let oldest = over.min_by_key(|(_, known)| known.mark.revision);
        let Some(oldest) = oldest.map(|(zone, _)| zone.clone()) else {
            return false;
        };
        self.zones.remove(&oldest);
        true
    }

    /// All that is known, for others.
    pub fn to_update(&self) -> EvacuationUpdate {
        let zones = self.zones.iter();
        EvacuationUpdate {
            complete_at: self.complete_at,
            zones: zones
                .map(|(zone, known)| (zone.clone(), known.mark))
                .collect(),
        }
    }

    /// True if something is kept of the zone; a row of one that found no room is not in force.
    pub fn is_tracked(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// True if the zone takes nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|known| !known.mark.is_over)
    }

    /// Names of the zones that take nothing.
    pub fn evacuated(&self) -> HashSet<String> {
        let zones = self.zones.iter();
        let evacuated = zones.filter(|(_, known)| !known.mark.is_over);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// When this daemon learned of the zone's present state.
    pub fn learned_at(&self, zone: &str) -> Option<Instant> {
        self.zones.get(zone).map(|known| known.learned_at)
    }

    /// When this daemon learned that the zone's last evacuation was over: its replicas may be cold from then on. `None`
    /// if there was none, or if it was over before this daemon knew anything.
    pub fn returned_at(&self, zone: &str) -> Option<Instant> {
        self.zones.get(zone).and_then(|known| known.returned_at)
    }
}

/// The store's rows of evacuations, as one daemon has read them.
#[derive(Debug, Clone, Default)]
pub struct EvacuationRows {
    /// Revision of each zone's row.
    rows: BTreeMap<String, u64>,
}

impl EvacuationRows {
    /// Takes rows that were written, then those that are gone. `complete_at` is the revision of a read of all rows, if
    /// this follows from one. Gives what the store has told by that.
    pub fn apply(
        &mut self,
        written: Vec<(String, u64)>,
        gone: &[String],
        complete_at: Option<u64>,
    ) -> EvacuationUpdate {
        let mut zones = BTreeMap::new();
        for (zone, revision) in written {
            self.rows.insert(zone.clone(), revision);
            zones.insert(zone, in_force(revision));
        }
        for zone in gone {
            let Some(revision) = self.rows.remove(zone) else {
                continue;
            };
            let is_over = true;
            zones.insert(zone.clone(), EvacuationState { revision, is_over });
        }
        if complete_at.is_some() {
            let standing = self.rows.iter();
            zones.extend(standing.map(|(zone, revision)| (zone.clone(), in_force(*revision))));
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
