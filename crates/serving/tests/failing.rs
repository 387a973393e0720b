//! A replica that fails at once has the least load of all: the daemon avoids it, and says what its requests came to.

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
    AttemptOutcome, BodyError, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings,
    ItemSlack, KeyTrust, NoQuarantine, Prompt, ReleaseReport, Replica, ReplicaClient,
    ReplicaRecord, ReplicaRequest, ReplicaResponse, ReplicaSet, Reply, Route, RouteKind,
    RouteTable, SelectionCosts, ServingConfiguration, ServingRequest, SlotLeases, SlotQuery,
    SlotReply, WeightedService,
};
use harrierward_tenants::AllowedRegions;
use http::{HeaderMap, Method};
use support::NoLimits;
use tokio::time::{Instant, sleep};

const OBJECTIVE: Duration = Duration::from_millis(300);

/// What a replica does with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    Serves,
    ServesSlowly,
    Fails,
    FindsFault,
    Refuses,
    CutsOff,
    CutsTheBody,
    IsSilent,
    IsMute,
    AnswersAnother,
}

/// The first replica behaves; the others serve.
struct Replicas {
    first: Conduct,
    sent_to_first: AtomicUsize,
}

fn answer(request: &ReplicaRequest<'_>, status: u16) -> ReplicaResponse {
    let bytes = Bytes::from_static(b"id: 1\ndata: x\n\n");
    ReplicaResponse {
        status,
        request_id: Some(request.request.id.clone()),
        is_first_on_connection: true,
        not_run: false,
        other_replica: false,
        load: None,
        headers: HeaderMap::new(),
        body: futures::stream::iter([Ok(bytes)]).boxed(),
    }
}

#[async_trait]
impl ReplicaClient for Replicas {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        let is_first = request.replica == "replica-0";
        if !is_first {
            return Ok(answer(&request, 200));
        }
        self.sent_to_first.fetch_add(1, Ordering::Relaxed);
        let good = answer(&request, 200);
        match self.first {
            Conduct::Serves => Ok(good),
            Conduct::ServesSlowly => {
                sleep(OBJECTIVE / 2).await;
                Ok(good)
            }
            Conduct::Fails => Ok(answer(&request, 500)),
            Conduct::FindsFault => Ok(answer(&request, 422)),
            Conduct::Refuses => Ok(ReplicaResponse {
                not_run: true,
                ..answer(&request, 503)
            }),
            Conduct::CutsOff => Err(ExchangeError::Lost {
                step: "test",
                peer: request.address.to_owned(),
                detail: "reset".to_owned(),
            }),
            Conduct::CutsTheBody => {
                let error = BodyError {
                    peer: request.address.to_owned(),
                    detail: "reset".to_owned(),
                };
                let body = good.body.chain(futures::stream::iter([Err(error)]));
                Ok(ReplicaResponse {
                    body: body.boxed(),
                    ..good_head(&request)
                })
            }
            Conduct::IsSilent => {
                sleep(Duration::from_secs(60)).await;
                Ok(good)
            }
            Conduct::IsMute => Ok(ReplicaResponse {
                body: futures::stream::pending().boxed(),
                ..good_head(&request)
            }),
            Conduct::AnswersAnother => Ok(ReplicaResponse {
                request_id: Some("another".to_owned()),
                ..good
            }),
        }
    }
}

fn good_head(request: &ReplicaRequest<'_>) -> ReplicaResponse {
    answer(request, 200)
}

/// Leases that the daemon takes itself; keeps what comes back of those at the first replica.
#[derive(Default)]
struct Leases {
    taken: Mutex<Vec<String>>,
    ended: Mutex<Vec<(String, ReleaseReport)>>,
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

    fn release(&self, place: u32, end: ReleaseReport) {
        let replica = self.taken.lock().expect("a lock")[place as usize].clone();
        self.ended.lock().expect("a lock").push((replica, end));
    }

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

struct Site {
    forwarder: Forwarder,
    client: Arc<Replicas>,
    leases: Arc<Leases>,
}

fn site(first: Conduct, replicas: usize, attempts: u32) -> Site {
    let set = ReplicaSet::default();
    let records = (0..replicas).map(|number| ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: format!("replica-{number}"),
        service: "model".to_owned(),
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
        log: DecisionLog::new(LogBounds::default()),
        settings: ForwarderSettings {
            region: String::new(),
            zone: "zone-a".to_owned(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    });
    Site {
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
        prompt: Prompt::default(),
        key: None,
        tenant: None,
    }
}

/// Sends one request and reads its answer to the end.
async fn call(site: &Site) {
    let reply = site.forwarder.forward(request(), Instant::now()).await;
    if let Reply::Response(answer) = reply {
        let _ = answer.body.collect::<Vec<_>>().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_answers_with_failures_is_avoided() {
    let site = site(Conduct::Fails, 3, 1);
    for _ in 0..60 {
        call(&site).await;
        sleep(Duration::from_millis(5)).await;
    }
    let sent = site.client.sent_to_first.load(Ordering::Relaxed);
    assert!(sent <= 2, "{sent} requests were sent to it");
}

/// What the lease of a single request at a replica of this conduct comes back with.
async fn end_at(conduct: Conduct) -> ReleaseReport {
    let site = site(conduct, 1, 1);
    call(&site).await;
    let ended = site.leases.ended.lock().expect("a lock");
    assert!(!ended.is_empty(), "a lease was given back");
    ended[0].1
}

#[tokio::test(start_paused = true)]
async fn a_lease_goes_back_with_what_its_request_came_to() {
    let expected = [
        (Conduct::Serves, AttemptOutcome::Served),
        (Conduct::ServesSlowly, AttemptOutcome::Served),
        (Conduct::Fails, AttemptOutcome::Failed),
        (Conduct::FindsFault, AttemptOutcome::NoEvidence),
        (Conduct::Refuses, AttemptOutcome::NotRun),
        (Conduct::CutsOff, AttemptOutcome::Disconnected),
        (Conduct::CutsTheBody, AttemptOutcome::Disconnected),
        (Conduct::IsSilent, AttemptOutcome::Unresponsive),
        (Conduct::IsMute, AttemptOutcome::Unresponsive),
        (Conduct::AnswersAnother, AttemptOutcome::Corrupt),
    ];
    for (conduct, verdict) in expected {
        assert_eq!(end_at(conduct).await.outcome, verdict, "{conduct:?}");
    }
    let slow = end_at(Conduct::ServesSlowly).await.first_event;
    assert_eq!(slow, Some(OBJECTIVE / 2));
}

/// A caller that leaves says nothing of the replica.
#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_is_no_evidence() {
    let site = site(Conduct::IsSilent, 1, 1);
    let called = tokio::time::timeout(OBJECTIVE, call(&site)).await;
    assert!(called.is_err(), "the replica is silent");
    let ended = site.leases.ended.lock().expect("a lock");
    assert_eq!(ended[0].1, ReleaseReport::default());
}

/// A request that comes with hardly any time left ends before any replica could have answered it.
#[tokio::test(start_paused = true)]
async fn a_request_with_hardly_any_time_is_no_evidence() {
    for conduct in [Conduct::IsSilent, Conduct::IsMute] {
        let site = site(conduct, 2, 1);
        for _ in 0..40 {
            let hurried = ServingRequest {
                timeout: Some(Duration::from_millis(20)),
                ..request()
            };
            let reply = site.forwarder.forward(hurried, Instant::now()).await;
            if let Reply::Response(answer) = reply {
                let _ = answer.body.collect::<Vec<_>>().await;
            }
        }
        let sent = site.client.sent_to_first.load(Ordering::Relaxed);
        assert!(sent > 5, "{conduct:?} {sent}: it is not avoided");
        let ended = site.leases.ended.lock().expect("a lock");
        let at_first = ended.iter().filter(|(replica, _)| replica == "replica-0");
        for (_, end) in at_first {
            assert_eq!(end.outcome, AttemptOutcome::NoEvidence, "{conduct:?}");
        }
    }
}
