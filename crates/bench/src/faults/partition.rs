//! A fleet in two parts that never hear each other, all of it in touch with a store that is well, and jobs of slow items.

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
use super::{QUIET_START, virtual_time};

/// Time of one token, microseconds: with the tokens of an item 5 s.
const STEP_MICROS: u64 = 100_000;

/// Tokens of an item.
const ITEM_TOKENS: u32 = 50;

const ITEMS_A_JOB: usize = 12;

/// Jobs of each tenant.
const JOBS_A_TENANT: usize = 6;

/// How often it is looked whether jobs have ended.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// What a fleet in two parts did.
#[derive(Debug, Clone)]
pub struct PartitionReport {
    /// Takeovers of the shard that changed hands most often, in the time given.
    pub max_shard_takeovers: u64,
    /// Takeovers of the replica that changed hands most often.
    pub max_replica_takeovers: u64,
    /// Takeovers of all shards and replicas.
    pub takeovers: u64,
    /// Jobs accepted.
    pub jobs: usize,
    /// Jobs that had not ended then.
    pub open_jobs: usize,
    /// When the last job was seen to have ended, since the first was accepted.
    pub all_completed_after: Option<Duration>,
    /// The promises.
    pub checked: Checked,
}

/// Runs jobs for `length` in a fleet whose first daemon and the others never hear of each other.
pub fn run_partitioned(seed: u64, length: Duration) -> Result<PartitionReport> {
    virtual_time()?.block_on(simulate(seed, length, true))
}

/// Runs the same jobs in a fleet in which all hear each other.
pub fn run_connected(seed: u64, length: Duration) -> Result<PartitionReport> {
    virtual_time()?.block_on(simulate(seed, length, false))
}

async fn simulate(seed: u64, length: Duration, is_cut: bool) -> Result<PartitionReport> {
    let parameters = EngineParameters {
        step_base_micros: STEP_MICROS,
        max_running: ENGINE_SEQUENCES,
        ..EngineParameters::default()
    };
    let world = World::start_with(seed, BrokenGuards::default(), parameters).await?;
    if is_cut {
        separate(&world);
    }
    sleep(QUIET_START).await;
    let before = epochs(&world);
    let began = world.now();
    let jobs = submit_jobs(&world).await?;
    let mut all_completed_after = None;
    while world.now() < began + length {
        sleep(LOOK_EVERY).await;
        if all_completed_after.is_none() && open_jobs(&world) == 0 {
            all_completed_after = Some(world.now() - began);
        }
    }
    let takeovers = takeovers(&before, &epochs(&world));
    let most = |prefix: &str| {
        let kind = takeovers.iter().filter(|(key, _)| key.starts_with(prefix));
        kind.map(|(_, count)| *count).max().unwrap_or_default()
    };
    Ok(PartitionReport {
        max_shard_takeovers: most(SHARDS_PREFIX),
        max_replica_takeovers: most(REPLICAS_PREFIX),
        takeovers: takeovers.values().sum(),
        jobs,
        open_jobs: open_jobs(&world),
        all_completed_after,
        checked: checker::check(&world),
    })
}

const SHARDS_PREFIX: &str = "owner/shard/";
const REPLICAS_PREFIX: &str = "owner/replica/";

/// Cuts the first daemon off from the others before any datagram has been sent.
fn separate(world: &World) {
    let daemons = world.live();
    for other in &daemons[1..] {
        world.network.cut(&daemons[0].address, &other.address);
    }
}

fn open_jobs(world: &World) -> usize {
    world.platform.peek_prefix("open/").len()
}

/// Epochs of what is owned, by the keys of the rows.
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

/// Submits jobs to all daemons in turns; how many.
async fn submit_jobs(world: &World) -> Result<usize> {
    let daemons = world.live();
    let mut jobs = 0;
    for (tenant, model) in TENANTS {
        for number in 0..JOBS_A_TENANT {
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

/// A job of items whose answers are as long as the limit; an item's prompt is its id too.
fn slow_job(tenant: &str, model: &str, key: &str) -> JobRecord {
    let prompts = (0..).map(|number| format!("{key} item {number}"));
    let is_slow = |prompt: &String| natural_length(model, prompt) >= ITEM_TOKENS;
    let slow = prompts.filter(is_slow).take(ITEMS_A_JOB);
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
