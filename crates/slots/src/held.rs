//! The places that this daemon holds, and those that it waits for.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use harrierward_wire::{HeldPlace, SlotWord, WholeWord};
use tokio::time::Instant;

use crate::ledger::PlaceUse;

#[derive(Debug, Clone, Copy)]
struct Held {
    replica: u32,
    usage: PlaceUse,
}

/// A daemon's own places, by number.
#[derive(Debug, Default)]
pub struct HeldPlaces {
    places: HashMap<u32, Held>,
    awaited: HashSet<u32>,
    last: u32,
    words: u64,
}

impl HeldPlaces {
    /// A number for a place that is asked for or taken next.
    pub fn next_number(&mut self) -> u32 {
        self.last += 1;
        self.last
    }

    /// A keeper is asked for the place.
    pub fn wait_for(&mut self, place: u32) {
        self.awaited.insert(place);
    }

    /// The keeper's answer has come, or is not waited for any more.
    pub fn stop_waiting(&mut self, place: u32) {
        self.awaited.remove(&place);
    }

    /// The place is held.
    pub fn take(&mut self, place: u32, replica: u32, usage: PlaceUse) {
        self.places.insert(place, Held { replica, usage });
    }

    /// The place is given back. Returns its replica.
    pub fn release(&mut self, place: u32) -> Option<u32> {
        self.places.remove(&place).map(|held| held.replica)
    }

    /// The item at the replica that can best be ended: the one with most time left. Its place does not count as an
    /// item's any more.
    pub fn most_slack(&self, replica: u32, now: Instant) -> Option<(u32, Duration)> {
        let items = self.places.iter().filter_map(|(place, held)| {
            let slack = held.usage.slack(now)?;
            (held.replica == replica).then_some((*place, slack))
        });
        items.max_by_key(|(_, slack)| *slack)
    }

    /// One place as keepers are told of it.
    pub fn describe(&self, place: u32, now: Instant) -> Option<HeldPlace> {
        self.places.get(&place).map(|held| told(place, held, now))
    }

    /// Names all places at replicas for which `is_kept` holds.
    pub fn whole_word(
        &mut self,
        holder: u64,
        now: Instant,
        is_kept: impl Fn(u32) -> bool,
    ) -> SlotWord {
        self.words += 1;
        let kept = self.places.iter().filter(|(_, held)| is_kept(held.replica));
        SlotWord {
            holder,
            held: kept.map(|(place, held)| told(*place, held, now)).collect(),
            released: Vec::new(),
            whole: Some(WholeWord {
                number: self.words,
                next_place: self.last + 1,
                awaited: self.awaited.iter().copied().collect(),
            }),
        }
    }
}

fn told(place: u32, held: &Held, now: Instant) -> HeldPlace {
    let slack = held.usage.slack(now);
    let slack_ms = slack.map_or(0, |slack| {
        u32::try_from(slack.as_millis()).unwrap_or(u32::MAX)
    });
    HeldPlace {
        place,
        replica: held.replica,
        batch: slack.is_some(),
        slack_ms,
    }
}
