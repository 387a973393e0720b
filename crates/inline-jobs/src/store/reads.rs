//! Reads of jobs' rows, and their removal.

use harrierward_external::{
    Condition, PlatformError, PlatformErrorKind, RequestClass, Row, Transaction, TransactionOutcome,
};
use harrierward_wire::{ItemProgressRow, JobHeadRow, JobItemsRow, ResultPieceRow, decode};
use tokio::time::{Instant, sleep};

use super::settling::MAX_BACKOFF;
use super::{HeaderReading, JobStore, ReadResult, known};
use crate::keys::{self, JobRows, RowKind};
use crate::view::KnownHeader;

/// A revision that no row ever has; exact in a JSON number.
const UNREACHABLE_REVISION: u64 = 1 << 52;

/// Rows per page of a scan.
const MAX_READ_ROWS: usize = 500;

/// Rows per page of a scan of results; a typical row has about 15 kB.
const MAX_RESULT_ROWS: usize = 40;

/// Rows removed in one transaction.
const MAX_DELETE_ROWS: usize = 80;

impl JobStore {
    /// Reads all headers, as of `revision` or later; `None` if that fails until `until`.
    pub async fn read_headers(&self, revision: u64, until: Instant) -> Option<Vec<KnownHeader>> {
        let partitions = keys::partitions();
        while Instant::now() < until {
            let read = self
                .watched
                .read_space(keys::JOB_HEADERS, &partitions)
                .await;
            // The store may serve a read from before `revision`.
            if let Ok(snapshot) = read.as_ref()
                && snapshot.revision >= revision
            {
                let is_header = |row: &&Row| keys::row_kind(&row.key) == RowKind::Header;
                let headers = snapshot.rows.iter().filter(is_header);
                return Some(headers.filter_map(known).collect());
            }
            sleep(MAX_BACKOFF / 2).await;
        }
        None
    }

    /// Reads a job's header from the store, which may respond with an earlier state.
    pub async fn read_header(&self, job_id: &str) -> Result<HeaderReading, PlatformError> {
        let reading = self.watched.read_row(&keys::header(job_id)).await?;
        HeaderReading::of("jobs.read_header", reading.row.as_ref(), reading.revision)
    }

    /// Reads a job's header as of this call: a transaction whose condition never holds writes nothing and returns the
    /// current row. The store counts it as a write.
    pub async fn read_current_header(&self, job_id: &str) -> Result<HeaderReading, PlatformError> {
        const STEP: &str = "jobs.read_current_header";
        let condition = Condition::AtRevision {
            key: keys::header(job_id),
            revision: UNREACHABLE_REVISION,
        };
        let transaction = Transaction::default().require(condition);
        let outcome = self.transact(RequestClass::Urgent, transaction).await?;
        let revision = outcome.table_revision();
        let TransactionOutcome::Conflict { current, .. } = outcome else {
            let kind = PlatformErrorKind::Malformed;
            return Err(PlatformError::new(STEP, "store", kind, "no such revision"));
        };
        HeaderReading::of(STEP, current.as_ref(), revision)
    }

    /// Reads all rows of a job in one space.
    async fn read_all(&self, own: &JobRows) -> Result<Vec<Row>, PlatformError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut after = own.before();
        loop {
            let page = self
                .table
                .scan(RequestClass::Commit, &own.prefix, &after, MAX_READ_ROWS)
                .await?;
            let is_last = page.len() < MAX_READ_ROWS;
            if let Some(last) = page.last() {
                after.clone_from(&last.key);
            }
            rows.extend(page.into_iter().filter(|row| own.contains(&row.key)));
            if is_last || own.is_past(&after) {
                return Ok(rows);
            }
        }
    }

    /// Reads a job's items.
    pub async fn read_items(&self, header: &JobHeadRow) -> Result<JobItemsRow, PlatformError> {
        const STEP: &str = "jobs.read_items";
        let content = if header.item_object.is_empty() {
            let rows = self.read_all(&JobRows::items(&header.job_id)).await?;
            if rows.len() < header.item_rows as usize {
                let kind = PlatformErrorKind::Unknown;
                return Err(PlatformError::new(STEP, "store", kind, "rows are missing"));
            }
            rows.iter()
                .flat_map(|row| row.value.iter().copied())
                .collect()
        } else {
            self.objects
                .get(RequestClass::Commit, &header.item_object)
                .await?
        };
        decode(&content).ok_or_else(|| {
            let kind = PlatformErrorKind::Malformed;
            PlatformError::new(STEP, "store", kind, "the items cannot be read")
        })
    }

    /// Reads the progress of a job's unfinished items.
    pub async fn read_progress(
        &self,
        job_id: &str,
    ) -> Result<Vec<(u32, ItemProgressRow)>, PlatformError> {
        let own = JobRows::progress(job_id);
        let rows = self.read_all(&own).await?;
        let read = |row: &Row| Some((own.first_number(&row.key)?, decode(&row.value)?));
        Ok(rows.iter().filter_map(read).collect())
    }

    /// Reads results from `position` on, in order and without gaps: about `bytes` of text at most, but at least one.
    pub async fn read_results(
        &self,
        job_id: &str,
        position: u32,
        bytes: usize,
    ) -> Result<Vec<ReadResult>, PlatformError> {
        let own = JobRows::results(job_id);
        let mut after = keys::before_result(job_id, position);
        let mut results: Vec<ReadResult> = Vec::new();
        let mut pieces: Vec<ResultPieceRow> = Vec::new();
        let mut read_bytes = 0;
        loop {
            let page = self
                .table
                .scan(RequestClass::Commit, &own.prefix, &after, MAX_RESULT_ROWS)
                .await?;
            let last_page = page.len() < MAX_RESULT_ROWS;
            for row in page {
                if own.is_past(&row.key) {
                    return Ok(results);
                }
                let Some(at) = own.first_number(&row.key) else {
                    after = row.key;
                    continue;
                };
                let expected = position + u32::try_from(results.len()).unwrap_or_default();
                let piece: Option<ResultPieceRow> = decode(&row.value);
                let (Some(piece), true) = (piece, at == expected) else {
                    return Ok(results);
                };
                after = row.key;
                read_bytes += piece.text.len();
                pieces.push(piece);
                if pieces.len() < pieces[0].pieces as usize {
                    continue;
                }
                let joined: String = pieces.iter().map(|piece| piece.text.as_str()).collect();
                results.push(ReadResult {
                    failed: pieces[0].failed,
                    text: joined,
                });
                pieces.clear();
                if read_bytes >= bytes {
                    return Ok(results);
                }
            }
            if last_page {
                return Ok(results);
            }
        }
    }

    /// Removes all rows of an expired job, its header last.
    pub async fn remove(&self, known: &KnownHeader) -> Result<(), PlatformError> {
        let job_id = &known.header.job_id;
        for own in [
            JobRows::items(job_id),
            JobRows::results(job_id),
            JobRows::progress(job_id),
        ] {
            for rows in self.read_all(&own).await?.chunks(MAX_DELETE_ROWS) {
                let transaction = rows
                    .iter()
                    .fold(Transaction::default(), |transaction, row| {
                        transaction.delete(row.key.clone())
                    });
                self.transact(RequestClass::Listing, transaction).await?;
            }
        }
        if !known.header.item_object.is_empty() {
            self.objects
                .delete(RequestClass::Listing, &known.header.item_object)
                .await?;
        }
        let key = keys::header(job_id);
        let transaction = Transaction::default()
            .require(Condition::AtRevision {
                key: key.clone(),
                revision: known.revision,
            })
            .delete(key);
        self.transact(RequestClass::Listing, transaction).await?;
        Ok(())
    }
}
