//! A member that holds a grant which its owner does not know keeps the item or is told to stop.
//!
//! Guards against an at-most-once item that two members run: one of them held a grant that was neither kept nor refused.

use std::time::Duration;

use harrierward_batch::core::{InputLine, OwnerCore, OwnerSettings, StoredJob};
use harrierward_wire::{JobRow, PullRequest, RunningItem};

const ITEMS: u32 = 2;

/// An owner of a job of at-most-once items whose intents are not committed yet.
fn owner_without_intents() -> OwnerCore {
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
    owner.pull(&holding(&[]), Duration::ZERO);
    for chunk in owner.take_chunk_loads() {
        let lines = (0..ITEMS).map(|item| InputLine {
            text: format!("{{\"custom_id\":\"{item}\"}}"),
            at_most_once: true,
        });
        owner.input_loaded(&chunk, lines.collect(), Duration::ZERO);
    }
    owner
}

fn holding(items: &[u32]) -> PullRequest {
    let held = items.iter().map(|item| RunningItem {
        job_id: "job".to_owned(),
        item: *item,
        attempt: "earlier-1".to_owned(),
    });
    PullRequest {
        member: "runner".to_owned(),
        service: "service".to_owned(),
        slots: 1,
        held: held.collect(),
        ..PullRequest::default()
    }
}

#[test]
fn a_member_that_holds_an_item_without_an_intent_is_told_to_stop() {
    let mut owner = owner_without_intents();
    let reply = owner.pull(&holding(&[0]), Duration::ZERO);
    let stopped: Vec<u32> = reply.stop.iter().map(|held| held.item).collect();
    assert_eq!(stopped, [0]);
}
