//! The callers' operations on jobs: create, get, list and cancel.

use std::sync::Arc;

use harrierward_external::{Condition, RequestClass, Row, Table, Transaction, TransactionOutcome};
use harrierward_wire::{
    FileRow, JobKeyRow, JobRow, JobState, OpenJobRow, ProgressRow, decode, encode,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::errors::BatchError;
use crate::files::insert_if_absent;
use crate::keys::{client_key, job_key, job_prefix, open_key, progress_key};

/// Maximum number of tries to change a job row that others change concurrently.
const MAX_TRIES: usize = 8;

/// Returns a job id that sorts before those of earlier jobs, so that listings are newest first.
pub fn new_batch_id(now_ms: u64, random: u64) -> String {
    let newest_first = u64::MAX - now_ms;
    format!("batch_{newest_first:016x}{random:016x}")
}

/// Returns the shard of a job, by the hash of its id.
pub fn shard_of(job_id: &str, shards: u32) -> u32 {
    let shards = u64::from(shards.max(1));
    u32::try_from(xxh3_64(job_id.as_bytes()) % shards).unwrap_or_default()
}

/// Request to create a job.
#[derive(Debug, Clone)]
pub struct CreateJob {
    /// Tenant of the caller.
    pub tenant: String,
    /// Unique id for the job; see [`new_batch_id`].
    pub job_id: String,
    /// The caller's idempotency key, if any.
    pub client_key: Option<String>,
    /// URL that each item calls.
    pub url: String,
    /// Service that runs the items.
    pub service: String,
    /// Row of the input file.
    pub file: FileRow,
    /// Completion window as the caller sent it.
    pub completion_window: String,
    /// Completion window, milliseconds.
    pub window_ms: u64,
    /// The caller's metadata as JSON.
    pub metadata: String,
    /// Current time, milliseconds since 1970.
    pub now_ms: u64,
}

impl CreateJob {
    fn digest(&self) -> Vec<u8> {
        let text = format!(
            "{}\n{}\n{}\n{}",
            self.url, self.file.file_id, self.completion_window, self.metadata
        );
        xxh3_128(text.as_bytes()).to_le_bytes().to_vec()
    }

    fn row(&self, shards: u32) -> JobRow {
        JobRow {
            job_id: self.job_id.clone(),
            tenant: self.tenant.clone(),
            url: self.url.clone(),
            service: self.service.clone(),
            input_file_id: self.file.file_id.clone(),
            object_prefix: self.file.object_prefix.clone(),
            items: self.file.lines,
            shard: shard_of(&self.job_id, shards),
            state: JobState::InProgress as i32,
            created_at_ms: self.now_ms,
            deadline_at_ms: self.now_ms + self.window_ms,
            cancelling_at_ms: 0,
            ended_at_ms: 0,
            completed: 0,
            failed: 0,
            completion_window: self.completion_window.clone(),
            metadata: self.metadata.clone(),
        }
    }
}

/// A job with the counts of its committed items.
#[derive(Debug, Clone, PartialEq)]
pub struct JobView {
    /// Job row; [`JobService::get`] and [`JobService::list`] set the counts of an open job from its progress row.
    pub row: JobRow,
}

/// Job service of one daemon; cheap to clone.
#[derive(Clone)]
pub struct JobService {
    table: Arc<dyn Table>,
    shards: u32,
}

impl JobService {
    /// Creates a service on `table` for a fleet of `shards` shards.
    pub fn new(table: Arc<dyn Table>, shards: u32) -> Self {
        Self { table, shards }
    }

    /// Creates and commits a job. A resend with the same idempotency key returns the first job.
    pub async fn create(&self, create: CreateJob) -> Result<JobView, BatchError> {
        let row = create.row(self.shards);
        let key = job_key(&row.tenant, &row.job_id);
        let open = OpenJobRow {
            tenant: row.tenant.clone(),
        };
        let mut transaction = Transaction::default()
            .put(&key, encode(&row))
            .put(open_key(row.shard, &row.job_id), encode(&open));
        let Some(client) = &create.client_key else {
            insert_if_absent(self.table.as_ref(), transaction, &key).await?;
            return Ok(JobView { row });
        };
        let client_key = client_key("job", &row.tenant, client);
        let digest = create.digest();
        let key_row = JobKeyRow {
            id: row.job_id.clone(),
            digest: digest.clone(),
        };
        transaction = transaction.put(&client_key, encode(&key_row));
        let existing = insert_if_absent(self.table.as_ref(), transaction, &client_key).await?;
        let first = existing.map(|row| decode::<JobKeyRow>(&row.value).unwrap_or_default());
        match first {
            None => Ok(JobView { row }),
            Some(first) if first.digest != digest => Err(BatchError::KeyReused),
            Some(first) => self.get(&create.tenant, &first.id).await,
        }
    }

    async fn read(&self, tenant: &str, job_id: &str) -> Result<(Row, JobRow), BatchError> {
        let keys = [job_key(tenant, job_id)];
        let rows = self.table.get(RequestClass::Urgent, &keys).await?;
        let row = rows.into_iter().flatten().next();
        row.and_then(|row| {
            let job = decode::<JobRow>(&row.value)?;
            Some((row, job))
        })
        .ok_or_else(|| BatchError::NotFound {
            kind: "batch",
            id: job_id.to_owned(),
        })
    }

    /// Returns a job of the tenant, with its progress.
    pub async fn get(&self, tenant: &str, job_id: &str) -> Result<JobView, BatchError> {
        let (_, row) = self.read(tenant, job_id).await?;
        self.with_progress(vec![row])
            .await?
            .pop()
            .ok_or_else(|| BatchError::NotFound {
                kind: "batch",
                id: job_id.to_owned(),
            })
    }

    async fn with_progress(&self, mut jobs: Vec<JobRow>) -> Result<Vec<JobView>, BatchError> {
        let keys: Vec<String> = jobs
            .iter()
            .filter(|job| job.ended_at_ms == 0)
            .map(|job| progress_key(&job.job_id))
            .collect();
        if keys.is_empty() {
            return Ok(jobs.into_iter().map(|row| JobView { row }).collect());
        }
        let rows = self.table.get(RequestClass::Commit, &keys).await?;
        let open = jobs.iter_mut().filter(|job| job.ended_at_ms == 0);
        for (job, row) in open.zip(rows) {
            let progress = row.and_then(|row| decode::<ProgressRow>(&row.value));
            let progress = progress.unwrap_or_default();
            job.completed = progress.completed;
            job.failed = progress.failed;
        }
        Ok(jobs.into_iter().map(|row| JobView { row }).collect())
    }

    /// Lists up to `limit` jobs of the tenant, newest first, from the one after the job id `after`.
    pub async fn list(
        &self,
        tenant: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<JobView>, BatchError> {
        let after = after.map(|id| job_key(tenant, id)).unwrap_or_default();
        let rows = self
            .table
            .scan(RequestClass::Listing, &job_prefix(tenant), &after, limit)
            .await?;
        let jobs = rows.iter().filter_map(|row| decode(&row.value)).collect();
        self.with_progress(jobs).await
    }

    /// Commits a cancellation. Cancelling twice is no error.
    ///
    /// # Errors
    /// The job does not exist, is completed, or its row could not be changed.
    pub async fn cancel(
        &self,
        tenant: &str,
        job_id: &str,
        now_ms: u64,
    ) -> Result<JobView, BatchError> {
        let mut lost = None;
        for _ in 0..MAX_TRIES {
            let (stored, mut row) = match self.read(tenant, job_id).await {
                Ok(read) => read,
                Err(error) => return Err(lost.map_or(error, BatchError::Indeterminate)),
            };
            match JobState::try_from(row.state) {
                Ok(JobState::InProgress) => {}
                Ok(JobState::Completed) => {
                    return Err(BatchError::NotCancellable {
                        state: "completed".to_owned(),
                    });
                }
                _ => return self.get(tenant, job_id).await,
            }
            row.state = JobState::Cancelling as i32;
            row.cancelling_at_ms = now_ms;
            let transaction = Transaction::default()
                .require(Condition::AtRevision {
                    key: stored.key.clone(),
                    revision: stored.revision,
                })
                .put(stored.key, encode(&row));
            match self.table.transact(RequestClass::Urgent, transaction).await {
                Ok(TransactionOutcome::Committed { .. }) => return Ok(JobView { row }),
                Ok(TransactionOutcome::Conflict { .. }) => {}
                Err(error) if error.may_have_happened() => lost = Some(error),
                Err(error) => return Err(lost.map_or(error.into(), BatchError::Indeterminate)),
            }
        }
        Err(match lost {
            Some(error) => BatchError::Indeterminate(error),
            None => BatchError::BadField {
                field: "id",
                detail: "the job kept changing; try again".to_owned(),
            },
        })
    }
}
