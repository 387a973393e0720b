//! A member that holds a grant which its owner does not know keeps the item or is told to stop.
//!
//! Guards against an at-most-once item that two members run: one of them held a grant that was neither kept nor refused.

mod support;

use std::time::Duration;

use harrierward_wire::{PullRequest, RunningItem};
use support::{owner_of_job, pull_request};

const ITEMS: u32 = 2;

fn holding(items: &[u32]) -> PullRequest {
    let held = items.iter().map(|item| RunningItem {
        job_id: "job".to_owned(),
        item: *item,
        attempt: "earlier-1".to_owned(),
    });
    PullRequest {
        held: held.collect(),
        ..pull_request(1)
    }
}

#[test]
fn a_member_that_holds_an_item_without_an_intent_is_told_to_stop() {
    // The intents of its items are not committed yet.
    let mut owner = owner_of_job(ITEMS, true);
    let reply = owner.pull(&holding(&[0]), Duration::ZERO);
    let stopped: Vec<u32> = reply.stop.iter().map(|held| held.item).collect();
    assert_eq!(stopped, [0]);
}
