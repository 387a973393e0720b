//! Guards against refuting a challenge for a job that does not progress, and against releasing one that does.

use std::time::Duration;

use harrierward_inline_jobs::KnownHeader;
use harrierward_inline_jobs::owned_job::OwnedJob;
use harrierward_wire::{ItemHeadRow, JobHeadRow};
use tokio::time::{Instant, advance};

const TIMEOUT: Duration = Duration::from_secs(5);

fn known(listed: &[u32]) -> KnownHeader {
    let items = (0..3).map(|number| ItemHeadRow {
        id: format!("item-{number}"),
        tokens: 10,
    });
    KnownHeader {
        header: JobHeadRow {
            job_id: "job-1".to_owned(),
            items: items.collect(),
            listed: listed.to_vec(),
            owner: "this-daemon".to_owned(),
            epoch: 1,
            ..JobHeadRow::default()
        },
        revision: 10 + listed.len() as u64,
    }
}

/// Returns a job registered longer ago than the timeout, with a run that has just broken.
async fn job_with_a_broken_run() -> OwnedJob {
    let mut job = OwnedJob::new(known(&[]), Vec::new(), Vec::new());
    advance(Duration::from_secs(20)).await;
    job.broken_run_at = Some(Instant::now());
    job
}

#[tokio::test(start_paused = true)]
async fn a_job_whose_runs_break_is_stuck() {
    let job = job_with_a_broken_run().await;
    assert!(job.is_stuck(TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_job_that_waits_for_slots_is_not_stuck() {
    let job = OwnedJob::new(known(&[]), Vec::new(), Vec::new());
    advance(Duration::from_secs(20)).await;
    assert!(!job.is_stuck(TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_newly_registered_job_is_not_stuck() {
    let mut job = OwnedJob::new(known(&[]), Vec::new(), Vec::new());
    job.broken_run_at = Some(Instant::now());
    assert!(!job.is_stuck(TIMEOUT));
}

/// Listing an item drops its progress, so the listing itself must count as progress.
#[tokio::test(start_paused = true)]
async fn a_job_with_a_recently_listed_result_is_not_stuck() {
    let mut job = job_with_a_broken_run().await;
    job.update_header(known(&[0]));
    advance(Duration::from_millis(2_800)).await;
    job.broken_run_at = Some(Instant::now());
    assert!(!job.is_stuck(TIMEOUT));
    advance(Duration::from_millis(2_200)).await;
    job.broken_run_at = Some(Instant::now());
    assert!(job.is_stuck(TIMEOUT));
}
