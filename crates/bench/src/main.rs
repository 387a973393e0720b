//! `harrierward-bench`: experiments, faults, fleet and load, from the command line.

use std::alloc::System;
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, eyre};
use getopts::{Matches, Options};
use harrierward_bench::experiment::run_experiment;
use harrierward_bench::faults::{BrokenGuards, run_seed};
use harrierward_bench::fleet::{FleetSettings, measure, measure_job};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations, so that state is measured and not guessed.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes allocated now.
fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = match arguments.split_first() {
        Some((command, rest)) if command == "faults" => faults(rest),
        Some((command, rest)) if command == "run" => run(rest),
        Some((command, rest)) if command == "fleet" => fleet(rest),
        Some((command, _)) if command == "speed" => speed(),
        _ => {
            eprintln!(
                "Usage: harrierward-bench COMMAND [OPTIONS]\n\nCommands:\n  faults   fault simulation on virtual time\n  run      experiment from a file\n  fleet    hollow fleet: control traffic, processor time and memory by size\n  speed    load over real loopback, against the engine called directly"
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

fn number<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| eyre!("--{name}: {text} is not a number")),
    }
}

fn faults(arguments: &[String]) -> Result<()> {
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
    let first: u64 = number(&matches, "seed", 1)?;
    let count: u64 = number(&matches, "seeds", 1)?;
    let minutes: f64 = number(&matches, "minutes", 0.5)?;
    let threads: u64 = number(&matches, "threads", 1)?;
    let broken = broken_guards(matches.opt_str("break").as_deref())?;
    let length = Duration::from_secs_f64(minutes * 60.0);
    let mut violations = 0;
    for group in (first..first + count)
        .collect::<Vec<_>>()
        .chunks(threads.max(1) as usize)
    {
        let runs: Vec<_> = group
            .iter()
            .map(|seed| {
                let seed = *seed;
                std::thread::spawn(move || run_seed(seed, length, broken))
            })
            .collect();
        for run in runs {
            let report = run.join().map_err(|_| eyre!("a seed panicked"))??;
            let checked = &report.checked;
            println!(
                "seed {}: online {}, marked {}, jobs {}, items {}, executions {}, changes {}, faults {:?}, violations {}",
                report.seed,
                checked.online,
                checked.marked,
                checked.jobs,
                checked.items,
                checked.executions,
                checked.changes,
                report.faults,
                checked.violations.len()
            );
            for violation in checked.violations.iter().take(10) {
                println!("  {}: {}", violation.promise, violation.detail);
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
        Some("leaving-word") => broken.no_leaving_word = true,
        Some(other) => return Err(eyre!("--break: no such guard: {other}")),
    }
    Ok(broken)
}

fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("o", "out", "folder for report.json and report.html", "DIR");
    let matches = options.parse(arguments)?;
    let [file] = matches.free.as_slice() else {
        return Err(eyre!("run EXPERIMENT.toml --out DIR"));
    };
    let output = matches
        .opt_str("out")
        .unwrap_or_else(|| "report".to_owned());
    let reports = run_experiment(file.as_ref(), output.as_ref())?;
    for report in &reports {
        println!(
            "{:<36} first token p50 {:>6.1} p99 {:>7.1} p99.9 {:>7.1} ms, between p95 {:>5.1} ms, harm {:.3}/{:.3}, {:>6.1} items/s, {:.3} of idle, wasted {:.4}, yield {:>4.0} ms, cache {:.3}",
            report.name,
            report.first_token_ms.p50,
            report.first_token_ms.p99,
            report.first_token_ms.p999,
            report.between_tokens_ms.p95,
            report.harm_p99,
            report.harm_p999,
            report.batch_items_per_second,
            report.share_of_idle,
            report.wasted_share,
            report.longest_yield_ms,
            report.cache_hit_rate
        );
    }
    Ok(())
}

fn fleet(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt(
        "",
        "daemons",
        "sizes, separated by commas (default 40,130,260,520)",
        "LIST",
    );
    options.optopt(
        "",
        "jobs",
        "items of jobs (default 2000,20000,190000)",
        "LIST",
    );
    options.optopt("", "loss", "share of datagrams lost (default 0.001)", "P");
    options.optopt("", "seed", "seed (default 1)", "S");
    let matches = options.parse(arguments)?;
    let loss = number(&matches, "loss", 0.001)?;
    let seed = number(&matches, "seed", 1)?;
    for daemons in list(&matches, "daemons", "40,130,260,520")? {
        let settings = FleetSettings {
            daemons,
            loss,
            seed,
        };
        println!(
            "{}",
            serde_json::to_string(&measure(&settings, &allocated))?
        );
    }
    for items in list(&matches, "jobs", "2000,20000,190000")? {
        let items = u32::try_from(items)?;
        println!(
            "{}",
            serde_json::to_string(&measure_job(items, &allocated))?
        );
    }
    Ok(())
}

fn list(matches: &Matches, name: &str, default: &str) -> Result<Vec<usize>> {
    let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    text.split(',')
        .map(|part| {
            let value = part.trim().parse();
            value.map_err(|_| eyre!("--{name}: {part} is not a number"))
        })
        .collect()
}

fn speed() -> Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(harrierward_bench::speed::run())?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
