//! All shards that one member owns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use harrierward_wire::{
    Grant, ItemResult, JobState, ProgressRow, PullReply, PullRequest, ResultsReply, ResultsRequest,
    RunningItem,
};

use super::chunk::{ActiveChunk, Body, FinishedItem, GrantState, InputItem};
use super::commit::{ChunkCommit, CommitKind, CommitOutcome, JobEnding};
use super::job::{ChunkState, JobLoad, JobWork, chunk_size};
use crate::item_set::ItemSet;
use crate::keys::CHUNK_ITEMS;

/// Bounds of a shard owner.
#[derive(Debug, Clone, Copy)]
pub struct OwnerSettings {
    /// How long a grant lasts unless its holder names it in a pull.
    pub grant_lease: Duration,
    /// How long a result is awaited of an at-most-once item whose holder is unknown.
    pub doubt_lease: Duration,
    /// Age at which finished items of an unfinished chunk are committed; three times longer after each commit.
    pub commit_after: Duration,
    /// Bytes of uncommitted results above which nothing more is granted.
    pub buffer_bytes: usize,
    /// Loaded but ungranted items of a job that are enough not to load another chunk.
    pub ready_target: u32,
    /// Most at-most-once items of a chunk whose intent is committed ahead of their grants.
    pub intents_ahead: usize,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            grant_lease: Duration::from_secs(15),
            doubt_lease: Duration::from_secs(30),
            commit_after: Duration::from_secs(4),
            buffer_bytes: 16 << 20,
            ready_target: 100,
            intents_ahead: 16,
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
struct ShardState {
    epoch: u64,
    revision: u64,
}

/// State of the owner of some shards.
#[derive(Debug, Clone)]
pub struct OwnerCore {
    member: String,
    settings: OwnerSettings,
    shards: BTreeMap<u32, ShardState>,
    jobs: BTreeMap<String, JobWork>,
    /// Items granted so far by tenant, for fairness.
    served: BTreeMap<String, u64>,
    wanted: Vec<ChunkRef>,
    closing: BTreeSet<u32>,
    cancelled: VecDeque<String>,
    /// Commits whose outcome is not known yet, by job. A job is neither read again nor ended while there are any,
    /// because what was read could be older than what they wrote.
    outstanding: BTreeMap<String, u32>,
    next_attempt: u64,
    buffered: usize,
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

    fn forget_job(&mut self, job_id: &str) {
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
    pub fn load_job(&mut self, load: JobLoad) {
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

    fn backlog_of(&self, service: &str) -> u32 {
        self.jobs
            .values()
            .filter(|job| job.row.service == service)
            .map(JobWork::open_items)
            .sum()
    }

    /// Renews what the caller holds and grants it up to `slots` items: fair between tenants, then by deadline.
    pub fn pull(&mut self, request: &PullRequest, now: Duration) -> PullReply {
        let stop = self.renew(request, now);
        let mut grants = Vec::new();
        while grants.len() < request.slots as usize && self.buffered < self.settings.buffer_bytes {
            match self.grant_one(request, now) {
                Some(grant) => grants.push(grant),
                None => break,
            }
        }
        let remaining = self.backlog_of(&request.service);
        PullReply {
            grants,
            remaining,
            stop,
        }
    }

    /// Held items that must be stopped; the others' grants last longer.
    fn renew(&mut self, request: &PullRequest, now: Duration) -> Vec<RunningItem> {
        let expires_at = now + self.settings.grant_lease;
        let mut stop = Vec::new();
        for held in &request.held {
            let Some(job) = self.jobs.get_mut(&held.job_id) else {
                continue;
            };
            let cancelled = job.cancelled;
            let number = held.item % CHUNK_ITEMS;
            let Some(chunk) = job.touch(held.item / CHUNK_ITEMS) else {
                stop.push(held.clone());
                continue;
            };
            let finished = chunk.is_finished(number);
            match chunk.grants.get_mut(&number) {
                Some(grant) if grant.attempt == held.attempt && !cancelled => {
                    grant.expires_at = expires_at;
                }
                // An earlier owner's grant: the item is in good hands, unless another holds it now.
                None if !finished && !cancelled => {
                    chunk.adopt_grant(number, held, &request.member, expires_at);
                }
                _ => stop.push(held.clone()),
            }
        }
        stop
    }

    fn grant_one(&mut self, request: &PullRequest, now: Duration) -> Option<Grant> {
        let job_id = self.next_job(request)?;
        let expires_at = now + self.settings.grant_lease;
        self.next_attempt += 1;
        let attempt = format!("{}-{}", self.member, self.next_attempt);
        let job = self.jobs.get_mut(&job_id)?;
        let (chunk_number, chunk) = job.actives_mut().find(|(_, chunk)| chunk.has_grantable())?;
        let number = chunk
            .intent_ready
            .pop_front()
            .or_else(|| chunk.ready.pop_front())?;
        let item = chunk.item(number)?.clone();
        let grant = GrantState {
            attempt: attempt.clone(),
            member: request.member.clone(),
            expires_at,
        };
        chunk.grants.insert(number, grant);
        *self.served.entry(job.row.tenant.clone()).or_default() += 1;
        let grant = Grant {
            job_id,
            tenant: job.row.tenant.clone(),
            shard: job.row.shard,
            item: chunk_number * CHUNK_ITEMS + number,
            attempt,
            line: item.line,
            at_most_once: item.at_most_once,
            deadline_at_ms: job.row.deadline_at_ms,
        };
        Some(grant)
    }

    /// The job to grant from next; on the way, asks for chunks of jobs that run out of loaded items.
    fn next_job(&mut self, request: &PullRequest) -> Option<String> {
        let settings = self.settings;
        let mut best: Option<(u64, u64, String)> = None;
        for (job_id, job) in &mut self.jobs {
            let allowed = request.tenants.is_empty() || request.tenants.contains(&job.row.tenant);
            let closing = self.closing.contains(&job.row.shard);
            if closing || job.cancelled || job.row.service != request.service || !allowed {
                continue;
            }
            want_chunks(job, &settings, &mut self.wanted);
            if !job.actives().any(|(_, chunk)| chunk.has_grantable()) {
                continue;
            }
            let served = self
                .served
                .get(&job.row.tenant)
                .copied()
                .unwrap_or_default();
            let rank = (served, job.row.deadline_at_ms, job_id.clone());
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, job_id)| job_id)
    }

    /// Chunks whose input lines the driver should load; each is named once.
    pub fn take_wanted(&mut self) -> Vec<ChunkRef> {
        std::mem::take(&mut self.wanted)
    }

    /// Takes a chunk's input lines.
    pub fn body_loaded(&mut self, wanted: &ChunkRef, lines: Vec<InputLine>, now: Duration) {
        let doubtful_until = now + self.settings.doubt_lease;
        let Some(job) = self.jobs.get_mut(&wanted.job_id) else {
            return;
        };
        let Some(chunk) = job.active_mut(wanted.chunk) else {
            return;
        };
        if matches!(chunk.body, Body::Loaded(_)) {
            return;
        }
        let items = lines
            .into_iter()
            .map(|line| InputItem {
                line: line.text,
                at_most_once: line.at_most_once,
            })
            .collect();
        chunk.load_body(items, doubtful_until);
    }

    /// The input lines could not be read; they are asked for again later.
    pub fn body_failed(&mut self, wanted: &ChunkRef) {
        let job = self.jobs.get_mut(&wanted.job_id);
        if let Some(chunk) = job.and_then(|job| job.active_mut(wanted.chunk)) {
            chunk.body = Body::Wanted;
        }
    }

    /// Takes results and items handed back.
    pub fn results(&mut self, request: &ResultsRequest, now: Duration) -> ResultsReply {
        let mut refused_shards = Vec::new();
        for result in &request.results {
            if !self.shards.contains_key(&result.shard) {
                refused_shards.push(result.shard);
                continue;
            }
            self.take_result(result, now);
        }
        for handed_back in &request.handed_back {
            if let Some(item) = &handed_back.item {
                self.take_back(item, handed_back.may_have_run);
            }
        }
        refused_shards.sort_unstable();
        refused_shards.dedup();
        ResultsReply {
            refused_shards,
            full: false,
        }
    }

    fn take_result(&mut self, result: &ItemResult, now: Duration) {
        let Some(job) = self.jobs.get_mut(&result.job_id) else {
            return;
        };
        if job.closed {
            return;
        }
        let number = result.item % CHUNK_ITEMS;
        let Some(chunk) = job.touch(result.item / CHUNK_ITEMS) else {
            return;
        };
        if number >= chunk.size || chunk.is_finished(number) || chunk.is_unrun(number) {
            return;
        }
        let item = FinishedItem {
            item: number,
            line: result.line.clone(),
            failed: result.failed,
        };
        self.buffered += item.line.len();
        chunk.finish(item, now);
    }

    fn take_back(&mut self, item: &RunningItem, may_have_run: bool) {
        let Some(job) = self.jobs.get_mut(&item.job_id) else {
            return;
        };
        let number = item.item % CHUNK_ITEMS;
        let Some(chunk) = job.active_mut(item.item / CHUNK_ITEMS) else {
            return;
        };
        // Only the present attempt may be handed back: a repeated message must not free a later one.
        let current = chunk
            .grants
            .get(&number)
            .is_some_and(|grant| grant.attempt == item.attempt);
        if !current {
            return;
        }
        chunk.grants.remove(&number);
        // Before the input lines are here nobody knows whether the item may run again; loading them decides.
        let Some(input) = chunk.item(number) else {
            return;
        };
        match (input.at_most_once, may_have_run) {
            (false, _) => chunk.ready.push_front(number),
            (true, false) => chunk.intent_ready.push_front(number),
            (true, true) => {
                chunk.doubtful.insert(number, Duration::ZERO);
            }
        }
    }

    /// Ends grants whose lease ran out, and doubts whose time is up.
    pub fn expire(&mut self, now: Duration) {
        let doubtful_until = now + self.settings.doubt_lease;
        let mut buffered = 0;
        for job in self.jobs.values_mut() {
            for (_, chunk) in job.actives_mut() {
                chunk.expire_grants(now, doubtful_until);
                buffered += chunk.expire_doubts(now);
            }
        }
        self.buffered += buffered;
    }

    /// Chunk rows to write now. Each stays in flight until [`Self::commit_finished`].
    pub fn plan_commits(&mut self, now: Duration) -> Vec<ChunkCommit> {
        let mut commits = Vec::new();
        let pressed = self.buffered * 2 > self.settings.buffer_bytes;
        let job_ids: Vec<String> = self.jobs.keys().cloned().collect();
        for job_id in job_ids {
            self.plan_job_commits(&job_id, now, pressed, &mut commits);
        }
        commits
    }

    fn plan_job_commits(
        &mut self,
        job_id: &str,
        now: Duration,
        pressed: bool,
        commits: &mut Vec<ChunkCommit>,
    ) {
        let settings = self.settings;
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let Some(shard) = self.shards.get(&job.row.shard).copied() else {
            return;
        };
        let mut counts = job.committed();
        let hurry = pressed || job.cancelled || self.closing.contains(&job.row.shard);
        let cancelled = job.cancelled;
        let shard_number = job.row.shard;
        for (number, chunk) in job.actives_mut() {
            if chunk.in_flight.is_some() {
                continue;
            }
            let commit = if chunk.results_due(now, hurry, &settings) {
                self.next_attempt += 1;
                chunk.in_flight = Some(self.next_attempt);
                let object = format!(
                    "result/{job_id}/{number:06}-{}-{}-{}",
                    shard.epoch, self.member, self.next_attempt
                );
                let items = chunk.finished.clone();
                let row = chunk.row_with(shard.epoch, &items, Some(&object), ItemSet::default());
                counts.completed += row.completed - chunk.completed;
                counts.failed += row.failed - chunk.failed;
                ChunkCommit {
                    id: self.next_attempt,
                    kind: CommitKind::Results,
                    shard: shard_number,
                    shard_revision: shard.revision,
                    job_id: job_id.to_owned(),
                    chunk: number,
                    chunk_revision: chunk.revision,
                    row,
                    progress: ProgressRow::default(),
                    object: Some(object),
                    items,
                }
            } else if !cancelled && chunk.wants_intents(&settings) {
                self.next_attempt += 1;
                chunk.in_flight = Some(self.next_attempt);
                let intents = chunk.start_intents(settings.intents_ahead);
                ChunkCommit {
                    id: self.next_attempt,
                    kind: CommitKind::Intents,
                    shard: shard_number,
                    shard_revision: shard.revision,
                    job_id: job_id.to_owned(),
                    chunk: number,
                    chunk_revision: chunk.revision,
                    row: chunk.row_with(shard.epoch, &[], None, intents),
                    progress: ProgressRow::default(),
                    object: None,
                    items: Vec::new(),
                }
            } else {
                continue;
            };
            *self.outstanding.entry(job_id.to_owned()).or_default() += 1;
            commits.push(commit);
            if let Some(last) = commits.last_mut() {
                last.progress = ProgressRow {
                    completed: counts.completed,
                    failed: counts.failed,
                };
            }
        }
    }

    /// Forgets a shard that a write of the present ownership found lost; true if it was held until now.
    fn lose_shard(&mut self, shard: u32, shard_revision: u64) -> bool {
        let current = self.shards.get(&shard);
        let lost = current.is_some_and(|state| state.revision == shard_revision);
        if lost {
            self.drop_shard(shard);
        }
        lost
    }

    /// The outcome of a commit is known, or no longer matters because the shard is not held any more.
    fn settle_outstanding(&mut self, job_id: &str) {
        let Some(count) = self.outstanding.get_mut(job_id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.outstanding.remove(job_id);
        }
    }

    /// Takes what became of a chunk commit; true if the shard turned out to be lost.
    pub fn commit_finished(&mut self, commit: &ChunkCommit, outcome: CommitOutcome) -> bool {
        self.settle_outstanding(&commit.job_id);
        if outcome == CommitOutcome::ShardLost {
            return self.lose_shard(commit.shard, commit.shard_revision);
        }
        let Some(job) = self.jobs.get_mut(&commit.job_id) else {
            return false;
        };
        let Some(chunk) = job.active_mut(commit.chunk) else {
            return false;
        };
        if chunk.in_flight != Some(commit.id) {
            return false;
        }
        match outcome {
            CommitOutcome::Committed { revision } => {
                chunk.apply_row(&commit.row, revision);
                match commit.kind {
                    CommitKind::Intents => chunk.intents_committed(),
                    CommitKind::Results => chunk.commits += 1,
                }
                if chunk.all_done() {
                    let complete = ChunkState::Complete {
                        completed: chunk.completed,
                        failed: chunk.failed,
                    };
                    job.chunks[commit.chunk as usize] = complete;
                }
                let freed: usize = commit.items.iter().map(|item| item.line.len()).sum();
                self.buffered = self.buffered.saturating_sub(freed);
            }
            CommitOutcome::NotDone => chunk.commit_failed(),
            // Somebody else wrote the row under our epoch's revision: only possible for an earlier write of
            // our own. The job is read again from the table.
            CommitOutcome::Stale => self.forget_job(&commit.job_id),
            CommitOutcome::ShardLost => {}
        }
        false
    }

    /// Jobs that can end now: complete, or cancelled with nothing left to commit.
    pub fn plan_endings(&mut self) -> Vec<JobEnding> {
        let mut endings = Vec::new();
        for job in self.jobs.values_mut() {
            let Some(shard) = self.shards.get(&job.row.shard) else {
                continue;
            };
            let outstanding = self.outstanding.contains_key(&job.row.job_id);
            if job.ending || outstanding || !can_end(job) {
                continue;
            }
            job.ending = true;
            job.closed = true;
            let counts = job.committed();
            let mut row = job.row.clone();
            row.completed = counts.completed;
            row.failed = counts.failed;
            let state = if job.cancelled && !job.all_complete() {
                JobState::Cancelled
            } else {
                JobState::Completed
            };
            row.state = state as i32;
            endings.push(JobEnding {
                shard: job.row.shard,
                shard_revision: shard.revision,
                job_revision: job.revision,
                row,
            });
        }
        endings
    }

    /// Takes what became of a job's ending; true if the shard turned out to be lost.
    pub fn ending_finished(&mut self, ending: &JobEnding, outcome: CommitOutcome) -> bool {
        if outcome == CommitOutcome::ShardLost {
            return self.lose_shard(ending.shard, ending.shard_revision);
        }
        let current = self.shards.get(&ending.shard);
        if current.is_none_or(|state| state.revision != ending.shard_revision) {
            return false;
        }
        match outcome {
            CommitOutcome::Committed { .. } | CommitOutcome::Stale => {
                self.forget_job(&ending.row.job_id);
            }
            CommitOutcome::NotDone | CommitOutcome::ShardLost => {
                if let Some(job) = self.jobs.get_mut(&ending.row.job_id) {
                    job.ending = false;
                }
            }
        }
        false
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

fn can_end(job: &JobWork) -> bool {
    if job.all_complete() {
        return true;
    }
    job.cancelled
        && job
            .actives()
            .all(|(_, chunk)| chunk.in_flight.is_none() && chunk.finished.is_empty())
}

/// Asks for the next chunks of a job that has few loaded items left.
fn want_chunks(job: &mut JobWork, settings: &OwnerSettings, wanted: &mut Vec<ChunkRef>) {
    let mut open = 0;
    let mut wanted_now = Vec::new();
    for (number, chunk) in job.actives_mut() {
        match chunk.body {
            Body::Wanted => {
                chunk.body = Body::Loading;
                wanted_now.push(number);
                open += chunk.size - chunk.done.len();
            }
            Body::Loading => open += chunk.size - chunk.done.len(),
            Body::Loaded(_) => open += chunk.open_items(),
        }
    }
    let items = job.row.items;
    for (number, state) in (0u32..).zip(&mut job.chunks) {
        if open >= settings.ready_target {
            break;
        }
        if !matches!(state, ChunkState::Untouched) {
            continue;
        }
        let mut chunk = ActiveChunk::new(chunk_size(items, number));
        chunk.body = Body::Loading;
        open += chunk.size;
        *state = ChunkState::Active(Box::new(chunk));
        wanted_now.push(number);
    }
    wanted.extend(wanted_now.into_iter().map(|chunk| ChunkRef {
        job_id: job.row.job_id.clone(),
        chunk,
        object_prefix: job.row.object_prefix.clone(),
    }));
}
