//! Experiments on virtual time: online load and batch heaps against engine stand-ins, in arms over the same
//! arrivals. The pure cores of routing and slots are the daemon's own; only the events' clock is simulated.

mod arms;
mod definition;
mod report;
mod simulation;
mod workload;

use std::path::Path;

use eyre::{Context, Result};

pub use arms::{Arm, ArmReport, BatchMode};
pub use definition::Experiment;
use report::write_reports;
use simulation::run_arm;
use workload::Workload;

/// Runs every arm of an experiment file and writes `report.json` and `report.html` into `output`.
pub fn run_experiment(file: &Path, output: &Path) -> Result<Vec<ArmReport>> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{}", file.display()))?;
    let experiment = Experiment::parse(&text)?;
    let reports = run_all(&experiment);
    std::fs::create_dir_all(output)?;
    write_reports(&experiment, &reports, output)?;
    Ok(reports)
}

/// Runs every arm, each on a thread of its own; the figures do not depend on the threads.
pub fn run_all(experiment: &Experiment) -> Vec<ArmReport> {
    let workload = Workload::generate(experiment);
    let arms = arms::all_arms(experiment);
    let mut reports: Vec<ArmReport> = std::thread::scope(|scope| {
        let running: Vec<_> = arms
            .iter()
            .map(|arm| {
                let workload = &workload;
                scope.spawn(move || run_arm(experiment, workload, arm))
            })
            .collect();
        let joined = running.into_iter().map(|thread| thread.join());
        joined.filter_map(Result::ok).collect()
    });
    arms::relate(&mut reports);
    reports
}
