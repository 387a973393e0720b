//! Reads of the headers of own jobs, because a watch may omit changes. A read may be behind as well, so that it counts
//! only with a bound on its age.
//!
//! An owner that never learns of a cancellation goes on running the job's items. One that never learns of a challenge
//! neither refutes it nor stops its runs when the challenger has taken the job over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use harrierward_decisions::Record;
use harrierward_ownership::{OwnerStatus, RiskCause};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::header_lookup::Need;
use crate::model::Lookup;
use crate::service::InlineJobs;
use crate::view::KnownHeader;

/// Interval at which jobs are selected for a read.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// While others may consider this daemon absent, each round reads all headers: with the refutation the read must fit
/// into the duration of a challenge.
const MAX_AGE_AT_RISK: Duration = Duration::ZERO;

/// Age of a header above which it is read at all other times. Runs must end within the bound of a cancellation.
const MAX_AGE: Duration = Duration::from_millis(1_200);

/// Bound of a reading's age. With the other intervals it must fit into the bound of a cancellation.
const MAX_READING_AGE: Duration = Duration::from_millis(400);

/// Headers read in one round; the others follow in the next one.
const MAX_READS: usize = 32;

/// Reads of one round in flight at once.
const MAX_CONCURRENT_READS: usize = 4;

/// Rounds in flight at once: while the store is slow, a round must not delay the next one.
const MAX_CONCURRENT_ROUNDS: usize = 8;

/// Selects the headers to be read. A header that has changed was current then, so that only jobs without recent
/// changes are read. All times are those of the daemon's own clock.
#[derive(Debug, Default)]
pub struct HeaderReads {
    jobs: HashMap<String, LastChange>,
}

#[derive(Debug, Clone, Copy)]
struct LastChange {
    revision: u64,
    /// When the revision was first seen, or the header last selected.
    checked_at: Duration,
}

impl HeaderReads {
    /// Returns the ids of at most `max_reads` headers that were neither changed nor selected within `max_age`, those
    /// that have waited longest first. `headers` are the ids and revisions of all own jobs.
    pub fn select(
        &mut self,
        headers: Vec<(String, u64)>,
        max_age: Duration,
        max_reads: usize,
        now: Duration,
    ) -> Vec<String> {
        let mut before = std::mem::take(&mut self.jobs);
        for (job_id, revision) in headers {
            let unchanged = before.remove(&job_id);
            let unchanged = unchanged.filter(|last| last.revision == revision);
            let last = unchanged.unwrap_or(LastChange {
                revision,
                checked_at: now,
            });
            self.jobs.insert(job_id, last);
        }
        let is_due = |last: &LastChange| now >= last.checked_at + max_age;
        let mut due: Vec<(&String, &mut LastChange)> = self
            .jobs
            .iter_mut()
            .filter(|(_, last)| is_due(last))
            .collect();
        due.sort_unstable_by_key(|(job_id, last)| (last.checked_at, *job_id));
        due.truncate(max_reads);
        let selected = due.into_iter().map(|(job_id, last)| {
            last.checked_at = now;
            job_id.clone()
        });
        selected.collect()
    }
}

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

impl InlineJobs {
    /// Reads headers of own jobs until the daemon stops.
    pub(crate) async fn run_own_header_reads(self) {
        let rounds = Arc::new(Semaphore::new(MAX_CONCURRENT_ROUNDS));
        let mut reads = HeaderReads::default();
        let origin = harrierward_clock::now();
        let mut was_at_risk = false;
        loop {
            sleep(ROUND_INTERVAL).await;
            if self.is_stopping() {
                return;
            }
            let cause = self.takeover_risk();
            if cause.is_some() != was_at_risk {
                was_at_risk = cause.is_some();
                self.log_risk(cause);
            }
            // Without recent proof the store is unreachable, and reads would only add to its load.
            if !self.may_start_runs() {
                continue;
            }
            let Ok(round) = rounds.clone().try_acquire_owned() else {
                continue;
            };
            let own = self.inner.view.open_revisions(&self.inner.instance_id);
            let max_age = cause.map_or(MAX_AGE, |_| MAX_AGE_AT_RISK);
            let now = harrierward_clock::age(origin);
            let job_ids = reads.select(own, max_age, MAX_READS, now);
            if job_ids.is_empty() {
                continue;
            }
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

    async fn read_own_headers(&self, job_ids: Vec<String>, cause: Option<RiskCause>) {
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
                cause: cause.map_or("", RiskCause::name),
                jobs,
                newer,
                failed,
            });
        }
    }

    async fn read_own_header(&self, job_id: String) -> ReadOutcome {
        let revision_before = self.inner.view.get(&job_id).map(|known| known.revision);
        let reading = self.read_header(&job_id, Need::Listing, MAX_READING_AGE);
        let Lookup::Found(current) = reading.await else {
            return ReadOutcome::Failed;
        };
        let is_newer = revision_before.is_some_and(|before| before < current.revision);
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
