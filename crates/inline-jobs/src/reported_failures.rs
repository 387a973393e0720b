//! Failures of items that other daemons have reported, until their jobs are closed. Pure.

use std::collections::HashMap;
use std::time::Duration;

use harrierward_wire::{ItemFailuresRow, JobFailures};
use tokio::time::Instant;

/// How long a report is kept after the job's owner last made it, unless there is no room; it must outlast an outage of
/// the store.
const RETENTION: Duration = Duration::from_secs(600);

/// Jobs of which reports are kept.
const MAX_KEPT_JOBS: usize = 4_096;

/// The failures reported for a job.
#[derive(Debug)]
struct Report {
    failures: Vec<ItemFailuresRow>,
    /// When the job's owner last made the report.
    reported_at: Instant,
}

/// Failures reported by other daemons, by job. All times are those of a clock that counts suspensions.
#[derive(Debug, Default)]
pub struct ReportedFailures {
    jobs: HashMap<String, Report>,
}

impl ReportedFailures {
    /// Adds a report; true if it raises a count. Counts of an item never fall, whichever daemon owns its job.
    pub fn note(&mut self, report: &JobFailures, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(report.age_ms));
        if age >= RETENTION {
            return false;
        }
        if !self.jobs.contains_key(&report.job_id) {
            self.make_room(now);
        }
        // The clock may be younger than the report.
        let reported_at = now.checked_sub(age).unwrap_or(now);
        let job_id = report.job_id.clone();
        let known = self.jobs.entry(job_id).or_insert(Report {
            failures: Vec::new(),
            reported_at,
        });
        known.reported_at = known.reported_at.max(reported_at);
        raise_counts(&mut known.failures, &report.failures)
    }

    /// Drops the oldest report if there is no room for another job.
    fn make_room(&mut self, now: Instant) {
        self.drop_expired(now);
        if self.jobs.len() < MAX_KEPT_JOBS {
            return;
        }
        let oldest = self
            .jobs
            .iter()
            .min_by_key(|(_, report)| report.reported_at);
        if let Some(job_id) = oldest.map(|(job_id, _)| job_id.clone()) {
            self.jobs.remove(&job_id);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.jobs
            .retain(|_, report| now.saturating_duration_since(report.reported_at) < RETENTION);
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

    /// Drops expired reports and returns the others.
    pub fn current(&mut self, now: Instant) -> Vec<JobFailures> {
        self.drop_expired(now);
        let reports = self.jobs.iter().map(|(job_id, report)| JobFailures {
            job_id: job_id.clone(),
            failures: report.failures.clone(),
            age_ms: millis(now.saturating_duration_since(report.reported_at)),
        });
        reports.collect()
    }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
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
