//! A table in memory, with what other writers and a late response do to a daemon's calls.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_external::{
    ChangePage, Condition, PageStart, PlatformError, PlatformErrorKind, RequestClass, Row,
    RowChange, RowCheck, RowRead, RowVersion, SpacePage, Table, Transaction, TransactionOutcome,
    WatchedTable, Write,
};
use tokio::sync::watch;

/// A table in memory.
#[derive(Default)]
pub struct Rows {
    state: Mutex<State>,
    /// True while the responses of checks are held back.
    holds_checks: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    revision: u64,
    /// Writes of another writer, each just before the next transaction that writes.
    overtaking: VecDeque<(String, Bytes)>,
    /// Content that another writer gives a row just before it would be removed.
    rewriting: Option<Bytes>,
    /// Transactions whose response is lost; they take effect.
    lost_responses: usize,
    transactions: usize,
    checks: usize,
}

impl State {
    fn put(&mut self, key: &str, value: Bytes) {
        self.revision += 1;
        let row = Row {
            key: key.to_owned(),
            value,
            revision: self.revision,
        };
        self.rows.insert(key.to_owned(), row);
    }

    fn is_met(&self, condition: &Condition) -> bool {
        let row = self.rows.get(condition.key());
        match condition {
            Condition::Absent { .. } => row.is_none(),
            Condition::AtRevision { revision, .. } => {
                row.is_some_and(|row| row.revision == *revision)
            }
        }
    }

    fn apply(&mut self, writes: Vec<Write>) {
        for write in writes {
            match write {
                Write::Put { key, value } => self.put(&key, value),
                Write::Delete { key } => self.remove(&key),
            }
        }
    }

    fn rewrite_removed(&mut self, writes: &[Write]) {
        let Some(value) = self.rewriting.clone() else {
            return;
        };
        for write in writes {
            if let Write::Delete { key } = write {
                self.put(key, value.clone());
            }
        }
    }

    fn remove(&mut self, key: &str) {
        self.rows.remove(key);
        self.revision += 1;
    }
}

impl Rows {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("rows")
    }

    /// Writes a row, as another writer does; returns it.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> Row {
        let mut state = self.lock();
        state.put(key, value.into());
        state.rows[key].clone()
    }

    /// Removes a row, as another writer does; returns the revision of the table after that.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.remove(key);
        state.revision
    }

    /// Returns a row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.lock().rows.get(key).cloned()
    }

    /// Returns the keys with this prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.rows.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Has another writer write a row just before the next transaction that writes.
    pub fn overtake(&self, key: &str, value: impl Into<Bytes>) {
        let write = (key.to_owned(), value.into());
        self.lock().overtaking.push_back(write);
    }

    /// Has another writer write this into each row just before it would be removed.
    pub fn rewrite_before_removal(&self, value: impl Into<Bytes>) {
        self.lock().rewriting = Some(value.into());
    }

    /// Loses the response of the next transaction, which takes effect.
    pub fn lose_response(&self) {
        self.lock().lost_responses += 1;
    }

    /// Holds the responses of checks back, or lets them go.
    pub fn hold_checks(&self, held: bool) {
        self.holds_checks.send_replace(held);
    }

    /// Returns the number of checks so far.
    pub fn checks(&self) -> usize {
        self.lock().checks
    }

    /// Returns the number of transactions so far; checks don't count.
    pub fn transactions(&self) -> usize {
        self.lock().transactions
    }
}

#[async_trait]
impl Table for Rows {
    async fn transact(
        &self,
        _class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let mut state = self.lock();
        state.transactions += 1;
        if let Some((key, value)) = state.overtaking.pop_front() {
            state.put(&key, value);
        }
        state.rewrite_removed(&transaction.writes);
        let unmet = transaction.conditions.iter();
        if let Some(unmet) = unmet.clone().find(|condition| !state.is_met(condition)) {
            return Ok(TransactionOutcome::Conflict {
                key: unmet.key().to_owned(),
                current: state.rows.get(unmet.key()).cloned(),
                table_revision: state.revision,
            });
        }
        state.apply(transaction.writes);
        if state.lost_responses > 0 {
            state.lost_responses -= 1;
            let kind = PlatformErrorKind::Unknown;
            return Err(PlatformError::new("transact", "store", kind, "no answer"));
        }
        Ok(TransactionOutcome::Committed {
            revision: state.revision,
        })
    }

    async fn get(
        &self,
        _class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        let state = self.lock();
        Ok(keys
            .iter()
            .map(|key| state.rows.get(key).cloned())
            .collect())
    }

    async fn scan(
        &self,
        _class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let state = self.lock();
        let rows = state.rows.values();
        let rows = rows.filter(|row| row.key.starts_with(prefix) && row.key.as_str() > after);
        Ok(rows.take(limit).cloned().collect())
    }
}

#[async_trait]
impl WatchedTable for Rows {
    async fn read_page(
        &self,
        _space: &str,
        _start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        Ok(SpacePage::default())
    }

    async fn read_row(&self, key: &str) -> Result<RowRead, PlatformError> {
        let state = self.lock();
        Ok(RowRead {
            row: state.rows.get(key).cloned(),
            revision: state.revision,
        })
    }

    async fn check_rows(&self, rows: &[RowVersion]) -> Result<RowCheck, PlatformError> {
        let check = {
            let mut state = self.lock();
            state.checks += 1;
            let changes = rows.iter().filter_map(|known| {
                let row = state.rows.get(&known.key);
                let revision = row.map_or(0, |row| row.revision);
                (revision != known.revision).then(|| RowChange {
                    key: known.key.clone(),
                    revision: row.map_or(state.revision, |row| row.revision),
                    value: row.map(|row| row.value.clone()),
                })
            });
            RowCheck {
                changes: changes.collect(),
                revision: state.revision,
            }
        };
        let mut holds = self.holds_checks.subscribe();
        let released = holds.wait_for(|held| !held).await;
        released.expect("never closed");
        Ok(check)
    }

    async fn wait_changes(
        &self,
        _space: &str,
        _after: u64,
        _wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        std::future::pending().await
    }
}
