//! Evacuated zones, merged from the store's rows and from peers.

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

/// Interval at which the work still running in evacuated zones is counted.
const RUNNING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
pub(super) struct KnownZones {
    rows: EvacuationRows,
    zones: EvacuatedZones,
}

impl Discovery {
    fn zones(&self) -> std::sync::MutexGuard<'_, KnownZones> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn apply_evacuation_rows(&self, update: &SpaceUpdate, origin: &str) {
        let zone_of = |key: &str| self.source.evacuated_zone_of(key);
        let written = update.written.iter();
        let written = written.filter_map(|row| Some((zone_of(&row.key)?, row.revision)));
        let written = written.collect();
        let removed: Vec<String> = update
            .removed
            .iter()
            .filter_map(|key| zone_of(key))
            .collect();
        let evacuations = self
            .zones()
            .rows
            .apply(written, &removed, update.complete_at);
        self.merge_evacuations(&evacuations, origin);
        self.log_ignored_zones(&evacuations, origin);
    }

    /// Logs evacuations that are ignored because the zone limit is reached; repeated at each full read.
    fn log_ignored_zones(&self, evacuations: &EvacuationUpdate, origin: &str) {
        let active = evacuations.zones.iter().filter(|(_, state)| !state.is_over);
        for (zone, state) in active {
            if self.zones().zones.is_tracked(zone) {
                continue;
            }
            self.log_zone(zone, state.revision, "ignored", origin);
        }
    }

    /// Merges evacuations received from the store or from a peer.
    pub fn merge_evacuations(&self, evacuations: &EvacuationUpdate, origin: &str) {
        // The lock is held until the replicas are updated: an older set must not overwrite a newer one.
        let mut known = self.zones();
        let changes = known.zones.merge(evacuations, harrierward_clock::now());
        if changes.is_empty() {
            return;
        }
        self.replicas.set_evacuated_zones(known.zones.evacuated());
        drop(known);
        for change in &changes {
            self.log_evacuation(change, origin);
        }
    }

    /// Returns the known evacuations, to be sent to peers.
    pub fn evacuations(&self) -> EvacuationUpdate {
        self.zones().zones.to_update()
    }

    /// Returns when this daemon learned that the zone's last evacuation ended; `None` if there was none.
    pub fn zone_returned_at(&self, zone: &str) -> Option<Instant> {
        self.zones().zones.returned_at(zone)
    }

    /// Returns the number of this daemon's requests and items in progress in a zone.
    fn running_in(&self, zone: &str) -> u32 {
        let view = self.replicas.view();
        let in_zone = view.all().filter(|replica| replica.record.zone == zone);
        let running = in_zone.map(|replica| {
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
            is_known: self.source.is_configured_zone(zone),
        });
    }

    /// Logs the work that still runs in evacuated zones; never returns.
    pub async fn report_evacuated_zones(self: Arc<Self>) {
        let mut logged: HashMap<String, u32> = HashMap::new();
        loop {
            sleep(RUNNING_CHECK_INTERVAL).await;
            let evacuated = self.zones().zones.evacuated();
            logged.retain(|zone, _| evacuated.contains(zone));
            for zone in evacuated {
                let running = self.running_in(&zone);
                if logged.insert(zone.clone(), running) != Some(running) {
                    let zone = &zone;
                    self.log.record(&Record::ZoneRunning { zone, running });
                }
            }
        }
    }
}
