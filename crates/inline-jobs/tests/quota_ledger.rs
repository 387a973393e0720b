//! Guards against an exceeded quota under coordinator changes, late or lost writes, and stale views.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use harrierward_inline_jobs::{QuotaDecision, QuotaLedger, QuotaRequest, RouteUsage};
use proptest::prelude::*;
use tokio::time::Instant;

const ROUTE: &str = "lots";
const LIMIT: u64 = 100;
const DAEMONS: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    /// A daemon becomes the coordinator and reads all headers.
    Fence {
        daemon: usize,
    },
    /// A job requests tokens from a daemon that may not know that it is no longer the coordinator.
    Request {
        daemon: usize,
        job: u8,
        tokens: u64,
    },
    /// The store commits the oldest or newest pending write, if its condition still holds.
    Write {
        newest: bool,
    },
    /// A submitter finds that a write will certainly not be committed, and releases its tokens.
    Abandon {
        newest: bool,
    },
    /// The coordinator receives a release.
    Release {
        newest: bool,
    },
    /// A job completes: its tokens are no longer queued.
    Finish {
        job: u8,
    },
    /// A daemon's view catches up with the store.
    Sync {
        daemon: usize,
    },
    Advance {
        millis: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    let job = 0..12_u8;
    prop_oneof![
        1 => daemon.clone().prop_map(|daemon| Event::Fence { daemon }),
        6 => (daemon.clone(), job.clone(), 10..60_u64)
            .prop_map(|(daemon, job, tokens)| Event::Request { daemon, job, tokens }),
        4 => any::<bool>().prop_map(|newest| Event::Write { newest }),
        2 => any::<bool>().prop_map(|newest| Event::Abandon { newest }),
        2 => any::<bool>().prop_map(|newest| Event::Release { newest }),
        2 => job.prop_map(|job| Event::Finish { job }),
        3 => daemon.prop_map(|daemon| Event::Sync { daemon }),
        1 => (0..9_000_u64).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// Tokens by job, 0 for a completed one: the content of the store, or a daemon's view of it.
type Headers = BTreeMap<u8, u64>;

struct Write {
    job: u8,
    tokens: u64,
    fence: u64,
    submission: u64,
    coordinator: usize,
}

fn take_one(writes: &mut Vec<Write>, newest: bool) -> Option<Write> {
    if newest {
        writes.pop()
    } else {
        (!writes.is_empty()).then(|| writes.remove(0))
    }
}

fn name(job: u8) -> String {
    format!("job-{job}")
}

fn decide(
    ledger: &mut QuotaLedger,
    headers: &Headers,
    job: u8,
    tokens: u64,
    now: Instant,
) -> QuotaDecision {
    decide_for(ledger, headers, job, tokens, now, 1)
}

fn decide_for(
    ledger: &mut QuotaLedger,
    headers: &Headers,
    job: u8,
    tokens: u64,
    now: Instant,
    submission: u64,
) -> QuotaDecision {
    let known: HashSet<String> = headers.keys().map(|job| name(*job)).collect();
    let usage = RouteUsage {
        limit: LIMIT,
        waiting: headers.values().sum(),
        is_known: &|job| known.contains(job),
    };
    let request = QuotaRequest {
        route: ROUTE,
        tenant: "",
        job: &name(job),
        tokens,
        submission,
    };
    ledger.decide(request, usage, now)
}

proptest! {
    // Many cases, since a job submitted twice, released once and stored by the other submission is a rare sequence.
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn the_quota_holds_across_coordinator_changes_and_late_writes(
        events in proptest::collection::vec(event(), 0..120)
    ) {
        let mut now = Instant::now();
        let mut fence = 0;
        let mut store = Headers::new();
        let mut pending: Vec<Write> = Vec::new();
        let mut abandoned: Vec<Write> = Vec::new();
        let mut submissions = 0;
        let mut ledgers: Vec<QuotaLedger> = (0..DAEMONS).map(|_| QuotaLedger::default()).collect();
        let mut views: Vec<Headers> = vec![Headers::new(); DAEMONS];
        for event in events {
            match event {
                Event::Fence { daemon } => {
                    fence += 1;
                    views[daemon].clone_from(&store);
                    ledgers[daemon].begin(ROUTE, fence);
                }
                Event::Request { daemon, job, tokens } => {
                    submissions += 1;
                    let (ledger, headers) = (&mut ledgers[daemon], &views[daemon]);
                    let decision = decide_for(ledger, headers, job, tokens, now, submissions);
                    if let QuotaDecision::Granted { fence } = decision {
                        pending.push(Write {
                            job,
                            tokens,
                            fence,
                            submission: submissions,
                            coordinator: daemon,
                        });
                    }
                }
                Event::Write { newest } => {
                    let write = take_one(&mut pending, newest);
                    if let Some(write) = write.filter(|write| write.fence == fence) {
                        store.entry(write.job).or_insert(write.tokens);
                    }
                }
                Event::Abandon { newest } => abandoned.extend(take_one(&mut pending, newest)),
                Event::Release { newest } => {
                    if let Some(write) = take_one(&mut abandoned, newest) {
                        let ledger = &mut ledgers[write.coordinator];
                        ledger.release(ROUTE, &name(write.job), write.submission);
                    }
                }
                Event::Finish { job } => {
                    if let Some(tokens) = store.get_mut(&job) {
                        *tokens = 0;
                    }
                }
                Event::Sync { daemon } => views[daemon].clone_from(&store),
                Event::Advance { millis } => now += Duration::from_millis(millis),
            }
            let waiting: u64 = store.values().sum();
            prop_assert!(waiting <= LIMIT, "{waiting} wait");
        }
    }
}

#[test]
fn an_expired_grant_requires_a_new_fence_and_a_released_one_frees_its_tokens() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::default();
    let no_headers = Headers::new();
    assert_eq!(
        decide(&mut ledger, &no_headers, 1, 60, start),
        QuotaDecision::FenceRequired
    );
    ledger.begin(ROUTE, 5);
    let granted = QuotaDecision::Granted { fence: 5 };
    assert_eq!(decide(&mut ledger, &no_headers, 1, 60, start), granted);
    assert_eq!(
        decide(&mut ledger, &no_headers, 1, 60, start),
        granted,
        "asked again"
    );
    assert_eq!(
        decide(&mut ledger, &no_headers, 2, 60, start),
        QuotaDecision::Full
    );
    ledger.release(ROUTE, &name(1), 1);
    assert_eq!(decide(&mut ledger, &no_headers, 2, 60, start), granted);
    let later = start + Duration::from_secs(8);
    assert_eq!(
        decide(&mut ledger, &no_headers, 3, 10, later),
        QuotaDecision::FenceRequired
    );
    ledger.begin(ROUTE, 6);
    assert_eq!(
        decide(&mut ledger, &no_headers, 3, 60, later),
        QuotaDecision::Granted { fence: 6 }
    );
}

/// A client without a response submits its job to another daemon while the first one still tries to store it.
#[test]
fn a_grant_lasts_while_another_submission_of_its_job_is_pending() {
    let now = Instant::now();
    let mut ledger = QuotaLedger::default();
    let no_headers = Headers::new();
    ledger.begin(ROUTE, 5);
    let granted = QuotaDecision::Granted { fence: 5 };
    assert_eq!(decide_for(&mut ledger, &no_headers, 1, 60, now, 1), granted);
    assert_eq!(decide_for(&mut ledger, &no_headers, 1, 60, now, 2), granted);
    ledger.release(ROUTE, &name(1), 1);
    ledger.release(ROUTE, &name(1), 1);
    assert_eq!(
        decide_for(&mut ledger, &no_headers, 2, 60, now, 3),
        QuotaDecision::Full
    );
    ledger.release(ROUTE, &name(1), 2);
    assert_eq!(decide_for(&mut ledger, &no_headers, 2, 60, now, 3), granted);
}

/// A client without a response may submit other items under the same job id to another daemon.
#[test]
fn a_grant_never_covers_more_tokens_than_were_requested() {
    let now = Instant::now();
    let mut ledger = QuotaLedger::default();
    let no_headers = Headers::new();
    ledger.begin(ROUTE, 5);
    let granted = QuotaDecision::Granted { fence: 5 };
    assert_eq!(decide_for(&mut ledger, &no_headers, 1, 10, now, 1), granted);
    assert_eq!(decide_for(&mut ledger, &no_headers, 2, 60, now, 2), granted);
    assert_eq!(
        decide_for(&mut ledger, &no_headers, 1, 60, now, 3),
        QuotaDecision::Full
    );
    assert_eq!(decide_for(&mut ledger, &no_headers, 1, 40, now, 4), granted);
    assert_eq!(
        decide_for(&mut ledger, &no_headers, 3, 1, now, 5),
        QuotaDecision::Full
    );
}
