//! Guards against evidence that makes a reading look more recent than it is.

use std::time::Duration;

use harrierward_inline_jobs::recency::{RecencyEvidence, RevisionPoint};
use tokio::time::{Instant, advance};

const MAX_AGE: Duration = Duration::from_millis(800);

fn point(revision: u64) -> RevisionPoint {
    RevisionPoint {
        revision,
        sent_at: harrierward_clock::now(),
    }
}

// Guards against a late response that replaces the point of a transaction sent after it.
#[tokio::test(start_paused = true)]
async fn the_transaction_that_was_sent_last_counts() {
    let evidence = RecencyEvidence::default();
    let early = point(9);
    advance(Duration::from_millis(500)).await;
    let late = point(7);
    evidence.note(late);
    evidence.note(early);
    assert_eq!(evidence.point_within(MAX_AGE), Some(late));
}

// Guards against a point whose age counts from its response.
#[tokio::test(start_paused = true)]
async fn the_age_of_a_point_counts_from_the_moment_of_sending() {
    let evidence = RecencyEvidence::default();
    let slow = point(9);
    advance(MAX_AGE - Duration::from_millis(1)).await;
    evidence.note(slow);
    assert_eq!(evidence.point_within(MAX_AGE), Some(slow));
    advance(Duration::from_millis(1)).await;
    assert_eq!(evidence.point_within(MAX_AGE), None);
}

// Guards against a store that names no revision: a reading at any revision would reach 0.
#[tokio::test(start_paused = true)]
async fn an_unknown_revision_is_no_evidence() {
    let evidence = RecencyEvidence::default();
    evidence.note(point(0));
    assert_eq!(evidence.point_within(MAX_AGE), None);
}

// Guards against an age of zero that any transaction of the past satisfies.
#[tokio::test(start_paused = true)]
async fn no_point_is_within_no_time() {
    let evidence = RecencyEvidence::default();
    evidence.note(RevisionPoint {
        revision: 9,
        sent_at: Instant::now(),
    });
    assert_eq!(evidence.point_within(Duration::ZERO), None);
}
