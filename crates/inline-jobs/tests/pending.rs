//! What counts against a quota before the store tells of it.

use std::time::Duration;

use harrierward_inline_jobs::PendingJobs;
use tokio::time::{Instant, advance};

fn tokens(jobs: &PendingJobs) -> u64 {
    jobs.all(Instant::now()).iter().map(|one| one.tokens).sum()
}

#[tokio::test(start_paused = true)]
async fn a_kept_job_is_told_until_others_know_its_head() {
    let jobs = PendingJobs::default();
    let guard = jobs.hold("a", 100);
    assert_eq!(tokens(&jobs), 100);
    guard.keep_for(Duration::from_millis(1_500));
    assert_eq!(tokens(&jobs), 100, "others may not have read the head yet");
    advance(Duration::from_millis(1_499)).await;
    assert_eq!(tokens(&jobs), 100);
    advance(Duration::from_millis(1)).await;
    assert_eq!(tokens(&jobs), 0);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_was_not_kept_counts_no_longer() {
    let jobs = PendingJobs::default();
    let kept = jobs.hold("a", 100);
    let refused = jobs.hold("b", 30);
    drop(refused);
    assert_eq!(tokens(&jobs), 100);
    drop(kept);
    assert_eq!(tokens(&jobs), 0);
}
