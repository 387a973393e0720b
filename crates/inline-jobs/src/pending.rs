//! Jobs whose heads other daemons may not know yet: what counts against a quota before the store tells of it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_wire::PendingJob;
use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u64,
    /// When it is forgotten; `None` while the job is being kept.
    until: Option<Instant>,
}

/// The pending jobs of one daemon; cheap to clone.
#[derive(Debug, Default, Clone)]
pub struct PendingJobs {
    entries: Arc<Mutex<HashMap<String, Entry>>>,
}

impl PendingJobs {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A job is being kept, for as long as the guard lives.
    pub fn hold(&self, job: &str, tokens: u64) -> PendingGuard {
        let entry = Entry {
            tokens,
            until: None,
        };
        self.lock().insert(job.to_owned(), entry);
        PendingGuard {
            jobs: self.clone(),
            job: job.to_owned(),
            kept_for: None,
        }
    }

    /// All pending jobs at `now`.
    pub fn all(&self, now: Instant) -> Vec<PendingJob> {
        let mut entries = self.lock();
        entries.retain(|_, entry| entry.until.is_none_or(|until| now < until));
        let pending = entries.iter().map(|(job, entry)| PendingJob {
            job: job.clone(),
            tokens: entry.tokens,
        });
        pending.collect()
    }
}

/// A job that is being kept.
#[derive(Debug)]
pub struct PendingGuard {
    jobs: PendingJobs,
    job: String,
    kept_for: Option<Duration>,
}

impl PendingGuard {
    /// The job is kept, or may be: it stays pending for `time`.
    pub fn keep_for(mut self, time: Duration) {
        self.kept_for = Some(time);
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        let mut entries = self.jobs.lock();
        match (self.kept_for, entries.get_mut(&self.job)) {
            (Some(time), Some(entry)) => entry.until = Some(Instant::now() + time),
            _ => {
                entries.remove(&self.job);
            }
        }
    }
}
