//! Checkpoints of running items' progress, so that a job resumes where it was when its owner crashes.
//!
//! The rows are hints: an outdated one only repeats work. They are therefore written unconditionally.

use std::time::Duration;

use harrierward_serving::Mechanism;
use harrierward_wire::ItemProgressRow;
use tokio::time::Instant;

use crate::item::{ItemPhase, lock};
use crate::owned_job::{OwnedJob, encode_progress};
use crate::service::InlineJobs;

/// Minimum time between two checkpoints of a job.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Events that an item must have received since its last checkpoint.
const MIN_NEW_EVENTS: usize = 30;

/// Items per checkpoint.
const MAX_ITEMS: usize = 40;

/// Age of the last freshness proof above which the store is considered unreachable.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1_500);

impl InlineJobs {
    /// Starts a checkpoint of each job whose items have received enough events.
    pub(crate) fn start_checkpoints(&self) {
        let age = self.inner.view.proof_age();
        if age.is_none_or(|age| age > MAX_PROOF_AGE) || self.is_stopping() {
            return;
        }
        if !self.inner.forwarder.policy().has(Mechanism::SavedProgress) {
            return;
        }
        let mut registry = self.registry();
        for job in registry.jobs.values_mut() {
            if job.checkpoint_at.elapsed() < CHECKPOINT_INTERVAL {
                continue;
            }
            let rows = rows_to_save(job);
            if rows.is_empty() {
                continue;
            }
            job.checkpoint_at = Instant::now();
            let store = self.inner.store.clone();
            let job_id = job.known.header.job_id.clone();
            tokio::spawn(async move {
                // The next checkpoint saves what this one fails to save.
                let _ = store.save_progress(&job_id, &rows).await;
            });
        }
    }
}

fn rows_to_save(job: &mut OwnedJob) -> Vec<(u32, ItemProgressRow)> {
    let mut rows = Vec::new();
    for (number, item) in (0..).zip(&mut job.items) {
        if !matches!(item.phase, ItemPhase::Running { .. }) || rows.len() >= MAX_ITEMS {
            continue;
        }
        let progress = lock(&item.progress);
        let (events, last) = (progress.texts.len(), progress.last_event);
        if last.is_none() || events < item.saved_events + MIN_NEW_EVENTS {
            continue;
        }
        item.saved_events = events;
        rows.push((number, encode_progress(&progress, item.failures)));
    }
    rows
}
