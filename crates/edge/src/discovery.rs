//! Configuration and replicas as this daemon knows them, from the store's rows.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::Row;
use harrierward_serving::{
    ConfigurationProof, ReplicaRecord, ReplicaSet, RouteTable, ServingConfiguration, SharedRoutes,
};

use tokio::time::Instant;

use crate::server::ServerControl;
use crate::watch::SpaceUpdate;

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

    /// The replica of a row, if it holds one.
    fn replica_of(&self, row: &Row) -> Option<ReplicaRecord>;
}

/// What the daemon believes; updates only move forward.
pub struct Discovery {
    source: Arc<dyn DiscoverySource>,
    routes: SharedRoutes,
    replicas: Arc<ReplicaSet>,
    control: Arc<ServerControl>,
    proof: Arc<ConfigurationProof>,
    log: DecisionLog,
    rows: Mutex<KnownRows>,
}

#[derive(Default)]
struct KnownRows {
    configuration: Option<Row>,
    replicas: HashMap<String, (Row, ReplicaRecord)>,
    replicas_read: bool,
    /// The replicas are a peer's word; the store's first word replaces them all.
    replicas_of_peer: bool,
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

    /// Takes an update of the configuration's space.
    pub fn take_configuration(&self, update: &SpaceUpdate, origin: &str) {
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
        self.apply_warmups();
    }

    /// Tells replicas how those of their service warm up.
    fn apply_warmups(&self) {
        let routes = self.routes.load_full();
        let Some(configuration) = routes.as_ref().map(|table| &table.configuration) else {
            return;
        };
        for replica in self.replicas.view().all() {
            let service = configuration.service(&replica.record.service);
            replica.set_service_warmup(service.and_then(|service| service.warmup));
        }
    }

    /// Takes an update of the replicas' space from the store.
    pub fn take_replicas(&self, update: &SpaceUpdate) {
        let mut rows = self.rows();
        let first = !std::mem::replace(&mut rows.replicas_read, true);
        if std::mem::take(&mut rows.replicas_of_peer) {
            rows.replicas.clear();
        }
        for key in &update.removed {
            if let Some((row, record)) = rows.replicas.remove(key) {
                self.log_replica(&record, "gone", row.revision);
            }
        }
        for row in &update.written {
            self.note_replica(&mut rows, row, first);
        }
        self.note_warmups(&update.written);
        if first {
            self.log_first_replicas(&rows, "store");
        }
        self.publish(&rows);
    }

    /// Takes replicas from a peer: only those that the store has not told of.
    pub fn take_replicas_of_peer(&self, peer_rows: &[Row]) {
        let mut rows = self.rows();
        if rows.replicas_read {
            return;
        }
        for row in peer_rows {
            self.note_replica(&mut rows, row, true);
        }
        rows.replicas_read = true;
        rows.replicas_of_peer = true;
        self.log_first_replicas(&rows, "peer");
        self.publish(&rows);
    }

    /// Takes a replica's row. The rows of the first read are logged together: a large fleet that starts would write a
    /// line for each pair of a daemon and a replica.
    fn note_replica(&self, rows: &mut KnownRows, row: &Row, is_first_read: bool) {
        let Some(record) = self.source.replica_of(row) else {
            return;
        };
        let known = rows.replicas.get(&row.key);
        let same = known.is_some_and(|(_, known)| *known == record);
        if !same && !is_first_read {
            let state = if record.draining { "draining" } else { "ready" };
            self.log_replica(&record, state, row.revision);
        }
        rows.replicas.insert(row.key.clone(), (row.clone(), record));
    }

    fn publish(&self, rows: &KnownRows) {
        let routes = self.routes.load_full();
        let memory_tokens = |service: &str| {
            let configuration = routes.as_ref().map(|table| &table.configuration);
            let service = configuration.and_then(|known| known.service(service));
            service.map_or(0, |service| service.memory_tokens)
        };
        let records = rows
            .replicas
            .values()
            .map(|(_, record)| record.clone())
            .collect();
        self.replicas.replace(records, memory_tokens);
        self.apply_warmups();
    }

    /// The rows' word on warmth, for replicas that were known before: new ones take it from their record.
    fn note_warmups(&self, written: &[Row]) {
        let seen = Instant::now();
        let view = self.replicas.view();
        for record in written.iter().filter_map(|row| self.source.replica_of(row)) {
            if let Some(replica) = view.get(&record.id) {
                replica.note_row_warmup(record.warmup, seen);
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
}
