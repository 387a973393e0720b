//! Guards against taking failures that nobody stored for failures that did not happen.

use harrierward_decisions::Record;
use harrierward_inline_jobs::KnownHeader;
use harrierward_inline_jobs::adoption_order::{adopted, challenged, released};
use harrierward_inline_jobs::owned_job::{FailureHistory, OwnedJob};
use harrierward_wire::JobHeadRow;

fn header(failures_are_complete: bool) -> JobHeadRow {
    JobHeadRow {
        job_id: "job-1".to_owned(),
        owner: "earlier-owner".to_owned(),
        epoch: 1,
        failures_are_complete,
        ..JobHeadRow::default()
    }
}

/// Returns the failure history that the record of an adopted job's load shows.
fn history_after_adoption(header: &JobHeadRow) -> String {
    let header = adopted(&released(header), "this-daemon");
    let known = KnownHeader {
        header,
        revision: 10,
    };
    let job = OwnedJob::new(known, Vec::new(), Vec::new());
    let Record::JobLoaded {
        failure_history, ..
    } = job.load_record()
    else {
        panic!("another record");
    };
    failure_history.to_owned()
}

#[test]
fn a_job_of_an_owner_that_may_not_store_failures_has_an_incomplete_history() {
    assert_eq!(
        FailureHistory::of(&header(false)),
        FailureHistory::Incomplete
    );
    assert_eq!(history_after_adoption(&header(false)), "incomplete");
}

#[test]
fn a_job_taken_over_from_an_owner_that_did_not_release_it_has_an_incomplete_history() {
    let taken_over = adopted(&header(true), "this-daemon");
    assert_eq!(FailureHistory::of(&taken_over), FailureHistory::Incomplete);
}

#[test]
fn a_complete_history_stays_complete_through_a_handover() {
    assert_eq!(history_after_adoption(&header(true)), "complete");
}

/// An owner that was taken over may have read a failure that it had not stored yet.
#[test]
fn a_takeover_under_a_challenge_leaves_an_incomplete_history() {
    let challenged = challenged(&header(true), "this-daemon");
    let known = KnownHeader {
        header: adopted(&challenged, "this-daemon"),
        revision: 10,
    };
    let job = OwnedJob::new(known, Vec::new(), Vec::new());
    let Record::JobLoaded {
        failure_history, ..
    } = job.load_record()
    else {
        panic!("another record");
    };
    assert_eq!(failure_history, "incomplete");
}
