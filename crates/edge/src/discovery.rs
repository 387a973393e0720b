//! The daemon's configuration and replicas, from the store's rows or from peers.

mod evacuations;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::Row;
use harrierward_relay::SpaceUpdate;
use harrierward_serving::{
    ConfigurationProof, LeavingNotice, Replica, ReplicaRecord, ReplicaSet, RouteTable,
    ServingConfiguration, SharedRoutes,
};
use tokio::time::Instant;

use crate::server::ServerControl;

use evacuations::KnownZones;

/// Parses the store's rows.
pub trait DiscoverySource: Send + Sync {
    /// Returns the store's space that holds the configuration.
    fn configuration_space(&self) -> &'static str;

    /// Returns the store's space that holds the replicas' records.
    fn replica_space(&self) -> &'static str;

    /// Parses the configuration of a row; `None` if the row holds none.
    ///
    /// # Errors
    /// The row holds an invalid configuration: the field and its value. Keys are not included.
    fn parse_configuration(&self, row: &Row) -> Result<Option<ServingConfiguration>, String>;

    /// Parses the replica of a row.
    ///
    /// # Errors
    /// The row holds no usable replica: the part that is invalid. The row's own text is not included.
    fn parse_replica(&self, row: &Row) -> Result<ReplicaRecord, String>;

    /// Returns the zone that a configuration row with this key evacuates; `None` for other rows.
    fn evacuated_zone_of(&self, _key: &str) -> Option<String> {
        None
    }

    /// Returns the keys of the configuration's rows that may be written at any time, such as those that evacuate a zone.
    fn configuration_keys(&self) -> Vec<String> {
        Vec::new()
    }

    /// True if the zone is part of the configured topology.
    fn is_configured_zone(&self, _zone: &str) -> bool {
        true
    }
}

/// True if a replica's change is worth a log line. A changed warmup time alone is not: it differs in each row of a cold
/// replica, and all daemons receive all rows.
fn is_notable(known: &ReplicaRecord, received: &ReplicaRecord) -> bool {
    let known = ReplicaRecord {
        warmup: received.warmup,
        ..known.clone()
    };
    known != *received
}

/// State of a replica in a row that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListedState {
    Ready,
    StartedAgain,
    Draining,
    Gone,
}

impl ListedState {
    fn is_leaving(self) -> bool {
        matches!(self, Self::Draining | Self::Gone)
    }

    /// Returns the name in the decision log.
    fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::StartedAgain => "started again",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// Minimum time between two log lines on invalid rows, of which another writer may leave many.
const REJECTED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The daemon's configuration and replicas. Updates never replace newer state by older state.
pub struct Discovery {
    source: Arc<dyn DiscoverySource>,
    routes: SharedRoutes,
    replicas: Arc<ReplicaSet>,
    control: Arc<ServerControl>,
    proof: Arc<ConfigurationProof>,
    log: DecisionLog,
    rows: Mutex<DiscoveredRows>,
    zones: Mutex<KnownZones>,
}

#[derive(Default)]
struct DiscoveredRows {
    configuration: Option<Row>,
    replicas: HashMap<String, (Row, ReplicaRecord)>,
    replicas_read: bool,
    /// Number of invalid rows so far.
    rejected: u64,
    rejected_logged_at: Option<Instant>,
    /// True if the replicas come from a peer; the store's first read replaces them all.
    replicas_from_peer: bool,
}

/// Changes of an update to the replica set.
#[derive(Default)]
struct ReplicaChanges {
    changed: Vec<ReplicaRecord>,
    /// Ids of the replicas to remove.
    removed: Vec<String>,
}

impl ReplicaChanges {
    /// Removes a replica, overriding any earlier change to it in the same update.
    fn remove(&mut self, id: String) {
        self.changed.retain(|record| record.id != id);
        self.removed.push(id);
    }
}

impl Discovery {
    /// Starts without a configuration and replicas.
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

    fn rows(&self) -> std::sync::MutexGuard<'_, DiscoveredRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True once a configuration and the replicas have been read.
    pub fn is_complete(&self) -> bool {
        self.routes.load().is_some() && self.rows().replicas_read
    }

    /// Returns the rows to send to a daemon that cannot read the store: the configuration and the replicas.
    pub fn known_rows(&self) -> (Option<Row>, Vec<Row>) {
        let rows = self.rows();
        let replicas = rows.replicas.values().map(|(row, _)| row.clone()).collect();
        (rows.configuration.clone(), replicas)
    }

    /// Applies an update of the configuration's space. Evacuations are applied first, so that they are in force
    /// before the configuration admits requests.
    pub fn apply_configuration(&self, update: &SpaceUpdate, origin: &str) {
        self.apply_evacuation_rows(update, origin);
        for row in &update.written {
            self.adopt_configuration(row, origin);
        }
        if let Some(as_of) = update.as_of {
            self.proof.prove(as_of);
        }
    }

    fn adopt_configuration(&self, row: &Row, origin: &str) {
        let configuration = match self.source.parse_configuration(row) {
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
        let is_newer = current
            .as_ref()
            .is_none_or(|table| configuration.version > table.configuration.version);
        if !is_newer {
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

    /// Sets the warmup parameters of each replica's service.
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

    /// Applies an update of the replicas' space from the store.
    pub fn apply_replicas(&self, update: &SpaceUpdate) {
        let mut rows = self.rows();
        let is_first_read = !std::mem::replace(&mut rows.replicas_read, true);
        let mut changes = ReplicaChanges::default();
        if std::mem::take(&mut rows.replicas_from_peer) {
            let from_peer = rows.replicas.drain().map(|(_, (_, record))| record.id);
            changes.removed.extend(from_peer);
        }
        for row in &update.written {
            let logged_as = (!is_first_read).then_some(update);
            self.note_replica(&mut rows, row, logged_as, &mut changes);
        }
        for key in &update.removed {
            if let Some((row, record)) = rows.replicas.remove(key) {
                self.log_replica(&record, ListedState::Gone, row.revision, update);
                changes.removed.push(record.id);
            }
        }
        self.note_warmups(&update.written);
        if is_first_read {
            self.log_first_replicas(&rows, "store");
        }
        self.publish(changes);
    }

    /// Records that an audit found the replicas' rows to be current at this time.
    pub fn confirm_replicas(&self, at: Instant) {
        self.replicas.prove(at);
    }

    /// Applies replicas from a peer, unless replicas have been read already.
    pub fn apply_peer_replicas(&self, peer_rows: &[Row]) {
        let mut rows = self.rows();
        if rows.replicas_read {
            return;
        }
        let mut changes = ReplicaChanges::default();
        for row in peer_rows {
            self.note_replica(&mut rows, row, None, &mut changes);
        }
        rows.replicas_read = true;
        rows.replicas_from_peer = true;
        self.log_first_replicas(&rows, "peer");
        self.publish(changes);
    }

    /// Records a replica's row, and logs it if the update that brought it is given. Rows of the first read are logged as
    /// one summary: otherwise the start of a large fleet would log a line for each pair of a daemon and a replica.
    fn note_replica(
        &self,
        rows: &mut DiscoveredRows,
        row: &Row,
        logged_as: Option<&SpaceUpdate>,
        changes: &mut ReplicaChanges,
    ) {
        let mut record = match self.source.parse_replica(row) {
            Ok(record) => record,
            Err(cause) => {
                self.reject_replica(rows, row, &cause, changes);
                return;
            }
        };
        let known = rows.replicas.get(&row.key).map(|(_, known)| known);
        let is_restart = known.is_some_and(|known| known.is_other_instance(&record));
        // A row without a start time belongs to the replica instance already known.
        record.born_ms = record.born_ms.or(known.and_then(|known| known.born_ms));
        let is_notable = known.is_none_or(|known| is_notable(known, &record));
        if let Some(update) = logged_as.filter(|_| is_notable) {
            let state = match (record.draining, is_restart) {
                (true, _) => ListedState::Draining,
                (false, true) => ListedState::StartedAgain,
                (false, false) => ListedState::Ready,
            };
            self.log_replica(&record, state, row.revision, update);
        }
        changes.changed.push(record.clone());
        rows.replicas.insert(row.key.clone(), (row.clone(), record));
    }

    /// Handles an invalid row: the replica that the row held before is removed.
    fn reject_replica(
        &self,
        rows: &mut DiscoveredRows,
        row: &Row,
        cause: &str,
        changes: &mut ReplicaChanges,
    ) {
        if let Some((_, record)) = rows.replicas.remove(&row.key) {
            if let Some(replica) = self.replicas.view().get(&record.id) {
                replica.set_unlisted(true);
            }
            changes.remove(record.id);
        }
        rows.rejected += 1;
        let now = Instant::now();
        let is_due = rows
            .rejected_logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REJECTED_LOG_INTERVAL);
        if is_due {
            rows.rejected_logged_at = Some(now);
            self.log.record(&Record::ReplicaRejected {
                entry: &row.key,
                revision: row.revision,
                cause,
                rejected: rows.rejected,
            });
        }
    }

    fn publish(&self, changes: ReplicaChanges) {
        if changes.changed.is_empty() && changes.removed.is_empty() {
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
            .update(changes.changed, &changes.removed, memory_tokens);
        let view = self.replicas.view();
        self.apply_warmups(ids.iter().filter_map(|id| view.get(id)));
    }

    /// Updates the warmup of known replicas from their rows; new replicas take it from their record.
    fn note_warmups(&self, written: &[Row]) {
        let received_at = harrierward_clock::now();
        let view = self.replicas.view();
        let readable = written
            .iter()
            .filter_map(|row| self.source.parse_replica(row).ok());
        for record in readable {
            if let Some(replica) = view.get(&record.id) {
                // Another replica instance takes its warmup from its own record.
                if !replica.record.is_other_instance(&record) {
                    replica.note_row_warmup(record.warmup, received_at);
                }
            }
        }
    }

    fn log_first_replicas(&self, rows: &DiscoveredRows, source: &str) {
        let records = rows.replicas.values().map(|(_, record)| record);
        let draining = records.filter(|record| record.draining).count();
        self.log.record(&Record::ReplicasRead {
            ready: rows.replicas.len() - draining,
            draining,
            source,
        });
    }

    fn log_replica(
        &self,
        record: &ReplicaRecord,
        state: ListedState,
        revision: u64,
        update: &SpaceUpdate,
    ) {
        let view = self.replicas.view();
        let replica = view.get(&record.id);
        let proof_age = update.as_of_before.map(harrierward_clock::age);
        if let Some(replica) = replica.filter(|_| state.is_leaving()) {
            replica.note_leaving(LeavingNotice {
                state: state.name(),
                source: update.source.name().into(),
                reading: update.reading.name(),
                proof_age,
                known_at: harrierward_clock::now(),
            });
        }
        self.log.record(&Record::ReplicaChanged {
            replica: &record.id,
            state: state.name(),
            revision,
            source: update.source.name(),
            reading: update.reading.name(),
            omitted: state != ListedState::Gone && update.is_omitted(revision),
            proof_age_ms: proof_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            running: replica.map_or(0, |replica| replica.own_total()),
        });
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or(0, |routes| routes.configuration.version)
    }

    /// True if the store may hold a newer configuration that this daemon has not received.
    pub fn is_stale(&self) -> bool {
        self.proof.is_stale()
    }
}
