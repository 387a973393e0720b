//! Guards against a replica that attracts requests by failing fast, and against wrong outcomes in lease reports.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    AttemptOutcome, BodyDelimiter, BodyError, ExchangeError, Forwarder, ForwarderParts,
    ForwarderSettings, ItemSlack, KeyTrust, NoQuarantine, Prompt, ReleaseReport, Replica,
    ReplicaClient, ReplicaRecord, ReplicaRequest, ReplicaResponse, ReplicaSet, Reply, Route,
    RouteKind, RouteTable, SelectionCosts, ServingConfiguration, ServingRequest, SlotLeases,
    SlotQuery, SlotReply, WeightedService,
};
use harrierward_tenants::AllowedRegions;
use http::{HeaderMap, Method};
use support::NoLimits;
use tokio::time::{Instant, sleep};

const OBJECTIVE: Duration = Duration::from_millis(300);

/// Behaviour of a replica for each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Serves,
    ServesSlowly,
    Fails,
    RejectsRequest,
    Refuses,
    Disconnects,
    InterruptsBody,
    NeverResponds,
    StallsBody,
    RespondsToAnother,
}

/// Client whose first replica has a given behaviour; all others serve.
struct Replicas {
    first: Behavior,
    sent_to_first: AtomicUsize,
}

fn response(request: &ReplicaRequest<'_>, status: u16) -> ReplicaResponse {
    let bytes = Bytes::from_static(b"id: 1\ndata: x\n\n");
    ReplicaResponse {
        status,
        request_id: Some(request.request.id.clone()),
        is_first_on_connection: true,
        not_run: false,
        misdirected: None,
        load: None,
        headers: HeaderMap::new(),
        delimiter: BodyDelimiter::Length,
        body: futures::stream::iter([Ok(bytes)]).boxed(),
    }
}

#[async_trait]
impl ReplicaClient for Replicas {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        let is_first = request.replica == "replica-0";
        if !is_first {
            return Ok(response(&request, 200));
        }
        self.sent_to_first.fetch_add(1, Ordering::Relaxed);
        let good = response(&request, 200);
        match self.first {
            Behavior::Serves => Ok(good),
            Behavior::ServesSlowly => {
                sleep(OBJECTIVE / 2).await;
                Ok(good)
            }
            Behavior::Fails => Ok(response(&request, 500)),
            Behavior::RejectsRequest => Ok(response(&request, 422)),
            Behavior::Refuses => Ok(ReplicaResponse {
                not_run: true,
                ..response(&request, 503)
            }),
            Behavior::Disconnects => Err(ExchangeError::Lost {
                step: "test",
                peer: request.address.to_owned(),
                detail: "reset".to_owned(),
            }),
            Behavior::InterruptsBody => {
                let error = BodyError {
                    peer: request.address.to_owned(),
                    detail: "reset".to_owned(),
                };
                let body = good.body.chain(futures::stream::iter([Err(error)]));
                Ok(ReplicaResponse {
                    body: body.boxed(),
                    ..ok_header(&request)
                })
            }
            Behavior::NeverResponds => {
                sleep(Duration::from_secs(60)).await;
                Ok(good)
            }
            Behavior::StallsBody => Ok(ReplicaResponse {
                body: futures::stream::pending().boxed(),
                ..ok_header(&request)
            }),
            Behavior::RespondsToAnother => Ok(ReplicaResponse {
                request_id: Some("another".to_owned()),
                ..good
            }),
        }
    }
}

fn ok_header(request: &ReplicaRequest<'_>) -> ReplicaResponse {
    response(request, 200)
}

/// Leases recorded locally; keeps the reports of their release.
#[derive(Default)]
struct Leases {
    taken: Mutex<Vec<String>>,
    released: Mutex<Vec<(String, ReleaseReport)>>,
    /// Outcomes reported after the release.
    reported: Mutex<Vec<(String, AttemptOutcome)>>,
}

#[async_trait]
impl SlotLeases for Leases {
    async fn acquire(&self, _query: SlotQuery<'_>) -> SlotReply {
        SlotReply::NoCoordinator
    }

    fn acquire_locally(&self, replica: &Arc<Replica>, _item: Option<ItemSlack>) -> u32 {
        let mut taken = self.taken.lock().expect("a lock");
        taken.push(replica.record.id.clone());
        u32::try_from(taken.len() - 1).expect("few leases")
    }

    fn release(&self, lease: u32, report: ReleaseReport) {
        let replica = self.taken.lock().expect("a lock")[lease as usize].clone();
        self.released
            .lock()
            .expect("a lock")
            .push((replica, report));
    }

    fn report_outcome(&self, lease: u32, _replica: u32, outcome: AttemptOutcome) {
        let replica = self.taken.lock().expect("a lock")[lease as usize].clone();
        let mut reported = self.reported.lock().expect("a lock");
        reported.push((replica, outcome));
    }

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

struct Fixture {
    forwarder: Forwarder,
    client: Arc<Replicas>,
    leases: Arc<Leases>,
}

fn fixture(first: Behavior, replicas: usize, attempts: u32) -> Fixture {
    let set = ReplicaSet::default();
    let records = (0..replicas).map(|number| ReplicaRecord {
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
    set.replace(records.collect(), |_| 100_000);
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
        attempts,
        timeout: Duration::from_secs(3),
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
    let client = Arc::new(Replicas {
        first,
        sent_to_first: AtomicUsize::new(0),
    });
    let leases = Arc::<Leases>::default();
    let forwarder = Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::from_pointee(RouteTable::build(
            configuration,
            None,
        ))),
        replicas: Arc::new(set),
        client: client.clone(),
        leases: leases.clone(),
        rates: Arc::new(NoLimits),
        quarantine: Arc::new(NoQuarantine),
        proof: Arc::default(),
        origins: Arc::new(harrierward_serving::NoOrigins),
        log: DecisionLog::new(LogBounds::default()),
        settings: ForwarderSettings {
            region: String::new(),
            zone: "zone-a".to_owned(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    });
    Fixture {
        forwarder,
        client,
        leases,
    }
}

fn request() -> ServingRequest {
    ServingRequest {
        regions: AllowedRegions::default(),
        id: "r".to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Some(Duration::from_secs(3)),
        resume_after: None,
        resumes: None,
        version: None,
        prompt: Prompt::default(),
        key: None,
        tenant: None,
    }
}

/// Sends one request and reads its response to the end.
async fn call(fixture: &Fixture) {
    let reply = fixture.forwarder.forward(request(), Instant::now()).await;
    if let Reply::Response(response) = reply {
        let _ = response.body.collect::<Vec<_>>().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_responds_with_failures_is_avoided() {
    let fixture = fixture(Behavior::Fails, 3, 1);
    for _ in 0..60 {
        call(&fixture).await;
        sleep(Duration::from_millis(5)).await;
    }
    let sent = fixture.client.sent_to_first.load(Ordering::Relaxed);
    assert!(sent <= 2, "{sent} requests were sent to it");
}

/// Report of the lease of one request at a replica with this behaviour.
async fn report_at(behavior: Behavior) -> ReleaseReport {
    let fixture = fixture(behavior, 1, 1);
    call(&fixture).await;
    let released = fixture.leases.released.lock().expect("a lock");
    assert!(!released.is_empty(), "no lease was released");
    released[0].1
}

#[tokio::test(start_paused = true)]
async fn a_lease_is_released_with_the_outcome_of_its_request() {
    let expected = [
        (Behavior::Serves, AttemptOutcome::Served),
        (Behavior::ServesSlowly, AttemptOutcome::Served),
        (Behavior::Fails, AttemptOutcome::Failed),
        (Behavior::RejectsRequest, AttemptOutcome::NoEvidence),
        // One refusal alone may be about the request; see the next test.
        (Behavior::Refuses, AttemptOutcome::RequestRefused),
        (Behavior::Disconnects, AttemptOutcome::Disconnected),
        (Behavior::InterruptsBody, AttemptOutcome::Disconnected),
        (Behavior::NeverResponds, AttemptOutcome::Unresponsive),
        (Behavior::StallsBody, AttemptOutcome::Unresponsive),
        (Behavior::RespondsToAnother, AttemptOutcome::Corrupt),
    ];
    for (behavior, outcome) in expected {
        assert_eq!(report_at(behavior).await.outcome, outcome, "{behavior:?}");
    }
    let slow = report_at(Behavior::ServesSlowly).await.first_event;
    assert_eq!(slow, Some(OBJECTIVE / 2));
}

/// Guards against a replica that refuses with free slots what others admit, and is not held to be at fault.
#[tokio::test(start_paused = true)]
async fn a_refusal_of_what_another_replica_admits_is_reported() {
    let fixture = fixture(Behavior::Refuses, 2, 2);
    for _ in 0..20 {
        call(&fixture).await;
        // The daemon's own belief has expired by then.
        sleep(Duration::from_secs(1)).await;
    }
    let sent = fixture.client.sent_to_first.load(Ordering::Relaxed);
    assert!(sent > 0, "no request was sent to it");
    let reported = fixture.leases.reported.lock().expect("a lock");
    let expected = ("replica-0".to_owned(), AttemptOutcome::NotRun);
    assert_eq!(*reported, vec![expected; sent]);
}

/// A caller that leaves must not be counted against the replica.
#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_is_no_evidence() {
    let fixture = fixture(Behavior::NeverResponds, 1, 1);
    let called = tokio::time::timeout(OBJECTIVE, call(&fixture)).await;
    assert!(called.is_err(), "the replica responded");
    let released = fixture.leases.released.lock().expect("a lock");
    assert_eq!(released[0].1, ReleaseReport::default());
}

/// A request with too little time for any response must not be counted against the replica.
#[tokio::test(start_paused = true)]
async fn a_request_with_hardly_any_time_is_no_evidence() {
    for behavior in [Behavior::NeverResponds, Behavior::StallsBody] {
        let fixture = fixture(behavior, 2, 1);
        for _ in 0..40 {
            let hurried = ServingRequest {
                timeout: Some(Duration::from_millis(20)),
                ..request()
            };
            let reply = fixture.forwarder.forward(hurried, Instant::now()).await;
            if let Reply::Response(response) = reply {
                let _ = response.body.collect::<Vec<_>>().await;
            }
        }
        let sent = fixture.client.sent_to_first.load(Ordering::Relaxed);
        assert!(sent > 5, "{behavior:?} {sent}: it is not avoided");
        let released = fixture.leases.released.lock().expect("a lock");
        let at_first = released
            .iter()
            .filter(|(replica, _)| replica == "replica-0");
        for (_, report) in at_first {
            assert_eq!(report.outcome, AttemptOutcome::NoEvidence, "{behavior:?}");
        }
    }
}
