//! Slopes of the shard owner's core: table writes, processor time and memory against the size of a job.

use std::time::{Duration, Instant};

use harrierward_batch::CHUNK_ITEMS;
use harrierward_batch::core::{
    CommitKind, CommitOutcome, InputLine, JobLoad, OwnerCore, OwnerSettings,
};
use harrierward_wire::{ItemResult, JobRow, PullRequest, ResultsRequest};
use serde::Serialize;

/// Items granted and returned at a time.
const PULL_SLOTS: u32 = 64;

/// Length of an input line and of a result line, bytes.
const LINE_BYTES: usize = 600;

/// What a job of one size cost.
#[derive(Debug, Clone, Serialize)]
pub struct JobSlope {
    /// Items.
    pub items: u32,
    /// Table writes for results.
    pub result_writes: u64,
    /// Table writes for every 200 items.
    pub writes_per_200: f64,
    /// Objects written.
    pub objects: u64,
    /// Processor time of the core, microseconds an item.
    pub micros_an_item: f64,
    /// Most bytes allocated while the job ran.
    pub peak_bytes: usize,
}

/// Runs a job of `items` through the core, one item taking `item_micros` of virtual time a slot.
pub fn measure_job(items: u32, allocated: &dyn Fn() -> usize) -> JobSlope {
    let before = allocated();
    let mut core = OwnerCore::new("owner", OwnerSettings::default());
    core.take_shard(0, 1, 1);
    core.load_job(JobLoad {
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
    let mut slope = JobSlope {
        items,
        result_writes: 0,
        writes_per_200: 0.0,
        objects: 0,
        micros_an_item: 0.0,
        peak_bytes: 0,
    };
    let mut now = Duration::ZERO;
    let mut revision = 1;
    let mut busy = Duration::ZERO;
    while core.job_count() > 0 {
        now += Duration::from_millis(100);
        let started = Instant::now();
        let request = PullRequest {
            member: "runner".to_owned(),
            service: "service".to_owned(),
            slots: PULL_SLOTS,
            ..PullRequest::default()
        };
        let reply = core.pull(&request, now);
        let results = reply.grants.into_iter().map(|grant| ItemResult {
            job_id: grant.job_id,
            item: grant.item,
            attempt: grant.attempt,
            shard: grant.shard,
            line: "r".repeat(LINE_BYTES),
            failed: false,
        });
        let results = ResultsRequest {
            results: results.collect(),
            handed_back: Vec::new(),
        };
        core.results(&results, now);
        core.expire(now);
        let wanted = core.take_wanted();
        let commits = core.plan_commits(now);
        let endings = core.plan_endings();
        busy += started.elapsed();
        for wanted in wanted {
            let lines = (0..CHUNK_ITEMS).map(|_| InputLine {
                text: "i".repeat(LINE_BYTES),
                at_most_once: false,
            });
            core.body_loaded(&wanted, lines.collect(), now);
        }
        for commit in commits {
            revision += 1;
            slope.result_writes += commit.transaction().writes.len() as u64;
            slope.objects += u64::from(commit.kind == CommitKind::Results);
            core.commit_finished(&commit, CommitOutcome::Committed { revision });
        }
        for ending in endings {
            revision += 1;
            slope.result_writes += ending.transaction().writes.len() as u64;
            core.ending_finished(&ending, CommitOutcome::Committed { revision });
        }
        slope.peak_bytes = slope.peak_bytes.max(allocated().saturating_sub(before));
    }
    slope.writes_per_200 = slope.result_writes as f64 * f64::from(CHUNK_ITEMS) / f64::from(items);
    slope.micros_an_item = busy.as_secs_f64() * 1e6 / f64::from(items);
    slope
}
