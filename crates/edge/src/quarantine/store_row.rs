//! Crash reports in the store, for daemons that gossip doesn't reach or that start later.
//!
//! One row per daemon, in the space of the job headers, which every daemon watches. A daemon writes only crashes and
//! clearings that it observed itself, so that the writes for a crash don't grow with the daemons that learn of it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use harrierward_decisions::Record;
use harrierward_external::{
    PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction, TransactionOutcome,
};
use harrierward_inline_jobs::crash_reports_key;
use harrierward_wire::{CrashNews, CrashNewsRow, decode, encode};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::gossip::to_message;
use super::{QuarantineService, millis};

/// Minimum time between two writes; changes in between are batched.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Most contents and parts in a row; with sixteen crashes each it is 22 kB, half of the store's limit.
const MAX_STORED: usize = 100;

/// Name of the row in the decision log.
const DEPENDENCY: &str = "crash_news";

/// State of this daemon's own row.
#[derive(Default)]
pub struct OwnRow {
    /// Signals that the row must be written.
    write_due: Notify,
    last: Mutex<Option<ConfirmedWrite>>,
}

/// A write that the store confirmed.
#[derive(Clone, Copy)]
struct ConfirmedWrite {
    at_ms: u64,
    revision: u64,
}

impl OwnRow {
    /// Schedules a write of the current crash reports.
    pub fn schedule_write(&self) {
        self.write_due.notify_one();
    }

    fn last(&self) -> MutexGuard<'_, Option<ConfirmedWrite>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if an indeterminate earlier write took effect after a later one, and so replaced it.
    fn is_overwritten_by(&self, written_ms: u64, revision: u64) -> bool {
        self.last()
            .is_some_and(|last| last.revision < revision && written_ms < last.at_ms)
    }
}

impl QuarantineService {
    /// Keeps this daemon's row up to date, one write at a time; never returns. `store_now_ms` returns the store's
    /// clock, 0 while it is unknown.
    pub async fn run_row_writer(self, table: Arc<dyn Table>, store_now_ms: impl Fn() -> u64) {
        let key = crash_reports_key(&self.inner.instance_id);
        loop {
            self.inner.own_row.write_due.notified().await;
            self.write_until_done(table.as_ref(), &key, &store_now_ms)
                .await;
            sleep(WRITE_INTERVAL).await;
        }
    }

    /// Retries the write until the store confirms it or all crash reports have expired.
    async fn write_until_done(
        &self,
        table: &dyn Table,
        key: &str,
        store_now_ms: &impl Fn() -> u64,
    ) {
        let mut lost_at = None;
        while let Some(reports) = self.reports_to_store() {
            match self.write(table, key, reports, store_now_ms()).await {
                Ok(()) => {
                    self.log_store_regained(lost_at);
                    return;
                }
                // Logged once, not for each retry.
                Err(error) if lost_at.is_none() => {
                    lost_at = Some(harrierward_clock::now());
                    self.log_store_lost(&error);
                }
                Err(_) => {}
            }
            sleep(WRITE_INTERVAL).await;
        }
    }

    /// Returns the unexpired crash reports; `None` if there are none.
    fn reports_to_store(&self) -> Option<CrashNews> {
        let ledger = self.ledger();
        let statuses = self.inner.statuses.load();
        let reports = ledger.to_store(&statuses, harrierward_clock::now(), MAX_STORED);
        (!reports.is_empty()).then(|| to_message(&reports))
    }

    async fn write(
        &self,
        table: &dyn Table,
        key: &str,
        reports: CrashNews,
        written_ms: u64,
    ) -> Result<(), PlatformError> {
        const STEP: &str = "quarantine.keep";
        if written_ms == 0 {
            // Readers derive the reports' ages from `written_ms`, which has to be a reading of the store's clock.
            let kind = PlatformErrorKind::NotDone;
            return Err(PlatformError::new(
                STEP,
                "store",
                kind,
                "its clock is not known",
            ));
        }
        let row = CrashNewsRow {
            life: self.inner.instance_id.clone(),
            written_ms,
            news: Some(reports),
        };
        let transaction = Transaction::default().put(key, encode(&row));
        match table.transact(RequestClass::Commit, transaction).await? {
            TransactionOutcome::Committed { revision } => {
                let at_ms = written_ms;
                *self.inner.own_row.last() = Some(ConfirmedWrite { at_ms, revision });
                Ok(())
            }
            TransactionOutcome::Conflict { .. } => {
                let kind = PlatformErrorKind::Malformed;
                let detail = "a conflict without a condition";
                Err(PlatformError::new(STEP, "store", kind, detail))
            }
        }
    }

    /// Merges a row of any daemon, read when the store's clock was at `store_now_ms`. Returns false, and ignores the row,
    /// if it is malformed.
    pub fn apply_stored(&self, row: &Row, store_now_ms: u64) -> bool {
        let Some((stored, reports)) = parse(&row.value) else {
            return false;
        };
        let is_own = stored.life == self.inner.instance_id;
        let own_row = &self.inner.own_row;
        if is_own && own_row.is_overwritten_by(stored.written_ms, row.revision) {
            own_row.schedule_write();
        }
        // Without the store's clock the row's age is unknown.
        if store_now_ms > 0 {
            let age_ms = store_now_ms.saturating_sub(stored.written_ms);
            self.merge_reports(&aged(reports, age_ms), "store");
        }
        true
    }

    fn log_store_lost(&self, error: &PlatformError) {
        self.inner.log.record(&Record::DependencyLost {
            dependency: DEPENDENCY,
            cause: &error.to_string(),
        });
    }

    fn log_store_regained(&self, lost_at: Option<Instant>) {
        if let Some(since) = lost_at {
            self.inner.log.record(&Record::DependencyRegained {
                dependency: DEPENDENCY,
                away_ms: millis(harrierward_clock::age(since)),
            });
        }
    }
}

fn parse(value: &Bytes) -> Option<(CrashNewsRow, CrashNews)> {
    let mut row: CrashNewsRow = decode(value)?;
    let reports = row.news.take()?;
    Some((row, reports))
}

/// Adds `age_ms` to all ages in the reports; the ledger drops the expired ones.
fn aged(mut reports: CrashNews, age_ms: u64) -> CrashNews {
    let more = u32::try_from(age_ms).unwrap_or(u32::MAX);
    let of_contents = reports.contents.iter_mut();
    let of_contents = of_contents.map(|content| (&mut content.ends, &mut content.cleared_ms));
    let of_parts = reports.parts.iter_mut();
    let of_parts = of_parts.map(|part| (&mut part.ends, &mut part.cleared_ms));
    for (ends, cleared_ms) in of_contents.chain(of_parts) {
        for crash in ends {
            crash.age_ms = crash.age_ms.saturating_add(more);
        }
        // 0 means that it wasn't cleared.
        if *cleared_ms > 0 {
            *cleared_ms = cleared_ms.saturating_add(more);
        }
    }
    reports
}
