//! Planning of chunk commits and job finalizations, and handling of their outcomes.

use std::time::Duration;

use harrierward_wire::{JobState, ProgressRow};

use super::commit::{ChunkCommit, CommitKind, CommitOutcome, JobFinalization};
use super::job::{ActiveJob, ChunkState};
use super::owner::OwnerCore;
use crate::item_set::ItemSet;

impl OwnerCore {
    /// Returns the chunk rows to write now. Each commit is in flight until [`Self::commit_finished`].
    pub fn plan_commits(&mut self, now: Duration) -> Vec<ChunkCommit> {
        let mut commits = Vec::new();
        let buffer_pressure = self.buffered * 2 > self.settings.max_buffered_bytes;
        let job_ids: Vec<String> = self.jobs.keys().cloned().collect();
        for job_id in job_ids {
            self.plan_job_commits(&job_id, now, buffer_pressure, &mut commits);
        }
        commits
    }

    fn plan_job_commits(
        &mut self,
        job_id: &str,
        now: Duration,
        buffer_pressure: bool,
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
        let flush = buffer_pressure || job.cancelled || self.closing.contains(&job.row.shard);
        let cancelled = job.cancelled;
        let shard_number = job.row.shard;
        for (number, chunk) in job.active_chunks_mut() {
            if chunk.in_flight.is_some() {
                continue;
            }
            let commit = if chunk.results_due(now, flush, &settings) {
                self.last_number += 1;
                chunk.in_flight = Some(self.last_number);
                let object = format!(
                    "result/{job_id}/{number:06}-{}-{}-{}",
                    shard.epoch, self.member, self.last_number
                );
                let items = chunk.finished.clone();
                let row = chunk.row_with(shard.epoch, &items, Some(&object), ItemSet::default());
                counts.completed += row.completed - chunk.completed;
                counts.failed += row.failed - chunk.failed;
                ChunkCommit {
                    id: self.last_number,
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
            } else if !cancelled && chunk.needs_intents(&settings) {
                self.last_number += 1;
                chunk.in_flight = Some(self.last_number);
                let intents = chunk.start_intents(settings.max_intents_ahead);
                ChunkCommit {
                    id: self.last_number,
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
            *self
                .outstanding_commits
                .entry(job_id.to_owned())
                .or_default() += 1;
            commits.push(commit);
            if let Some(last) = commits.last_mut() {
                last.progress = ProgressRow {
                    completed: counts.completed,
                    failed: counts.failed,
                };
            }
        }
    }

    /// Removes a shard after a write found it lost; false if the write was of an earlier ownership.
    fn remove_lost_shard(&mut self, shard: u32, shard_revision: u64) -> bool {
        let current = self.shards.get(&shard);
        let lost = current.is_some_and(|state| state.revision == shard_revision);
        if lost {
            self.drop_shard(shard);
        }
        lost
    }

    /// Removes a commit whose outcome is known, or whose shard was lost, from the outstanding ones.
    fn settle_commit(&mut self, job_id: &str) {
        let Some(count) = self.outstanding_commits.get_mut(job_id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.outstanding_commits.remove(job_id);
        }
    }

    /// Applies the outcome of a chunk commit; true if the shard was lost.
    pub fn commit_finished(&mut self, commit: &ChunkCommit, outcome: CommitOutcome) -> bool {
        self.settle_commit(&commit.job_id);
        if outcome == CommitOutcome::ShardLost {
            return self.remove_lost_shard(commit.shard, commit.shard_revision);
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
            CommitOutcome::NotCommitted => chunk.commit_failed(),
            // The ownership row is unchanged, so the conflicting write was an earlier one of this owner. Discovery
            // loads the job again.
            CommitOutcome::Stale => self.remove_job(&commit.job_id),
            CommitOutcome::ShardLost => {}
        }
        false
    }

    /// Returns the final rows of the jobs that are complete, or cancelled with nothing left to commit.
    pub fn plan_finalizations(&mut self) -> Vec<JobFinalization> {
        let mut finalizations = Vec::new();
        for job in self.jobs.values_mut() {
            let Some(shard) = self.shards.get(&job.row.shard) else {
                continue;
            };
            let outstanding = self.outstanding_commits.contains_key(&job.row.job_id);
            if job.finalizing || outstanding || !can_finalize(job) {
                continue;
            }
            job.finalizing = true;
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
            finalizations.push(JobFinalization {
                shard: job.row.shard,
                shard_revision: shard.revision,
                job_revision: job.revision,
                row,
            });
        }
        finalizations
    }

    /// Applies the outcome of a job's finalization; true if the shard was lost.
    pub fn finalization_finished(
        &mut self,
        finalization: &JobFinalization,
        outcome: CommitOutcome,
    ) -> bool {
        if outcome == CommitOutcome::ShardLost {
            return self.remove_lost_shard(finalization.shard, finalization.shard_revision);
        }
        let current = self.shards.get(&finalization.shard);
        if current.is_none_or(|state| state.revision != finalization.shard_revision) {
            return false;
        }
        match outcome {
            CommitOutcome::Committed { .. } | CommitOutcome::Stale => {
                self.remove_job(&finalization.row.job_id);
            }
            CommitOutcome::NotCommitted | CommitOutcome::ShardLost => {
                if let Some(job) = self.jobs.get_mut(&finalization.row.job_id) {
                    job.finalizing = false;
                }
            }
        }
        false
    }
}

fn can_finalize(job: &ActiveJob) -> bool {
    if job.all_complete() {
        return true;
    }
    job.cancelled
        && job
            .active_chunks()
            .all(|(_, chunk)| chunk.in_flight.is_none() && chunk.finished.is_empty())
}
