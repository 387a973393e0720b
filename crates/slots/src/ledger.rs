//! The places of all other daemons at the replicas that this one keeps.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use harrierward_wire::{HeldPlace, SlotWord};
use tokio::time::Instant;

/// How long a holder's places are believed after its last word.
const HOLDER_LIFETIME: Duration = Duration::from_millis(2_500);

/// How long an item that was told to end may go on before its place counts again: the order may have been lost.
const END_PATIENCE: Duration = Duration::from_millis(400);

/// What a place is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceUse {
    /// A caller waits.
    Online,
    /// A batch item, which must run again at `due` if it is ended now.
    Batch {
        /// When it must run again.
        due: Instant,
    },
}

impl PlaceUse {
    /// For an item: how long it may rest if it is ended now.
    pub fn slack(&self, now: Instant) -> Option<Duration> {
        match self {
            Self::Online => None,
            Self::Batch { due } => Some(due.saturating_duration_since(now)),
        }
    }

    fn of(held: &HeldPlace, now: Instant) -> Self {
        if held.batch {
            let due = now + Duration::from_millis(u64::from(held.slack_ms));
            Self::Batch { due }
        } else {
            Self::Online
        }
    }
}

/// Places at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceCounts {
    /// Online requests.
    pub online: u32,
    /// Batch items that were not told to end.
    pub batch: u32,
}

/// An item that shall end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedPlace {
    /// Where its holder is.
    pub holder: SocketAddr,
    /// Its number there.
    pub place: u32,
    /// How long it may rest.
    pub slack: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Place {
    replica: u32,
    usage: PlaceUse,
    ending_since: Option<Instant>,
}

#[derive(Debug)]
struct Holder {
    address: SocketAddr,
    last_whole: u64,
    heard_at: Instant,
    places: HashMap<u32, Place>,
}

/// The places of all other daemons.
#[derive(Debug, Default)]
pub struct SlotLedger {
    holders: HashMap<u64, Holder>,
    counts: HashMap<u32, PlaceCounts>,
    changed: HashSet<u32>,
}

impl SlotLedger {
    /// Replica of a place that was given out before.
    pub fn replica_of(&self, holder: u64, place: u32) -> Option<u32> {
        let place = self.holders.get(&holder)?.places.get(&place)?;
        Some(place.replica)
    }

    /// Places at a replica.
    pub fn counts(&self, replica: u32) -> PlaceCounts {
        self.counts.get(&replica).copied().unwrap_or_default()
    }

    /// Replicas whose counts have changed since this was last asked.
    pub fn take_changed(&mut self) -> Vec<u32> {
        self.changed.drain().collect()
    }

    /// Gives out a place.
    pub fn grant(
        &mut self,
        holder: u64,
        address: SocketAddr,
        number: u32,
        replica: u32,
        usage: PlaceUse,
        now: Instant,
    ) {
        self.hear(holder, address, now);
        self.set(holder, number, replica, usage);
    }

    /// Takes a holder's word.
    pub fn take_word(&mut self, word: &SlotWord, address: SocketAddr, now: Instant) {
        let holder = word.holder;
        let known = self.hear(holder, address, now);
        if let Some(whole) = &word.whole {
            if whole.number <= known.last_whole {
                return;
            }
            known.last_whole = whole.number;
            let named: HashSet<u32> = word.held.iter().map(|held| held.place).collect();
            let over = known.places.keys().copied().filter(|place| {
                *place < whole.next_place
                    && !named.contains(place)
                    && !whole.awaited.contains(place)
            });
            let over: Vec<u32> = over.collect();
            for place in over {
                self.remove(holder, place);
            }
        }
        for held in &word.held {
            self.take_held(holder, held, now);
        }
        for place in &word.released {
            self.remove(holder, *place);
        }
    }

    /// Forgets holders that have not been heard of for long.
    pub fn expire(&mut self, now: Instant) {
        let silent = self.holders.iter().filter(|(_, holder)| {
            now.saturating_duration_since(holder.heard_at) >= HOLDER_LIFETIME
        });
        let silent: Vec<u64> = silent.map(|(holder, _)| *holder).collect();
        for holder in silent {
            let Some(gone) = self.holders.remove(&holder) else {
                continue;
            };
            for place in gone.places.values() {
                self.count(place, false);
            }
        }
    }

    /// The item at the replica that can best be ended: the one with most time left.
    pub fn most_slack(&self, replica: u32, now: Instant) -> Option<EndedPlace> {
        let all = self.holders.values().flat_map(|holder| {
            let places = holder.places.iter();
            places.map(move |(number, place)| (holder.address, *number, place))
        });
        let items = all.filter_map(|(holder, number, place)| {
            let slack = place.usage.slack(now)?;
            let fits = place.replica == replica && place.ending_since.is_none();
            fits.then_some(EndedPlace {
                holder,
                place: number,
                slack,
            })
        });
        items.max_by_key(|item| item.slack)
    }

    /// The item was told to end: its place is free from now on.
    pub fn note_ending(&mut self, ended: EndedPlace, now: Instant) {
        let place = self
            .holders
            .values_mut()
            .filter(|holder| holder.address == ended.holder)
            .find_map(|holder| holder.places.get_mut(&ended.place));
        let Some(place) = place.filter(|place| place.ending_since.is_none()) else {
            return;
        };
        let counted = *place;
        place.ending_since = Some(now);
        self.count(&counted, false);
    }

    fn hear(&mut self, holder: u64, address: SocketAddr, now: Instant) -> &mut Holder {
        let known = self.holders.entry(holder).or_insert_with(|| Holder {
            address,
            last_whole: 0,
            heard_at: now,
            places: HashMap::new(),
        });
        known.heard_at = now;
        known
    }

    fn take_held(&mut self, holder: u64, held: &HeldPlace, now: Instant) {
        let places = self.holders.get_mut(&holder).map(|known| &mut known.places);
        let known = places.and_then(|places| places.get_mut(&held.place));
        match known {
            Some(place) if place.replica == held.replica => {
                let due = place.ending_since;
                if due.is_some_and(|since| now.saturating_duration_since(since) >= END_PATIENCE) {
                    place.ending_since = None;
                    let counted = *place;
                    self.count(&counted, true);
                }
            }
            _ => self.set(holder, held.place, held.replica, PlaceUse::of(held, now)),
        }
    }

    fn set(&mut self, holder: u64, number: u32, replica: u32, usage: PlaceUse) {
        self.remove(holder, number);
        let place = Place {
            replica,
            usage,
            ending_since: None,
        };
        if let Some(known) = self.holders.get_mut(&holder) {
            known.places.insert(number, place);
            self.count(&place, true);
        }
    }

    fn remove(&mut self, holder: u64, number: u32) {
        let places = self.holders.get_mut(&holder).map(|known| &mut known.places);
        if let Some(place) = places.and_then(|places| places.remove(&number)) {
            self.count(&place, false);
        }
    }

    /// Counts a place in or out; one whose item was told to end is out already.
    fn count(&mut self, place: &Place, enters: bool) {
        if place.ending_since.is_some() {
            return;
        }
        let counts = self.counts.entry(place.replica).or_default();
        let count = match place.usage {
            PlaceUse::Online => &mut counts.online,
            PlaceUse::Batch { .. } => &mut counts.batch,
        };
        *count = if enters {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *counts == PlaceCounts::default() {
            self.counts.remove(&place.replica);
        }
        self.changed.insert(place.replica);
    }
}
