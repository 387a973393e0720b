//! What is to be written and what became of it: chunk commits and endings of jobs.

use std::time::Duration;

use harrierward_wire::{JobState, ProgressRow};

use super::commit::{ChunkCommit, CommitKind, CommitOutcome, JobFinalization};
use super::job::{ChunkState, JobWork};
use super::owner::OwnerCore;
use crate::item_set::ItemSet;

impl OwnerCore {
    /// Chunk rows to write now. Each stays in flight until [`Self::commit_finished`].
    pub fn plan_commits(&mut self, now: Duration) -> Vec<ChunkCommit> {
        let mut commits = Vec::new();
        let pressed = self.buffered * 2 > self.settings.max_buffered_bytes;
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
                let intents = chunk.start_intents(settings.max_intents_ahead);
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
            CommitOutcome::NotCommitted => chunk.commit_failed(),
            // Somebody else wrote the row under our epoch's revision: only possible for an earlier write of
            // our own. The job is read again from the table.
            CommitOutcome::Stale => self.forget_job(&commit.job_id),
            CommitOutcome::ShardLost => {}
        }
        false
    }

    /// Jobs that can end now: complete, or cancelled with nothing left to commit.
    pub fn plan_finalizations(&mut self) -> Vec<JobFinalization> {
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
            endings.push(JobFinalization {
                shard: job.row.shard,
                shard_revision: shard.revision,
                job_revision: job.revision,
                row,
            });
        }
        endings
    }

    /// Takes what became of a job's ending; true if the shard turned out to be lost.
    pub fn finalization_finished(
        &mut self,
        ending: &JobFinalization,
        outcome: CommitOutcome,
    ) -> bool {
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
            CommitOutcome::NotCommitted | CommitOutcome::ShardLost => {
                if let Some(job) = self.jobs.get_mut(&ending.row.job_id) {
                    job.ending = false;
                }
            }
        }
        false
    }
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
