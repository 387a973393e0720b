//! The hollow fleet: many daemons' control cores in one process, on virtual time, over modelled links.
//!
//! Why hollow: 520 daemons do not fit one machine, but their cores do. Messages are really encoded and counted,
//! processor time is the real time of the cores' calls, and memory is measured by the allocator.

mod jobs;
mod links;
mod simulation;

use serde::Serialize;

pub use jobs::{JobSlope, measure_job};
pub use links::Placement;
pub use simulation::{Fleet, FleetSettings, Traffic};

/// What one size of the fleet gave.
#[derive(Debug, Clone, Serialize)]
pub struct FleetReport {
    /// Daemons.
    pub daemons: usize,
    /// Members that a daemon knows.
    pub known: usize,
    /// Bytes allocated a daemon for membership and configuration.
    pub state_bytes: f64,
    /// Datagrams sent a daemon and second, in the steady state.
    pub datagrams: f64,
    /// Bytes sent a daemon and second, in the steady state.
    pub bytes: f64,
    /// Processor time a daemon, share of a core, in the steady state.
    pub core_share: f64,
    /// Table calls a second of the whole fleet, in the steady state.
    pub table_calls: f64,
    /// Oldest proof of freshness in the steady state, seconds.
    pub oldest_proof: f64,
    /// Time until a change was in force everywhere, seconds: median and longest of several changes.
    pub change_seconds: [f64; 2],
    /// Time until all others held a lost daemon for dead, seconds: first and last.
    pub lost_daemon_seconds: [f64; 2],
    /// The same for a whole zone lost at once.
    pub lost_zone_seconds: [f64; 2],
    /// Most bytes a second that any daemon sent while a zone was lost.
    pub zone_peak_bytes: f64,
    /// After a cut of a region, time until all were in view of all again, seconds.
    pub region_heal_seconds: f64,
    /// Most bytes a second that any daemon sent in the cut and its end.
    pub region_peak_bytes: f64,
    /// Most bytes a second that any daemon sent during a rolling replacement.
    pub rolling_peak_bytes: f64,
    /// Time to find the owners of all 2,456 shards and replicas of the target, milliseconds.
    pub ownership_millis: f64,
}

/// Shards and replicas of the target.
const TARGET_ASSETS: usize = 256 + 2200;

fn measure_ownership(daemons: usize) -> f64 {
    let ids: Vec<String> = (0..daemons)
        .map(|number| format!("10.0.0.1:7000-{number:012x}"))
        .collect();
    let started = std::time::Instant::now();
    let mut own = 0;
    for asset in 0..TARGET_ASSETS {
        let ids = ids.iter().map(String::as_str);
        let owner = harrierward_routing::rendezvous_owner(&format!("owner/{asset}"), ids);
        own += owner.map_or(0, str::len);
    }
    std::hint::black_box(own);
    started.elapsed().as_secs_f64() * 1e3
}

/// Runs all scenarios at one size.
pub fn measure(settings: &FleetSettings, allocated: &dyn Fn() -> usize) -> FleetReport {
    let before = allocated();
    let mut fleet = Fleet::new(settings);
    let state_bytes = (allocated().saturating_sub(before)) as f64 / settings.daemons as f64;
    fleet.run_for(20.0);
    fleet.reset_traffic();
    const STEADY_SECONDS: f64 = 30.0;
    fleet.run_for(STEADY_SECONDS);
    let traffic = fleet.traffic();
    let per = STEADY_SECONDS * settings.daemons as f64;
    let oldest_proof = fleet.oldest_proof();
    let change_seconds = fleet.measure_changes(5);
    let lost_daemon_seconds = fleet.measure_loss(&[settings.daemons / 2]);
    let zone = fleet.members_of_zone(1);
    fleet.reset_traffic();
    let lost_zone_seconds = fleet.measure_loss(&zone);
    let zone_peak_bytes = fleet.peak_bytes();
    fleet.reset_traffic();
    let region_heal_seconds = fleet.measure_region_cut(2, 60.0);
    let region_peak_bytes = fleet.peak_bytes();
    fleet.reset_traffic();
    fleet.rolling_replacement(settings.daemons * 140 / 520, 300.0);
    FleetReport {
        daemons: settings.daemons,
        known: fleet.known(0),
        state_bytes,
        datagrams: traffic.datagrams as f64 / per,
        bytes: traffic.bytes as f64 / per,
        core_share: traffic.processor_seconds / per,
        table_calls: traffic.table_calls as f64 / STEADY_SECONDS,
        oldest_proof,
        change_seconds,
        lost_daemon_seconds,
        lost_zone_seconds,
        zone_peak_bytes,
        region_heal_seconds,
        region_peak_bytes,
        rolling_peak_bytes: fleet.peak_bytes(),
        ownership_millis: measure_ownership(settings.daemons),
    }
}
