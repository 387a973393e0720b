//! Failures of items that other daemons have reported, until their jobs are closed. Pure.

use std::collections::HashMap;
use std::time::Duration;

use harrierward_wire::{ItemFailuresRow, JobFailures};
use tokio::time::Instant;

/// How long a report is kept at least after it was last received, unless there is no room; it must outlast an outage of
/// the store. Older ones go when another job's report arrives.
const RETENTION: Duration = Duration::from_secs(600);

/// Jobs of which reports are kept.
const MAX_KEPT_JOBS: usize = 4_096;

/// The failures reported for a job.
#[derive(Debug)]
struct Report {
    failures: Vec<ItemFailuresRow>,
    received_at: Instant,
}

/// Failures reported by other daemons, by job. All times are those of a clock that counts suspensions.
#[derive(Debug, Default)]
pub struct ReportedFailures {
    jobs: HashMap<String, Report>,
}

impl ReportedFailures {
    /// Adds a report; true if it raises a count. Counts of an item never fall, whoever owns its job.
    pub fn note(&mut self, job_id: &str, failures: &[ItemFailuresRow], now: Instant) -> bool {
        if !self.jobs.contains_key(job_id) {
            self.make_room(now);
        }
        let report = self.jobs.entry(job_id.to_owned()).or_insert(Report {
            failures: Vec::new(),
            received_at: now,
        });
        report.received_at = now;
        raise_counts(&mut report.failures, failures)
    }

    /// Drops expired reports, and the oldest one if there is no room for another job.
    fn make_room(&mut self, now: Instant) {
        self.jobs
            .retain(|_, report| now.saturating_duration_since(report.received_at) < RETENTION);
        if self.jobs.len() < MAX_KEPT_JOBS {
            return;
        }
        let oldest = self
            .jobs
            .iter()
            .min_by_key(|(_, report)| report.received_at);
        if let Some(job_id) = oldest.map(|(job_id, _)| job_id.clone()) {
            self.jobs.remove(&job_id);
        }
    }

    /// Returns the failures reported for a job.
    pub fn of(&self, job_id: &str) -> &[ItemFailuresRow] {
        self.jobs
            .get(job_id)
            .map_or(&[], |report| report.failures.as_slice())
    }

    /// Drops the report of a job that is closed.
    pub fn remove(&mut self, job_id: &str) {
        self.jobs.remove(job_id);
    }

    /// Returns all reports.
    pub fn all(&self) -> Vec<JobFailures> {
        let reports = self.jobs.iter().map(|(job_id, report)| JobFailures {
            job_id: job_id.clone(),
            failures: report.failures.clone(),
        });
        reports.collect()
    }
}

/// Raises the counts in `known` to those in `others`; true if one was lower or absent.
pub fn raise_counts(known: &mut Vec<ItemFailuresRow>, others: &[ItemFailuresRow]) -> bool {
    let mut is_raised = false;
    for row in others {
        match known.iter_mut().find(|one| one.item == row.item) {
            Some(one) if one.count >= row.count => continue,
            Some(one) => one.count = row.count,
            None => known.push(row.clone()),
        }
        is_raised = true;
    }
    is_raised
}
