//! Software versions at which streams of each service may have begun, as the store holds them.
//!
//! A version is stored before a replica of it passes on the first event of a stream, and is never removed. So what the
//! store holds after a stream was taken up includes the version that began it, whatever this daemon has missed.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{
    Condition, PlatformError, PlatformErrorKind, RequestClass, Row, RowVersion, Table, Transaction,
    TransactionOutcome, WatchedTable,
};
use harrierward_inline_jobs::served_versions_key;
use harrierward_stream_origins::{ServedVersions, SoftwareVersion};
use harrierward_wire::{ServedVersionsRow, decode, encode};
use tokio::time::Instant;

/// Format of the rows.
const FORMAT: u32 = 1;

/// Writes of a row that other daemons may overtake, before one gives up.
const MAX_CONFLICTS: usize = 8;

/// What is known of the versions of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Versions in the row.
    pub stored: ServedVersions,
    /// Versions that were ever seen there: another writer may have replaced the row.
    pub seen: ServedVersions,
    /// Revision of the row; 0 if there is none.
    pub revision: u64,
}

/// Start of the last successful check of a row; locked while one is under way.
type LastCheck = Arc<tokio::sync::Mutex<Option<Instant>>>;

/// The rows of all services.
pub struct VersionRows {
    table: Arc<dyn Table>,
    watched: Arc<dyn WatchedTable>,
    known: ArcSwap<BTreeMap<u32, Arc<KnownVersions>>>,
    checks: Mutex<HashMap<u32, LastCheck>>,
    log: DecisionLog,
}

impl VersionRows {
    /// Starts without knowledge.
    pub fn new(table: Arc<dyn Table>, watched: Arc<dyn WatchedTable>, log: DecisionLog) -> Self {
        Self {
            log,
            table,
            watched,
            known: ArcSwap::default(),
            checks: Mutex::default(),
        }
    }

    /// Returns what is known of a service.
    pub fn known(&self, service: u32) -> Arc<KnownVersions> {
        let known = self.known.load();
        known.get(&service).cloned().unwrap_or_default()
    }

    /// Learns a row, from a watch.
    pub fn apply(&self, row: &Row) {
        if let Some(service) = service_of_key(&row.key) {
            self.learn_row(service, &row.value, row.revision);
        }
    }

    /// Learns a row's content. Where it can't be read, a stream may have begun at any version.
    fn learn_row(&self, service: u32, value: &Bytes, revision: u64) {
        let versions = parse(value, service);
        if versions.is_none() && revision > self.known(service).revision {
            self.log.record(&Record::StreamRowRejected {
                row: &served_versions_key(service),
                revision,
                concluded: "any version",
            });
        }
        let versions = versions.unwrap_or_else(ServedVersions::any);
        self.learn(service, &versions, revision);
    }

    fn learn(&self, service: u32, stored: &ServedVersions, revision: u64) {
        self.update(service, |known| {
            known.seen.merge(stored);
            if revision >= known.revision {
                known.revision = revision;
                known.stored = stored.clone();
            }
        });
    }

    /// Learns that there is no row.
    fn learn_absence(&self, service: u32) {
        self.update(service, |known| {
            known.revision = 0;
            known.stored = ServedVersions::default();
        });
    }

    fn update(&self, service: u32, change: impl Fn(&mut KnownVersions)) {
        self.known.rcu(|rows| {
            let mut rows = BTreeMap::clone(rows);
            let mut known = rows
                .get(&service)
                .map(|known| KnownVersions::clone(known))
                .unwrap_or_default();
            change(&mut known);
            rows.insert(service, Arc::new(known));
            rows
        });
    }

    /// Returns a service's versions as of some moment after `since`. Callers share a check that began after all of them.
    ///
    /// # Errors
    /// The store didn't respond.
    pub async fn check(
        &self,
        service: u32,
        since: Instant,
    ) -> Result<Arc<KnownVersions>, PlatformError> {
        let last = {
            let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
            checks.entry(service).or_default().clone()
        };
        let mut checked_at = last.lock().await;
        if checked_at.is_none_or(|at| at < since) {
            let started_at = harrierward_clock::now();
            self.check_row(service).await?;
            *checked_at = Some(started_at);
        }
        Ok(self.known(service))
    }

    /// Asks for the row's present state: reads may be behind, transactions aren't.
    async fn check_row(&self, service: u32) -> Result<(), PlatformError> {
        let row = RowVersion {
            key: served_versions_key(service),
            revision: self.known(service).revision,
        };
        let check = self.watched.check_rows(&[row]).await?;
        for change in check.changes {
            match change.value {
                Some(value) => self.learn_row(service, &value, change.revision),
                None => self.learn_absence(service),
            }
        }
        Ok(())
    }

    /// Reads a row. It may be behind: what it holds is so, what it lacks may have been added.
    ///
    /// # Errors
    /// The store didn't respond.
    pub async fn read(&self, service: u32) -> Result<(), PlatformError> {
        let read = self.watched.read_row(&served_versions_key(service)).await?;
        if let Some(row) = read.row {
            self.learn_row(service, &row.value, row.revision);
        }
        Ok(())
    }

    /// Adds versions to a row, and those that another writer has removed from it.
    ///
    /// # Errors
    /// The store didn't respond, or others wrote the row each time.
    pub async fn add(
        &self,
        service: u32,
        versions: &[SoftwareVersion],
    ) -> Result<(), PlatformError> {
        for _ in 0..MAX_CONFLICTS {
            let known = self.known(service);
            let mut wanted = known.seen.clone();
            wanted.merge(&ServedVersions::of(versions.iter().copied()));
            if wanted == known.stored {
                return Ok(());
            }
            match self.write(service, known.revision, &wanted).await? {
                TransactionOutcome::Committed { revision } => {
                    self.learn(service, &wanted, revision);
                    return Ok(());
                }
                TransactionOutcome::Conflict {
                    current: Some(row), ..
                } => self.learn_row(service, &row.value, row.revision),
                TransactionOutcome::Conflict { current: None, .. } => self.learn_absence(service),
            }
        }
        let kind = PlatformErrorKind::NotDone;
        let detail = "others wrote the row each time";
        Err(PlatformError::new(
            "streams.versions",
            "store",
            kind,
            detail,
        ))
    }

    async fn write(
        &self,
        service: u32,
        revision: u64,
        versions: &ServedVersions,
    ) -> Result<TransactionOutcome, PlatformError> {
        let key = served_versions_key(service);
        let condition = match revision {
            0 => Condition::Absent { key: key.clone() },
            revision => Condition::AtRevision {
                key: key.clone(),
                revision,
            },
        };
        let row = ServedVersionsRow {
            format: FORMAT,
            service,
            versions: versions.iter().map(SoftwareVersion::hash).collect(),
            is_any: versions.is_any(),
        };
        let transaction = Transaction::default().require(condition);
        let transaction = transaction.put(key, encode(&row));
        self.table.transact(RequestClass::Urgent, transaction).await
    }
}

/// Returns the service whose row has this key.
fn service_of_key(key: &str) -> Option<u32> {
    let (_, hash) = key.rsplit_once('.')?;
    let service = u32::from_str_radix(hash, 16).ok()?;
    (served_versions_key(service) == key).then_some(service)
}

/// Returns the versions in a row; `None` if it can't be read.
fn parse(value: &Bytes, service: u32) -> Option<ServedVersions> {
    let row = decode::<ServedVersionsRow>(value)?;
    if row.format < FORMAT || row.service != service {
        return None;
    }
    if row.is_any {
        return Some(ServedVersions::any());
    }
    let versions = row.versions.into_iter();
    Some(ServedVersions::of(versions.map(SoftwareVersion::from_hash)))
}
