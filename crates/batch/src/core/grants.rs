//! Grants of items and their results: pulls, renewals, returned items and expiry.

use std::time::Duration;

use harrierward_wire::{
    Grant, ItemResult, PullReply, PullRequest, ResultsReply, ResultsRequest, RunningItem,
};

use super::chunk::{ActiveChunk, ChunkInput, FinishedItem, GrantState, InputItem};
use super::job::{ActiveJob, ChunkState};
use super::owner::{ChunkRef, InputLine, OwnerCore, OwnerSettings};
use crate::keys::{CHUNK_ITEMS, chunk_size};

impl OwnerCore {
    /// Renews the caller's grants and grants up to `slots` items: fair between tenants, then by deadline.
    pub fn pull(&mut self, request: &PullRequest, now: Duration) -> PullReply {
        let stop = self.renew(request, now);
        let mut grants = Vec::new();
        while grants.len() < request.slots as usize
            && self.buffered < self.settings.max_buffered_bytes
        {
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

    /// Extends the grants of the held items and returns the items that the caller must stop.
    fn renew(&mut self, request: &PullRequest, now: Duration) -> Vec<RunningItem> {
        let expires_at = now + self.settings.grant_duration;
        let mut stop = Vec::new();
        for held in &request.held {
            let Some(job) = self.jobs.get_mut(&held.job_id) else {
                continue;
            };
            let cancelled = job.cancelled;
            let number = held.item % CHUNK_ITEMS;
            let Some(chunk) = job.activate(held.item / CHUNK_ITEMS) else {
                stop.push(held.clone());
                continue;
            };
            let finished = chunk.is_finished(number);
            match chunk.grants.get_mut(&number) {
                Some(grant) if grant.attempt == held.attempt && !cancelled => {
                    grant.expires_at = expires_at;
                }
                // Granted by an earlier owner, or expired here, and still held: the grant is kept.
                None if !finished && !cancelled => {
                    if !chunk.adopt_grant(number, held, &request.member, expires_at) {
                        stop.push(held.clone());
                    }
                }
                _ => stop.push(held.clone()),
            }
        }
        stop
    }

    fn grant_one(&mut self, request: &PullRequest, now: Duration) -> Option<Grant> {
        let job_id = self.next_job(request)?;
        let expires_at = now + self.settings.grant_duration;
        self.last_number += 1;
        let attempt = format!("{}-{}", self.member, self.last_number);
        let job = self.jobs.get_mut(&job_id)?;
        let (chunk_number, chunk) = job
            .active_chunks_mut()
            .find(|(_, chunk)| chunk.has_grantable())?;
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
        *self.grant_counts.entry(job.row.tenant.clone()).or_default() += 1;
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

    /// Selects the job to grant from next, and requests chunks of jobs that have few loaded items left.
    fn next_job(&mut self, request: &PullRequest) -> Option<String> {
        let settings = self.settings;
        let mut best: Option<(u64, u64, String)> = None;
        for (job_id, job) in &mut self.jobs {
            let allowed = request.tenants.is_empty() || request.tenants.contains(&job.row.tenant);
            let closing = self.closing.contains(&job.row.shard);
            if closing || job.cancelled || job.row.service != request.service || !allowed {
                continue;
            }
            request_chunks(job, &settings, &mut self.chunk_loads);
            if !job.active_chunks().any(|(_, chunk)| chunk.has_grantable()) {
                continue;
            }
            let grant_count = self
                .grant_counts
                .get(&job.row.tenant)
                .copied()
                .unwrap_or_default();
            let rank = (grant_count, job.row.deadline_at_ms, job_id.clone());
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, job_id)| job_id)
    }

    /// Returns the chunks whose input lines must be loaded, each one once until [`Self::input_load_failed`].
    pub fn take_chunk_loads(&mut self) -> Vec<ChunkRef> {
        std::mem::take(&mut self.chunk_loads)
    }

    /// Adds a chunk's input lines, unless they are loaded already.
    pub fn input_loaded(&mut self, loaded: &ChunkRef, lines: Vec<InputLine>, now: Duration) {
        let indeterminate_until = now + self.settings.indeterminate_timeout;
        let Some(job) = self.jobs.get_mut(&loaded.job_id) else {
            return;
        };
        let Some(chunk) = job.active_mut(loaded.chunk) else {
            return;
        };
        if matches!(chunk.input, ChunkInput::Loaded(_)) {
            return;
        }
        let items = lines
            .into_iter()
            .map(|line| InputItem {
                line: line.text,
                at_most_once: line.at_most_once,
            })
            .collect();
        chunk.load_input(items, indeterminate_until);
    }

    /// Notes that the input lines could not be read; a later pull requests them again.
    pub fn input_load_failed(&mut self, requested: &ChunkRef) {
        let job = self.jobs.get_mut(&requested.job_id);
        if let Some(chunk) = job.and_then(|job| job.active_mut(requested.chunk)) {
            chunk.input = ChunkInput::NotRequested;
        }
    }

    /// Accepts results and returned items; the reply names the shards that this owner doesn't hold.
    pub fn results(&mut self, request: &ResultsRequest, now: Duration) -> ResultsReply {
        let mut refused_shards = Vec::new();
        for result in &request.results {
            if !self.shards.contains_key(&result.shard) {
                refused_shards.push(result.shard);
                continue;
            }
            self.accept_result(result, now);
        }
        for returned in &request.handed_back {
            if let Some(item) = &returned.item {
                self.accept_returned(item, returned.may_have_run, now);
            }
        }
        refused_shards.sort_unstable();
        refused_shards.dedup();
        ResultsReply { refused_shards }
    }

    fn accept_result(&mut self, result: &ItemResult, now: Duration) {
        let Some(job) = self.jobs.get_mut(&result.job_id) else {
            return;
        };
        if job.closed {
            return;
        }
        let number = result.item % CHUNK_ITEMS;
        let Some(chunk) = job.activate(result.item / CHUNK_ITEMS) else {
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

    fn accept_returned(&mut self, item: &RunningItem, may_have_run: bool, now: Duration) {
        let Some(job) = self.jobs.get_mut(&item.job_id) else {
            return;
        };
        let number = item.item % CHUNK_ITEMS;
        let Some(chunk) = job.active_mut(item.item / CHUNK_ITEMS) else {
            return;
        };
        // A duplicate message must not release the grant of a later attempt.
        let current = chunk
            .grants
            .get(&number)
            .is_some_and(|grant| grant.attempt == item.attempt);
        if !current {
            return;
        }
        chunk.grants.remove(&number);
        // Until the input lines are loaded it is unknown whether the item is at-most-once; loading them decides.
        let Some(input) = chunk.item(number) else {
            return;
        };
        match (input.at_most_once, may_have_run) {
            (false, false) => chunk.ready.push_front(number),
            (false, true) => chunk.note_interrupted_run(number, now),
            (true, false) => chunk.intent_ready.push_front(number),
            (true, true) => {
                chunk.indeterminate.insert(number, Duration::ZERO);
            }
        }
    }

    /// Expires grants and cooldowns, and fails indeterminate items whose result didn't arrive in time.
    pub fn expire(&mut self, now: Duration) {
        let indeterminate_until = now + self.settings.indeterminate_timeout;
        let mut buffered = 0;
        for job in self.jobs.values_mut() {
            for (_, chunk) in job.active_chunks_mut() {
                chunk.expire_grants(now, indeterminate_until);
                chunk.end_cooldowns(now);
                buffered += chunk.expire_indeterminate(now);
            }
        }
        self.buffered += buffered;
    }
}

/// Requests the next chunks of a job that has fewer loaded items than the ready target.
fn request_chunks(job: &mut ActiveJob, settings: &OwnerSettings, chunk_loads: &mut Vec<ChunkRef>) {
    let mut ungranted = 0;
    let mut requested = Vec::new();
    for (number, chunk) in job.active_chunks_mut() {
        match chunk.input {
            ChunkInput::NotRequested => {
                chunk.input = ChunkInput::Loading;
                requested.push(number);
                ungranted += chunk.size - chunk.done.len();
            }
            ChunkInput::Loading => ungranted += chunk.size - chunk.done.len(),
            ChunkInput::Loaded(_) => ungranted += chunk.open_items(),
        }
    }
    let items = job.row.items;
    for (number, state) in (0u32..).zip(&mut job.chunks) {
        if ungranted >= settings.ready_target {
            break;
        }
        if !matches!(state, ChunkState::NotStarted) {
            continue;
        }
        let mut chunk = ActiveChunk::new(chunk_size(items, number));
        chunk.input = ChunkInput::Loading;
        ungranted += chunk.size;
        *state = ChunkState::Active(Box::new(chunk));
        requested.push(number);
    }
    chunk_loads.extend(requested.into_iter().map(|chunk| ChunkRef {
        job_id: job.row.job_id.clone(),
        chunk,
        object_prefix: job.row.object_prefix.clone(),
        items: chunk_size(items, chunk),
    }));
}
