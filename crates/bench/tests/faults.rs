//! The promises under faults, over fixed seeds on virtual time; and that the checker sees each guard removed.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use harrierward_bench::faults::{BrokenGuards, SeedReport, run_seed, run_store_outage};

const LENGTH: Duration = Duration::from_secs(30);
const THREADS: usize = 8;

/// Runs seeds on several threads; each seed has a runtime and a virtual clock of its own.
fn run_seeds(first: u64, count: u64, broken: BrokenGuards) -> Vec<SeedReport> {
    let next = AtomicU64::new(first);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let report = run_seed(seed, LENGTH, broken).expect("the simulation runs");
                    reports.lock().expect("no seed panicked").push(report);
                }
            });
        }
    });
    reports.into_inner().expect("no seed panicked")
}

fn violations(reports: &[SeedReport]) -> Vec<String> {
    let found = reports.iter().flat_map(|report| {
        let broken = report.checked.violations.iter();
        broken.map(move |violation| {
            format!(
                "seed {}: {}: {}",
                report.seed, violation.promise, violation.detail
            )
        })
    });
    found.collect()
}

#[test]
fn no_promise_is_broken_in_200_seeds() {
    let reports = run_seeds(1, 200, BrokenGuards::default());
    let found = violations(&reports);
    assert!(found.is_empty(), "{}", found.join("\n"));
    let items: usize = reports.iter().map(|report| report.checked.items).sum();
    let marked: usize = reports.iter().map(|report| report.checked.marked).sum();
    assert!(items > 100_000, "only {items} items were checked");
    assert!(marked > 5_000, "only {marked} marked requests were checked");
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let once = run_seed(7, LENGTH, BrokenGuards::default()).expect("it runs");
    let again = run_seed(7, LENGTH, BrokenGuards::default()).expect("it runs");
    assert_eq!(once.checked, again.checked);
    assert_eq!(once.faults, again.faults);
}

/// Seeds that once found a fault, with what it was.
#[test]
fn seeds_that_found_faults_stay_clean() {
    let seeds = [
        5,    // a penalty's end made a leaving replica available again
        10,   // an upload whose commit's answer was lost removed the accepted input
        28,   // a daemon just started sent work to a replica that had left
        102,  // two halves of a fleet never met again after all seeds had gone
        829,  // members that were cut off stayed dead to each other after the cut
        2053, // a daemon just started took an old proof of its configuration for as young as itself
    ];
    for seed in seeds {
        let found = violations(&run_seeds(seed, 1, BrokenGuards::default()));
        assert!(found.is_empty(), "{}", found.join("\n"));
    }
}

fn is_caught(broken: BrokenGuards, promise: &str) {
    let found = violations(&run_seeds(1, 48, broken));
    assert!(
        found.iter().any(|violation| violation.contains(promise)),
        "{broken:?} was not seen; found {found:?}"
    );
}

#[test]
fn missing_fences_are_caught() {
    let broken = BrokenGuards {
        no_fencing: true,
        ..BrokenGuards::default()
    };
    is_caught(broken, "at-most-once runs at most once");
}

#[test]
fn missing_claims_are_caught() {
    let broken = BrokenGuards {
        no_claims: true,
        ..BrokenGuards::default()
    };
    is_caught(broken, "at-most-once runs at most once");
}

#[test]
fn unchecked_events_are_caught() {
    let broken = BrokenGuards {
        no_event_check: true,
        ..BrokenGuards::default()
    };
    is_caught(broken, "the whole answer to its own request");
}

#[test]
fn cancels_told_to_nobody_are_caught() {
    let broken = BrokenGuards {
        no_cancel_notice: true,
        ..BrokenGuards::default()
    };
    is_caught(broken, "a cancelled job stops");
}

#[test]
fn engines_that_leave_without_a_word_are_caught() {
    let broken = BrokenGuards {
        no_leaving_report: true,
        ..BrokenGuards::default()
    };
    is_caught(broken, "a leaving back end gets no new work");
}

#[test]
fn a_store_outage_of_minutes_refuses_marked_requests_quickly_and_touches_no_others() {
    let length = Duration::from_secs(180);
    let report = run_store_outage(1, length).expect("the simulation runs");
    assert!(report.marked > 100, "{report:?}");
    assert_eq!(report.marked_refused, report.marked, "{report:?}");
    assert_eq!(report.unmarked_answered, report.unmarked, "{report:?}");
    assert!(
        report.max_marked_latency <= Duration::from_secs(1),
        "{report:?}"
    );
}
