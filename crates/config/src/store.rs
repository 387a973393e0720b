//! Stores the configuration in the platform's table: validated apply in one conditional transaction, and reads.
//!
//! Rows: `config/head`, `config/object/{kind}/{name}`, `config/log/{revision}`, `config/operation/{id}`.

use std::collections::BTreeMap;
use std::sync::Arc;

use harrierward_external::{
    Condition, PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction,
    TransactionOutcome,
};
use harrierward_wire::{
    ConfigChange, ConfigDeltaReply, ConfigHead, ConfigLogEntry, ConfigObjectRow, decode, encode,
};

use crate::check::{ChangeSet, ProgramCheck, check_changes};
use crate::errors::ConfigError;
use crate::objects::{ConfigObject, ObjectId};
use crate::snapshot::ConfigSnapshot;

const HEAD_KEY: &str = "config/head";
const OBJECT_PREFIX: &str = "config/object/";
const LOG_PREFIX: &str = "config/log/";
const OPERATION_PREFIX: &str = "config/operation/";

/// Attempts under concurrent changes before giving up.
const MAX_ATTEMPTS: usize = 12;

/// Rows per page of a scan.
const SCAN_PAGE: usize = 500;

/// Deltas of more revisions are replaced by the full configuration.
const MAX_DELTA_REVISIONS: u64 = 200;

/// One object that an operator wants to change.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestedChange {
    /// Object to change.
    pub id: ObjectId,
    /// New state; `None` removes the object.
    pub object: Option<ConfigObject>,
    /// Revision that the operator read; `None` uses the current one at the first attempt.
    pub based_on: Option<u64>,
}

/// An operator's change of one or more objects, applied atomically.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyRequest {
    /// Unique id, the same when the change is resent.
    pub operation: String,
    /// Tenant of the operator key; `None` for the fleet's own set-up, which may change all objects.
    pub operator: Option<String>,
    /// Time of the change, milliseconds since 1970.
    pub at_ms: u64,
    /// Changes by object.
    pub changes: Vec<RequestedChange>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// Revision that the change was given.
    pub revision: u64,
    /// Log entry, if this call wrote it; `None` for a resent operation.
    pub entry: Option<ConfigLogEntry>,
}

/// Client of the configuration's rows in the table.
#[derive(Clone)]
pub struct ConfigStore {
    table: Arc<dyn Table>,
}

struct StoredRows {
    head: Option<Row>,
    operation: Option<Row>,
    objects: BTreeMap<ObjectId, Option<Row>>,
}

fn object_key(id: &ObjectId) -> String {
    format!("{OBJECT_PREFIX}{id}")
}

fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

fn malformed(key: &str) -> PlatformError {
    let kind = PlatformErrorKind::Malformed;
    PlatformError::new(
        "config.read",
        "table",
        kind,
        format!("unreadable row {key}"),
    )
}

fn head_revision(head: Option<&Row>) -> Result<u64, PlatformError> {
    match head {
        None => Ok(0),
        Some(row) => decode::<ConfigHead>(&row.value)
            .map(|head| head.revision)
            .ok_or_else(|| malformed(HEAD_KEY)),
    }
}

/// Returns the revision that last wrote the object; 0 if it does not exist.
fn object_revision(row: Option<&Row>) -> Result<u64, PlatformError> {
    let Some(row) = row else { return Ok(0) };
    let stored: ConfigObjectRow = decode(&row.value).ok_or_else(|| malformed(&row.key))?;
    Ok(if stored.object.is_empty() {
        0
    } else {
        stored.revision
    })
}

fn check_ownership(request: &ApplyRequest, current: &ConfigSnapshot) -> Result<(), ConfigError> {
    let Some(operator) = &request.operator else {
        return Ok(());
    };
    for change in &request.changes {
        let existing = current.object(&change.id);
        let objects = existing.into_iter().chain(&change.object);
        for object in objects {
            if object.owner != *operator {
                return Err(ConfigError::Forbidden {
                    object: change.id.clone(),
                });
            }
        }
    }
    Ok(())
}

impl ConfigStore {
    /// Creates a client of `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Returns the newest revision; 0 before the first change.
    pub async fn head(&self) -> Result<u64, PlatformError> {
        let keys = [HEAD_KEY.to_owned()];
        let rows = self.table.get(RequestClass::Urgent, &keys).await?;
        head_revision(rows.first().and_then(Option::as_ref))
    }

    /// Returns the changes above revision `after`, or all objects if there are too many.
    pub async fn delta(&self, after: u64) -> Result<ConfigDeltaReply, PlatformError> {
        let head = self.head().await?;
        if head.saturating_sub(after) > MAX_DELTA_REVISIONS {
            return self.read_all().await;
        }
        let rows = self.scan_all(LOG_PREFIX, &log_key(after)).await?;
        let entries = rows
            .iter()
            .map(|row| decode::<ConfigLogEntry>(&row.value).ok_or_else(|| malformed(&row.key)))
            .collect::<Result<Vec<_>, _>>()?;
        let revision = entries.last().map_or(after, |entry| entry.revision);
        Ok(ConfigDeltaReply {
            entries,
            revision,
            ..ConfigDeltaReply::default()
        })
    }

    /// Returns all objects. The head is read before and after, so that all rows are of one revision.
    pub async fn read_all(&self) -> Result<ConfigDeltaReply, PlatformError> {
        for _ in 0..MAX_ATTEMPTS {
            let before = self.head().await?;
            let rows = self.scan_all(OBJECT_PREFIX, "").await?;
            if self.head().await? != before {
                continue;
            }
            let objects = rows
                .iter()
                .map(|row| decode(&row.value).ok_or_else(|| malformed(&row.key)))
                .collect::<Result<Vec<_>, _>>()?;
            return Ok(ConfigDeltaReply {
                whole: true,
                objects,
                revision: before,
                ..ConfigDeltaReply::default()
            });
        }
        let kind = PlatformErrorKind::NotDone;
        Err(PlatformError::new(
            "config.read",
            "table",
            kind,
            "the configuration kept changing while it was read",
        ))
    }

    /// Returns the log entries above `after`, oldest first.
    pub async fn history(&self, after: u64) -> Result<Vec<ConfigLogEntry>, PlatformError> {
        let rows = self.scan_all(LOG_PREFIX, &log_key(after)).await?;
        rows.iter()
            .map(|row| decode(&row.value).ok_or_else(|| malformed(&row.key)))
            .collect()
    }

    async fn scan_all(&self, prefix: &str, after: &str) -> Result<Vec<Row>, PlatformError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut after = after.to_owned();
        loop {
            let page = self
                .table
                .scan(RequestClass::Commit, prefix, &after, SCAN_PAGE)
                .await?;
            let is_full = page.len() == SCAN_PAGE;
            rows.extend(page);
            match rows.last() {
                Some(last) if is_full => after = last.key.clone(),
                _ => return Ok(rows),
            }
        }
    }

    async fn read_rows(&self, request: &ApplyRequest) -> Result<StoredRows, PlatformError> {
        let mut keys = vec![
            HEAD_KEY.to_owned(),
            format!("{OPERATION_PREFIX}{}", request.operation),
        ];
        keys.extend(request.changes.iter().map(|change| object_key(&change.id)));
        let mut rows = self
            .table
            .get(RequestClass::Urgent, &keys)
            .await?
            .into_iter();
        let head = rows.next().flatten();
        let operation = rows.next().flatten();
        let ids = request.changes.iter().map(|change| change.id.clone());
        Ok(StoredRows {
            head,
            operation,
            objects: ids.zip(rows).collect(),
        })
    }

    /// Validates and commits a change. A resent operation returns the same revision.
    pub async fn apply(
        &self,
        request: &ApplyRequest,
        program_check: ProgramCheck<'_>,
    ) -> Result<Applied, ConfigError> {
        let mut base_revisions: BTreeMap<ObjectId, u64> = request
            .changes
            .iter()
            .filter_map(|change| Some((change.id.clone(), change.based_on?)))
            .collect();
        let mut indeterminate_error = None;
        for _ in 0..MAX_ATTEMPTS {
            match self
                .try_apply(request, &mut base_revisions, program_check)
                .await
            {
                Ok(Some(applied)) => return Ok(applied),
                Ok(None) => {}
                Err(ConfigError::Indeterminate(error)) => indeterminate_error = Some(error),
                Err(ConfigError::Store(_)) if indeterminate_error.is_some() => {}
                Err(error) => return Err(error),
            }
        }
        Err(indeterminate_error.map_or(ConfigError::Contended, ConfigError::Indeterminate))
    }

    /// Attempts a change once; `None` if another change was committed meanwhile.
    async fn try_apply(
        &self,
        request: &ApplyRequest,
        base_revisions: &mut BTreeMap<ObjectId, u64>,
        program_check: ProgramCheck<'_>,
    ) -> Result<Option<Applied>, ConfigError> {
        let stored = self.read_rows(request).await.map_err(ConfigError::Store)?;
        if let Some(row) = &stored.operation {
            let revision = head_revision(Some(row)).map_err(ConfigError::Store)?;
            return Ok(Some(Applied {
                revision,
                entry: None,
            }));
        }
        for (id, row) in &stored.objects {
            let current = object_revision(row.as_ref()).map_err(ConfigError::Store)?;
            let based_on = *base_revisions.entry(id.clone()).or_insert(current);
            if based_on != current {
                return Err(ConfigError::Conflict {
                    object: id.clone(),
                    based_on,
                    current,
                });
            }
        }
        let all = self.read_all().await.map_err(ConfigError::Store)?;
        let current = ConfigSnapshot::from_rows(all.revision, &all.objects)
            .ok_or_else(|| ConfigError::Store(malformed(OBJECT_PREFIX)))?;
        let head = head_revision(stored.head.as_ref()).map_err(ConfigError::Store)?;
        if current.revision() != head {
            return Ok(None);
        }
        check_ownership(request, &current)?;
        let changes: ChangeSet = request
            .changes
            .iter()
            .map(|change| (change.id.clone(), change.object.clone()))
            .collect();
        check_changes(&current, &changes, program_check)?;
        self.commit(request, &stored, head + 1).await
    }

    async fn commit(
        &self,
        request: &ApplyRequest,
        stored: &StoredRows,
        revision: u64,
    ) -> Result<Option<Applied>, ConfigError> {
        let operation_key = format!("{OPERATION_PREFIX}{}", request.operation);
        let entry = log_entry(request, revision);
        let head = encode(&ConfigHead { revision });
        let mut transaction = Transaction::default()
            .require(Condition::unchanged(HEAD_KEY, stored.head.as_ref()))
            .require(Condition::unchanged(&operation_key, None))
            .put(HEAD_KEY, head.clone())
            .put(operation_key, head)
            .put(log_key(revision), encode(&entry));
        for change in &entry.changes {
            let id: ObjectId = match change.id.parse() {
                Ok(id) => id,
                Err(_) => continue,
            };
            let key = object_key(&id);
            let row = stored.objects.get(&id).and_then(Option::as_ref);
            let updated = ConfigObjectRow {
                revision,
                object: change.object.clone(),
            };
            transaction = transaction
                .require(Condition::unchanged(&key, row))
                .put(key, encode(&updated));
        }
        match self.table.transact(RequestClass::Urgent, transaction).await {
            Ok(TransactionOutcome::Committed { .. }) => Ok(Some(Applied {
                revision,
                entry: Some(entry),
            })),
            Ok(TransactionOutcome::Conflict { .. }) => Ok(None),
            Err(error) if error.may_have_happened() => Err(ConfigError::Indeterminate(error)),
            Err(error) => Err(ConfigError::Store(error)),
        }
    }
}

fn log_entry(request: &ApplyRequest, revision: u64) -> ConfigLogEntry {
    let changes = request
        .changes
        .iter()
        .map(|change| ConfigChange {
            id: change.id.to_string(),
            object: change
                .object
                .as_ref()
                .map(|object| serde_json::to_string(object).unwrap_or_default())
                .unwrap_or_default(),
        })
        .collect();
    ConfigLogEntry {
        revision,
        operation: request.operation.clone(),
        operator: request.operator.clone().unwrap_or_default(),
        at_ms: request.at_ms,
        changes,
    }
}
