//! Evacuated zones as this daemon knows them, from the store's rows and from peers.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_relay::SpaceUpdate;
use harrierward_serving::{
    EvacuatedZones, EvacuationRows, EvacuationUpdate, WorkClass, ZoneChange,
};
use tokio::time::{Instant, sleep};

use super::Discovery;

/// Time between two looks at what still runs in evacuated zones.
const RUNNING_LOOK: Duration = Duration::from_millis(500);

#[derive(Default)]
pub(super) struct KnownZones {
    rows: EvacuationRows,
    zones: EvacuatedZones,
}

impl Discovery {
    fn zones(&self) -> std::sync::MutexGuard<'_, KnownZones> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn take_evacuation_rows(&self, update: &SpaceUpdate, origin: &str) {
        let zone_of = |key: &str| self.source.evacuated_zone_of(key);
        let written = update.written.iter();
        let written = written.filter_map(|row| Some((zone_of(&row.key)?, row.revision)));
        let written = written.collect();
        let gone: Vec<String> = update
            .removed
            .iter()
            .filter_map(|key| zone_of(key))
            .collect();
        let news = self.zones().rows.apply(written, &gone, update.complete_at);
        self.take_evacuations(&news, origin);
        self.log_without_room(&news, origin);
    }

    /// Rows that are not in force since there are too many: told again at each whole read, for as long as it is so.
    fn log_without_room(&self, news: &EvacuationUpdate, origin: &str) {
        let standing = news.zones.iter().filter(|(_, mark)| !mark.is_over);
        for (zone, mark) in standing {
            if self.zones().zones.is_tracked(zone) {
                continue;
            }
            self.log_zone(zone, mark.revision, "ignored", origin);
        }
    }

    /// Takes what the store or a peer knows of evacuated zones.
    pub fn take_evacuations(&self, news: &EvacuationUpdate, origin: &str) {
        // The lock is held until the replicas know: an older set must not come after a newer one.
        let mut known = self.zones();
        let changes = known.zones.merge(news, harrierward_clock::now());
        if changes.is_empty() {
            return;
        }
        self.replicas.set_evacuated_zones(known.zones.evacuated());
        drop(known);
        for change in &changes {
            self.log_evacuation(change, origin);
        }
    }

    /// What this daemon knows of evacuated zones.
    pub fn evacuations(&self) -> EvacuationUpdate {
        self.zones().zones.to_update()
    }

    /// When this daemon learned that the zone's last evacuation was over; `None` if there was none.
    pub fn zone_returned_at(&self, zone: &str) -> Option<Instant> {
        self.zones().zones.returned_at(zone)
    }

    /// Requests and items of this daemon in progress in a zone.
    fn running_in(&self, zone: &str) -> u32 {
        let view = self.replicas.view();
        let there = view.all().filter(|replica| replica.record.zone == zone);
        let running = there.map(|replica| {
            replica.own_in_progress(WorkClass::Online) + replica.own_in_progress(WorkClass::Batch)
        });
        running.sum()
    }

    fn log_evacuation(&self, change: &ZoneChange, origin: &str) {
        let state = if change.is_evacuated {
            "evacuated"
        } else {
            "returned"
        };
        self.log_zone(&change.zone, change.revision, state, origin);
    }

    fn log_zone(&self, zone: &str, revision: u64, state: &str, origin: &str) {
        let proof_age = self.proof.age();
        self.log.record(&Record::ZoneEvacuation {
            zone,
            state,
            revision,
            source: origin,
            proof_age_ms: proof_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            running: self.running_in(zone),
            is_known: self.source.knows_zone(zone),
        });
    }

    /// Tells operators what still runs in evacuated zones, for as long as the process does.
    pub async fn watch_evacuated(self: Arc<Self>) {
        let mut told: HashMap<String, u32> = HashMap::new();
        loop {
            sleep(RUNNING_LOOK).await;
            let evacuated = self.zones().zones.evacuated();
            told.retain(|zone, _| evacuated.contains(zone));
            for zone in evacuated {
                let running = self.running_in(&zone);
                if told.insert(zone.clone(), running) != Some(running) {
                    let zone = &zone;
                    self.log.record(&Record::ZoneRunning { zone, running });
                }
            }
        }
    }
}
