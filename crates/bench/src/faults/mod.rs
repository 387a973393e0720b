//! The fault simulation: whole daemons on virtual time, clients that resend, faults together and twice, and a
//! checker over the history and the engines' own logs.

mod chaos;
mod checker;
mod clients;
mod gate;
mod gated_platform;
mod history;
mod network;
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use tokio::time::sleep;

pub use checker::{Checked, Violation};
pub use world::BrokenGuards;
use world::World;

/// Clients of each kind.
const ONLINE_CLIENTS: usize = 4;
const MARKED_CLIENTS: usize = 3;
const JOB_CLIENTS: usize = 2;
const OPERATORS: usize = 2;

/// Time without faults before the first.
const QUIET_START: Duration = Duration::from_secs(3);

/// Longest time after the faults for all jobs to end.
const SETTLE_LIMIT: Duration = Duration::from_secs(300);

/// What one seed gave.
#[derive(Debug, Clone)]
pub struct SeedReport {
    /// Seed.
    pub seed: u64,
    /// What was checked and found.
    pub checked: Checked,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// Runs one seed: `length` of faults, then healing, then the check. The same seed gives the same report.
pub fn run_seed(seed: u64, length: Duration, broken: BrokenGuards) -> Result<SeedReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    runtime.block_on(simulate(seed, length, broken))
}

async fn simulate(seed: u64, length: Duration, broken: BrokenGuards) -> Result<SeedReport> {
    let world = World::start(seed, broken).await?;
    sleep(QUIET_START).await;
    let until = world.now() + length;
    let mut tasks = Vec::new();
    for client in 0..ONLINE_CLIENTS {
        tasks.push(tokio::spawn(clients::run_online(
            world.clone(),
            client,
            until,
        )));
    }
    for client in 0..MARKED_CLIENTS {
        tasks.push(tokio::spawn(clients::run_marked(
            world.clone(),
            client,
            until,
        )));
    }
    for client in 0..JOB_CLIENTS {
        tasks.push(tokio::spawn(clients::run_jobs(
            world.clone(),
            client,
            until,
        )));
    }
    for operator in 0..OPERATORS {
        tasks.push(tokio::spawn(clients::run_operator(
            world.clone(),
            operator,
            until,
        )));
    }
    tokio::spawn(clients::watch_config(world.clone(), until + SETTLE_LIMIT));
    chaos::run(world.clone(), until).await;
    for task in tasks {
        task.await?;
    }
    let limit = world.now() + SETTLE_LIMIT;
    while world.now() < limit && !world.platform.peek_prefix("open/").is_empty() {
        sleep(Duration::from_millis(500)).await;
    }
    // Late messages and late grants would show now.
    sleep(Duration::from_secs(20)).await;
    let checked = checker::check(&world);
    let faults = world.recorder.lock().faults.clone();
    Ok(SeedReport {
        seed,
        checked,
        faults,
    })
}
