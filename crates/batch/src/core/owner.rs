//! All shards that one member owns: what is held, and what of it is open. Grants and commits are in their own
//! modules.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use harrierward_wire::JobState;

use super::job::{JobWork, StoredJob};

/// Bounds of a shard owner.
#[derive(Debug, Clone, Copy)]
pub struct OwnerSettings {
    /// How long a grant lasts unless its holder names it in a pull.
    pub grant_lease: Duration,
    /// How long a result is awaited of an at-most-once item whose holder is unknown.
    pub indeterminate_timeout: Duration,
    /// Age at which finished items of an unfinished chunk are committed; three times longer after each commit.
    pub commit_delay: Duration,
    /// Bytes of uncommitted results above which nothing more is granted.
    pub max_buffered_bytes: usize,
    /// Loaded but ungranted items of a job that are enough not to load another chunk.
    pub ready_target: u32,
    /// Most at-most-once items of a chunk whose intent is committed ahead of their grants.
    pub max_intents_ahead: usize,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            grant_lease: Duration::from_secs(15),
            indeterminate_timeout: Duration::from_secs(30),
            commit_delay: Duration::from_secs(4),
            max_buffered_bytes: 16 << 20,
            ready_target: 100,
            max_intents_ahead: 16,
        }
    }
}

/// Cancels remembered for jobs that are not loaded yet.
const MOST_CANCELS_REMEMBERED: usize = 1024;

/// Names a chunk whose input lines are wanted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkRef {
    /// Job.
    pub job_id: String,
    /// Chunk number.
    pub chunk: u32,
    /// Prefix of the input's part objects.
    pub object_prefix: String,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct ShardState {
    pub(super) epoch: u64,
    pub(super) revision: u64,
}

/// State of the owner of some shards.
#[derive(Debug, Clone)]
pub struct OwnerCore {
    pub(super) member: String,
    pub(super) settings: OwnerSettings,
    pub(super) shards: BTreeMap<u32, ShardState>,
    pub(super) jobs: BTreeMap<String, JobWork>,
    /// Items granted so far by tenant, for fairness.
    pub(super) served: BTreeMap<String, u64>,
    pub(super) wanted: Vec<ChunkRef>,
    pub(super) closing: BTreeSet<u32>,
    pub(super) cancelled: VecDeque<String>,
    /// Commits whose outcome is not known yet, by job. A job is neither read again nor ended while there are any,
    /// because what was read could be older than what they wrote.
    pub(super) outstanding: BTreeMap<String, u32>,
    pub(super) next_attempt: u64,
    pub(super) buffered: usize,
}

impl OwnerCore {
    /// An owner of nothing; `member` makes its attempt ids unique.
    pub fn new(member: impl Into<String>, settings: OwnerSettings) -> Self {
        Self {
            member: member.into(),
            settings,
            shards: BTreeMap::new(),
            jobs: BTreeMap::new(),
            served: BTreeMap::new(),
            wanted: Vec::new(),
            closing: BTreeSet::new(),
            cancelled: VecDeque::new(),
            outstanding: BTreeMap::new(),
            next_attempt: 0,
            buffered: 0,
        }
    }

    /// Takes a shard whose ownership row this member wrote at `revision`.
    pub fn take_shard(&mut self, shard: u32, epoch: u64, revision: u64) {
        self.closing.remove(&shard);
        self.shards.insert(shard, ShardState { epoch, revision });
    }

    /// Forgets a shard and its jobs; what was not committed is lost and will be run again by the next owner.
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
            self.forget_job(&job_id);
        }
    }

    pub(super) fn forget_job(&mut self, job_id: &str) {
        let Some(job) = self.jobs.remove(job_id) else {
            return;
        };
        let freed: usize = job
            .actives()
            .flat_map(|(_, chunk)| &chunk.finished)
            .map(|item| item.line.len())
            .sum();
        self.buffered = self.buffered.saturating_sub(freed);
    }

    /// True if the shard is this owner's, as far as it knows.
    pub fn owns(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Shards held.
    pub fn shards(&self) -> Vec<u32> {
        self.shards.keys().copied().collect()
    }

    /// True if the job is loaded.
    pub fn has_job(&self, job_id: &str) -> bool {
        self.jobs.contains_key(job_id)
    }

    /// Tenants of the jobs held.
    pub fn job_tenants(&self) -> BTreeMap<String, String> {
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id.clone(), job.row.tenant.clone()))
            .collect()
    }

    /// Number of open jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Bytes of results not yet committed.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered
    }

    /// Takes a job as read from the table. A job already held only takes over its cancel.
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
        if self.outstanding.contains_key(&load.row.job_id) {
            return;
        }
        let Some(chunks) = load.chunks else {
            return;
        };
        self.join_round(&load.row.tenant);
        let job_id = load.row.job_id.clone();
        let mut job = JobWork::new(load.row, load.revision, chunks);
        job.cancelled |= self.cancelled.contains(&job_id);
        self.jobs.insert(job_id, job);
    }

    /// Lets a tenant that comes back start level with the others, not with a lead for its idle time.
    fn join_round(&mut self, tenant: &str) {
        let active = self.jobs.values().map(|job| &job.row.tenant);
        let floor = active
            .filter_map(|tenant| self.served.get(tenant))
            .min()
            .copied()
            .unwrap_or_default();
        let served = self.served.entry(tenant.to_owned()).or_default();
        *served = floor.max(*served);
    }

    /// Stops granting a job whose cancel is committed; the members that hold items of it.
    pub fn cancel_job(&mut self, job_id: &str) -> Vec<String> {
        // The notice may come before the job is loaded from a row read earlier.
        if self.cancelled.len() >= MOST_CANCELS_REMEMBERED {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(job_id.to_owned());
        let Some(job) = self.jobs.get_mut(job_id) else {
            return Vec::new();
        };
        job.cancelled = true;
        let mut holders: Vec<String> = job
            .actives()
            .flat_map(|(_, chunk)| chunk.grants.values())
            .map(|grant| grant.member.clone())
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Items ready to be granted, by service.
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

    /// Items ready to be granted, by service and tenant.
    pub fn backlog_by_tenant(&self) -> BTreeMap<String, BTreeMap<String, u32>> {
        let mut backlog: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        for job in self.jobs.values() {
            let tenants = backlog.entry(job.row.service.clone()).or_default();
            *tenants.entry(job.row.tenant.clone()).or_default() += job.open_items();
        }
        backlog
    }

    /// Prepares to hand a shard back: nothing more of it is granted, and results are committed at once.
    pub fn close_shard(&mut self, shard: u32) {
        self.closing.insert(shard);
    }

    /// True if nothing of the shard waits for a commit.
    pub fn is_flushed(&self, shard: u32) -> bool {
        let jobs = self.jobs.values().filter(|job| job.row.shard == shard);
        jobs.flat_map(JobWork::actives)
            .all(|(_, chunk)| chunk.finished.is_empty() && chunk.in_flight.is_none())
    }

    pub(super) fn backlog_of(&self, service: &str) -> u32 {
        self.jobs
            .values()
            .filter(|job| job.row.service == service)
            .map(JobWork::open_items)
            .sum()
    }
}

/// One input line of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputLine {
    /// The line.
    pub text: String,
    /// The item must run at most once.
    pub at_most_once: bool,
}
