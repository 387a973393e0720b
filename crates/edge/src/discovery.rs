//! Configuration and replicas as this daemon knows them, from the store's rows.

mod evacuations;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::Row;
use harrierward_relay::SpaceUpdate;
use harrierward_serving::{
    ConfigurationProof, Replica, ReplicaRecord, ReplicaSet, RouteTable, ServingConfiguration,
    SharedRoutes,
};
use tokio::time::Instant;

use crate::server::ServerControl;

use evacuations::KnownZones;

/// Translates the store's rows.
pub trait DiscoverySource: Send + Sync {
    /// Space that holds the configuration.
    fn configuration_space(&self) -> &'static str;

    /// Space that holds the replicas' records.
    fn replica_space(&self) -> &'static str;

    /// The configuration of a row, if it holds one.
    ///
    /// # Errors
    /// The row holds a configuration that cannot be taken over: the field and its value. Keys are not named.
    fn configuration_of(&self, row: &Row) -> Result<Option<ServingConfiguration>, String>;

    /// The replica of a row.
    ///
    /// # Errors
    /// The row names no replica to use: what of it cannot be read. The row's own text is not repeated.
    fn replica_of(&self, row: &Row) -> Result<ReplicaRecord, String>;

    /// The zone that a row of the configuration's space with this key takes out of service, if it is such a row.
    fn evacuated_zone_of(&self, _key: &str) -> Option<String> {
        None
    }

    /// True if the settings name the zone.
    fn knows_zone(&self, _zone: &str) -> bool {
        true
    }
}

/// True if a row says something that is worth a line. How long a replica stays cold is not: each row of a cold one tells
/// another time, all daemons see all rows, and the changes of a zone's warmth have lines of their own.
fn is_news(known: &ReplicaRecord, told: &ReplicaRecord) -> bool {
    let known = ReplicaRecord {
        warmup: told.warmup,
        ..known.clone()
    };
    known != *told
}

/// Least time between two lines on rows that cannot be read: another writer may leave many.
const REJECTED_EVERY: Duration = Duration::from_secs(1);

/// What the daemon believes; updates only move forward.
pub struct Discovery {
    source: Arc<dyn DiscoverySource>,
    routes: SharedRoutes,
    replicas: Arc<ReplicaSet>,
    control: Arc<ServerControl>,
    proof: Arc<ConfigurationProof>,
    log: DecisionLog,
    rows: Mutex<KnownRows>,
    zones: Mutex<KnownZones>,
}

#[derive(Default)]
struct KnownRows {
    configuration: Option<Row>,
    replicas: HashMap<String, (Row, ReplicaRecord)>,
    replicas_read: bool,
    /// Rows so far that could not be read, and when that was told last.
    rejected: u64,
    rejected_told_at: Option<Instant>,
    /// The replicas are a peer's word; the store's first word replaces them all.
    replicas_of_peer: bool,
}

/// What an update changes among the replicas.
#[derive(Default)]
struct ReplicaChanges {
    changed: Vec<ReplicaRecord>,
    /// Ids.
    gone: Vec<String>,
}

impl ReplicaChanges {
    /// A replica is not used any more, whatever the same update said of it before.
    fn forget(&mut self, id: String) {
        self.changed.retain(|record| record.id != id);
        self.gone.push(id);
    }
}

impl Discovery {
    /// Knows nothing yet.
    pub fn new(
        source: Arc<dyn DiscoverySource>,
        routes: SharedRoutes,
        replicas: Arc<ReplicaSet>,
        control: Arc<ServerControl>,
        proof: Arc<ConfigurationProof>,
        log: DecisionLog,
    ) -> Self {
        Self {
            source,
            routes,
            replicas,
            control,
            proof,
            log,
            rows: Mutex::default(),
            zones: Mutex::default(),
        }
    }

    fn rows(&self) -> std::sync::MutexGuard<'_, KnownRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True once a configuration and the replicas are known.
    pub fn is_complete(&self) -> bool {
        self.routes.load().is_some() && self.rows().replicas_read
    }

    /// Rows for a daemon that cannot read the store.
    pub fn known_rows(&self) -> (Option<Row>, Vec<Row>) {
        let rows = self.rows();
        let replicas = rows.replicas.values().map(|(row, _)| row.clone()).collect();
        (rows.configuration.clone(), replicas)
    }

    /// Takes an update of the configuration's space. Evacuations come first: what the configuration lets in then finds
    /// them in force.
    pub fn take_configuration(&self, update: &SpaceUpdate, origin: &str) {
        self.take_evacuation_rows(update, origin);
        for row in &update.written {
            self.adopt(row, origin);
        }
        if let Some(moment) = update.as_of {
            self.proof.prove(moment);
        }
    }

    fn adopt(&self, row: &Row, origin: &str) {
        let configuration = match self.source.configuration_of(row) {
            Ok(Some(configuration)) => configuration,
            Ok(None) => return,
            Err(cause) => {
                self.log.record(&Record::ConfigurationRejected {
                    revision: row.revision,
                    cause: &cause,
                });
                return;
            }
        };
        let mut rows = self.rows();
        let current = self.routes.load_full();
        let newer = current
            .as_ref()
            .is_none_or(|table| configuration.version > table.configuration.version);
        if !newer {
            return;
        }
        self.log.record(&Record::ConfigurationInForce {
            version: configuration.version,
            source: origin,
            routes: configuration.routes.len(),
        });
        self.control.set_limits(configuration.limits);
        let table = RouteTable::build(configuration, current.as_deref());
        self.routes.store(Some(Arc::new(table)));
        rows.configuration = Some(row.clone());
        self.apply_warmups(self.replicas.view().all());
    }

    /// Tells replicas how those of their service warm up.
    fn apply_warmups<'a>(&self, replicas: impl Iterator<Item = &'a Arc<Replica>>) {
        let routes = self.routes.load_full();
        let Some(configuration) = routes.as_ref().map(|table| &table.configuration) else {
            return;
        };
        for replica in replicas {
            let service = configuration.service(&replica.record.service);
            replica.set_service_warmup(service.and_then(|service| service.warmup));
        }
    }

    /// Takes an update of the replicas' space from the store.
    pub fn take_replicas(&self, update: &SpaceUpdate) {
        let mut rows = self.rows();
        let first = !std::mem::replace(&mut rows.replicas_read, true);
        let mut changes = ReplicaChanges::default();
        if std::mem::take(&mut rows.replicas_of_peer) {
            let told = rows.replicas.drain().map(|(_, (_, record))| record.id);
            changes.gone.extend(told);
        }
        for row in &update.written {
            self.note_replica(&mut rows, row, first, &mut changes);
        }
        for key in &update.removed {
            if let Some((row, record)) = rows.replicas.remove(key) {
                self.log_replica(&record, "gone", row.revision);
                changes.gone.push(record.id);
            }
        }
        self.note_warmups(&update.written);
        if first {
            self.log_first_replicas(&rows, "store");
        }
        self.publish(changes);
    }

    /// Takes replicas from a peer: only those that the store has not told of.
    pub fn take_replicas_of_peer(&self, peer_rows: &[Row]) {
        let mut rows = self.rows();
        if rows.replicas_read {
            return;
        }
        let mut changes = ReplicaChanges::default();
        for row in peer_rows {
            self.note_replica(&mut rows, row, true, &mut changes);
        }
        rows.replicas_read = true;
        rows.replicas_of_peer = true;
        self.log_first_replicas(&rows, "peer");
        self.publish(changes);
    }

    /// Takes a replica's row. The rows of the first read are logged together: a large fleet that starts would write a
    /// line for each pair of a daemon and a replica.
    fn note_replica(
        &self,
        rows: &mut KnownRows,
        row: &Row,
        is_first_read: bool,
        changes: &mut ReplicaChanges,
    ) {
        let mut record = match self.source.replica_of(row) {
            Ok(record) => record,
            Err(cause) => {
                self.reject_replica(rows, row, &cause, changes);
                return;
            }
        };
        let known = rows.replicas.get(&row.key).map(|(_, known)| known);
        let is_restart = known.is_some_and(|known| known.is_other_instance(&record));
        // An entry without a date speaks of the start that is known.
        record.born_ms = record.born_ms.or(known.and_then(|known| known.born_ms));
        let is_news = known.is_none_or(|known| is_news(known, &record));
        if is_news && !is_first_read {
            let state = match (record.draining, is_restart) {
                (true, _) => "draining",
                (false, true) => "started again",
                (false, false) => "ready",
            };
            self.log_replica(&record, state, row.revision);
        }
        changes.changed.push(record.clone());
        rows.replicas.insert(row.key.clone(), (row.clone(), record));
    }

    /// A row that cannot be read names no replica to use, and the one that it named before is not used either.
    fn reject_replica(
        &self,
        rows: &mut KnownRows,
        row: &Row,
        cause: &str,
        changes: &mut ReplicaChanges,
    ) {
        if let Some((_, record)) = rows.replicas.remove(&row.key) {
            if let Some(replica) = self.replicas.view().get(&record.id) {
                replica.set_unlisted(true);
            }
            changes.forget(record.id);
        }
        rows.rejected += 1;
        let now = Instant::now();
        let is_due = rows
            .rejected_told_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REJECTED_EVERY);
        if is_due {
            rows.rejected_told_at = Some(now);
            self.log.record(&Record::ReplicaRejected {
                entry: &row.key,
                revision: row.revision,
                cause,
                rejected: rows.rejected,
            });
        }
    }

    fn publish(&self, changes: ReplicaChanges) {
        if changes.changed.is_empty() && changes.gone.is_empty() {
            return;
        }
        let routes = self.routes.load_full();
        let memory_tokens = |service: &str| {
            let configuration = routes.as_ref().map(|table| &table.configuration);
            let service = configuration.and_then(|known| known.service(service));
            service.map_or(0, |service| service.memory_tokens)
        };
        let ids: Vec<String> = changes.changed.iter().map(|one| one.id.clone()).collect();
        self.replicas
            .update(changes.changed, &changes.gone, memory_tokens);
        let view = self.replicas.view();
        self.apply_warmups(ids.iter().filter_map(|id| view.get(id)));
    }

    /// The rows' word on warmth, for replicas that were known before: new ones take it from their record.
    fn note_warmups(&self, written: &[Row]) {
        let seen = harrierward_clock::now();
        let view = self.replicas.view();
        let readable = written
            .iter()
            .filter_map(|row| self.source.replica_of(row).ok());
        for record in readable {
            if let Some(replica) = view.get(&record.id) {
                // Another start takes it from its own record.
                if !replica.record.is_other_instance(&record) {
                    replica.note_row_warmup(record.warmup, seen);
                }
            }
        }
    }

    fn log_first_replicas(&self, rows: &KnownRows, source: &str) {
        let records = rows.replicas.values().map(|(_, record)| record);
        let draining = records.filter(|record| record.draining).count();
        self.log.record(&Record::ReplicasRead {
            ready: rows.replicas.len() - draining,
            draining,
            source,
        });
    }

    fn log_replica(&self, record: &ReplicaRecord, state: &str, revision: u64) {
        self.log.record(&Record::ReplicaChanged {
            replica: &record.id,
            state,
            revision,
        });
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or(0, |routes| routes.configuration.version)
    }

    /// True if the store may have told others of a configuration that this daemon has not heard of.
    pub fn is_stale(&self) -> bool {
        self.proof.is_stale()
    }
}
