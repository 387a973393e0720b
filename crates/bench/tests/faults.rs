//! Guarantees under faults for fixed seeds on virtual time, and detection of each disabled guard by the checker.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use harrierward_bench::faults::{BrokenGuards, SeedReport, run_seed, run_store_outage};

const DURATION: Duration = Duration::from_secs(30);
const THREADS: usize = 8;

/// Runs seeds on several threads, each seed with its own runtime and virtual clock.
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
                    let report = run_seed(seed, DURATION, broken).expect("the simulation runs");
                    reports.lock().expect("no seed panicked").push(report);
                }
            });
        }
    });
    reports.into_inner().expect("no seed panicked")
}

fn violations(reports: &[SeedReport]) -> Vec<String> {
    let found = reports.iter().flat_map(|report| {
        let violated = report.checked.violations.iter();
        violated.map(move |violation| {
            format!(
                "seed {}: {}: {}",
                report.seed, violation.guarantee, violation.detail
            )
        })
    });
    found.collect()
}

#[test]
fn no_guarantee_is_violated_in_200_seeds() {
    let reports = run_seeds(1, 200, BrokenGuards::default());
    let found = violations(&reports);
    assert!(found.is_empty(), "{}", found.join("\n"));
    let items: usize = reports.iter().map(|report| report.checked.items).sum();
    let idempotent: usize = reports.iter().map(|report| report.checked.idempotent).sum();
    assert!(items > 100_000, "only {items} items were checked");
    assert!(
        idempotent > 5_000,
        "only {idempotent} idempotent requests were checked"
    );
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let once = run_seed(7, DURATION, BrokenGuards::default()).expect("it runs");
    let again = run_seed(7, DURATION, BrokenGuards::default()).expect("it runs");
    assert_eq!(once.checked, again.checked);
    assert_eq!(once.faults, again.faults);
}

/// Guards against the failure named at each seed.
#[test]
fn regression_seeds_have_no_violations() {
    let seeds = [
        5,    // a leaving replica becomes available again when its penalty expires
        10,   // an upload whose commit response is lost removes the accepted input
        28,   // a new daemon sends requests to a replica that has left
        102,  // two halves of a fleet never rejoin after all seed daemons have departed
        829,  // partitioned members still consider each other dead after the partition
        2053, // a new daemon considers an old freshness proof as recent as its own start
    ];
    for seed in seeds {
        let found = violations(&run_seeds(seed, 1, BrokenGuards::default()));
        assert!(found.is_empty(), "{}", found.join("\n"));
    }
}

fn assert_detected(broken: BrokenGuards, guarantee: &str) {
    let found = violations(&run_seeds(1, 48, broken));
    assert!(
        found.iter().any(|violation| violation.contains(guarantee)),
        "{broken:?} was not seen; found {found:?}"
    );
}

#[test]
fn missing_fences_are_detected() {
    let broken = BrokenGuards {
        no_fencing: true,
        ..BrokenGuards::default()
    };
    assert_detected(broken, "at-most-once runs at most once");
}

#[test]
fn missing_claims_are_detected() {
    let broken = BrokenGuards {
        no_claims: true,
        ..BrokenGuards::default()
    };
    assert_detected(broken, "at-most-once runs at most once");
}

#[test]
fn unchecked_events_are_detected() {
    let broken = BrokenGuards {
        no_event_check: true,
        ..BrokenGuards::default()
    };
    assert_detected(broken, "the whole answer to its own request");
}

#[test]
fn unannounced_cancellations_are_detected() {
    let broken = BrokenGuards {
        no_cancel_notice: true,
        ..BrokenGuards::default()
    };
    assert_detected(broken, "a cancelled job stops");
}

#[test]
fn unreported_leaving_is_detected() {
    let broken = BrokenGuards {
        no_leaving_report: true,
        ..BrokenGuards::default()
    };
    assert_detected(broken, "a leaving back end gets no new work");
}

#[test]
fn store_outage_refuses_idempotent_requests_quickly_and_does_not_affect_others() {
    let length = Duration::from_secs(180);
    let report = run_store_outage(1, length).expect("the simulation runs");
    assert!(report.idempotent > 100, "{report:?}");
    assert_eq!(report.idempotent_refused, report.idempotent, "{report:?}");
    assert_eq!(report.plain_answered, report.plain, "{report:?}");
    assert!(
        report.max_idempotent_latency <= Duration::from_secs(1),
        "{report:?}"
    );
}
