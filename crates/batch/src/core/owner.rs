//! State of the shards that one member owns, and their open jobs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use harrierward_wire::JobState;

use super::job::{ActiveJob, StoredJob};

/// Bounds of a shard owner.
#[derive(Debug, Clone, Copy)]
pub struct OwnerSettings {
    /// Duration of a grant; a pull that names the grant renews it.
    pub grant_duration: Duration,
    /// Time for which the result of an at-most-once item without a grant is awaited before the item fails.
    pub indeterminate_timeout: Duration,
    /// Age at which results of an unfinished chunk are committed; triples with each of its first commits.
    pub commit_delay: Duration,
    /// Size of uncommitted results above which no items are granted, bytes.
    pub max_buffered_bytes: usize,
    /// Number of ungranted items of a job below which another chunk is loaded.
    pub ready_target: u32,
    /// Maximum number of intents in one commit of a chunk, ahead of the grants.
    pub max_intents_ahead: usize,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            grant_duration: Duration::from_secs(15),
            indeterminate_timeout: Duration::from_secs(30),
            commit_delay: Duration::from_secs(4),
            max_buffered_bytes: 16 << 20,
            ready_target: 100,
            max_intents_ahead: 16,
        }
    }
}

/// Maximum number of recent cancellations that are kept for jobs that are not loaded yet.
const MAX_RECENT_CANCELLATIONS: usize = 1024;

/// Reference to a chunk whose input lines must be loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkRef {
    /// Id of the job.
    pub job_id: String,
    /// Chunk number within the job, from 0.
    pub chunk: u32,
    /// Name prefix of the input file's part objects.
    pub object_prefix: String,
    /// Number of items in the chunk, which is that of its input lines.
    pub items: u32,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct ShardState {
    pub(super) epoch: u64,
    pub(super) revision: u64,
}

/// Owner of some shards and their jobs; the caller passes the time and executes the planned writes.
#[derive(Debug, Clone)]
pub struct OwnerCore {
    pub(super) member: String,
    pub(super) settings: OwnerSettings,
    pub(super) shards: BTreeMap<u32, ShardState>,
    pub(super) jobs: BTreeMap<String, ActiveJob>,
    /// Number of items granted by tenant, for fairness.
    pub(super) grant_counts: BTreeMap<String, u64>,
    pub(super) chunk_loads: Vec<ChunkRef>,
    pub(super) closing: BTreeSet<u32>,
    pub(super) recent_cancellations: VecDeque<String>,
    /// Number of commits without an outcome, by job. While there are any, the job is neither loaded, because the rows
    /// read may be older than the commits, nor finalized.
    pub(super) outstanding_commits: BTreeMap<String, u32>,
    /// Last number given to an attempt or a commit; both are numbered in one sequence.
    pub(super) last_number: u64,
    pub(super) buffered: usize,
}

impl OwnerCore {
    /// Creates an owner without shards; `member` makes its attempt ids unique in the fleet.
    pub fn new(member: impl Into<String>, settings: OwnerSettings) -> Self {
        Self {
            member: member.into(),
            settings,
            shards: BTreeMap::new(),
            jobs: BTreeMap::new(),
            grant_counts: BTreeMap::new(),
            chunk_loads: Vec::new(),
            closing: BTreeSet::new(),
            recent_cancellations: VecDeque::new(),
            outstanding_commits: BTreeMap::new(),
            last_number: 0,
            buffered: 0,
        }
    }

    /// Adds a shard whose ownership row this member wrote at `revision`.
    pub fn take_shard(&mut self, shard: u32, epoch: u64, revision: u64) {
        self.closing.remove(&shard);
        self.shards.insert(shard, ShardState { epoch, revision });
    }

    /// Removes a shard and its jobs. Uncommitted results are lost; the next owner decides whether the items run again.
    pub fn drop_shard(&mut self, shard: u32) {
        self.shards.remove(&shard);
        self.closing.remove(&shard);
        let dropped: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.row.shard == shard)
            .map(|(id, _)| id.clone())
            .collect();
        for job_id in dropped {
            self.remove_job(&job_id);
        }
    }

    pub(super) fn remove_job(&mut self, job_id: &str) {
        let Some(job) = self.jobs.remove(job_id) else {
            return;
        };
        let freed: usize = job
            .active_chunks()
            .flat_map(|(_, chunk)| &chunk.finished)
            .map(|item| item.line.len())
            .sum();
        self.buffered = self.buffered.saturating_sub(freed);
    }

    /// True if this owner holds the shard; another member may have taken it over since.
    pub fn owns(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Returns the owned shards in ascending order.
    pub fn shards(&self) -> Vec<u32> {
        self.shards.keys().copied().collect()
    }

    /// True if the job is loaded.
    pub fn has_job(&self, job_id: &str) -> bool {
        self.jobs.contains_key(job_id)
    }

    /// Returns the tenant of each loaded job, by job id.
    pub fn job_tenants(&self) -> BTreeMap<String, String> {
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id.clone(), job.row.tenant.clone()))
            .collect()
    }

    /// Returns the number of loaded jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the size of uncommitted results, bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered
    }

    /// Loads a job of an owned shard. Of a job that is loaded already, only the job row is updated.
    pub fn load_job(&mut self, load: StoredJob) {
        if !self.shards.contains_key(&load.row.shard) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&load.row.job_id) {
            if load.revision > job.revision {
                job.revision = load.revision;
                job.cancelled |= load.row.state != JobState::InProgress as i32;
                job.row = load.row;
            }
            return;
        }
        if self.outstanding_commits.contains_key(&load.row.job_id) {
            return;
        }
        let Some(chunks) = load.chunks else {
            return;
        };
        self.raise_to_lowest_grant_count(&load.row.tenant);
        let job_id = load.row.job_id.clone();
        let mut job = ActiveJob::new(load.row, load.revision, chunks);
        job.cancelled |= self.recent_cancellations.contains(&job_id);
        self.jobs.insert(job_id, job);
    }

    /// Raises the tenant's grant count to the lowest of the active tenants, so that idle time gives it no precedence.
    fn raise_to_lowest_grant_count(&mut self, tenant: &str) {
        let active = self.jobs.values().map(|job| &job.row.tenant);
        let lowest = active
            .filter_map(|tenant| self.grant_counts.get(tenant))
            .min()
            .copied()
            .unwrap_or_default();
        let grant_count = self.grant_counts.entry(tenant.to_owned()).or_default();
        *grant_count = lowest.max(*grant_count);
    }

    /// Stops granting a job whose cancellation is committed; returns the members that hold items of it.
    pub fn cancel_job(&mut self, job_id: &str) -> Vec<String> {
        // The job may be loaded later, from a row that was read before the cancellation.
        if self.recent_cancellations.len() >= MAX_RECENT_CANCELLATIONS {
            self.recent_cancellations.pop_front();
        }
        self.recent_cancellations.push_back(job_id.to_owned());
        let Some(job) = self.jobs.get_mut(job_id) else {
            return Vec::new();
        };
        job.cancelled = true;
        let mut holders: Vec<String> = job
            .active_chunks()
            .flat_map(|(_, chunk)| chunk.grants.values())
            .map(|grant| grant.member.clone())
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Returns the number of items that wait to be granted, by service; services without any are left out.
    pub fn backlog(&self) -> BTreeMap<String, u32> {
        let mut backlog = BTreeMap::new();
        for job in self.jobs.values() {
            let open = job.open_items();
            if open > 0 {
                *backlog.entry(job.row.service.clone()).or_default() += open;
            }
        }
        backlog
    }

    /// Returns the number of items that wait to be granted, by service and tenant.
    pub fn backlog_by_tenant(&self) -> BTreeMap<String, BTreeMap<String, u32>> {
        let mut backlog: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        for job in self.jobs.values() {
            let tenants = backlog.entry(job.row.service.clone()).or_default();
            *tenants.entry(job.row.tenant.clone()).or_default() += job.open_items();
        }
        backlog
    }

    /// Prepares to release a shard: stops granting its items and commits results without delay.
    pub fn close_shard(&mut self, shard: u32) {
        self.closing.insert(shard);
    }

    /// True if the shard has no uncommitted results and no commit in flight.
    pub fn is_flushed(&self, shard: u32) -> bool {
        let jobs = self.jobs.values().filter(|job| job.row.shard == shard);
        jobs.flat_map(ActiveJob::active_chunks)
            .all(|(_, chunk)| chunk.finished.is_empty() && chunk.in_flight.is_none())
    }

    pub(super) fn backlog_of(&self, service: &str) -> u32 {
        self.jobs
            .values()
            .filter(|job| job.row.service == service)
            .map(ActiveJob::open_items)
            .sum()
    }
}

/// Input line of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputLine {
    /// The line as uploaded, without the newline.
    pub text: String,
    /// True if the item must not run more than once.
    pub at_most_once: bool,
}
