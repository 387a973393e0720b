//! Failures of items that the store does not hold yet, reported to the daemons that would adopt the jobs.
//!
//! An owner stores each failure in its job's header before the item runs again. While the store is unreachable that
//! takes long, and an owner that stops or crashes meanwhile would lose the failure: the next owner would allow one run
//! more. Who has received a report passes it on until the store holds the failures: the next owner may have started
//! after the last one has stopped. The reports are hints: a lost one costs that run, a repeated or outdated one changes
//! nothing.

use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{ItemFailuresRow, JobFailures, JobHeadRow};
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::adoption_order::{first_adopters, last_owner};
use crate::service::InlineJobs;

/// Interval between reports of the same failures, as one may be lost. Longer than a write to a healthy store, and shorter
/// than the time in which a daemon that has started learns of its peers and adopts jobs.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Daemons that receive a job's report, those first that would adopt it.
const MAX_RECIPIENTS: usize = 3;

/// Jobs reported in one interval, against floods during a long outage of the store, and by a stopping daemon.
const MAX_REPORTED_JOBS: usize = 16;
const MAX_REPORTED_JOBS_AT_STOP: usize = 512;

/// Jobs whose last report is remembered, so that only a changed one is logged.
const MAX_LOGGED_JOBS: usize = 1_024;

/// The last logged report of each job.
type LoggedReports = HashMap<String, Vec<ItemFailuresRow>>;

impl InlineJobs {
    /// Reports failures that the store does not hold yet, until the process ends.
    pub(crate) async fn run_failure_reports(self) {
        let mut logged = LoggedReports::new();
        loop {
            sleep(REPORT_INTERVAL).await;
            let max_jobs = if self.is_stopping() {
                MAX_REPORTED_JOBS_AT_STOP
            } else {
                MAX_REPORTED_JOBS
            };
            self.report_known_failures(max_jobs, &mut logged);
        }
    }

    /// Reports all failures that the store does not hold yet, since it may not take the handover either.
    pub(crate) fn report_failures_at_stop(&self) {
        self.report_known_failures(MAX_REPORTED_JOBS_AT_STOP, &mut LoggedReports::new());
    }

    /// Reports the failures of own jobs and those received from others.
    fn report_known_failures(&self, max_jobs: usize, logged: &mut LoggedReports) {
        let mut reports = self.reported_failures().current(harrierward_clock::now());
        reports.retain(|report| !self.is_stored(report));
        reports.extend(self.unrecorded_failures());
        self.report_failures(sample(reports, max_jobs), logged);
    }

    /// True if the job's header holds the reported failures, or the job is closed.
    fn is_stored(&self, report: &JobFailures) -> bool {
        self.inner.view.get(&report.job_id).is_some_and(|known| {
            let stored = &known.header.failures;
            let is_stored = |row: &ItemFailuresRow| {
                let mut stored = stored.iter();
                let is_listed = known.header.listed.contains(&row.item);
                is_listed || stored.any(|one| one.item == row.item && one.count >= row.count)
            };
            !known.is_open() || report.failures.iter().all(is_stored)
        })
    }

    /// Returns the failures of own jobs that the store does not hold, by job.
    fn unrecorded_failures(&self) -> Vec<JobFailures> {
        let registry = self.registry();
        let reports = registry.jobs.iter().filter_map(|(job_id, job)| {
            let failures = job.unrecorded_failures();
            (!failures.is_empty()).then(|| JobFailures {
                job_id: job_id.clone(),
                failures,
                age_ms: 0,
            })
        });
        reports.collect()
    }

    fn report_failures(&self, reports: Vec<JobFailures>, logged: &mut LoggedReports) {
        if reports.is_empty() {
            return;
        }
        if logged.len() > MAX_LOGGED_JOBS {
            logged.clear();
        }
        let mut by_recipient: HashMap<String, Vec<JobFailures>> = HashMap::new();
        let owners = self.inner.peers.owners().unwrap_or_default();
        for report in reports {
            let recipients = self.next_owners(&report.job_id, &owners);
            if logged.get(&report.job_id) != Some(&report.failures) {
                self.log_sent(&recipients, &report);
                logged.insert(report.job_id.clone(), report.failures.clone());
            }
            for recipient in recipients {
                let jobs = by_recipient.entry(recipient).or_default();
                jobs.push(report.clone());
            }
        }
        for (recipient, jobs) in by_recipient {
            self.inner.peers.report_failures(&recipient, jobs);
        }
    }

    /// Reports the failures of a job that this daemon has lost to the daemon that took it over.
    pub(crate) fn report_failures_to_new_owner(&self, owner: &str, report: JobFailures) {
        if report.failures.is_empty() {
            return;
        }
        self.log_sent(&[owner.to_owned()], &report);
        self.inner.peers.report_failures(owner, vec![report]);
    }

    /// Returns the owner of a job and the daemons that would adopt it first, without this one; `owners` are all that may
    /// own jobs.
    fn next_owners(&self, job_id: &str, owners: &[String]) -> Vec<String> {
        let peers = &self.inner.peers;
        let header = self.inner.view.get(job_id).map(|known| known.header);
        let header = header.unwrap_or_else(|| JobHeadRow {
            job_id: job_id.to_owned(),
            ..JobHeadRow::default()
        });
        let owners = match self.regions_of(&header.route, &header.tenant) {
            None | Some(AllowedRegions::Any) => Cow::Borrowed(owners),
            Some(regions) => Cow::Owned(peers.owners_in(&regions).unwrap_or_default()),
        };
        let near = peers.owners_near(last_owner(&header));
        // One more than needed, as this daemon may be among them.
        let first = first_adopters(job_id, &owners, &near, MAX_RECIPIENTS + 1);
        let mut others: Vec<String> = first.into_iter().collect();
        others.retain(|owner| *owner != self.inner.instance_id);
        others.truncate(MAX_RECIPIENTS);
        let owner = header.owner;
        let is_other = owner != self.inner.instance_id && owners.contains(&owner);
        if is_other && !others.contains(&owner) {
            others.push(owner);
        }
        others
    }

    /// Applies a peer's report: immediately if this daemon runs the job, else when it adopts it.
    pub fn note_reported_failures(&self, from: &str, jobs: &[JobFailures]) {
        for report in jobs {
            let job_id = &report.job_id;
            let known = self.inner.view.get(job_id);
            if known.is_some_and(|known| !known.is_open()) {
                continue;
            }
            let now = harrierward_clock::now();
            let is_new = self.reported_failures().note(report, now);
            if is_new {
                self.log_failures("received", from, report);
                self.apply_reported_failures(job_id);
            }
        }
    }

    /// Applies the reports received for a job that this daemon runs.
    pub(crate) fn apply_reported_failures(&self, job_id: &str) {
        let mut registry = self.registry();
        let Some(job) = registry.jobs.get_mut(job_id) else {
            return;
        };
        let attempts = self.attempts_of(&job.known.header.route);
        let reported = self.reported_failures();
        job.raise_failures(reported.of(job_id));
        job.fail_exhausted_items(attempts);
        drop(reported);
        drop(registry);
        self.inner.wake.notify_one();
    }

    fn log_sent(&self, recipients: &[String], report: &JobFailures) {
        let outcome = if recipients.is_empty() {
            "no recipient"
        } else {
            "sent"
        };
        self.log_failures(outcome, &recipients.join(" "), report);
    }

    fn log_failures(&self, outcome: &str, peers: &str, report: &JobFailures) {
        self.inner.log.record(&Record::FailuresReported {
            job: &report.job_id,
            outcome,
            peers,
            failures: report.failures.iter().map(|row| u64::from(row.count)).sum(),
        });
    }
}

/// Returns at most `count` of the reports, others each time.
fn sample(reports: Vec<JobFailures>, count: usize) -> Vec<JobFailures> {
    if reports.len() <= count {
        return reports;
    }
    reports.into_iter().choose_multiple(&mut rand::rng(), count)
}
