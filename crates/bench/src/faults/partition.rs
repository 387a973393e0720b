//! Jobs of slow items in a fleet with a network partition between daemons, while all of them reach the store.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use harrierward_emulator::{EngineParameters, natural_length};
use harrierward_wire::{OwnershipRow, decode};
use tokio::time::sleep;

use super::checker::{self, Checked};
use super::clients::{input_line, submit_to};
use super::history::JobRecord;
use super::world::{BrokenGuards, ENGINE_SEQUENCES, TENANTS, World};
use super::{FAULT_FREE_START, virtual_time};

/// Step time of the engines, microseconds: an item takes 5 s.
const STEP_MICROS: u64 = 100_000;

const ITEM_TOKENS: u32 = 50;

const ITEMS_PER_JOB: usize = 12;

const JOBS_PER_TENANT: usize = 6;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Takeovers and job progress in one run.
#[derive(Debug, Clone)]
pub struct PartitionReport {
    /// Maximum number of takeovers of a shard.
    pub max_shard_takeovers: u64,
    /// Maximum number of takeovers of a replica.
    pub max_replica_takeovers: u64,
    /// Total takeovers of shards and replicas.
    pub takeovers: u64,
    /// Jobs accepted.
    pub jobs: usize,
    /// Jobs still open at the end of the run.
    pub open_jobs: usize,
    /// Time from the first submission until no job was open; `None` if some remained open.
    pub all_completed_after: Option<Duration>,
    /// Result of the checker.
    pub checked: Checked,
}

/// Runs jobs for `length` while the first daemon is partitioned from the others from the start.
pub fn run_partitioned(seed: u64, length: Duration) -> Result<PartitionReport> {
    virtual_time()?.block_on(simulate(seed, length, true))
}

/// Runs the same jobs without a partition.
pub fn run_connected(seed: u64, length: Duration) -> Result<PartitionReport> {
    virtual_time()?.block_on(simulate(seed, length, false))
}

async fn simulate(seed: u64, length: Duration, is_partitioned: bool) -> Result<PartitionReport> {
    let parameters = EngineParameters {
        step_base_micros: STEP_MICROS,
        max_running: ENGINE_SEQUENCES,
        ..EngineParameters::default()
    };
    let world = World::start_with(seed, BrokenGuards::default(), parameters).await?;
    if is_partitioned {
        cut_off_first_daemon(&world);
    }
    sleep(FAULT_FREE_START).await;
    let before = epochs(&world);
    let started = world.now();
    let jobs = submit_jobs(&world).await?;
    let mut all_completed_after = None;
    while world.now() < started + length {
        sleep(POLL_INTERVAL).await;
        if all_completed_after.is_none() && open_jobs(&world) == 0 {
            all_completed_after = Some(world.now() - started);
        }
    }
    let takeovers = takeovers(&before, &epochs(&world));
    let max_takeovers = |prefix: &str| {
        let kind = takeovers.iter().filter(|(key, _)| key.starts_with(prefix));
        kind.map(|(_, count)| *count).max().unwrap_or_default()
    };
    Ok(PartitionReport {
        max_shard_takeovers: max_takeovers(SHARDS_PREFIX),
        max_replica_takeovers: max_takeovers(REPLICAS_PREFIX),
        takeovers: takeovers.values().sum(),
        jobs,
        open_jobs: open_jobs(&world),
        all_completed_after,
        checked: checker::check(&world),
    })
}

const SHARDS_PREFIX: &str = "owner/shard/";
const REPLICAS_PREFIX: &str = "owner/replica/";

/// Partitions the first daemon from the others; called before any datagram is sent.
fn cut_off_first_daemon(world: &World) {
    let daemons = world.live();
    for other in &daemons[1..] {
        world.network.cut(&daemons[0].address, &other.address);
    }
}

fn open_jobs(world: &World) -> usize {
    world.platform.peek_prefix("open/").len()
}

/// Returns the epochs of all ownership rows by row key.
fn epochs(world: &World) -> BTreeMap<String, u64> {
    let rows = world.platform.peek_prefix("owner/").into_iter();
    rows.filter_map(|row| {
        let owned = decode::<OwnershipRow>(&row.value)?;
        Some((row.key, owned.epoch))
    })
    .collect()
}

fn takeovers(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let since = |key: &String, epoch: &u64| epoch - before.get(key).copied().unwrap_or_default();
    let after = after.iter();
    after
        .map(|(key, epoch)| (key.clone(), since(key, epoch)))
        .collect()
}

/// Submits jobs to the daemons in round-robin order; returns their number.
async fn submit_jobs(world: &World) -> Result<usize> {
    let daemons = world.live();
    let mut jobs = 0;
    for (tenant, model) in TENANTS {
        for number in 0..JOBS_PER_TENANT {
            let key = format!("slow-{tenant}-{number}");
            let daemon = &daemons[jobs % daemons.len()];
            let mut job = slow_job(tenant, model, &key);
            let prompts = job.prompts.values();
            let input: String = prompts
                .map(|prompt| input_line(model, prompt, prompt, ITEM_TOKENS, false))
                .collect();
            let id = submit_to(world, daemon, tenant, model, &key, &input).await?;
            job.acknowledged.push(id);
            world.recorder.lock().jobs.insert(key, job);
            jobs += 1;
        }
    }
    Ok(jobs)
}

/// Builds a job whose responses all reach the token limit; each item's prompt is also its id.
fn slow_job(tenant: &str, model: &str, key: &str) -> JobRecord {
    let prompts = (0..).map(|number| format!("{key} item {number}"));
    let is_slow = |prompt: &String| natural_length(model, prompt) >= ITEM_TOKENS;
    let slow = prompts.filter(is_slow).take(ITEMS_PER_JOB);
    JobRecord {
        tenant: tenant.to_owned(),
        model: model.to_owned(),
        prompts: slow.map(|prompt| (prompt.clone(), prompt)).collect(),
        at_most_once: Vec::new(),
        maximum_tokens: ITEM_TOKENS,
        acknowledged: Vec::new(),
        cancel_acknowledged: None,
    }
}
