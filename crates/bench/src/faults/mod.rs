//! Fault simulation: complete daemons on virtual time with clients and injected faults, and a checker
//! over the client history and the engines' execution records.

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

const ONLINE_CLIENTS: usize = 4;
const IDEMPOTENT_CLIENTS: usize = 3;
const JOB_CLIENTS: usize = 2;
const OPERATORS: usize = 2;

/// Time before the first fault or request, in which the daemons discover each other.
const FAULT_FREE_START: Duration = Duration::from_secs(3);

/// Maximum time after the faults in which open jobs can complete.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Result of the simulation with one seed.
#[derive(Debug, Clone)]
pub struct SeedReport {
    /// Seed of the simulation.
    pub seed: u64,
    /// Result of the checker.
    pub checked: Checked,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// Creates a single-threaded runtime whose clock advances to the next timer when all tasks are idle.
fn virtual_time() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
}

/// Runs the simulation with faults for `length`, then recovery and the checker. Deterministic for each seed.
pub fn run_seed(seed: u64, length: Duration, broken: BrokenGuards) -> Result<SeedReport> {
    virtual_time()?.block_on(simulate(seed, length, broken))
}

async fn simulate(seed: u64, length: Duration, broken: BrokenGuards) -> Result<SeedReport> {
    let world = World::start(seed, broken).await?;
    sleep(FAULT_FREE_START).await;
    let until = world.now() + length;
    let mut tasks = Vec::new();
    for client in 0..ONLINE_CLIENTS {
        tasks.push(tokio::spawn(clients::run_online(
            world.clone(),
            client,
            until,
        )));
    }
    for client in 0..IDEMPOTENT_CLIENTS {
        tasks.push(tokio::spawn(clients::run_idempotent(
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
    tokio::spawn(clients::poll_config(world.clone(), until + SETTLE_TIMEOUT));
    chaos::run(world.clone(), until).await;
    for task in tasks {
        task.await?;
    }
    let limit = world.now() + SETTLE_TIMEOUT;
    while world.now() < limit && !world.platform.peek_prefix("open/").is_empty() {
        sleep(Duration::from_millis(500)).await;
    }
    // Waits for delayed messages and grants before the checker runs.
    sleep(Duration::from_secs(20)).await;
    let checked = checker::check(&world);
    let faults = world.recorder.lock().faults.clone();
    Ok(SeedReport {
        seed,
        checked,
        faults,
    })
}

/// Responses to clients while the store was down.
#[derive(Debug, Clone)]
pub struct OutageReport {
    /// Maximum time until the response to an idempotent request.
    pub max_idempotent_latency: Duration,
    /// Idempotent requests that were refused as not run.
    pub idempotent_refused: usize,
    /// Idempotent requests sent.
    pub idempotent: usize,
    /// Requests without an idempotency key that received a complete response.
    pub plain_answered: usize,
    /// Requests without an idempotency key sent.
    pub plain: usize,
}

/// Sends idempotent and plain requests while the store is down for `length` of virtual time.
pub fn run_store_outage(seed: u64, length: Duration) -> Result<OutageReport> {
    virtual_time()?.block_on(async {
        let world = World::start(seed, BrokenGuards::default()).await?;
        sleep(FAULT_FREE_START).await;
        world
            .platform
            .faults()
            .set(harrierward_emulator::StoreFaults {
                down: true,
                ..harrierward_emulator::StoreFaults::default()
            });
        let until = world.now() + length;
        let mut report = OutageReport {
            max_idempotent_latency: Duration::ZERO,
            idempotent_refused: 0,
            idempotent: 0,
            plain_answered: 0,
            plain: 0,
        };
        while world.now() < until {
            let started = world.now();
            report.idempotent += 1;
            if clients::probe(&world, report.idempotent, true).await? {
                report.idempotent_refused += 1;
            }
            report.max_idempotent_latency =
                report.max_idempotent_latency.max(world.now() - started);
            report.plain += 1;
            if clients::probe(&world, report.plain, false).await? {
                report.plain_answered += 1;
            }
            sleep(Duration::from_millis(300)).await;
        }
        Ok(report)
    })
}
