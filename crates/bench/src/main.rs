//! `harrierward-bench`: command line of the fault simulation and the load measurements.

use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, eyre};
use getopts::{Matches, Options};
use harrierward_bench::faults::{BrokenGuards, run_seed};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = match arguments.split_first() {
        Some((command, rest)) if command == "faults" => run_faults(rest),
        Some((command, _)) if command == "speed" => run_speed(),
        _ => {
            eprintln!(
                "Usage: harrierward-bench COMMAND [OPTIONS]\n\nCommands:\n  faults   fault simulation on virtual time\n  speed    load over real loopback, against the engine called directly"
            );
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("harrierward-bench: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse_number<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| eyre!("--{name}: {text} is not a number")),
    }
}

fn run_faults(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed (default 1)", "S");
    options.optopt("", "seeds", "number of seeds (default 1)", "N");
    options.optopt(
        "",
        "minutes",
        "virtual minutes of faults (default 0.5)",
        "M",
    );
    options.optopt("", "threads", "seeds at once (default 1)", "T");
    options.optopt(
        "",
        "break",
        "guard to turn off: fencing, claims, event-check, cancel-notice, leaving-word",
        "GUARD",
    );
    let matches = options.parse(arguments)?;
    let first: u64 = parse_number(&matches, "seed", 1)?;
    let count: u64 = parse_number(&matches, "seeds", 1)?;
    let minutes: f64 = parse_number(&matches, "minutes", 0.5)?;
    let threads: u64 = parse_number(&matches, "threads", 1)?;
    let broken = broken_guards(matches.opt_str("break").as_deref())?;
    let length = Duration::from_secs_f64(minutes * 60.0);
    let mut violations = 0;
    for group in (first..first + count)
        .collect::<Vec<_>>()
        .chunks(threads.max(1) as usize)
    {
        let simulations: Vec<_> = group
            .iter()
            .map(|seed| {
                let seed = *seed;
                std::thread::spawn(move || run_seed(seed, length, broken))
            })
            .collect();
        for simulation in simulations {
            let report = simulation.join().map_err(|_| eyre!("a seed panicked"))??;
            let checked = &report.checked;
            println!(
                "seed {}: online {}, idempotent {}, jobs {}, items {}, executions {}, \
                 changes {}, faults {:?}, violations {}",
                report.seed,
                checked.online,
                checked.idempotent,
                checked.jobs,
                checked.items,
                checked.executions,
                checked.changes,
                report.faults,
                checked.violations.len()
            );
            for violation in checked.violations.iter().take(10) {
                println!("  {}: {}", violation.guarantee, violation.detail);
            }
            violations += checked.violations.len();
        }
    }
    if violations > 0 {
        return Err(eyre!("{violations} violations"));
    }
    Ok(())
}

fn broken_guards(name: Option<&str>) -> Result<BrokenGuards> {
    let mut broken = BrokenGuards::default();
    match name {
        None => {}
        Some("fencing") => broken.no_fencing = true,
        Some("claims") => broken.no_claims = true,
        Some("event-check") => broken.no_event_check = true,
        Some("cancel-notice") => broken.no_cancel_notice = true,
        Some("leaving-word") => broken.no_leaving_report = true,
        Some(other) => return Err(eyre!("--break: no such guard: {other}")),
    }
    Ok(broken)
}

fn run_speed() -> Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(harrierward_bench::speed::run())?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
