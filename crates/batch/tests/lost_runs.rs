//! An item whose runs are interrupted repeatedly may crash its engines: it gets growing cooldowns, but is not dropped.

use std::time::Duration;

use harrierward_batch::core::{InputLine, OwnerCore, OwnerSettings, StoredJob};
use harrierward_wire::{Grant, HandBack, JobRow, PullRequest, ResultsRequest, RunningItem};

/// Number of items of the job; the runs of the first one are interrupted.
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
    for chunk_ref in owner.take_chunk_loads() {
        let lines = (0..ITEMS).map(|item| InputLine {
            text: format!("{{\"custom_id\":\"{item}\"}}"),
            at_most_once: false,
        });
        owner.input_loaded(&chunk_ref, lines.collect(), Duration::ZERO);
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

fn return_item(owner: &mut OwnerCore, grant: &Grant, may_have_run: bool, now: Duration) {
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

/// Counts the grants of the first item within `seconds`; each is returned after 0.3 s, and the others stay granted.
fn grants_of_first(owner: &mut OwnerCore, seconds: u64, may_have_run: bool) -> usize {
    let mut count = 0;
    let tick = Duration::from_millis(300);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(seconds) {
        owner.expire(now);
        for grant in pull(owner, now, ITEMS) {
            if grant.item == 0 {
                count += 1;
                return_item(owner, &grant, may_have_run, now + tick);
            }
        }
        now += tick;
    }
    count
}

/// An item that crashes its engine must not be granted again at every pull.
#[test]
fn interrupted_runs_lengthen_the_cooldown() {
    let mut owner = owner();
    let first = grants_of_first(&mut owner, 60, true);
    assert!((3..=8).contains(&first), "{first} grants in a minute");
}

#[test]
fn an_interrupted_item_is_granted_again() {
    let mut owner = owner();
    let hour = grants_of_first(&mut owner, 3_600, true);
    assert!((8..=24).contains(&hour), "{hour} grants in an hour");
}

#[test]
fn an_item_returned_unrun_has_no_cooldown() {
    let mut owner = owner();
    let first = grants_of_first(&mut owner, 10, false);
    assert!(first > 25, "{first} grants in ten seconds");
}
