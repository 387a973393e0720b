//! The news of ends of replicas in the store, for daemons that no datagram reaches and for those that start later.
//!
//! One row a daemon, in the space of the jobs' heads, which every daemon watches anyway. Only a daemon that saw an end or a
//! clearing itself writes, never one that heard of it: a crash costs a write or two, and a day without crashes nothing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use harrierward_decisions::Record;
use harrierward_external::{
    PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction, TransactionOutcome,
};
use harrierward_inline_jobs::crash_news;
use harrierward_wire::{CrashNews, CrashNewsRow, decode, encode};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::telling::to_message;
use super::{QuarantineService, millis};

/// Least time between two writes: what is new meanwhile goes with the next one.
const WRITE_EVERY: Duration = Duration::from_millis(250);

/// Most contents in a row: 6 kB at three ends each, 22 kB at sixteen. The store takes rows of 45 kB.
const MOST_STORED: usize = 100;

/// Name of the row in the log.
const DEPENDENCY: &str = "crash_news";

/// What is known of this daemon's own row.
#[derive(Default)]
pub struct OwnRow {
    /// There is something new to write.
    is_due: Notify,
    last: Mutex<Option<Written>>,
}

/// A write that the store has confirmed.
#[derive(Clone, Copy)]
struct Written {
    at_ms: u64,
    revision: u64,
}

impl OwnRow {
    /// Lets the row be written with what is known now.
    pub fn set_due(&self) {
        self.is_due.notify_one();
    }

    fn last(&self) -> MutexGuard<'_, Option<Written>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if a write that was in doubt was done after a later one, and has taken its place.
    fn is_undone_by(&self, written_ms: u64, revision: u64) -> bool {
        self.last()
            .is_some_and(|last| last.revision < revision && written_ms < last.at_ms)
    }
}

impl QuarantineService {
    /// Keeps the own row up to date, one write at a time; ends with the process. `store_now_ms` gives the store's clock, 0
    /// while it is not known.
    pub async fn keep_stored(self, table: Arc<dyn Table>, store_now_ms: impl Fn() -> u64) {
        let key = crash_news(&self.inner.life);
        loop {
            self.inner.own_row.is_due.notified().await;
            self.write_until_done(table.as_ref(), &key, &store_now_ms)
                .await;
            sleep(WRITE_EVERY).await;
        }
    }

    /// Writes what is known, again and again until the store has confirmed it or nothing of it counts any more.
    async fn write_until_done(
        &self,
        table: &dyn Table,
        key: &str,
        store_now_ms: &impl Fn() -> u64,
    ) {
        let mut lost_at = None;
        while let Some(news) = self.news_to_keep() {
            match self.write(table, key, news, store_now_ms()).await {
                Ok(()) => {
                    self.log_written(lost_at);
                    return;
                }
                // Said once, however often it is tried.
                Err(error) if lost_at.is_none() => {
                    lost_at = Some(harrierward_clock::now());
                    self.log_not_written(&error);
                }
                Err(_) => {}
            }
            sleep(WRITE_EVERY).await;
        }
    }

    /// What still counts; `None` if nothing does.
    fn news_to_keep(&self) -> Option<CrashNews> {
        let ledger = self.ledger();
        let standings = self.inner.standings.load();
        let kept = ledger.to_store(&standings, harrierward_clock::now(), MOST_STORED);
        (!kept.is_empty()).then(|| to_message(&kept))
    }

    async fn write(
        &self,
        table: &dyn Table,
        key: &str,
        news: CrashNews,
        written_ms: u64,
    ) -> Result<(), PlatformError> {
        const STEP: &str = "quarantine.keep";
        if written_ms == 0 {
            // Its ages would tell nothing. The rows that are there have not been read yet either.
            let kind = PlatformErrorKind::NotDone;
            return Err(PlatformError::new(
                STEP,
                "store",
                kind,
                "its clock is not known",
            ));
        }
        let row = CrashNewsRow {
            life: self.inner.life.clone(),
            written_ms,
            news: Some(news),
        };
        let transaction = Transaction::default().put(key, encode(&row));
        match table.transact(RequestClass::Commit, transaction).await? {
            TransactionOutcome::Committed { revision } => {
                let at_ms = written_ms;
                *self.inner.own_row.last() = Some(Written { at_ms, revision });
                Ok(())
            }
            TransactionOutcome::Conflict { .. } => {
                let kind = PlatformErrorKind::Malformed;
                let detail = "a conflict without a condition";
                Err(PlatformError::new(STEP, "store", kind, detail))
            }
        }
    }

    /// Takes a row of any daemon, read when the store's clock was at `store_now_ms`.
    pub fn take_stored(&self, row: &Row, store_now_ms: u64) {
        let Some((stored, news)) = read(&row.value) else {
            return;
        };
        let is_own = stored.life == self.inner.life;
        let own_row = &self.inner.own_row;
        if is_own && own_row.is_undone_by(stored.written_ms, row.revision) {
            own_row.set_due();
        }
        // Without a clock it is not known how old it is; such a read proves nothing else either.
        if store_now_ms > 0 {
            let age_ms = store_now_ms.saturating_sub(stored.written_ms);
            self.take_news(&aged(news, age_ms));
        }
    }

    fn log_not_written(&self, error: &PlatformError) {
        self.inner.log.record(&Record::DependencyLost {
            dependency: DEPENDENCY,
            cause: &error.to_string(),
        });
    }

    fn log_written(&self, lost_at: Option<Instant>) {
        if let Some(since) = lost_at {
            self.inner.log.record(&Record::DependencyRegained {
                dependency: DEPENDENCY,
                away_ms: millis(harrierward_clock::age(since)),
            });
        }
    }
}

fn read(value: &Bytes) -> Option<(CrashNewsRow, CrashNews)> {
    let mut row: CrashNewsRow = decode(value)?;
    let news = row.news.take()?;
    Some((row, news))
}

/// The same news so much later. What is too old to count is left to the ledger.
fn aged(mut news: CrashNews, age_ms: u64) -> CrashNews {
    let more = u32::try_from(age_ms).unwrap_or(u32::MAX);
    for content in &mut news.contents {
        for end in &mut content.ends {
            end.age_ms = end.age_ms.saturating_add(more);
        }
        // 0 stands for none.
        if content.cleared_ms > 0 {
            content.cleared_ms = content.cleared_ms.saturating_add(more);
        }
    }
    news
}
