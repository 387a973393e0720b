//! The fault simulation: whole daemons on virtual time, clients that resend, faults together and twice, and a
//! checker over the history and the engines' own logs.

mod chaos;
mod checker;
mod clients;
mod gate;
mod gated_platform;
mod history;
mod network;
mod partition;
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use tokio::runtime::Runtime;
use tokio::time::sleep;

pub use checker::{Checked, Violation};
pub use partition::{PartitionReport, run_connected, run_partitioned};
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

/// A runtime of one thread whose clock jumps to the next timer whenever nothing else is to be done.
fn virtual_time() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
}

/// Runs one seed: `length` of faults, then healing, then the check. The same seed gives the same report.
pub fn run_seed(seed: u64, length: Duration, broken: BrokenGuards) -> Result<SeedReport> {
    virtual_time()?.block_on(simulate(seed, length, broken))
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

/// What clients met while the store was down.
#[derive(Debug, Clone)]
pub struct OutageReport {
    /// Longest time until a marked request got its answer.
    pub max_marked_latency: Duration,
    /// Marked requests that were refused as not run.
    pub marked_refused: usize,
    /// Marked requests sent.
    pub marked: usize,
    /// Unmarked requests that were answered whole.
    pub unmarked_answered: usize,
    /// Unmarked requests sent.
    pub unmarked: usize,
}

/// Takes the store down for `length` of virtual time and sends marked and unmarked requests meanwhile.
pub fn run_store_outage(seed: u64, length: Duration) -> Result<OutageReport> {
    virtual_time()?.block_on(async {
        let world = World::start(seed, BrokenGuards::default()).await?;
        sleep(QUIET_START).await;
        world
            .platform
            .faults()
            .set(harrierward_emulator::StoreFaults {
                down: true,
                ..harrierward_emulator::StoreFaults::default()
            });
        let until = world.now() + length;
        let mut report = OutageReport {
            max_marked_latency: Duration::ZERO,
            marked_refused: 0,
            marked: 0,
            unmarked_answered: 0,
            unmarked: 0,
        };
        while world.now() < until {
            let started = world.now();
            report.marked += 1;
            if clients::probe(&world, report.marked, true).await? {
                report.marked_refused += 1;
            }
            report.max_marked_latency = report.max_marked_latency.max(world.now() - started);
            report.unmarked += 1;
            if clients::probe(&world, report.unmarked, false).await? {
                report.unmarked_answered += 1;
            }
            sleep(Duration::from_millis(300)).await;
        }
        Ok(report)
    })
}
