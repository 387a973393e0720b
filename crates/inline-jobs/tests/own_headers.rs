//! Which headers of own jobs are read.
//!
//! Guards against jobs whose headers are never read, and against reads of headers that an own commit has just proven.

use std::time::Duration;

use harrierward_inline_jobs::HeaderReads;

const MAX_AGE: Duration = Duration::from_millis(1_200);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn jobs(revisions: &[(&str, u64)]) -> Vec<(String, u64)> {
    let jobs = revisions.iter();
    jobs.map(|(job, revision)| ((*job).to_owned(), *revision))
        .collect()
}

#[test]
fn an_unchanged_header_is_read_once_per_interval() {
    let mut reads = HeaderReads::default();
    let own = || jobs(&[("a", 1)]);
    assert!(reads.select(own(), MAX_AGE, 9, at(0)).is_empty());
    assert!(reads.select(own(), MAX_AGE, 9, at(1_199)).is_empty());
    assert_eq!(reads.select(own(), MAX_AGE, 9, at(1_200)), ["a"]);
    assert!(reads.select(own(), MAX_AGE, 9, at(2_399)).is_empty());
    assert_eq!(reads.select(own(), MAX_AGE, 9, at(2_400)), ["a"]);
}

#[test]
fn a_changed_header_is_not_read() {
    let mut reads = HeaderReads::default();
    for (time, revision) in [(0, 1), (1_000, 2), (2_000, 3), (3_000, 4)] {
        let own = jobs(&[("a", revision)]);
        assert!(reads.select(own, MAX_AGE, 9, at(time)).is_empty());
    }
}

#[test]
fn all_headers_are_read_in_turn() {
    let mut reads = HeaderReads::default();
    let own = || jobs(&[("a", 1), ("b", 1), ("c", 1)]);
    assert!(reads.select(own(), MAX_AGE, 2, at(0)).is_empty());
    assert_eq!(reads.select(own(), MAX_AGE, 2, at(1_200)), ["a", "b"]);
    assert_eq!(reads.select(own(), MAX_AGE, 2, at(1_600)), ["c"]);
    assert_eq!(reads.select(own(), MAX_AGE, 2, at(2_800)), ["a", "b"]);
}

#[test]
fn a_job_that_returns_is_new() {
    let mut reads = HeaderReads::default();
    assert!(
        reads
            .select(jobs(&[("a", 1)]), MAX_AGE, 9, at(0))
            .is_empty()
    );
    assert!(reads.select(Vec::new(), MAX_AGE, 9, at(1_000)).is_empty());
    assert!(
        reads
            .select(jobs(&[("a", 1)]), MAX_AGE, 9, at(2_000))
            .is_empty()
    );
}
