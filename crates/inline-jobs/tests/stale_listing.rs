//! A listing never shows less than another daemon has shown before, whatever this daemon has heard of it.
//!
//! What happened: a feed answered with the store's newest revision and without the changes up to it. The daemon took the answer
//! for a proof that its copy of the heads was true, and told a caller that nothing was listed, where another daemon had shown a
//! result seconds before. What showed it: the lines `listing_asked` of that daemon, `outcome: nothing` beside a `proof_age_ms` of
//! 1,239 to 1,743, and none at all for the looks that it denied on a proof younger than 0.8 s.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, RequestClass, Row, RowReading, SpacePage, Table,
    Transaction, TransactionOutcome, WatchedTable,
};
use harrierward_inline_jobs::{
    InlineJobs, JobCaller, JobParts, JobSettings, KnownHead, Lookup, Peers, QuotaRequest,
    ResultPage,
};
use harrierward_ownership::OwnerStatus;
use harrierward_serving::{
    ExchangeError, Forwarder, ForwarderParts, ForwarderSettings, ItemSlack, KeyTrust, NoQuarantine,
    RateLimits, RateStatus, ReleaseReport, Replica, ReplicaClient, ReplicaRequest, ReplicaResponse,
    ReplicaSet, SelectionCosts, SlotLeases, SlotQuery, SlotReply,
};
use harrierward_tenants::Tenant;
use harrierward_wire::{ItemHeadRow, JobHeadRow, QuotaOutcome, ResultPieceRow, encode};
use support::{AwayStore, away};
use tokio::time::{Instant, advance};

const JOB: &str = "job-1";

/// Age of what this daemon knows at which a result that another daemon showed must not be denied any more, less what
/// the answers themselves take.
const MUST_SHOW_AFTER: Duration = Duration::from_millis(850);

/// A store that holds one job with its first result listed.
#[derive(Default)]
struct OneJob {
    /// Reads of the job's head.
    head_reads: AtomicUsize,
    /// The store answers nothing.
    is_away: bool,
    /// Results that the store holds.
    listed: u32,
    /// The store's answers are from before the job was accepted.
    is_missing: bool,
}

fn head(listed: u32) -> JobHeadRow {
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
        ..JobHeadRow::default()
    }
}

#[async_trait]
impl Table for OneJob {
    async fn transact(
        &self,
        _class: RequestClass,
        _transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        Err(away("transact"))
    }

    async fn get(&self, _: RequestClass, _: &[String]) -> Result<Vec<Option<Row>>, PlatformError> {
        Err(away("get"))
    }

    async fn scan(
        &self,
        _class: RequestClass,
        prefix: &str,
        after: &str,
        _limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        if self.is_away {
            return Err(away("scan"));
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
impl WatchedTable for OneJob {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        Err(away("read page"))
    }

    async fn read_row(&self, key: &str) -> Result<RowReading, PlatformError> {
        self.head_reads.fetch_add(1, Ordering::Relaxed);
        if self.is_away {
            return Err(away("read row"));
        }
        let revision = 10 + u64::from(self.listed);
        let row = Row {
            key: key.to_owned(),
            value: Bytes::from(encode(&head(self.listed))),
            revision,
        };
        Ok(RowReading {
            row: Some(row).filter(|_| !self.is_missing),
            revision,
        })
    }

    async fn wait_changes(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Result<ChangePage, PlatformError> {
        Err(away("wait changes"))
    }
}

struct Nothing;

#[async_trait]
impl Peers for Nothing {
    fn standing(&self, _owner: &str) -> OwnerStatus {
        OwnerStatus::Absent
    }

    fn owners_near(&self, _owner: &str) -> Vec<String> {
        Vec::new()
    }

    fn owners(&self) -> Option<Vec<String>> {
        None
    }

    async fn ask_quota(&self, _: &str, _: QuotaRequest<'_>) -> Option<(QuotaOutcome, u64)> {
        None
    }

    fn return_quota(&self, _: &str, _: QuotaRequest<'_>) {}
}

#[async_trait]
impl RateLimits for Nothing {
    async fn admit(&self, _tenant: &Tenant, _request: &str) -> RateStatus {
        RateStatus::Within
    }
}

#[async_trait]
impl ReplicaClient for Nothing {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        Err(ExchangeError::NotSent {
            step: "test",
            peer: request.address.to_owned(),
            detail: "no client".to_owned(),
        })
    }
}

#[async_trait]
impl SlotLeases for Nothing {
    async fn acquire(&self, _query: SlotQuery<'_>) -> SlotReply {
        SlotReply::NoCoordinator
    }

    fn acquire_locally(&self, _replica: &Arc<Replica>, _item: Option<ItemSlack>) -> u32 {
        1
    }

    fn release(&self, _place: u32, _end: ReleaseReport) {}

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

fn jobs_over(store: Arc<OneJob>, log: DecisionLog) -> InlineJobs {
    let forwarder = Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::empty()),
        replicas: Arc::new(ReplicaSet::default()),
        client: Arc::new(Nothing),
        leases: Arc::new(Nothing),
        rates: Arc::new(Nothing),
        quarantine: Arc::new(NoQuarantine),
        proof: Arc::default(),
        log: log.clone(),
        settings: ForwarderSettings {
            region: String::new(),
            zone: "zone-a".to_owned(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    });
    InlineJobs::new(JobParts {
        life: "this-daemon".to_owned(),
        table: store.clone(),
        objects: Arc::new(AwayStore),
        watched: store,
        forwarder,
        peers: Arc::new(Nothing),
        log,
        settings: JobSettings {
            keep: Duration::from_secs(120),
            cancel_within: Duration::from_secs(3),
        },
    })
}

/// A daemon that last heard of the job `age` ago, when `known` results were listed; the store now holds `listed`.
async fn daemon(
    age: Duration,
    known: u32,
    listed: u32,
    is_away: bool,
) -> (InlineJobs, Arc<OneJob>) {
    let store = Arc::new(OneJob {
        listed,
        is_away,
        ..OneJob::default()
    });
    let log = DecisionLog::new(LogBounds::default());
    let jobs = jobs_over(store.clone(), log);
    jobs.view().take(KnownHead {
        head: head(known),
        revision: 10 + u64::from(known),
    });
    jobs.view().prove(Instant::now(), 1);
    advance(age).await;
    (jobs, store)
}

async fn read(jobs: &InlineJobs, after: u32, wait: Duration) -> Lookup<ResultPage> {
    jobs.results(&JobCaller::Anyone, JOB, after, wait).await
}

fn count(found: &Lookup<ResultPage>) -> Option<usize> {
    match found {
        Lookup::Found(page) => Some(page.results.len()),
        Lookup::Missing | Lookup::Unsure => None,
    }
}

#[tokio::test(start_paused = true)]
async fn a_result_that_others_have_shown_for_a_second_is_shown_by_all() {
    for age in [850, 950, 1_000, 1_100, 1_250, 1_350, 5_000] {
        let (jobs, _) = daemon(Duration::from_millis(age), 0, 1, false).await;
        let found = read(&jobs, 0, Duration::ZERO).await;
        assert_eq!(count(&found), Some(1), "at {age} ms: {found:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_feed_that_passed_over_a_result_does_not_deny_it() {
    for age in [0, 1, 200, 700, 799] {
        let (jobs, _) = daemon(Duration::from_millis(age), 0, 1, false).await;
        let found = read(&jobs, 0, Duration::ZERO).await;
        assert_eq!(count(&found), Some(1), "proven {age} ms ago: {found:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_held_read_that_ends_empty_was_proven_at_its_end() {
    for age in [0, 300, 700, 1_100] {
        let (jobs, _) = daemon(Duration::from_millis(age), 0, 1, false).await;
        let found = read(&jobs, 0, Duration::from_millis(1_000)).await;
        assert_eq!(count(&found), Some(1), "known {age} ms ago: {found:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_cannot_be_proven_is_not_denied() {
    let (jobs, _) = daemon(MUST_SHOW_AFTER, 0, 1, true).await;
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert_eq!(found, Lookup::Unsure);
}

#[tokio::test(start_paused = true)]
async fn what_is_known_to_be_listed_needs_no_new_proof() {
    // Results are only added, so that a daemon that knows of one may show it however long ago it heard of it.
    let (jobs, store) = daemon(Duration::from_secs(5), 1, 2, false).await;
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert!(count(&found).is_some_and(|count| count >= 1), "{found:?}");
    assert_eq!(store.head_reads.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn an_empty_answer_costs_one_read_at_its_end() {
    for wait in [0, 300, 1_000] {
        let (jobs, store) = daemon(Duration::from_millis(200), 0, 0, false).await;
        let found = read(&jobs, 0, Duration::from_millis(wait)).await;
        assert_eq!(count(&found), Some(0));
        assert_eq!(store.head_reads.load(Ordering::Relaxed), 1, "{wait} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn a_list_that_never_grows_again_costs_no_read() {
    let (jobs, store) = daemon(Duration::from_secs(5), 3, 3, false).await;
    let found = read(&jobs, 3, Duration::ZERO).await;
    assert_eq!(count(&found), Some(0));
    assert_eq!(store.head_reads.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn an_answer_older_than_what_is_known_of_the_store_denies_nothing() {
    // After the store's history was dropped its reads may be seconds behind, while the feed has told of newer revisions.
    let (jobs, _) = daemon(Duration::ZERO, 0, 0, false).await;
    jobs.view().note_revision(11);
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert_eq!(found, Lookup::Unsure);
}

#[tokio::test(start_paused = true)]
async fn a_job_is_not_denied_by_an_answer_from_before_it_was_accepted() {
    let store = Arc::new(OneJob {
        is_missing: true,
        ..OneJob::default()
    });
    let jobs = jobs_over(store, DecisionLog::new(LogBounds::default()));
    jobs.view().note_revision(11);
    let found = read(&jobs, 0, Duration::ZERO).await;
    assert_eq!(found, Lookup::Unsure);
}

#[tokio::test(start_paused = true)]
async fn an_operator_sees_how_often_the_store_was_asked_and_what_it_said() {
    let log = DecisionLog::new(LogBounds::default());
    let store = Arc::new(OneJob {
        listed: 1,
        ..OneJob::default()
    });
    let jobs = jobs_over(store, log.clone());
    jobs.view().take(KnownHead {
        head: head(0),
        revision: 10,
    });
    jobs.view().prove(Instant::now(), 1);
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(1));
    advance(MUST_SHOW_AFTER).await;
    assert_eq!(count(&read(&jobs, 0, Duration::ZERO).await), Some(1));
    assert_eq!(count(&read(&jobs, 1, Duration::ZERO).await), Some(0));
    let figures = String::from_utf8(log.metrics_text()).unwrap();
    for outcome in ["more", "nothing"] {
        let line = format!("harrierward_listings_asked_total{{outcome=\"{outcome}\"}} 1");
        assert!(figures.contains(&line), "{line} in {figures}");
    }
}
