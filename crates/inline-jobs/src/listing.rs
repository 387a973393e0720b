//! Listing of results: a conditional write of the header fixes each result's position, marks its item as listed, and
//! records the failures of items that are to run again.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_wire::{ItemFailuresRow, ItemProgressRow, JobHeadRow};
use tokio::time::{Instant, sleep};

use crate::adoption_order::refuted;
use crate::item::ItemPhase;
use crate::service::InlineJobs;
use crate::store::{ListedResult, WriteOutcome};
use crate::view::KnownHeader;

/// Limits of the results in one listing and of their text in bytes; both fit into one transaction.
const MAX_RESULTS: usize = 40;
const MAX_BYTES: usize = 400_000;

/// How long a write is retried before the job is checked again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An owner's update of a job's header, with the rows that belong to it.
struct Listing {
    known: KnownHeader,
    results: Vec<ListedResult>,
    /// Failure counts of the items that stay unlisted, for the header.
    failures: Vec<ItemFailuresRow>,
    /// Progress of the items whose failures are new.
    failed_progress: Vec<(u32, ItemProgressRow)>,
}

impl InlineJobs {
    /// Starts a listing task for each job that has results to list or failures to record, and no such task yet.
    pub(crate) fn start_listings(&self) {
        let mut registry = self.registry();
        for (job_id, job) in &mut registry.jobs {
            let finished = job
                .items
                .iter()
                .any(|item| matches!(item.phase, ItemPhase::Done { .. }));
            if job.is_listing || !(finished || job.has_unrecorded_failures()) {
                continue;
            }
            job.is_listing = true;
            let jobs = self.clone();
            let job_id = job_id.clone();
            tokio::spawn(async move { jobs.list_finished(&job_id).await });
        }
    }

    async fn list_finished(&self, job_id: &str) {
        while let Some(listing) = self.next_listing(job_id) {
            if !self.list(&listing).await {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Returns the next listing; `None` ends the task.
    fn next_listing(&self, job_id: &str) -> Option<Listing> {
        let mut registry = self.registry();
        let job = registry.jobs.get_mut(job_id)?;
        let results = job.results_to_list(MAX_RESULTS, MAX_BYTES);
        let is_done = results.is_empty() && !job.has_unrecorded_failures();
        if is_done || self.is_stopping() {
            job.is_listing = false;
            return None;
        }
        Some(Listing {
            known: job.known.clone(),
            failures: job.failures(&results),
            failed_progress: job.failed_progress_rows(&results),
            results,
        })
    }

    /// Writes a listing; true if its outcome is known.
    async fn list(&self, listing: &Listing) -> bool {
        let Listing {
            known,
            results,
            failures,
            failed_progress,
        } = listing;
        let mut header = refuted(&known.header);
        let position = u32::try_from(header.listed.len()).unwrap_or(u32::MAX);
        header
            .listed
            .extend(results.iter().map(|result| result.item));
        header.failures.clone_from(failures);
        let until = Instant::now() + WRITE_TIMEOUT;
        let written = self
            .inner
            .store
            .list(
                known.revision,
                &header,
                (position, results),
                failed_progress,
                until,
            )
            .await;
        let (outcome, settled) = match written {
            WriteOutcome::Committed { revision } => {
                self.apply_header(KnownHeader { header, revision });
                ("committed", true)
            }
            WriteOutcome::Conflict {
                current: Some(current),
            } => {
                let outcome = conflict_name(&current.header, &header);
                self.apply_header(*current);
                (outcome, true)
            }
            WriteOutcome::Conflict { current: None } => {
                self.header_removed(&header.job_id);
                ("job removed", true)
            }
            // Only the creation of a job is conditional on a fence.
            WriteOutcome::NotCommitted | WriteOutcome::Fenced { .. } => ("not done", false),
            WriteOutcome::Indeterminate => ("in doubt", false),
        };
        self.log_listed(&known.header.job_id, position, results.len(), outcome);
        settled
    }

    pub(crate) fn log_listed(&self, job: &str, position: u32, count: usize, outcome: &str) {
        self.inner.log.record(&Record::ResultsListed {
            job,
            position,
            count,
            outcome,
        });
    }

    fn apply_header(&self, known: KnownHeader) {
        self.note_header(known.clone());
        // The watch may have delivered the header before; the registry must be updated in any case.
        self.header_changed(&known);
    }
}

/// Returns the outcome for a conflict; a header that already lists the results is an own write whose response was
/// lost.
fn conflict_name(current: &JobHeadRow, attempted: &JobHeadRow) -> &'static str {
    if current.listed == attempted.listed && current.failures == attempted.failures {
        "committed before"
    } else {
        "conflict"
    }
}
