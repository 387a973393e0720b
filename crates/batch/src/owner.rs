//! Runs [`OwnerCore`] on the stores: loads jobs and input lines, commits chunks and finalizes jobs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use harrierward_external::{
    Backoff, ObjectStore, PlatformError, RequestClass, Table, TransactionOutcome,
};
use harrierward_wire::{
    ChunkRow, JobNotice, JobRow, JobState, OpenJobRow, PullReply, PullRequest, ResultsReply,
    ResultsRequest, decode,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, timeout};

use crate::core::{
    ChunkCommit, ChunkRef, CommitOutcome, InputLine, JobFinalization, OwnerCore, OwnerSettings,
    StoredChunk, StoredJob,
};
use crate::keys::{chunk_prefix, job_key, open_prefix, part_name, shard_key};
use crate::lines::read_lines;

const PREFIX: &str = "shards:";
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
const SCAN_PAGE: usize = 200;

/// Field of an input line whose value [`AT_MOST_ONCE`] forbids repeated runs.
const EXECUTION_FIELD: &str = "execution";
const AT_MOST_ONCE: &str = "at-most-once";

/// Bounds of the driver.
#[derive(Debug, Clone, Copy)]
pub struct OwnerDriverSettings {
    /// Bounds of the core.
    pub core: OwnerSettings,
    /// Interval at which expiry and due commits are checked.
    pub tick: Duration,
    /// Interval between scans of the owned shards for jobs and cancellations whose notice was lost.
    pub discovery_interval: Duration,
    /// Maximum number of concurrent input loads and commits.
    pub concurrency: usize,
    /// Seed of the backoff jitter.
    pub seed: u64,
}

impl Default for OwnerDriverSettings {
    fn default() -> Self {
        Self {
            core: OwnerSettings::default(),
            tick: Duration::from_millis(50),
            discovery_interval: Duration::from_secs(10),
            concurrency: 16,
            seed: 0,
        }
    }
}

/// The daemon's side of the driver: receives lost shards and supplies the wall clock.
pub trait OwnerEvents: Send + Sync {
    /// Called when a write showed that another member owns the shard; the driver has dropped it.
    fn shard_lost(&self, shard: u32);
    /// Returns the current time, milliseconds since 1970.
    fn now_ms(&self) -> u64;
}

/// Shard owner of one daemon; cheap to clone.
#[derive(Clone)]
pub struct OwnerDriver {
    shared: Arc<Shared>,
}

struct Shared {
    core: Mutex<OwnerCore>,
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    events: Arc<dyn OwnerEvents>,
    settings: OwnerDriverSettings,
    started: Instant,
    wake: Notify,
    permits: Arc<Semaphore>,
}

impl OwnerDriver {
    /// Starts a driver on the current tokio runtime.
    pub fn start(
        member: &str,
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        events: Arc<dyn OwnerEvents>,
        settings: OwnerDriverSettings,
    ) -> Self {
        let shared = Arc::new(Shared {
            core: Mutex::new(OwnerCore::new(member, settings.core)),
            table,
            objects,
            events,
            settings,
            started: Instant::now(),
            wake: Notify::new(),
            permits: Arc::new(Semaphore::new(settings.concurrency)),
        });
        tokio::spawn(run_ticks(shared.clone()));
        tokio::spawn(run_discovery(shared.clone()));
        Self { shared }
    }

    /// Adds a shard whose ownership row this member wrote at `revision`, and loads its jobs in the background.
    pub fn take_shard(&self, shard: u32, epoch: u64, revision: u64) {
        self.shared.lock().take_shard(shard, epoch, revision);
        let shared = self.shared.clone();
        tokio::spawn(async move { shared.discover_until_done(shard).await });
    }

    /// Removes a shard and its jobs; uncommitted results are lost.
    pub fn drop_shard(&self, shard: u32) {
        self.shared.lock().drop_shard(shard);
    }

    /// Returns the owned shards in ascending order.
    pub fn shards(&self) -> Vec<u32> {
        self.shared.lock().shards()
    }

    /// Renews the caller's grants and grants items; see [`OwnerCore::pull`].
    pub fn pull(&self, request: &PullRequest) -> PullReply {
        let now = self.shared.now();
        let reply = self.shared.lock().pull(request, now);
        self.shared.wake.notify_one();
        reply
    }

    /// Accepts results and returned items; see [`OwnerCore::results`].
    pub fn results(&self, request: &ResultsRequest) -> ResultsReply {
        let now = self.shared.now();
        let reply = self.shared.lock().results(request, now);
        self.shared.wake.notify_one();
        reply
    }

    /// Loads a new job if this member owns its shard; a failed load is left to discovery.
    pub async fn job_accepted(&self, notice: &JobNotice) {
        let owned = self.shared.lock().owns(notice.shard);
        if owned {
            self.shared.load_job(&notice.tenant, &notice.job_id).await;
        }
    }

    /// Stops granting a job whose cancellation is committed; returns the members that hold items of it.
    pub fn cancel_job(&self, job_id: &str) -> Vec<String> {
        let holders = self.shared.lock().cancel_job(job_id);
        self.shared.wake.notify_one();
        holders
    }

    /// Returns the number of items that wait to be granted, by service; services without any are left out.
    pub fn backlog(&self) -> BTreeMap<String, u32> {
        self.shared.lock().backlog()
    }

    /// Returns the tenant of each loaded job, by job id.
    pub fn job_tenants(&self) -> BTreeMap<String, String> {
        self.shared.lock().job_tenants()
    }

    /// Returns the number of items that wait to be granted, by service and tenant.
    pub fn backlog_by_tenant(&self) -> BTreeMap<String, BTreeMap<String, u32>> {
        self.shared.lock().backlog_by_tenant()
    }

    /// Stops granting items of a shard that will be released and waits, at most for `limit`, for its commits.
    pub async fn flush_shard(&self, shard: u32, limit: Duration) {
        self.shared.lock().close_shard(shard);
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && !self.shared.lock().is_flushed(shard) {
            self.shared.wake.notify_one();
            sleep(self.shared.settings.tick).await;
        }
    }

    /// Returns the number of loaded jobs.
    pub fn job_count(&self) -> usize {
        self.shared.lock().job_count()
    }

    /// Returns the size of uncommitted results, bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.shared.lock().buffered_bytes()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, OwnerCore> {
        self.core
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn discover_until_done(&self, shard: u32) {
        let mut random = StdRng::seed_from_u64(self.settings.seed ^ u64::from(shard));
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        while self.lock().owns(shard) {
            match self.discover(shard).await {
                Ok(()) => return,
                Err(error) => {
                    log::debug!("{PREFIX} cannot list jobs of shard {shard}, will retry: {error}");
                    sleep(backoff.wait(&mut random)).await;
                }
            }
        }
    }

    async fn discover(&self, shard: u32) -> Result<(), PlatformError> {
        let prefix = open_prefix(shard);
        let mut after = String::new();
        loop {
            let rows = self
                .table
                .scan(RequestClass::Listing, &prefix, &after, SCAN_PAGE)
                .await?;
            for row in &rows {
                let job_id = row.key.trim_start_matches(&prefix);
                let open: OpenJobRow = decode(&row.value).unwrap_or_default();
                self.try_load_job(&open.tenant, job_id).await?;
            }
            match rows.last() {
                Some(last) if rows.len() == SCAN_PAGE => after = last.key.clone(),
                _ => return Ok(()),
            }
        }
    }

    async fn load_job(&self, tenant: &str, job_id: &str) {
        if let Err(error) = self.try_load_job(tenant, job_id).await {
            log::debug!("{PREFIX} cannot load job {job_id}, left to the next discovery: {error}");
        }
    }

    /// Reads the job row and, unless the job is loaded already, its chunk rows.
    async fn try_load_job(&self, tenant: &str, job_id: &str) -> Result<(), PlatformError> {
        let keys = [job_key(tenant, job_id)];
        let rows = self.table.get(RequestClass::Commit, &keys).await?;
        let Some(stored) = rows.into_iter().flatten().next() else {
            return Ok(());
        };
        let Some(row) = decode::<JobRow>(&stored.value) else {
            return Ok(());
        };
        if row.ended_at_ms > 0 {
            return Ok(());
        }
        let chunks = if self.lock().has_job(job_id) {
            None
        } else {
            Some(self.read_chunks(job_id).await?)
        };
        self.lock().load_job(StoredJob {
            row,
            revision: stored.revision,
            chunks,
        });
        self.wake.notify_one();
        Ok(())
    }

    async fn read_chunks(&self, job_id: &str) -> Result<Vec<StoredChunk>, PlatformError> {
        let prefix = chunk_prefix(job_id);
        let mut chunks = Vec::new();
        let mut after = String::new();
        loop {
            let rows = self
                .table
                .scan(RequestClass::Commit, &prefix, &after, SCAN_PAGE)
                .await?;
            for row in &rows {
                let number = row.key.trim_start_matches(&prefix).parse();
                let decoded = decode::<ChunkRow>(&row.value);
                if let (Ok(number), Some(decoded)) = (number, decoded) {
                    chunks.push(StoredChunk {
                        number,
                        row: decoded,
                        revision: row.revision,
                    });
                }
            }
            match rows.last() {
                Some(last) if rows.len() == SCAN_PAGE => after = last.key.clone(),
                _ => return Ok(chunks),
            }
        }
    }

    async fn load_input(&self, chunk_ref: ChunkRef) {
        let name = part_name(&chunk_ref.object_prefix, chunk_ref.chunk);
        let body = read_lines(self.objects.as_ref(), &name, chunk_ref.items).await;
        let text = body.map(|body| String::from_utf8_lossy(&body).into_owned());
        match text {
            Ok(text) => {
                let lines = text.lines().map(input_line).collect();
                let now = self.now();
                self.lock().input_loaded(&chunk_ref, lines, now);
            }
            Err(error) => {
                log::debug!("{PREFIX} cannot read input {name}, will retry: {error}");
                sleep(MIN_BACKOFF).await;
                self.lock().input_load_failed(&chunk_ref);
            }
        }
        self.wake.notify_one();
    }

    /// Stores the result object and commits the chunk row; retries until the outcome is known.
    async fn commit(&self, commit: ChunkCommit) {
        let mut random = StdRng::seed_from_u64(self.settings.seed ^ u64::from(commit.chunk));
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let outcome = loop {
            match self.try_commit(&commit).await {
                Ok(outcome) => break outcome,
                Err(error) => {
                    log::debug!(
                        "{PREFIX} cannot commit a chunk of job {}, will retry: {error}",
                        commit.job_id
                    );
                    sleep(backoff.wait(&mut random)).await;
                }
            }
            if !self.lock().owns(commit.shard) {
                break CommitOutcome::ShardLost;
            }
        };
        let lost = self.lock().commit_finished(&commit, outcome);
        self.report_lost(commit.shard, lost);
        self.wake.notify_one();
    }

    async fn try_commit(&self, commit: &ChunkCommit) -> Result<CommitOutcome, PlatformError> {
        if let Some(name) = &commit.object {
            let body = commit.object_body().into();
            self.objects.put(RequestClass::Commit, name, body).await?;
        }
        let row_key = commit.row_key();
        let transaction = commit.transaction();
        match self.table.transact(RequestClass::Commit, transaction).await {
            Ok(TransactionOutcome::Committed { revision }) => {
                Ok(CommitOutcome::Committed { revision })
            }
            Ok(TransactionOutcome::Conflict { key, .. }) if key == shard_key(commit.shard) => {
                Ok(CommitOutcome::ShardLost)
            }
            // An earlier try of this commit may have succeeded and its response been lost.
            Ok(TransactionOutcome::Conflict { current, .. }) => {
                let own = current.filter(|row| {
                    row.key == row_key
                        && decode::<ChunkRow>(&row.value).as_ref() == Some(&commit.row)
                });
                Ok(match own {
                    Some(row) => CommitOutcome::Committed {
                        revision: row.revision,
                    },
                    None => CommitOutcome::Stale,
                })
            }
            Err(error) => Err(error),
        }
    }

    async fn finalize_job(&self, mut finalization: JobFinalization) {
        let now_ms = self.events.now_ms();
        finalization.row.ended_at_ms = now_ms;
        let outcome = self
            .try_finalize(&finalization)
            .await
            .unwrap_or_else(|error| {
                log::debug!(
                    "{PREFIX} cannot finalize job {}, will retry: {error}",
                    finalization.row.job_id
                );
                CommitOutcome::NotCommitted
            });
        if matches!(outcome, CommitOutcome::Committed { .. }) {
            let state = JobState::try_from(finalization.row.state).unwrap_or(JobState::Completed);
            log::info!(job = finalization.row.job_id.as_str(); "{PREFIX} job ended as {state:?}");
        }
        if outcome == CommitOutcome::NotCommitted {
            sleep(MIN_BACKOFF * 4).await;
        }
        let lost = self.lock().finalization_finished(&finalization, outcome);
        self.report_lost(finalization.shard, lost);
    }

    /// Writes the final job row. After a lost response the next try conflicts and removes the job, which is correct,
    /// because only this owner finalizes jobs of its shard. If the row was changed by a cancellation instead, discovery
    /// loads the job again.
    async fn try_finalize(
        &self,
        finalization: &JobFinalization,
    ) -> Result<CommitOutcome, PlatformError> {
        let transaction = finalization.transaction();
        let outcome = self
            .table
            .transact(RequestClass::Commit, transaction)
            .await?;
        Ok(match outcome {
            TransactionOutcome::Committed { revision } => CommitOutcome::Committed { revision },
            TransactionOutcome::Conflict { key, .. } if key == shard_key(finalization.shard) => {
                CommitOutcome::ShardLost
            }
            TransactionOutcome::Conflict { .. } => CommitOutcome::Stale,
        })
    }

    fn report_lost(&self, shard: u32, lost: bool) {
        if lost {
            log::info!("{PREFIX} dropped shard {shard}: another member owns it");
            self.events.shard_lost(shard);
        }
    }
}

fn input_line(text: &str) -> InputLine {
    let at_most_once = serde_json::from_str::<serde_json::Value>(text)
        .ok()
        .and_then(|line| {
            line.get(EXECUTION_FIELD)?
                .as_str()
                .map(|execution| execution == AT_MOST_ONCE)
        })
        .unwrap_or(false);
    InputLine {
        text: text.to_owned(),
        at_most_once,
    }
}

async fn run_ticks(shared: Arc<Shared>) {
    loop {
        let _ = timeout(shared.settings.tick, shared.wake.notified()).await;
        let now = shared.now();
        let (chunk_loads, commits, finalizations) = {
            let mut core = shared.lock();
            core.expire(now);
            let chunk_loads = core.take_chunk_loads();
            (
                chunk_loads,
                core.plan_commits(now),
                core.plan_finalizations(),
            )
        };
        for chunk_ref in chunk_loads {
            let shared = shared.clone();
            tokio::spawn(async move {
                let _permit = shared.permits.clone().acquire_owned().await;
                shared.load_input(chunk_ref).await;
            });
        }
        for commit in commits {
            let shared = shared.clone();
            tokio::spawn(async move {
                let _permit = shared.permits.clone().acquire_owned().await;
                shared.commit(commit).await;
            });
        }
        for finalization in finalizations {
            let shared = shared.clone();
            tokio::spawn(async move { shared.finalize_job(finalization).await });
        }
    }
}

/// Finds jobs and cancellations whose notice was lost, for example because its sender crashed.
async fn run_discovery(shared: Arc<Shared>) {
    loop {
        sleep(shared.settings.discovery_interval).await;
        let shards = shared.lock().shards();
        for shard in shards {
            if let Err(error) = shared.discover(shard).await {
                log::debug!("{PREFIX} cannot list jobs of shard {shard}: {error}");
                break;
            }
        }
    }
}
