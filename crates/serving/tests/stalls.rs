//! Guards the timeouts of unresponsive replicas: a faulty one is abandoned early, a queueing one is not.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    BodyDelimiter, Choice, ChosenBy, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings,
    ItemSlack, KeyTrust, NoQuarantine, Prompt, RefusalCause, ReleaseReport, Replica, ReplicaClient,
    ReplicaRecord, ReplicaRequest, ReplicaResponse, ReplicaSet, Reply, Route, RouteKind,
    RouteTable, SelectionCosts, ServingConfiguration, ServingRequest, SlotLeases, SlotQuery,
    SlotReply, WeightedService,
};
use harrierward_tenants::AllowedRegions;
use http::{HeaderMap, Method};
use support::NoLimits;
use tokio::time::{Instant, sleep};

const OBJECTIVE: Duration = Duration::from_millis(300);

/// Longer than the stall timeout, shorter than the maximum wait.
const QUEUE_TIME: Duration = Duration::from_millis(600);

/// Client that responds after a delay, like a replica with a queue.
#[derive(Default)]
struct QueueingClient {
    sends: AtomicUsize,
}

#[async_trait]
impl ReplicaClient for QueueingClient {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        self.sends.fetch_add(1, Ordering::Relaxed);
        sleep(QUEUE_TIME).await;
        Ok(ReplicaResponse {
            status: 200,
            request_id: Some(request.request.id.clone()),
            is_first_on_connection: true,
            not_run: false,
            misdirected: None,
            load: None,
            headers: HeaderMap::new(),
            delimiter: BodyDelimiter::Length,
            body: futures::stream::empty().boxed(),
        })
    }
}

/// Coordinator that reports a given share of free slots.
struct Group {
    replicas: Arc<ReplicaSet>,
    free_permille: u32,
    /// Retry delay sent to new requests.
    retry_after: Option<Duration>,
}

#[async_trait]
impl SlotLeases for Group {
    async fn acquire(&self, query: SlotQuery<'_>) -> SlotReply {
        if let Some(after) = self.retry_after.filter(|_| query.max_retry_after.is_some()) {
            return SlotReply::RetryLater { after };
        }
        let view = self.replicas.view();
        let mut all = view.all();
        let replica = all.find(|replica| !query.excluded.contains(&replica.record.id));
        let Some(replica) = replica else {
            return SlotReply::NoCoordinator;
        };
        SlotReply::Granted {
            choice: Choice {
                replica: replica.clone(),
                by: ChosenBy::Coordinator,
                load: 1,
                free_permille: self.free_permille,
                cold_until: None,
                left_region: None,
                is_probe: false,
                copy_from: None,
            },
            lease: 1,
        }
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

fn routes() -> RouteTable {
    let route = Route {
        allowed_regions: AllowedRegions::default(),
        name: "ask".to_owned(),
        host: "example".to_owned(),
        prefix: "/ask/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        services: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        timeout: Duration::from_secs(5),
        objective: OBJECTIVE,
        gap_objective: None,
        priority: 0,
        is_public: false,
    };
    let configuration = ServingConfiguration {
        version: 1,
        routes: vec![route],
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

/// Creates a forwarder whose coordinator is a [`Group`] with these values.
fn forwarder(
    free_permille: u32,
    retry_after: Option<Duration>,
) -> (Forwarder, Arc<QueueingClient>) {
    let replicas = ReplicaSet::default();
    let records = (0..2).map(|number| ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: format!("replica-{number}"),
        service: "model".to_owned(),
        version: String::new(),
        address: format!("10.0.0.{number}:80"),
        zone: "zone-a".to_owned(),
        slots: 8,
        draining: false,
    });
    replicas.replace(records.collect(), |_| 100_000);
    let replicas = Arc::new(replicas);
    let client = Arc::new(QueueingClient::default());
    let forwarder = Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::from_pointee(routes())),
        replicas: replicas.clone(),
        client: client.clone(),
        leases: Arc::new(Group {
            replicas,
            free_permille,
            retry_after,
        }),
        rates: Arc::new(NoLimits),
        quarantine: Arc::new(NoQuarantine),
        proof: Arc::default(),
        origins: Arc::new(harrierward_serving::NoOrigins),
        log: DecisionLog::new(LogBounds::default()),
        settings: ForwarderSettings {
            zone: "zone-a".to_owned(),
            region: String::new(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    });
    (forwarder, client)
}

fn request(timeout: Duration) -> ServingRequest {
    ServingRequest {
        regions: AllowedRegions::default(),
        id: "r".to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Some(timeout),
        resume_after: None,
        resumes: None,
        version: None,
        prompt: Prompt::default(),
        key: None,
        tenant: None,
    }
}

/// Longest timeout of the route's callers.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of attempts of one request in a group with this share of free slots.
async fn sends_where_free(free_permille: u32) -> usize {
    let (forwarder, client) = forwarder(free_permille, None);
    let reply = forwarder
        .forward(request(CALLER_TIMEOUT), Instant::now())
        .await;
    assert!(matches!(reply, Reply::Response(_)), "an answer");
    client.sends.load(Ordering::Relaxed)
}

/// A refused caller receives a retry delay at once, without an attempt; its retry must not be refused again.
#[tokio::test(start_paused = true)]
async fn a_caller_that_retries_is_not_refused_again() {
    let after = Duration::from_millis(700);
    let (forwarder, client) = forwarder(0, Some(after));
    let started = Instant::now();
    let reply = forwarder.forward(request(CALLER_TIMEOUT), started).await;
    let Reply::Refusal(refusal) = reply else {
        panic!("a response instead of a refusal");
    };
    assert_eq!(refusal.cause(), RefusalCause::Overloaded);
    assert_eq!(
        (refusal.status(), refusal.retry_after()),
        (503, Some(after))
    );
    assert!(refusal.cause().is_not_run() && started.elapsed() < Duration::from_millis(10));
    assert_eq!(client.sends.load(Ordering::Relaxed), 0);
    let reply = forwarder
        .forward(request(CALLER_TIMEOUT - after), Instant::now())
        .await;
    assert!(matches!(reply, Reply::Response(_)), "an answer");
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_replica_is_abandoned_where_others_have_capacity() {
    assert_eq!(sends_where_free(900).await, 2);
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_in_the_queue_where_all_slots_are_taken() {
    assert_eq!(sends_where_free(0).await, 1);
}

/// A coordinator with an outdated view grants cold replicas uncounted; nothing may be sent, and the caller is refused
/// at once.
#[tokio::test(start_paused = true)]
async fn an_uncounted_grant_does_not_admit_a_request_to_a_cold_replica() {
    let (forwarder, client) = forwarder(500, None);
    for replica in forwarder.replicas().view().all() {
        replica.set_cold_until(Instant::now() + Duration::from_secs(60));
    }
    let started = Instant::now();
    let reply = forwarder.forward(request(OBJECTIVE), started).await;
    let Reply::Refusal(refusal) = reply else {
        panic!("a response instead of a refusal");
    };
    assert_eq!(refusal.cause(), RefusalCause::Full);
    assert!(refusal.retry_after().is_some());
    assert_eq!(client.sends.load(Ordering::Relaxed), 0);
    assert!(started.elapsed() < Duration::from_millis(10));
}
