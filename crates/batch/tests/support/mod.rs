//! An owner of one job.

use std::time::Duration;

use harrierward_batch::core::{InputLine, OwnerCore, OwnerSettings, StoredJob};
use harrierward_wire::{JobRow, PullRequest};

/// Returns an owner that has loaded a job of `items` items, none of which is granted or intended.
pub fn owner_of_job(items: u32, at_most_once: bool) -> OwnerCore {
    let mut owner = OwnerCore::new("owner".to_owned(), OwnerSettings::default());
    owner.take_shard(0, 1, 1);
    owner.load_job(StoredJob {
        row: JobRow {
            job_id: "job".to_owned(),
            tenant: "tenant".to_owned(),
            service: "service".to_owned(),
            items,
            ..JobRow::default()
        },
        revision: 1,
        chunks: Some(Vec::new()),
    });
    // The first pull requests the items.
    owner.pull(&pull_request(1), Duration::ZERO);
    for chunk in owner.take_chunk_loads() {
        let lines = (0..items).map(|item| InputLine {
            text: format!("{{\"custom_id\":\"{item}\"}}"),
            at_most_once,
        });
        owner.input_loaded(&chunk, lines.collect(), Duration::ZERO);
    }
    owner
}

/// Returns a member's request for items.
pub fn pull_request(slots: u32) -> PullRequest {
    PullRequest {
        member: "runner".to_owned(),
        service: "service".to_owned(),
        slots,
        ..PullRequest::default()
    }
}
