//! A forwarder before replicas whose answers follow a script.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    BodyError, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings, ItemSlack, KeyTrust,
    NoQuarantine, Prompt, RateLimits, RateStatus, ReleaseReport, Replica, ReplicaClient,
    ReplicaRecord, ReplicaRequest, ReplicaResponse, ReplicaSet, Route, RouteKind, RouteTable,
    SelectionCosts, ServingConfiguration, ServingRequest, SlotLeases, SlotQuery, SlotReply,
    WeightedService,
};
use harrierward_tenants::{AllowedRegions, Tenant};
use http::{HeaderMap, Method};

/// Whose id an answer carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    /// That of the request which it is taken for.
    Own,
    /// That of an earlier request on the connection.
    Another,
    /// None.
    Nobody,
    /// None, where a connection that is used again has a late answer to an earlier request in its place.
    NobodyLate,
}

impl Answers {
    fn is_late(self) -> bool {
        matches!(self, Self::Another | Self::NobodyLate)
    }
}

/// What a replica does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It answers whole.
    Whole,
    /// Nobody listens at its address.
    NotSent,
    /// It has begun, and the connection breaks.
    Lost,
    /// It has begun and sent the head, and the connection breaks.
    CutAfterHead,
    /// A refusal of this status that says "not run" stands where its answer is due. If it is not this request's, the
    /// replica has begun this one.
    Refusal { status: u16, answers: Answers },
    /// Another replica has the address; with the id or not.
    OtherReplica { answers: Answers },
    /// It has run, and fails with this status.
    Failure(u16),
}

impl End {
    /// True if a replica has begun the request.
    pub fn began(self) -> bool {
        match self {
            Self::NotSent => false,
            Self::Refusal { answers, .. } | Self::OtherReplica { answers } => answers.is_late(),
            _ => true,
        }
    }

    /// On a new connection no late answer without an id can come: then it is the replica's own refusal.
    fn on_new_connection(self) -> Self {
        let own = |answers: Answers| match answers {
            Answers::NobodyLate => Answers::Nobody,
            other => other,
        };
        match self {
            Self::Refusal { status, answers } => Self::Refusal {
                status,
                answers: own(answers),
            },
            Self::OtherReplica { answers } => Self::OtherReplica {
                answers: own(answers),
            },
            other => other,
        }
    }
}

#[derive(Default)]
struct Script {
    ends: VecDeque<End>,
    played: Vec<(String, End)>,
}

/// Replicas that follow a script, one end a request; once it is over they answer whole.
#[derive(Default)]
pub struct Scripted {
    script: Mutex<Script>,
}

impl Scripted {
    fn lock(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The next requests end so.
    pub fn play(&self, ends: &[End]) {
        self.lock().ends = ends.iter().copied().collect();
    }

    /// What came of each request so far: replica and end.
    pub fn played(&self) -> Vec<(String, End)> {
        self.lock().played.clone()
    }

    /// True if a replica has begun a request.
    pub fn has_begun(&self) -> bool {
        self.lock().played.iter().any(|(_, end)| end.began())
    }
}

fn answer(status: u16, answers: Answers, not_run: bool, id: &str) -> ReplicaResponse {
    ReplicaResponse {
        status,
        request_id: match answers {
            Answers::Own => Some(id.to_owned()),
            Answers::Another => Some("another".to_owned()),
            Answers::Nobody | Answers::NobodyLate => None,
        },
        is_first_on_connection: answers != Answers::NobodyLate,
        not_run,
        other_replica: status == 421,
        load: None,
        headers: HeaderMap::new(),
        body: futures::stream::empty().boxed(),
    }
}

#[async_trait]
impl ReplicaClient for Scripted {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        let end = {
            let mut script = self.lock();
            let mut end = script.ends.pop_front().unwrap_or(End::Whole);
            if request.fresh_connection {
                end = end.on_new_connection();
            }
            script.played.push((request.replica.to_owned(), end));
            end
        };
        let id = &request.request.id;
        let (step, peer) = ("replica.send", request.address.to_owned());
        let detail = "scripted".to_owned();
        match end {
            End::Whole => Ok(answer(200, Answers::Own, false, id)),
            End::NotSent => Err(ExchangeError::NotSent { step, peer, detail }),
            End::Lost => Err(ExchangeError::Lost { step, peer, detail }),
            End::CutAfterHead => {
                let cut = BodyError { peer, detail };
                let body = futures::stream::iter([Err::<Bytes, _>(cut)]).boxed();
                Ok(ReplicaResponse {
                    body,
                    ..answer(200, Answers::Own, false, id)
                })
            }
            End::Refusal { status, answers } => Ok(answer(status, answers, true, id)),
            End::OtherReplica { answers } => Ok(answer(421, answers, false, id)),
            End::Failure(status) => Ok(answer(status, Answers::Own, false, id)),
        }
    }
}

/// No tenant has a limit.
pub struct NoLimits;

#[async_trait]
impl RateLimits for NoLimits {
    async fn admit(&self, _tenant: &Tenant, _request: &str) -> RateStatus {
        RateStatus::Within
    }
}

/// Nobody coordinates: the daemon chooses by itself.
struct Uncoordinated;

#[async_trait]
impl SlotLeases for Uncoordinated {
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

    fn is_reported_cold(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

/// Attempts of the route.
pub const ATTEMPTS: u32 = 2;

fn routes(kind: RouteKind) -> RouteTable {
    let route = Route {
        allowed_regions: AllowedRegions::default(),
        name: "ask".to_owned(),
        host: "example".to_owned(),
        prefix: "/ask/".to_owned(),
        kind,
        services: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        attempts: ATTEMPTS,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
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

/// A daemon's request path before scripted replicas.
pub struct Fixture {
    pub forwarder: Forwarder,
    pub replicas: Arc<ReplicaSet>,
    pub client: Arc<Scripted>,
}

/// A record of a replica `id` in the only zone.
pub fn record(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "model".to_owned(),
        address: format!("{id}:80"),
        zone: "zone".to_owned(),
        region: String::new(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    }
}

impl Fixture {
    /// A daemon that serves a route of this kind by so many replicas, `i-0` and on.
    pub fn new(kind: RouteKind, replicas: usize) -> Self {
        let set = Arc::new(ReplicaSet::default());
        let records = (0..replicas).map(|number| record(&format!("i-{number}")));
        set.replace(records.collect(), |_| 100_000);
        let client = Arc::new(Scripted::default());
        let forwarder = Forwarder::new(ForwarderParts {
            routes: Arc::new(ArcSwapOption::from_pointee(routes(kind))),
            replicas: set.clone(),
            client: client.clone(),
            leases: Arc::new(Uncoordinated),
            rates: Arc::new(NoLimits),
            quarantine: Arc::new(NoQuarantine),
            proof: Arc::default(),
            log: DecisionLog::new(LogBounds::default()),
            settings: ForwarderSettings {
                region: String::new(),
                zone: "zone".to_owned(),
                costs: SelectionCosts::default(),
                key_trust: KeyTrust::Unbounded,
            },
        });
        Self {
            forwarder,
            replicas: set,
            client,
        }
    }
}

/// A request of this id; all others are of the same path, caller and body.
pub fn request(id: &str) -> ServingRequest {
    ServingRequest {
        regions: AllowedRegions::default(),
        id: id.to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        timeout: Some(Duration::from_secs(5)),
        resume_after: None,
        prompt: Prompt::default(),
        key: None,
        tenant: None,
    }
}
