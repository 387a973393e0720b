//! Reads a job's committed results, object by object, in order of chunks.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use harrierward_external::{ObjectStore, RequestClass, Table};
use harrierward_wire::{ChunkRow, decode};

use crate::errors::BatchError;
use crate::keys::chunk_prefix;
use crate::patience::at_the_rate;

/// Chunk rows read at once.
const PAGE: usize = 50;

/// Streams the results of a job; holds one object at a time.
pub struct ResultReader {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    prefix: String,
    after: String,
    names: VecDeque<String>,
    ended: bool,
}

impl ResultReader {
    /// A reader of what is committed of the job.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>, job_id: &str) -> Self {
        Self {
            table,
            objects,
            prefix: chunk_prefix(job_id),
            after: String::new(),
            names: VecDeque::new(),
            ended: false,
        }
    }

    /// The next object's lines; `None` at the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BatchError> {
        while self.names.is_empty() && !self.ended {
            self.read_page().await?;
        }
        let Some(name) = self.names.pop_front() else {
            return Ok(None);
        };
        let read = at_the_rate(|| self.objects.get(RequestClass::Commit, &name));
        Ok(Some(read.await?))
    }

    async fn read_page(&mut self) -> Result<(), BatchError> {
        let scan = || {
            let (prefix, after) = (&self.prefix, &self.after);
            self.table.scan(RequestClass::Commit, prefix, after, PAGE)
        };
        let rows = at_the_rate(scan).await?;
        self.ended = rows.len() < PAGE;
        for row in rows {
            let chunk: ChunkRow = decode(&row.value).unwrap_or_default();
            let names = chunk.results.into_iter().map(|result| result.name);
            self.names.extend(names);
            self.after = row.key;
        }
        Ok(())
    }
}
