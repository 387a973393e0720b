//! Jobs whose ids continue the id of another one after a dot.
//!
//! Guards against a daemon that reads the rows of such a job as those of the shorter one, lists its outputs there, or
//! removes them with it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use harrierward_emulator::{MemoryPlatform, PlatformParameters};
use harrierward_inline_jobs::{JobStore, ListedResult, ReadResult, WriteOutcome};
use harrierward_wire::{ItemBodyRow, ItemHeadRow, ItemProgressRow, JobHeadRow, JobItemsRow};
use proptest::prelude::*;
use support::UnavailableStore;
use tokio::time::Instant;

/// Parts of ids; some look like the numbers in keys.
const PARTS: [&str; 7] = ["rebook-3", "0", "000", "0000", "00000", "00001", "-x"];

const ITEMS: usize = 3;

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(5);

/// Too large for a transaction.
const LARGE_BODY: usize = 700_000;

/// More than all texts of a job.
const MANY_BYTES: usize = 1 << 20;

fn store() -> JobStore {
    let platform = Arc::new(MemoryPlatform::new(PlatformParameters::default()));
    JobStore::new(platform.clone(), platform, Arc::new(UnavailableStore))
}

fn items_of(job: &str) -> JobItemsRow {
    let item = |number| ItemBodyRow {
        id: format!("{job}/{number}"),
        ..ItemBodyRow::default()
    };
    JobItemsRow {
        items: (0..ITEMS).map(item).collect(),
    }
}

fn header_of(job: &str) -> JobHeadRow {
    let item = |number| ItemHeadRow {
        id: format!("{job}/{number}"),
        tokens: 1,
    };
    JobHeadRow {
        job_id: job.to_owned(),
        items: (0..ITEMS).map(item).collect(),
        owner: "daemon".to_owned(),
        epoch: 1,
        ..JobHeadRow::default()
    }
}

fn progress_of(job: &str) -> Vec<(u32, ItemProgressRow)> {
    let row = ItemProgressRow {
        last_event: 1,
        texts: vec![format!("begun by {job}")],
        ..ItemProgressRow::default()
    };
    vec![(1, row)]
}

fn result_of(job: &str, item: u32) -> ListedResult {
    ListedResult {
        item,
        failed: false,
        text: format!("output {item} of {job}"),
    }
}

/// Stores a job with progress of an item and the results of two others.
async fn store_job(store: &JobStore, job: &str) {
    let until = Instant::now() + LIMIT;
    let items = items_of(job);
    let mut header = header_of(job);
    let created = store.create(&mut header, &items, None, until);
    assert!(matches!(created.await, WriteOutcome::Committed { .. }));
    let known = known(store, job).await;
    let mut header = known.header.clone();
    header.listed = vec![0, 2];
    let results = [result_of(job, 0), result_of(job, 2)];
    let progress = progress_of(job);
    let listing = store.list(known.revision, &header, (0, &results), &progress, until);
    assert!(matches!(listing.await, WriteOutcome::Committed { .. }));
}

async fn known(store: &JobStore, job: &str) -> harrierward_inline_jobs::KnownHeader {
    let reading = store.read_current_header(job).await.expect("a header");
    reading.header.expect("the job")
}

/// Checks that everything read of a job is its own.
async fn check_job(store: &JobStore, job: &str) {
    let known = known(store, job).await;
    let items = store.read_items(&known.header).await;
    assert_eq!(items.expect("items"), items_of(job), "items of {job}");
    let progress = store.read_progress(job).await;
    assert_eq!(
        progress.expect("progress"),
        progress_of(job),
        "progress of {job}"
    );
    let expected = [0, 2].map(|item| ReadResult {
        failed: false,
        text: result_of(job, item).text,
    });
    for position in 0..2 {
        let results = store.read_results(job, position as u32, MANY_BYTES).await;
        assert_eq!(
            results.expect("results"),
            expected[position..],
            "results of {job}"
        );
    }
}

/// Stores these jobs, checks each, removes the first, and checks the others.
async fn check_jobs(jobs: &[String]) {
    let store = store();
    for job in jobs {
        store_job(&store, job).await;
    }
    for job in jobs {
        check_job(&store, job).await;
    }
    let first = known(&store, &jobs[0]).await;
    store.remove(&first).await.expect("removed");
    for job in &jobs[1..] {
        check_job(&store, job).await;
    }
}

/// Guards against a caller that gets the outputs of `rebook-3.0` for the items of `rebook-3`.
#[tokio::test(start_paused = true)]
async fn a_job_has_the_rows_of_no_job_whose_id_continues_its_own() {
    // A few pairs, since the jobs of a pair may lie in different partitions, where they cannot meet.
    for number in 0..40 {
        for tail in [".0", ".0000", ".00000", ".00001", ".00000.000", ".x", ".-"] {
            let job = format!("rebook-{number}");
            check_jobs(&[job.clone(), format!("{job}{tail}")]).await;
        }
    }
}

/// Guards against two jobs whose ids and owners, joined, make one name for the object of their items.
#[tokio::test(start_paused = true)]
async fn large_jobs_of_owners_whose_names_continue_an_id_have_items_of_their_own() {
    let store = store();
    let jobs = [("rebook", "lobby-1@a"), ("rebook-lobby", "1@a")];
    for (job, owner) in jobs {
        let mut items = items_of(job);
        items.items[0].body = vec![0; LARGE_BODY];
        let mut header = JobHeadRow {
            owner: owner.to_owned(),
            ..header_of(job)
        };
        let created = store
            .create(&mut header, &items, None, Instant::now() + LIMIT)
            .await;
        assert!(matches!(created, WriteOutcome::Committed { .. }));
    }
    for (job, _) in jobs {
        let known = known(&store, job).await;
        let items = store.read_items(&known.header).await.expect("items");
        assert_eq!(items.items[1].id, format!("{job}/1"));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Any set of ids that parts joined by dots can make.
    #[test]
    fn jobs_of_any_ids_are_kept_apart(
        ids in prop::collection::btree_set(
            prop::collection::vec(prop::sample::select(PARTS.to_vec()), 1..5),
            2..12,
        ),
    ) {
        let jobs: Vec<String> = ids.iter().map(|parts| parts.join(".")).collect();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(check_jobs(&jobs));
    }
}
