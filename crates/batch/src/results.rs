//! Streams a job's committed results, in order of chunks.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use harrierward_external::{ObjectStore, PlatformError, PlatformErrorKind, RequestClass, Table};
use harrierward_wire::{ChunkRow, ResultObject, decode};

use crate::errors::BatchError;
use crate::keys::chunk_prefix;
use crate::lines::read_lines;
use crate::rate_limit::retry_rate_limited;

/// Number of chunk rows in one scan.
const SCAN_PAGE: usize = 50;

/// The results of the chunk are not known, so that the response must not end as if it were complete.
fn unreadable_chunk() -> PlatformError {
    let kind = PlatformErrorKind::Malformed;
    PlatformError::new(
        "batch.read_results",
        "store",
        kind,
        "a chunk row cannot be read",
    )
}

/// Reader of the results of a job; keeps one object in memory at a time.
#[derive(Clone)]
pub struct ResultReader {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    prefix: String,
    after: String,
    results: VecDeque<ResultObject>,
    all_listed: bool,
}

impl ResultReader {
    /// Creates a reader of the job's committed results.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>, job_id: &str) -> Self {
        Self {
            table,
            objects,
            prefix: chunk_prefix(job_id),
            after: String::new(),
            results: VecDeque::new(),
            all_listed: false,
        }
    }

    /// Lists all results, so that those committed later are not read.
    pub async fn list_all(&mut self) -> Result<(), BatchError> {
        while !self.all_listed {
            self.read_page().await?;
        }
        Ok(())
    }

    /// Returns the lines of the next result object; `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BatchError> {
        while self.results.is_empty() && !self.all_listed {
            self.read_page().await?;
        }
        let Some(result) = self.results.pop_front() else {
            return Ok(None);
        };
        let objects = self.objects.as_ref();
        let read = retry_rate_limited(|| read_lines(objects, &result.name, result.lines));
        Ok(Some(read.await?))
    }

    async fn read_page(&mut self) -> Result<(), BatchError> {
        let scan = || {
            let (prefix, after) = (&self.prefix, &self.after);
            self.table
                .scan(RequestClass::Commit, prefix, after, SCAN_PAGE)
        };
        let rows = retry_rate_limited(scan).await?;
        self.all_listed = rows.len() < SCAN_PAGE;
        for row in rows {
            let chunk: ChunkRow = decode(&row.value).ok_or_else(unreadable_chunk)?;
            self.results.extend(chunk.results);
            self.after = row.key;
        }
        Ok(())
    }
}
