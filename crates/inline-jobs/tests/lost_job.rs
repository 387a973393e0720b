//! Guards against losing failures that the store does not hold when their job is taken over by a daemon that received
//! no report of them.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    PlatformError, RequestClass, Row, Table, Transaction, TransactionOutcome,
};
use harrierward_inline_jobs::adoption_order::first_adopters;
use harrierward_inline_jobs::{
    InlineJobs, JobParts, JobSettings, KnownHeader, Peers, QuotaRequest,
};
use harrierward_memory::{BudgetSizes, MemoryBudget};
use harrierward_ownership::OwnerStatus;
use harrierward_serving::{
    ExchangeError, Forwarder, ForwarderParts, ForwarderSettings, ItemSlack, KeyTrust, NoQuarantine,
    RateLimits, RateStatus, ReleaseReport, Replica, ReplicaClient, ReplicaRequest, ReplicaResponse,
    ReplicaSet, SelectionCosts, SlotLeases, SlotQuery, SlotReply,
};
use harrierward_tenants::Tenant;
use harrierward_wire::{
    ItemBodyRow, ItemFailuresRow, ItemHeadRow, JobFailures, JobHeadRow, JobItemsRow, QuotaOutcome,
    encode,
};
use support::{UnavailableStore, unavailable};
use tokio::time::sleep;

const JOB: &str = "job-1";
const THIS_DAEMON: &str = "this-daemon";
const RECIPIENTS: usize = 3;

/// Memory for requests, and for jobs, bytes.
const MEMORY_BYTES: usize = 64 << 20;

/// Longer than the interval between reports.
const REPORTED: Duration = Duration::from_millis(2_500);

/// A store that serves the items of a job and takes no write.
struct ReadOnlyStore;

#[async_trait]
impl Table for ReadOnlyStore {
    async fn transact(
        &self,
        _: RequestClass,
        _: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        Err(unavailable("transact"))
    }

    async fn get(&self, _: RequestClass, _: &[String]) -> Result<Vec<Option<Row>>, PlatformError> {
        Err(unavailable("get"))
    }

    async fn scan(
        &self,
        _: RequestClass,
        prefix: &str,
        after: &str,
        _: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        if !prefix.starts_with("jobitems") || !after.is_empty() {
            return Ok(Vec::new());
        }
        let items = JobItemsRow {
            items: vec![ItemBodyRow::default()],
        };
        Ok(vec![Row {
            key: format!("{prefix}0000"),
            value: Bytes::from(encode(&items)),
            revision: 1,
        }])
    }
}

/// Peers that record the reports sent to them.
#[derive(Default)]
struct RecordedReports(Mutex<Vec<(String, Vec<JobFailures>)>>);

fn owners() -> Vec<String> {
    let others = (0..6).map(|number| format!("daemon-{number}"));
    others.chain([THIS_DAEMON.to_owned()]).collect()
}

#[async_trait]
impl Peers for RecordedReports {
    fn owner_status(&self, _: &str) -> OwnerStatus {
        OwnerStatus::Present
    }

    fn owners_near(&self, _: &str) -> Vec<String> {
        Vec::new()
    }

    fn owners(&self) -> Option<Vec<String>> {
        Some(owners())
    }

    async fn request_quota(&self, _: &str, _: QuotaRequest<'_>) -> Option<(QuotaOutcome, u64)> {
        None
    }

    fn release_quota(&self, _: &str, _: QuotaRequest<'_>) {}

    fn report_failures(&self, recipient: &str, jobs: Vec<JobFailures>) {
        let mut reports = self.0.lock().expect("reports");
        reports.push((recipient.to_owned(), jobs));
    }
}

struct Stub;

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

fn daemon(peers: Arc<RecordedReports>) -> InlineJobs {
    let log = DecisionLog::new(LogBounds::default());
    let forwarder = Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::empty()),
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
        instance_id: THIS_DAEMON.to_owned(),
        table: Arc::new(ReadOnlyStore),
        objects: Arc::new(UnavailableStore),
        watched: Arc::new(UnavailableStore),
        forwarder,
        peers,
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

fn known(owner: &str, epoch: u64) -> KnownHeader {
    KnownHeader {
        header: JobHeadRow {
            job_id: JOB.to_owned(),
            items: vec![ItemHeadRow {
                id: "item-0".to_owned(),
                tokens: 10,
            }],
            item_rows: 1,
            owner: owner.to_owned(),
            epoch,
            ..JobHeadRow::default()
        },
        revision: 10 + epoch,
    }
}

/// A daemon owns a job with a failure that the store does not hold, and loses it to one of the others.
async fn recipients_after_loss_to(new_owner: &str) -> Vec<String> {
    let peers = Arc::new(RecordedReports::default());
    let jobs = daemon(peers.clone());
    tokio::spawn(jobs.clone().run());
    let failures = vec![ItemFailuresRow { item: 0, count: 1 }];
    let report = JobFailures {
        job_id: JOB.to_owned(),
        failures,
        age_ms: 0,
    };
    jobs.note_reported_failures("daemon-0", &[report]);
    jobs.note_header(known(THIS_DAEMON, 1));
    sleep(REPORTED).await;
    jobs.note_header(known(new_owner, 2));
    sleep(REPORTED).await;
    let reports = peers.0.lock().expect("reports");
    reports
        .iter()
        .map(|(recipient, _)| recipient.clone())
        .collect()
}

fn others_in_adoption_order() -> Vec<String> {
    let mut others = owners();
    others.retain(|owner| owner != THIS_DAEMON);
    let count = others.len();
    first_adopters(JOB, &others, &[], count)
}

#[tokio::test(start_paused = true)]
async fn the_first_adopter_knows_the_failure_of_a_job_that_is_taken_over() {
    let new_owner = &others_in_adoption_order()[0];
    let recipients = recipients_after_loss_to(new_owner).await;
    assert!(recipients.contains(new_owner), "{recipients:?}");
}

#[tokio::test(start_paused = true)]
async fn a_later_adopter_knows_the_failure_of_a_job_that_is_taken_over() {
    let new_owner = &others_in_adoption_order()[RECIPIENTS];
    let recipients = recipients_after_loss_to(new_owner).await;
    assert!(recipients.contains(new_owner), "{recipients:?}");
}
