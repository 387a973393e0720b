//! Guards against a listing that hides a result which another daemon has already returned. A watch response may carry
//! the store's newest revision without all changes up to it, so a recent freshness proof does not prove an empty
//! list.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, RequestClass, Row, RowRead, SpacePage, Table,
    Transaction, TransactionOutcome, WatchedTable,
};
use harrierward_inline_jobs::{
    CancelOutcome, InlineJobs, JobCaller, JobParts, JobSettings, KnownFence, KnownHeader, Lookup,
    Peers, QuotaRequest, ResultPage, SubmitOutcome, SubmittedItem, SubmittedJob,
};
use harrierward_memory::{BudgetSizes, MemoryBudget};
use harrierward_ownership::OwnerStatus;
use harrierward_serving::{
    BatchBounds, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings, ItemSlack, KeyTrust,
    NoQuarantine, Prompt, RateLimits, RateStatus, ReleaseReport, Replica, ReplicaClient,
    ReplicaRequest, ReplicaResponse, ReplicaSet, Route, RouteKind, RouteTable, SelectionCosts,
    ServingConfiguration, SlotLeases, SlotQuery, SlotReply,
};
use harrierward_tenants::{AllowedRegions, Tenant};
use harrierward_wire::{
    ItemHeadRow, JobFailures, JobHeadRow, QuotaOutcome, ResultPieceRow, encode,
};
use support::{UnavailableStore, unavailable};
use tokio::time::{Instant, advance};

const JOB: &str = "job-1";

/// Memory for requests, and for jobs, bytes.
const MEMORY_BYTES: usize = 64 << 20;

/// Revision of the store before the job was accepted.
const BEFORE_ACCEPTANCE: u64 = 9;

/// Age of the local copy above which it must not hide a result that another daemon has returned.
const MAX_STALENESS: Duration = Duration::from_millis(850);

/// A store that holds one job.
#[derive(Default)]
struct SingleJobStore {
    /// Number of reads of the job's header.
    header_reads: AtomicUsize,
    /// Number of transactions that write nothing.
    transactions: AtomicUsize,
    /// True if transactions fail.
    refuses_transactions: AtomicBool,
    /// True if all requests fail.
    is_unavailable: bool,
    /// Number of listed results that the store holds.
    listed: u32,
    /// True if the store is at a revision from before the job was accepted.
    is_missing: AtomicBool,
    /// True if the job's header cannot be decoded.
    is_unreadable: bool,
    /// What reads reflect while they are behind the store; transactions are always decided on the current state.
    behind: Option<StaleReads>,
}

/// An earlier state of the store.
#[derive(Clone, Copy)]
enum StaleReads {
    /// The job lists this many results.
    Listed(u32),
    /// The job has not been accepted.
    NoJob,
}

impl SingleJobStore {
    /// Returns the number of calls about the job's header.
    fn calls(&self) -> usize {
        self.header_reads.load(Ordering::Relaxed) + self.transactions.load(Ordering::Relaxed)
    }

    /// Returns a row and the store's revision when the job lists `listed` results.
    fn row(&self, key: &str, listed: u32) -> (Option<Row>, u64) {
        if self.is_missing.load(Ordering::Relaxed) {
            return (None, BEFORE_ACCEPTANCE);
        }
        let revision = BEFORE_ACCEPTANCE + 1 + u64::from(listed);
        let value = if self.is_unreadable {
            Bytes::from_static(&[0xff])
        } else {
            Bytes::from(encode(&header(listed)))
        };
        let row = Row {
            key: key.to_owned(),
            value,
            revision,
        };
        (Some(row).filter(|_| key.ends_with(JOB)), revision)
    }
}

fn header(listed: u32) -> JobHeadRow {
    JobHeadRow {
        job_id: JOB.to_owned(),
        items: (0..3)
            .map(|number| ItemHeadRow {
                id: format!("item-{number}"),
                tokens: 10,
            })
            .collect(),
        listed: (0..listed).collect(),
        owner: "another-daemon".to_owned(),
        epoch: 1,
        item_rows: 1,
        ..JobHeadRow::default()
    }
}

#[async_trait]
impl Table for SingleJobStore {
    async fn transact(
        &self,
        _class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let is_refused = self.refuses_transactions.load(Ordering::Relaxed);
        if self.is_unavailable || is_refused || !transaction.writes.is_empty() {
            return Err(unavailable("transact"));
        }
        self.transactions.fetch_add(1, Ordering::Relaxed);
        let key = transaction.conditions[0].key();
        let (current, table_revision) = self.row(key, self.listed);
        Ok(TransactionOutcome::Conflict {
            key: key.to_owned(),
            current,
            table_revision,
        })
    }

    async fn get(&self, _: RequestClass, _: &[String]) -> Result<Vec<Option<Row>>, PlatformError> {
        Err(unavailable("get"))
    }

    async fn scan(
        &self,
        _class: RequestClass,
        prefix: &str,
        after: &str,
        _limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        if self.is_unavailable {
            return Err(unavailable("scan"));
        }
        let row = |position: u32| Row {
            key: format!("{prefix}{position:05}.000"),
            value: Bytes::from(encode(&ResultPieceRow {
                failed: false,
                pieces: 1,
                text: format!("text {position}"),
            })),
            revision: 11,
        };
        let rows = (0..self.listed).map(row);
        Ok(rows.filter(|row| row.key.as_str() > after).collect())
    }
}

#[async_trait]
impl WatchedTable for SingleJobStore {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        Err(unavailable("read page"))
    }

    async fn read_row(&self, key: &str) -> Result<RowRead, PlatformError> {
        self.header_reads.fetch_add(1, Ordering::Relaxed);
        if self.is_unavailable {
            return Err(unavailable("read row"));
        }
        let (row, revision) = match self.behind {
            None => self.row(key, self.listed),
            Some(StaleReads::Listed(listed)) => self.row(key, listed),
            Some(StaleReads::NoJob) => (None, BEFORE_ACCEPTANCE),
        };
        Ok(RowRead { row, revision })
    }

    async fn wait_changes(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Result<ChangePage, PlatformError> {
        Err(unavailable("wait changes"))
    }
}

struct Stub;

#[async_trait]
impl Peers for Stub {
    fn owner_status(&self, _owner: &str) -> OwnerStatus {
        OwnerStatus::Absent
    }

    fn owners_near(&self, _owner: &str) -> Vec<String> {
        Vec::new()
    }

    fn owners(&self) -> Option<Vec<String>> {
        None
    }

    async fn request_quota(&self, _: &str, _: QuotaRequest<'_>) -> Option<(QuotaOutcome, u64)> {
        Some((QuotaOutcome::Full, 0))
    }

    fn release_quota(&self, _: &str, _: QuotaRequest<'_>) {}

    fn report_failures(&self, _: &str, _: Vec<JobFailures>) {}
}

#[async_trait]
impl RateLimits for Stub {
    async fn admit(&self, _tenant: &Tenant, _request: &str) -> RateStatus {
        RateStatus::Within
    }
}

#[async_trait]
impl ReplicaClient for Stub {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        Err(ExchangeError::NotSent {
            step: "test",
            peer: request.address.to_owned(),
            detail: "no client".to_owned(),
        })
    }
}

#[async_trait]
impl SlotLeases for Stub {
    async fn acquire(&self, _query: SlotQuery<'_>) -> SlotReply {
        SlotReply::NoCoordinator
    }

    fn acquire_locally(&self, _replica: &Arc<Replica>, _item: Option<ItemSlack>) -> u32 {
        1
    }

    fn release(&self, _lease: u32, _report: ReleaseReport) {}

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

/// Routes with one that takes batch jobs and has a quota.
fn batch_routes() -> RouteTable {
    let bounds = BatchBounds {
        target: Duration::from_secs(20),
        give_up_after: Duration::from_secs(60),
        waiting_tokens: 100,
    };
    let route = Route {
        name: "batch".to_owned(),
        host: "example".to_owned(),
        prefix: "/batch/".to_owned(),
        kind: RouteKind::Batch(bounds),
        services: Vec::new(),
        attempts: 3,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap_objective: None,
        priority: 0,
        is_public: false,
        allowed_regions: AllowedRegions::default(),
    };
    let configuration = ServingConfiguration {
        version: 1,
        routes: vec![route],
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

fn jobs_on(store: Arc<SingleJobStore>, log: DecisionLog) -> InlineJobs {
    let forwarder = Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::from_pointee(batch_routes())),
        replicas: Arc::new(ReplicaSet::default()),
        client: Arc::new(Stub),
        leases: Arc::new(Stub),
        rates: Arc::new(Stub),
        quarantine: Arc::new(NoQuarantine),
        proof: Arc::default(),
        origins: Arc::new(harrierward_serving::NoOrigins),
        log: log.clone(),
        settings: ForwarderSettings {
            region: String::new(),
            zone: "zone-a".to_owned(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    });
    InlineJobs::new(JobParts {
        instance_id: "this-daemon".to_owned(),
        table: store.clone(),
        objects: Arc::new(UnavailableStore),
        watched: store,
        forwarder,
        peers: Arc::new(Stub),
        log,
        memory: MemoryBudget::new(BudgetSizes {
            total: MEMORY_BYTES,
            small: MEMORY_BYTES,
        }),
        settings: JobSettings {
            item_bytes: MEMORY_BYTES,
            retention: Duration::from_secs(120),
            cancel_within: Duration::from_secs(3),
        },
    })
}

/// Returns a daemon that knows what `reads` reflect, beside a store that lists `listed` results.
async fn behind(listed: u32, reads: StaleReads) -> (InlineJobs, Arc<SingleJobStore>) {
    let store = Arc::new(SingleJobStore {
        listed,
        behind: Some(reads),
        ..SingleJobStore::default()
    });
    let jobs = jobs_on(store.clone(), DecisionLog::new(LogBounds::default()));
    if let StaleReads::Listed(known) = reads {
        jobs.view().update(KnownHeader {
            header: header(known),
            revision: 10 + u64::from(known),
        });
    }
    (jobs, store)
}

/// Returns a daemon whose view is `age` old and shows `known` results; the store holds `listed`.
async fn daemon(
    age: Duration,
    known: u32,
    listed: u32,
    is_unavailable: bool,
) -> (InlineJobs, Arc<SingleJobStore>) {
    let store = Arc::new(SingleJobStore {
        listed,
        is_unavailable,
        ..SingleJobStore::default()
    });
    let log = DecisionLog::new(LogBounds::default());
    let jobs = jobs_on(store.clone(), log);
    jobs.view().update(KnownHeader {
        header: header(known),
        revision: 10 + u64::from(known),
    });
    jobs.view().note_proof(Instant::now(), 1);
    advance(age).await;
    (jobs, store)
}

async fn read(jobs: &InlineJobs, after: u32, wait: Duration) -> Lookup<ResultPage> {
    jobs.results(&JobCaller::Anyone, JOB, after, wait).await
}

fn count(found: &Lookup<ResultPage>) -> Option<usize> {
    match found {
        Lookup::Found(page) => Some(page.results.len()),
        Lookup::Missing | Lookup::Unavailable => None,
    }
}

#[tokio::test(start_paused = true)]
async fn a_stale_copy_does_not_hide_a_listed_result() {
    for age in [850, 950, 1_000, 1_100, 1_250, 1_350, 5_000] {
        let (jobs, _) = daemon(Duration::from_millis(age), 0, 1, false).await;
        let found = read(&jobs, 0, Duration::ZERO).await;
        assert_eq!(count(&found), Some(1), "at {age} ms: {found:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_fresh_proof_does_not_hide_a_result_that_the_feed_skipped() {
    for age in [0, 1, 200, 700, 799] {
        let (jobs, _) = daemon(Duration::from_millis(age), 0, 1, false).await;
        let found = read(&jobs, 0, Duration::ZERO).await;
        assert_eq!(count(&found), Some(1), "proven {age} ms ago: {found:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_long_poll_reads_the_store_before_it_returns_an_empty_page() {
    for age in [0, 300, 700, 1_100] {
        let (jobs, _) = daemon(Duration::from_millis(age), 0, 1, false).await;
        let found = read(&jobs, 0, Duration::from_millis(1_000)).await;
        assert_eq!(count(&found), Some(1), "known {age} ms ago: {found:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stale_copy_is_no_proof_of_an_empty_list_while_the_store_is_unavailable() {
    let (jobs, _) = daemon(MAX_STALENESS, 0, 1, true).await;
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(matches!(found, Lookup::Unavailable), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn a_known_result_is_returned_without_a_header_read() {
    // Results are append-only, so a known one may be returned whatever the age of the view.
    let (jobs, store) = daemon(Duration::from_secs(5), 1, 2, false).await;
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(count(&found).is_some_and(|count| count >= 1), "{found:?}");
    assert_eq!(store.header_reads.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn an_empty_page_costs_one_call() {
    for wait in [0, 300, 1_000] {
        let (jobs, store) = daemon(Duration::from_millis(200), 0, 0, false).await;
        let found = read(&jobs, 0, Duration::from_millis(wait)).await;
        assert_eq!(count(&found), Some(0));
        assert_eq!(store.calls(), 1, "{wait} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn an_empty_page_after_a_recent_transaction_costs_one_read() {
    let (jobs, store) = daemon(Duration::ZERO, 0, 0, false).await;
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(0));
    for _ in 0..10 {
        advance(Duration::from_millis(70)).await;
        assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(0));
    }
    assert_eq!(store.transactions.load(Ordering::Relaxed), 1);
    assert_eq!(store.calls(), 11);
}

// Guards against an empty page for a result that another daemon has returned: nothing that this daemon received names a
// revision beyond that of a read which is behind.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_behind_is_no_proof_of_an_empty_list() {
    for age in [0, 300, 790, 1_500] {
        let (jobs, _) = behind(1, StaleReads::Listed(0)).await;
        jobs.view().note_proof(Instant::now(), 1);
        advance(Duration::from_millis(age)).await;
        let found = read(&jobs, 0, Duration::ZERO).await;
        assert_eq!(count(&found), Some(1), "proven {age} ms ago: {found:?}");
    }
}

// Guards against the same at the end of a long poll.
#[tokio::test(start_paused = true)]
async fn a_long_poll_does_not_end_empty_on_a_read_that_is_behind() {
    let (jobs, _) = behind(1, StaleReads::Listed(0)).await;
    jobs.view().note_proof(Instant::now(), 1);
    let found = read(&jobs, 0, Duration::from_millis(1_000)).await;
    assert_eq!(count(&found), Some(1), "{found:?}");
}

// Guards against a 404 for a job that another daemon has accepted, from a daemon that has just started and knows no
// revision.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_behind_is_no_proof_that_a_job_is_missing() {
    let (jobs, _) = behind(0, StaleReads::NoJob).await;
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert_eq!(count(&found), Some(0), "{found:?}");
}

// Guards against the same for the body of an item: only the body's rows may be unreadable.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_behind_is_no_proof_that_an_item_is_missing() {
    let (jobs, _) = behind(0, StaleReads::NoJob).await;
    let found = jobs.item_body(&JobCaller::Anyone, JOB, "item-0").await;
    assert_eq!(found, Lookup::Unavailable);
}

// Guards against the same for a cancellation: an acknowledged "no such job" lets the job run on.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_behind_is_no_proof_that_a_job_to_cancel_is_missing() {
    let (jobs, _) = behind(0, StaleReads::NoJob).await;
    let outcome = jobs.cancel(&JobCaller::Anyone, JOB).await;
    assert_ne!(outcome, CancelOutcome::Missing);
}

// Guards against a false "not run": a job that another daemon has accepted is not refused for its quota.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_behind_is_no_proof_that_a_job_was_not_accepted() {
    let (jobs, store) = behind(0, StaleReads::NoJob).await;
    jobs.view().note_proof(Instant::now(), 1);
    let coordinator = KnownFence {
        coordinator: "another-daemon".to_owned(),
        revision: 5,
    };
    jobs.view().update_fence("batch", coordinator);
    // The store's answer to a transaction of a moment ago, before another daemon accepted the job.
    store.is_missing.store(true, Ordering::Relaxed);
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(matches!(found, Lookup::Missing), "{found:?}");
    store.is_missing.store(false, Ordering::Relaxed);
    advance(Duration::from_millis(300)).await;
    let submitted = SubmittedJob {
        id: JOB.to_owned(),
        host: "example".to_owned(),
        path: "/batch/".to_owned(),
        items: vec![SubmittedItem {
            id: "item-0".to_owned(),
            target: "/batch/0".to_owned(),
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
            prompt: Prompt::default(),
            tokens: 30,
        }],
        timeout: None,
        key: None,
    };
    assert_eq!(jobs.submit(submitted).await, SubmitOutcome::Accepted);
}

// Guards against a 404 for a job whose header is there and cannot be decoded.
#[tokio::test(start_paused = true)]
async fn a_header_that_cannot_be_decoded_is_no_proof_that_a_job_is_missing() {
    let store = Arc::new(SingleJobStore {
        is_unreadable: true,
        ..SingleJobStore::default()
    });
    let jobs = jobs_on(store, DecisionLog::new(LogBounds::default()));
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(matches!(found, Lookup::Unavailable), "{found:?}");
    let outcome = jobs.cancel(&JobCaller::Anyone, JOB).await;
    assert_eq!(outcome, CancelOutcome::NotCancelled);
}

// Guards against 503 for a result that a read shows, from a store that refuses transactions.
#[tokio::test(start_paused = true)]
async fn a_listed_result_is_returned_while_the_store_refuses_transactions() {
    let (jobs, store) = daemon(Duration::ZERO, 0, 1, false).await;
    store.refuses_transactions.store(true, Ordering::Relaxed);
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert_eq!(count(&found), Some(1), "{found:?}");
    let denied = read(&jobs, 1, Duration::ZERO).await;
    assert!(matches!(denied, Lookup::Unavailable), "{denied:?}");
}

// Guards against transactions for what a read shows: that there is such a job.
#[tokio::test(start_paused = true)]
async fn a_job_that_a_read_shows_costs_no_transaction() {
    let store = Arc::new(SingleJobStore::default());
    let jobs = jobs_on(store.clone(), DecisionLog::new(LogBounds::default()));
    let _ = jobs.item_body(&JobCaller::Anyone, JOB, "item-0").await;
    assert_eq!(store.header_reads.load(Ordering::Relaxed), 1);
    assert_eq!(store.transactions.load(Ordering::Relaxed), 0);
}

// Guards against a denial on a read whose age only an older transaction bounds.
#[tokio::test(start_paused = true)]
async fn a_transaction_bounds_the_age_of_reads_for_less_than_a_second() {
    let (jobs, store) = behind(0, StaleReads::Listed(0)).await;
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(0));
    advance(MAX_STALENESS).await;
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(0));
    assert_eq!(store.transactions.load(Ordering::Relaxed), 2);
    assert_eq!(store.header_reads.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn a_complete_list_costs_no_header_read() {
    let (jobs, store) = daemon(Duration::from_secs(5), 3, 3, false).await;
    let found = read(&jobs, 3, Duration::ZERO).await;
    assert_eq!(count(&found), Some(0));
    assert_eq!(store.header_reads.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn an_outdated_reading_is_no_proof_of_an_empty_list() {
    // Reads of the store may lag behind the revisions that the watch has delivered.
    let (jobs, _) = daemon(Duration::ZERO, 0, 0, false).await;
    jobs.view().note_revision(11);
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(matches!(found, Lookup::Unavailable), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outdated_reading_is_no_proof_that_a_job_is_missing() {
    let store = Arc::new(SingleJobStore {
        is_missing: true.into(),
        ..SingleJobStore::default()
    });
    let jobs = jobs_on(store, DecisionLog::new(LogBounds::default()));
    jobs.view().note_revision(11);
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(matches!(found, Lookup::Unavailable), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn store_reads_for_listings_are_counted_by_outcome() {
    let log = DecisionLog::new(LogBounds::default());
    let store = Arc::new(SingleJobStore {
        listed: 1,
        ..SingleJobStore::default()
    });
    let jobs = jobs_on(store, log.clone());
    jobs.view().update(KnownHeader {
        header: header(0),
        revision: 10,
    });
    jobs.view().note_proof(Instant::now(), 1);
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(1));
    advance(MAX_STALENESS).await;
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(1));
    assert_eq!(count(&read(&jobs, 1, Duration::ZERO).await), Some(0));
    let figures = String::from_utf8(log.metrics_text()).unwrap();
    for outcome in ["more", "nothing"] {
        let line = format!("harrierward_listings_asked_total{{outcome=\"{outcome}\"}} 1");
        assert!(figures.contains(&line), "{line} in {figures}");
    }
}
