//! An item whose runs are interrupted repeatedly may crash its engines: it gets growing cooldowns, but is not dropped.

mod support;

use std::time::Duration;

use harrierward_batch::core::OwnerCore;
use harrierward_wire::{Grant, HandBack, ResultsRequest, RunningItem};
use support::{owner_of_job, pull_request};

/// Number of items of the job; the runs of the first one are interrupted.
const ITEMS: u32 = 5;

fn pull(owner: &mut OwnerCore, now: Duration, slots: u32) -> Vec<Grant> {
    owner.pull(&pull_request(slots), now).grants
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
    let mut owner = owner_of_job(ITEMS, false);
    let first = grants_of_first(&mut owner, 60, true);
    assert!((3..=8).contains(&first), "{first} grants in a minute");
}

#[test]
fn an_interrupted_item_is_granted_again() {
    let mut owner = owner_of_job(ITEMS, false);
    let hour = grants_of_first(&mut owner, 3_600, true);
    assert!((8..=24).contains(&hour), "{hour} grants in an hour");
}

#[test]
fn an_item_returned_unrun_has_no_cooldown() {
    let mut owner = owner_of_job(ITEMS, false);
    let first = grants_of_first(&mut owner, 10, false);
    assert!(first > 25, "{first} grants in ten seconds");
}
