//! Items out and results in: pulls, renewals, grants, hand-backs and what runs out.

use std::time::Duration;

use harrierward_wire::{
    Grant, ItemResult, PullReply, PullRequest, ResultsReply, ResultsRequest, RunningItem,
};

use super::chunk::{ActiveChunk, Body, FinishedItem, GrantState, InputItem};
use super::job::{ChunkState, JobWork, chunk_size};
use super::owner::{ChunkRef, InputLine, OwnerCore, OwnerSettings};
use crate::keys::CHUNK_ITEMS;

impl OwnerCore {
    /// Renews what the caller holds and grants it up to `slots` items: fair between tenants, then by deadline.
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
    pub fn take_chunk_loads(&mut self) -> Vec<ChunkRef> {
        std::mem::take(&mut self.wanted)
    }

    /// Takes a chunk's input lines.
    pub fn input_loaded(&mut self, wanted: &ChunkRef, lines: Vec<InputLine>, now: Duration) {
        let doubtful_until = now + self.settings.indeterminate_timeout;
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
    pub fn input_load_failed(&mut self, wanted: &ChunkRef) {
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
                self.take_back(item, handed_back.may_have_run, now);
            }
        }
        refused_shards.sort_unstable();
        refused_shards.dedup();
        ResultsReply { refused_shards }
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

    fn take_back(&mut self, item: &RunningItem, may_have_run: bool, now: Duration) {
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
            (false, false) => chunk.ready.push_front(number),
            (false, true) => chunk.lose_run(number, now),
            (true, false) => chunk.intent_ready.push_front(number),
            (true, true) => {
                chunk.doubtful.insert(number, Duration::ZERO);
            }
        }
    }

    /// Ends grants whose lease ran out, and doubts whose time is up.
    pub fn expire(&mut self, now: Duration) {
        let doubtful_until = now + self.settings.indeterminate_timeout;
        let mut buffered = 0;
        for job in self.jobs.values_mut() {
            for (_, chunk) in job.actives_mut() {
                chunk.expire_grants(now, doubtful_until);
                chunk.end_rests(now);
                buffered += chunk.expire_doubts(now);
            }
        }
        self.buffered += buffered;
    }
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
