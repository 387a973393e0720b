//! Where streams may have begun, as the store holds it: the software versions of each service, the services of each host.
//!
//! Both are stored before the first event of a stream is passed on, and never removed. So what the store holds after a
//! stream was taken up includes where it began, whatever this daemon has missed.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{
    Condition, PlatformError, PlatformErrorKind, RequestClass, Row, RowVersion, Table, Transaction,
    TransactionOutcome, WatchedTable,
};
use harrierward_inline_jobs::{host_services_key, served_versions_key};
use harrierward_stream_origins::OriginSet;
use harrierward_wire::{OriginSetRow, decode, encode};
use tokio::time::{Instant, sleep_until};

/// Format of the rows.
const FORMAT: u32 = 1;

/// Writes of a row that other daemons may overtake, before one gives up.
const MAX_CONFLICTS: usize = 8;

/// That of which the store holds a set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// Software versions of the service with this hash of its name.
    Service(u32),
    /// Services of the host with this hash of its name.
    Host(u32),
}

impl Subject {
    /// Returns the key of the row.
    fn key(self) -> String {
        match self {
            Self::Service(service) => served_versions_key(service),
            Self::Host(host) => host_services_key(host),
        }
    }

    /// Returns the subject whose row has this key.
    fn of_key(key: &str) -> Option<Self> {
        let (_, hash) = key.rsplit_once('.')?;
        let hash = u32::from_str_radix(hash, 16).ok()?;
        let subjects = [Self::Service(hash), Self::Host(hash)];
        subjects.into_iter().find(|subject| subject.key() == key)
    }

    /// Returns its kind, for the decision log.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Service(_) => "service",
            Self::Host(_) => "host",
        }
    }

    /// Returns the hash of the name.
    pub fn hash(self) -> u32 {
        match self {
            Self::Service(hash) | Self::Host(hash) => hash,
        }
    }
}

/// What is known of a set. Where another writer removes members from the row, or the row, both sets differ until the row is
/// written again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownOrigins {
    /// Members in the row.
    pub stored: OriginSet,
    /// Members that were ever seen there: another writer may have replaced the row.
    pub seen: OriginSet,
    /// Revision of the row; 0 if there is none.
    pub revision: u64,
    /// Revision of the table as of which the row is known, present or absent. Earlier readings that arrive later are
    /// ignored.
    pub as_of: u64,
}

impl KnownOrigins {
    /// Returns the only member of the row, if none other was ever seen there.
    pub fn sole(&self) -> Option<u64> {
        self.stored.sole().filter(|_| self.stored == self.seen)
    }
}

/// Start of the last successful check of a row; locked while one is under way.
type LastCheck = Arc<tokio::sync::Mutex<Option<Instant>>>;

/// The rows of all services and hosts.
pub struct OriginSets {
    table: Arc<dyn Table>,
    watched: Arc<dyn WatchedTable>,
    known: ArcSwap<BTreeMap<Subject, Arc<KnownOrigins>>>,
    checks: Mutex<HashMap<Vec<Subject>, LastCheck>>,
    /// Minimum time between the starts of two checks of the same rows, milliseconds.
    check_interval_ms: AtomicU64,
    log: DecisionLog,
}

impl OriginSets {
    /// Starts without knowledge.
    pub fn new(table: Arc<dyn Table>, watched: Arc<dyn WatchedTable>, log: DecisionLog) -> Self {
        Self {
            log,
            table,
            watched,
            known: ArcSwap::default(),
            checks: Mutex::default(),
            check_interval_ms: AtomicU64::new(0),
        }
    }

    /// Returns what is known of a subject.
    pub fn known(&self, subject: Subject) -> Arc<KnownOrigins> {
        let known = self.known.load();
        known.get(&subject).cloned().unwrap_or_default()
    }

    /// True if the row lacks some of these members, or one that another writer has removed from it.
    pub fn lacks(&self, subject: Subject, members: &[u64]) -> bool {
        let known = self.known(subject);
        let mut members = members.iter();
        known.stored != known.seen || !members.all(|member| known.stored.contains(*member))
    }

    /// Returns the services of hosts that have had several.
    pub fn services_beside_others(&self) -> OriginSet {
        let mut services = OriginSet::default();
        for (subject, known) in self.known.load().iter() {
            if matches!(subject, Subject::Host(_)) && known.seen.sole().is_none() {
                services.merge(&known.seen);
            }
        }
        services
    }

    /// Learns a row, from a watch; `as_of` is a revision of the table that shows the row so.
    pub fn apply(&self, row: &Row, as_of: u64) {
        if let Some(subject) = Subject::of_key(&row.key) {
            self.learn_row(subject, &row.value, row.revision, as_of);
        }
    }

    /// Learns a row's content. Where it can't be read, a stream may have begun anywhere.
    fn learn_row(&self, subject: Subject, value: &Bytes, revision: u64, as_of: u64) {
        let members = parse(value, subject);
        if members.is_none() && !self.known(subject).stored.is_any() {
            self.log.record(&Record::StreamRowRejected {
                row: &subject.key(),
                revision,
                concluded: "any origin",
            });
        }
        let members = members.unwrap_or_else(OriginSet::any);
        self.learn(subject, &members, revision, as_of);
    }

    fn learn(&self, subject: Subject, stored: &OriginSet, revision: u64, as_of: u64) {
        let as_of = as_of.max(revision);
        self.update(subject, |known| {
            known.seen.merge(stored);
            if revision >= known.revision && as_of >= known.as_of {
                known.revision = revision;
                known.as_of = as_of;
                known.stored = stored.clone();
            }
        });
    }

    /// Learns that there is no row with this key at revision `as_of` of the table, from a watch. It is stored again.
    pub fn removed(&self, key: &str, as_of: u64) {
        if let Some(subject) = Subject::of_key(key) {
            self.learn_absence(subject, as_of);
        }
    }

    /// Learns that there is no row at revision `as_of` of the table.
    fn learn_absence(&self, subject: Subject, as_of: u64) {
        self.update(subject, |known| {
            if as_of >= known.as_of {
                known.revision = 0;
                known.as_of = as_of;
                known.stored = OriginSet::default();
            }
        });
    }

    fn update(&self, subject: Subject, change: impl Fn(&mut KnownOrigins)) {
        self.known.rcu(|rows| {
            let mut rows = BTreeMap::clone(rows);
            let mut known = rows
                .get(&subject)
                .map(|known| KnownOrigins::clone(known))
                .unwrap_or_default();
            change(&mut known);
            rows.insert(subject, Arc::new(known));
            rows
        });
    }

    /// Sets the minimum time between the starts of two checks of the same rows, in milliseconds.
    pub fn set_check_interval(&self, interval_ms: u64) {
        self.check_interval_ms.store(interval_ms, Ordering::Relaxed);
    }

    /// Updates what is known of these subjects to some moment after `since`. Callers share a check that began after all of
    /// them. To be run to its end, also if nobody waits any more: those that came meanwhile need it too.
    ///
    /// # Errors
    /// The store didn't respond.
    pub async fn check(&self, subjects: &[Subject], since: Instant) -> Result<(), PlatformError> {
        let last = {
            let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
            checks.entry(subjects.to_vec()).or_default().clone()
        };
        let mut checked_at = last.lock().await;
        if checked_at.is_none_or(|at| at < since) {
            if let Some(at) = *checked_at {
                let interval = self.check_interval_ms.load(Ordering::Relaxed);
                sleep_until(at + Duration::from_millis(interval)).await;
            }
            let started_at = harrierward_clock::now();
            self.check_rows(subjects).await?;
            *checked_at = Some(started_at);
        }
        Ok(())
    }

    /// Asks for the rows' present state: reads may be behind, transactions aren't.
    async fn check_rows(&self, subjects: &[Subject]) -> Result<(), PlatformError> {
        let rows = subjects.iter().map(|subject| RowVersion {
            key: subject.key(),
            revision: self.known(*subject).revision,
        });
        let rows: Vec<RowVersion> = rows.collect();
        let check = self.watched.check_rows(&rows).await?;
        for change in check.changes {
            let Some(subject) = Subject::of_key(&change.key) else {
                continue;
            };
            match change.value {
                Some(value) => self.learn_row(subject, &value, change.revision, check.revision),
                None => self.learn_absence(subject, change.revision),
            }
        }
        Ok(())
    }

    /// Reads a row. It may be behind: what it holds is so, what it lacks may have been added.
    ///
    /// # Errors
    /// The store didn't respond.
    pub async fn read(&self, subject: Subject) -> Result<(), PlatformError> {
        let read = self.watched.read_row(&subject.key()).await?;
        if let Some(row) = read.row {
            self.learn_row(subject, &row.value, row.revision, read.revision);
        }
        Ok(())
    }

    /// Adds members to a row, and those that another writer has removed from it.
    ///
    /// # Errors
    /// The store didn't respond, or others wrote the row each time.
    pub async fn add(&self, subject: Subject, members: &[u64]) -> Result<(), PlatformError> {
        for _ in 0..MAX_CONFLICTS {
            let known = self.known(subject);
            let mut wanted = known.seen.clone();
            wanted.merge(&OriginSet::of(members.iter().copied()));
            if wanted == known.stored {
                return Ok(());
            }
            match self.write(subject, known.revision, &wanted).await? {
                TransactionOutcome::Committed { revision } => {
                    self.learn(subject, &wanted, revision, revision);
                    return Ok(());
                }
                TransactionOutcome::Conflict {
                    current: Some(row),
                    table_revision,
                    ..
                } => self.learn_row(subject, &row.value, row.revision, table_revision),
                TransactionOutcome::Conflict {
                    current: None,
                    table_revision,
                    ..
                } => self.learn_absence(subject, table_revision),
            }
        }
        let kind = PlatformErrorKind::NotDone;
        let detail = "others wrote the row each time";
        Err(PlatformError::new("streams.origins", "store", kind, detail))
    }

    async fn write(
        &self,
        subject: Subject,
        revision: u64,
        members: &OriginSet,
    ) -> Result<TransactionOutcome, PlatformError> {
        let key = subject.key();
        let condition = match revision {
            0 => Condition::Absent { key: key.clone() },
            revision => Condition::AtRevision {
                key: key.clone(),
                revision,
            },
        };
        let row = OriginSetRow {
            format: FORMAT,
            subject: subject.hash(),
            members: members.iter().collect(),
            is_any: members.is_any(),
        };
        let transaction = Transaction::default().require(condition);
        let transaction = transaction.put(key, encode(&row));
        self.table.transact(RequestClass::Urgent, transaction).await
    }
}

/// Returns the members in a row; `None` if it can't be read.
fn parse(value: &Bytes, subject: Subject) -> Option<OriginSet> {
    let row = decode::<OriginSetRow>(value)?;
    if row.format < FORMAT || row.subject != subject.hash() {
        return None;
    }
    if row.is_any {
        return Some(OriginSet::any());
    }
    Some(OriginSet::of(row.members))
}
