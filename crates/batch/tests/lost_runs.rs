//! An item whose runs break off again and again: each may have ended the engine that ran it, so it rests longer each time.

use std::time::Duration;

use harrierward_batch::core::{InputLine, OwnerCore, OwnerSettings, StoredJob};
use harrierward_wire::{Grant, HandBack, JobRow, PullRequest, ResultsRequest, RunningItem};

/// Items of the job; the first one ends what runs it.
const ITEMS: u32 = 5;

fn owner() -> OwnerCore {
    let mut owner = OwnerCore::new("owner".to_owned(), OwnerSettings::default());
    owner.take_shard(0, 1, 1);
    owner.load_job(StoredJob {
        row: JobRow {
            job_id: "job".to_owned(),
            tenant: "tenant".to_owned(),
            service: "service".to_owned(),
            items: ITEMS,
            ..JobRow::default()
        },
        revision: 1,
        chunks: Some(Vec::new()),
    });
    pull(&mut owner, Duration::ZERO, 1);
    for wanted in owner.take_chunk_loads() {
        let lines = (0..ITEMS).map(|item| InputLine {
            text: format!("{{\"custom_id\":\"{item}\"}}"),
            at_most_once: false,
        });
        owner.input_loaded(&wanted, lines.collect(), Duration::ZERO);
    }
    owner
}

fn pull(owner: &mut OwnerCore, now: Duration, slots: u32) -> Vec<Grant> {
    let request = PullRequest {
        member: "runner".to_owned(),
        service: "service".to_owned(),
        slots,
        ..PullRequest::default()
    };
    owner.pull(&request, now).grants
}

fn hand_back(owner: &mut OwnerCore, grant: &Grant, may_have_run: bool, now: Duration) {
    let handed_back = HandBack {
        item: Some(RunningItem {
            job_id: grant.job_id.clone(),
            item: grant.item,
            attempt: grant.attempt.clone(),
        }),
        shard: grant.shard,
        may_have_run,
    };
    let request = ResultsRequest {
        results: Vec::new(),
        handed_back: vec![handed_back],
    };
    owner.results(&request, now);
}

/// Grants of the first item in so many seconds, each handed back after 0.3 s; the others are granted and kept.
fn grants_of_first(owner: &mut OwnerCore, seconds: u64, may_have_run: bool) -> usize {
    let mut count = 0;
    let tick = Duration::from_millis(300);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(seconds) {
        owner.expire(now);
        for grant in pull(owner, now, ITEMS) {
            if grant.item == 0 {
                count += 1;
                hand_back(owner, &grant, may_have_run, now + tick);
            }
        }
        now += tick;
    }
    count
}

/// Unbounded it was granted 200 times in a minute, and ended an engine each time.
#[test]
fn an_item_whose_runs_break_off_rests_longer_each_time() {
    let mut owner = owner();
    let first = grants_of_first(&mut owner, 60, true);
    assert!((3..=8).contains(&first), "{first} grants in a minute");
}

#[test]
fn it_is_not_lost() {
    let mut owner = owner();
    let hour = grants_of_first(&mut owner, 3_600, true);
    assert!((8..=24).contains(&hour), "{hour} grants in an hour");
}

#[test]
fn an_item_that_certainly_has_not_run_does_not_rest() {
    let mut owner = owner();
    let first = grants_of_first(&mut owner, 10, false);
    assert!(first > 25, "{first} grants in ten seconds");
}
