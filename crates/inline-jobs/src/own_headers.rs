//! Reads of the headers of own jobs while other daemons may consider this one absent.
//!
//! A watch may omit a challenge of a job. An owner that never learns of it neither refutes it nor stops its runs when
//! the challenger has taken the job over.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use harrierward_decisions::Record;
use harrierward_ownership::{OwnerStatus, RiskCause};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::service::InlineJobs;
use crate::view::KnownHeader;

/// Interval between reads of a job's header. With the refutation it must fit into the duration of a challenge.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Headers read in one round; more jobs are read in turn.
const MAX_READS: usize = 32;

/// Reads of one round in flight at once.
const MAX_CONCURRENT_READS: usize = 4;

/// Rounds in flight at once: while the store is slow, a round must not delay the next one.
const MAX_CONCURRENT_ROUNDS: usize = 8;

/// What a read of an own job's header has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    /// The watch or an own commit had delivered the header.
    Known,
    /// The watch had not delivered the header.
    Newer,
    /// The store did not answer, or has no such row.
    Failed,
}

/// Returns up to [`MAX_READS`] ids from the first one after `last` on, continuing at the start of the list.
fn next_in_turn(mut ids: Vec<String>, last: &str) -> Vec<String> {
    ids.sort_unstable();
    let first = ids.partition_point(|id| id.as_str() <= last);
    ids.rotate_left(first);
    ids.truncate(MAX_READS);
    ids
}

impl InlineJobs {
    /// Reads headers of own jobs while this daemon is at risk of being considered absent.
    pub(crate) async fn run_own_header_reads(self) {
        let rounds = Arc::new(Semaphore::new(MAX_CONCURRENT_ROUNDS));
        let mut last_read = String::new();
        let mut last_cause = None;
        loop {
            sleep(READ_INTERVAL).await;
            if self.is_stopping() {
                return;
            }
            let cause = self.takeover_risk();
            if cause.is_some() != last_cause.is_some() {
                self.log_risk(cause);
            }
            last_cause = cause;
            // Without recent proof the store is unreachable, and reads would only add to its load.
            let Some(cause) = cause.filter(|_| self.may_start_runs()) else {
                continue;
            };
            let Ok(round) = rounds.clone().try_acquire_owned() else {
                continue;
            };
            let job_ids = next_in_turn(self.own_open_jobs(), &last_read);
            let Some(last) = job_ids.last() else {
                continue;
            };
            last_read.clone_from(last);
            let jobs = self.clone();
            tokio::spawn(async move {
                let _round = round;
                jobs.read_own_headers(job_ids, cause).await;
            });
        }
    }

    /// Updates the evidence that other daemons may consider this one absent, and returns it.
    fn takeover_risk(&self) -> Option<RiskCause> {
        let peers = &self.inner.peers;
        let owners = peers.owners().unwrap_or_default();
        let is_absent = |owner: &str| peers.owner_status(owner) == OwnerStatus::Absent;
        self.takeovers().assess_risk(&owners, is_absent)
    }

    fn own_open_jobs(&self) -> Vec<String> {
        let open = self.inner.view.open_jobs().into_iter();
        let own = open.filter(|known| self.owns(&known.header));
        own.map(|known| known.header.job_id).collect()
    }

    async fn read_own_headers(&self, job_ids: Vec<String>, cause: RiskCause) {
        let jobs = job_ids.len();
        let reads = futures::stream::iter(job_ids)
            .map(|job_id| self.read_own_header(job_id))
            .buffer_unordered(MAX_CONCURRENT_READS);
        let outcomes: Vec<ReadOutcome> = reads.collect().await;
        let count = |outcome| outcomes.iter().filter(|one| **one == outcome).count();
        let newer = count(ReadOutcome::Newer);
        let failed = count(ReadOutcome::Failed);
        if newer > 0 || failed > 0 {
            self.inner.log.record(&Record::OwnHeadersRead {
                cause: cause.name(),
                jobs,
                newer,
                failed,
            });
        }
    }

    async fn read_own_header(&self, job_id: String) -> ReadOutcome {
        let revision_before = self.inner.view.get(&job_id).map(|known| known.revision);
        let read = self.inner.store.read_header(&job_id).await;
        let Some(current) = read.ok().and_then(|reading| reading.header) else {
            return ReadOutcome::Failed;
        };
        let is_newer = revision_before.is_some_and(|before| before < current.revision);
        self.note_header(current.clone());
        self.repeat_refutation(&current);
        if is_newer {
            ReadOutcome::Newer
        } else {
            ReadOutcome::Known
        }
    }

    /// Refutes a challenge whose refutation may have been lost.
    fn repeat_refutation(&self, current: &KnownHeader) {
        if self.owns(&current.header) && current.is_open() {
            self.refute_if_challenged(current);
        }
    }

    fn log_risk(&self, cause: Option<RiskCause>) {
        self.inner.log.record(&Record::TakeoverRisk {
            at_risk: cause.is_some(),
            cause: cause.map_or("", RiskCause::name),
            own_jobs: self.registry().jobs.len(),
        });
    }
}
